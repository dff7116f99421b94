package execution

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Guards against a panic that keeps a connection, a slot of the queue or a transaction
// forever, and against a connection that is used again although its state is uncertain.
func TestPanicReleasesConnection(t *testing.T) {
	for _, at := range []statement.CommandKind{statement.BeginCommand, statement.RunCommand} {
		for _, mode := range []Mode{Single, LeaderRead, Begin, Continue} {
			u := &fakeUpstream{}
			l := newLocal(u)
			r := request("o1", mode)
			r.ConnectionLimit, r.TransactionID = 1, "t1"
			if mode == Continue {
				r.Mode = Begin
				assert.Equal(t, l.Execute(t.Context(), r).Outcome, Done)
				r.Mode = Continue
			}
			u.panicAt = at
			reached := at == statement.RunCommand || mode == LeaderRead || mode == Begin
			assert.Equal(t, recovery.Run(zerolog.Nop(), "statement", func() { l.Execute(t.Context(), r) }), reached)
			if !reached {
				continue
			}
			u.panicAt = 0
			assert.Equal(t, u.open, 0, "mode %d", mode)
			assert.Equal(t, l.Transactions(), 0)
			assert.Equal(t, l.Execute(t.Context(), request("o2", Single)).Outcome, Done)
		}
	}
}

// Guards against a panic while a connection is opened that keeps its place in the pool.
func TestPanicInDialReleasesReservation(t *testing.T) {
	u := &fakeUpstream{}
	l := newLocal(u)
	dial := l.dial
	l.dial = func(context.Context, Target, ident.OrganisationName) (Conn, error) { panic("fault") }
	r := request("o1", Single)
	r.ConnectionLimit = 1
	assert.Assert(t, recovery.Run(zerolog.Nop(), "statement", func() { l.Execute(t.Context(), r) }))
	l.pools[r.Target].dial = dial
	assert.Equal(t, l.Execute(t.Context(), r).Outcome, Done)
}
