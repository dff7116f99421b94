package withdrawal

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
)

// Guards against the use of an upstream after the bound, whenever a VM learns of the
// withdrawal and however old its last read without it is.
func TestDeadlineKeepsBoundHoweverLateItIsLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
		}
		bound, absentAt := duration("bound"), duration("last read without it")
		acknowledged := absentAt + duration("acknowledged after")
		learned := acknowledged + duration("learned after")
		w := New(learned, instant.At(absentAt), bound)
		assert.Assert(t, !w.Usable(acknowledged+bound))
		unproved := New(learned, instant.Never, bound)
		assert.Assert(t, !unproved.Usable(learned))
	})
}

// Guards against a withdrawal that stops the use at once although it has just been
// requested, so that clients are refused until another upstream takes over.
func TestNewWithdrawalLeavesTimeForReplacement(t *testing.T) {
	w := New(10*time.Second, instant.At(9*time.Second), 4*time.Second)
	assert.Assert(t, w.Usable(12*time.Second-1))
	assert.Assert(t, !w.Usable(12*time.Second))
}
