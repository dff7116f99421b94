package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// Guards against a statement that is run again, or that counts as not run, because its answer
// cannot be passed on by the executing VM.
func TestTooLargeAnswerIsFinal(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, kind := range []statement.Kind{statement.Read, statement.Write} {
			f := newFakeServices()
			s := f.session(t)
			f.results = []execution.Result{{Outcome: execution.Unknown, Reason: execution.AnswerTooLarge, Sent: true}}
			code, state := f.handle(s, kind)
			assert.Equal(t, code, resultcode.AnswerIncomplete)
			assert.Equal(t, state, statement.Idle)
			assert.Equal(t, len(f.requests), 1)
		}
	})
}
