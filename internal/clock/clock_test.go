package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lease that outlives a suspension of the VM, against a clock that
// goes back when the wall clock is set back, and against a clock that then stands
// still until the monotonic clock has caught up.
func TestAdvanceFollowsTheLargerDifferenceAndNeverGoesBack(t *testing.T) {
	c := New()
	assert.Equal(t, c.advance(time.Second, time.Second), time.Second)
	assert.Equal(t, c.advance(2*time.Second, time.Minute), time.Minute, "monotonic clock stopped during suspension")
	assert.Equal(t, c.advance(3*time.Second, -time.Hour), time.Minute+time.Second, "wall clock set back")
	assert.Equal(t, c.advance(2*time.Minute, -time.Hour+117*time.Second), time.Minute+118*time.Second)
}
