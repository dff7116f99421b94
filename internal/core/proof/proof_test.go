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

// Guards against a read of a store that came back from an older copy and that counts as a
// proof, and against a proof from before the start that the distrust of nothing refuses.
func TestDistrustedStoreProvesNothing(t *testing.T) {
	v := NewViews()
	v.Prove("upstreams", instant.At(-time.Second))
	assert.Equal(t, v.ProvedAt("upstreams"), instant.At(-time.Second))
	assert.Assert(t, !v.ProvedAt("upstreams", "zones").Known(), "the other view is not proved")
	assert.Assert(t, v.DistrustUntil(instant.At(5*time.Second)))
	assert.Assert(t, !v.DistrustUntil(instant.At(4*time.Second)))
	assert.Equal(t, v.Unsettled(3*time.Second), 2*time.Second)
	assert.Equal(t, v.Unsettled(6*time.Second), time.Duration(0))
	v.Prove("upstreams", instant.At(5*time.Second-1))
	v.Prove("upstreams", instant.Never)
	assert.Equal(t, v.ProvedAt("upstreams"), instant.At(-time.Second))
	v.Prove("upstreams", instant.At(5*time.Second))
	v.Prove("zones", instant.At(6*time.Second))
	assert.Equal(t, v.ProvedAt("upstreams", "zones"), instant.At(5*time.Second))
}
