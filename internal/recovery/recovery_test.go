package recovery

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// Guards against a panic that ends the process, one that leaves no trace, and one whose
// value, which may be a part of a statement, is logged.
func TestPanicIsLoggedAndCounted(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	before := Panics()
	assert.Assert(t, Run(log, "session", func() { panic("secret text") }))
	assert.Assert(t, strings.Contains(out.String(), `"task":"session"`) && strings.Contains(out.String(), "recovery_test.go"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), "secret text"))
	var list []int
	assert.Assert(t, Run(log, "session", func() { _ = list[len(out.String())] }))
	assert.Assert(t, strings.Contains(out.String(), "index out of range"))
	assert.Assert(t, !Run(log, "session", func() {}))
	assert.Equal(t, Panics(), before+2)
}

// Guards against a background task that stays ended after a panic, and against one that
// is restarted without a delay or after its context has ended.
func TestLoopRestartsAfterDelay(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		began, calls := time.Now(), 0
		Loop(t.Context(), zerolog.Nop(), "loop", func(context.Context) {
			if calls++; calls < 4 {
				panic("fault")
			}
		})
		assert.Equal(t, calls, 4)
		assert.Equal(t, time.Since(began), 3*restartDelay)
		ctx, cancel := context.WithCancel(t.Context())
		calls = 0
		Loop(ctx, zerolog.Nop(), "loop", func(context.Context) {
			calls++
			cancel()
			panic("fault")
		})
		assert.Equal(t, calls, 1)
	})
}
