package peers

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// startPair starts two VMs of a zone that use each other and are not probed again.
func startPair(t *testing.T) (first, second *node) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	first, second = startNodeProbing(t, store, "vm-1", "a", time.Hour), startNodeProbing(t, store, "vm-2", "a", time.Hour)
	eventually(t, "the VMs use each other", func() bool { return len(first.Hubs()) == 2 && len(second.Hubs()) == 2 })
	return first, second
}

// Guards against a statement that another VM cannot get or answer, because of its size, the number
// of requests or an invalid body, that counts as a failure of that VM, or that leaves its transaction and its locks
// open there while the connection between the VMs lasts. Guards also against a rollback of what is
// sent again.
func TestRefusedStatementsEndTheirTransaction(t *testing.T) {
	first, second := startPair(t)
	const mebibyte = 1 << 20
	for _, c := range []struct {
		name      string
		request   execution.Request
		result    execution.Result
		rejecting bool
		otherBody any
		outcome   execution.Outcome
		reason    execution.Reason
	}{
		{name: "request too large", request: execution.Request{Text: strings.Repeat("x", 5*mebibyte)},
			outcome: execution.NotRun, reason: execution.TooLarge},
		{name: "result too large", result: execution.Result{Outcome: execution.Done, Rows: []string{strings.Repeat("x", 5*mebibyte)}, TransactionOpen: true},
			outcome: execution.Unknown, reason: execution.AnswerLost},
		{name: "body of another kind", otherBody: ProbeResponse{}, outcome: execution.Unknown, reason: execution.AnswerLost},
		{name: "body of another type", otherBody: []int{1}, outcome: execution.Unknown, reason: execution.AnswerLost},
		{name: "unknown outcome", result: execution.Result{Outcome: 9}, outcome: execution.Unknown, reason: execution.AnswerLost},
		{name: "rejected", rejecting: true, outcome: execution.NotRun, reason: execution.NoConnection},
	} {
		t.Run(c.name, func(t *testing.T) {
			second.mu.Lock()
			second.result, second.rejecting, second.otherBody = c.result, c.rejecting, c.otherBody
			second.mu.Unlock()
			for _, mode := range []execution.Mode{execution.Single, execution.Begin, execution.Continue} {
				r := c.request
				r.Mode, r.Writes, r.Timeout = mode, true, time.Minute
				if mode != execution.Single {
					r.TransactionID = c.name
				}
				got := first.Executor("vm-2").Execute(t.Context(), r)
				assert.Equal(t, got.Outcome, c.outcome)
				assert.Equal(t, got.Reason, c.reason)
				assert.Assert(t, !got.TransactionOpen)
				assert.Assert(t, !got.Unanswered())
				assert.Equal(t, len(first.Hubs()), 2, "the VM counts as unresponsive")
				// A first statement that was not run is sent again under the same ID: its rollback could
				// overtake that.
				if mode == execution.Continue || mode == execution.Begin && c.outcome == execution.Unknown {
					second.assertRollback(t, c.name)
				}
				assert.Equal(t, len(second.rollbacks), 0)
			}
		})
	}
}

// assertRollback waits for the rollback request of a transaction.
func (n *node) assertRollback(t *testing.T, transaction string) {
	t.Helper()
	select {
	case got := <-n.rollbacks:
		assert.Equal(t, got, transaction)
	case <-time.After(30 * time.Second):
		t.Fatal("the transaction stays open")
	}
}

// Guards against a transaction that stays open at the executing VM, with its locks, because the
// response to one of its statements comes too late or the VM has no room for the request to roll
// it back.
func TestLateStatementEndsItsTransaction(t *testing.T) {
	first, second := startPair(t)
	executor := first.Executor("vm-2")
	second.mu.Lock()
	second.busy = 3
	second.mu.Unlock()
	executor.Rollback(execution.Target{}, "t1")
	second.assertRollback(t, "t1")

	resume := make(chan struct{})
	second.setSilent(resume)
	result := executor.Execute(t.Context(), execution.Request{Mode: execution.Continue, TransactionID: "t2", Timeout: time.Millisecond})
	second.setSilent(nil)
	close(resume)
	assert.Equal(t, result.Outcome, execution.Unknown)
	second.assertRollback(t, "t2")
}
