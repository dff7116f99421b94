package instant

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
)

// Guards against an unknown time that counts as the start of the process, and so as later
// than an event before it.
func TestNeverIsBeforeAllTimes(t *testing.T) {
	before := At(-3 * time.Second)
	assert.Assert(t, before.After(Never) && !Never.After(before) && !Never.After(Never))
	assert.Equal(t, Latest(Never, before), before)
	assert.Equal(t, Latest(before, Never), before)
	assert.Equal(t, Earliest(Never, before), Never)
	assert.Equal(t, Earliest(before, Never), Never)
	assert.Equal(t, Never.Add(time.Hour), Never)
	_, known := Never.Age(time.Second)
	assert.Assert(t, !known && !Never.ReachedAt(time.Hour) && !Never.PendingAt(0))
	age, known := before.Age(2 * time.Second)
	assert.Assert(t, known && age == 5*time.Second)
}

// Guards against an age that no sound VM sends and that makes an event appear to lie in the
// future, by its sign or by an overflow.
func TestReportedEventIsNeverInTheFuture(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sentAt := time.Duration(rapid.Int64Range(0, math.MaxInt64/8).Draw(t, "sent at"))
		age := time.Duration(rapid.Int64().Draw(t, "age"))
		known, ok := Reported(sentAt, age).Age(sentAt)
		assert.Assert(t, ok && known >= 0 && (age < 0 || age > maxAge || known == age))
	})
}
