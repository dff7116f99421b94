package proxy

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/relay"
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
			f.results = []execution.Result{{Outcome: execution.Unknown, Reason: execution.AnswerLost, Sent: true}}
			code, state := f.handle(s, kind)
			assert.Equal(t, code, resultcode.AnswerIncomplete)
			assert.Equal(t, state, statement.Idle)
			assert.Equal(t, len(f.requests), 1)
		}
	})
}

// Guards against a session whose statements run on its own VM and are too large for any other
// one, and against a value that replaces another one and counts twice.
func TestStatementsOfSessionFitIntoRequest(t *testing.T) {
	const mebibyte = 1 << 20 // the maximum size of a client message
	for _, valueBytes := range []int{0, 20, 300, 100_000, mebibyte - 100} {
		f := newFakeServices()
		s := f.session(t)
		set := func(name, value string) resultcode.Code {
			return resultcode.Of(s.Handle(context.Background(), statement.Statement{Kind: statement.SetValue, Name: name, Value: value}).Err)
		}
		s.values = map[string]string{}
		for i := range max(1, maxValueBytes/(valueBytes+7+valueOverhead)-1) { // SET of each would take the square of the time
			s.values[fmt.Sprintf("%07d", i)] = strings.Repeat("v", valueBytes)
		}
		accepted := 0
		for set(fmt.Sprint("n", accepted), strings.Repeat("v", valueBytes)) == 0 {
			accepted++
		}
		known := len(s.values)
		assert.Equal(t, set("n", strings.Repeat("v", valueBytes+100)), resultcode.MessageTooLarge)
		assert.Equal(t, len(s.values), known, "a refused value is set")
		for range 10 {
			assert.Equal(t, set("0000000", strings.Repeat("w", valueBytes)), resultcode.Code(0))
		}
		s.Handle(context.Background(), statement.Statement{Kind: statement.Prepare, Name: "p", Text: strings.Repeat("p", mebibyte)})
		response := s.Handle(context.Background(), statement.Statement{Kind: statement.Execute, Name: "p", ID: "q", Text: strings.Repeat("x", mebibyte)})
		assert.NilError(t, response.Err)
		request, err := cbor.Marshal(f.requests[0])
		assert.NilError(t, err)
		assert.Assert(t, len(request) <= relay.MaxFrameBytes-1000, "%d bytes", len(request))
	}
}

// Guards against a transaction that goes on without a value that its client has set.
func TestRefusedValueFailsTransaction(t *testing.T) {
	f := newFakeServices()
	s := f.session(t)
	f.handle(s, statement.Begin)
	f.handle(s, statement.Write)
	response := s.Handle(context.Background(), statement.Statement{Kind: statement.SetValue, Name: "n", Value: strings.Repeat("v", maxValueBytes)})
	assert.Equal(t, resultcode.Of(response.Err), resultcode.MessageTooLarge)
	assert.Equal(t, response.State, statement.FailedTransaction)
	assert.Equal(t, f.rollbacks, 1)
}
