package proof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Guards against a proof from before the start of the process that counts as one of its
// start, and against a proof of a version that is not in force.
func TestProofMayBeOlderThanProcess(t *testing.T) {
	var c Configuration
	c.Observe(0, instant.At(time.Second))
	assert.Assert(t, !c.ProvedAt().Known(), "there is no configuration to prove")
	older, changed := c.Install(5, instant.At(-3*time.Second))
	assert.Assert(t, !older && changed)
	assert.Equal(t, c.ProvedAt(), instant.At(-3*time.Second))
	c.Observe(4, instant.At(time.Second))
	c.Observe(6, instant.At(time.Second))
	assert.Equal(t, c.ProvedAt(), instant.At(-3*time.Second))
	c.Observe(5, instant.At(-2*time.Second))
	assert.Equal(t, c.ProvedAt(), instant.At(-2*time.Second))
	older, changed = c.Install(4, instant.At(time.Second))
	assert.Assert(t, older && !changed)
	older, changed = c.Install(6, instant.Never)
	assert.Assert(t, !older && changed)
	assert.Equal(t, c.Version(), ident.ConfigurationVersion(6))
	assert.Equal(t, c.ProvedAt(), instant.At(-2*time.Second), "an earlier proof also excludes versions between the two")
}
