package upstream

import (
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/poll"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func identName(name string) ident.UpstreamName { return ident.UpstreamName(name) }

// stateOf returns the SQLSTATE of an error, or its text.
func stateOf(err error) string {
	var failure *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &failure):
		return failure.Code
	}
	return err.Error()
}

// eventually waits for a condition; it fails the test after a bound that is far
// above any configured delay.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting: %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func waitApplied(t testing.TB, g *Group, member string, position ident.Position) {
	t.Helper()
	eventually(t, member+" applies", func() bool {
		return g.Member(identName(member)).Status().Applied.Position >= position
	})
}

func queryMessage(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }
