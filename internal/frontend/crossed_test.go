package frontend_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	member "github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// Guards against an answer that an upstream sends twice being taken for that of the
// next request on its connection, in and outside transactions.
func TestDoubledAnswersReachNobodyElse(t *testing.T) {
	s := startSystem(t)
	var readers sync.WaitGroup
	read := func(q interface {
		QueryRow(context.Context, string, ...any) pgx.Row
	}, want int) error {
		var got int
		err := q.QueryRow(context.Background(), "SELECT $1::int", want).Scan(&got)
		if err == nil && got != want {
			t.Errorf("got %d instead of %d", got, want)
		}
		return err
	}
	const callers, each = 12, 100
	for caller := range callers {
		conn := s.connect(t)
		readers.Go(func() {
			for i := range each {
				// Under many faults a request may be refused, but never mistaken.
				_ = read(conn, caller*1000+i)
				_ = pgx.BeginFunc(context.Background(), conn, func(tx pgx.Tx) error {
					if err := read(tx, -i); err != nil {
						return err
					}
					return read(tx, -1000-i)
				})
			}
		})
	}
	done := make(chan struct{})
	go func() { readers.Wait(); close(done) }()
	for running, rounds := true, 0; running; rounds++ {
		if rounds < 20 {
			for _, m := range s.Groups["deckbook"].Members() {
				m.FailSQLAnswers(member.DuplicateAnswer, 3, 0)
			}
		}
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	assert.Assert(t, s.server.Counters().Retries.Load() > 0, "no doubled answer was met")
}
