package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// write is one insert as its writer saw it.
type write struct {
	transaction  string
	acknowledged bool
}

// writers insert unique rows and acknowledge them as a proxy does: when a
// replica has received the commit in its term.
type writers struct {
	g    *Group
	mu   sync.Mutex
	seen map[int]write
}

func (w *writers) run(ctx context.Context, first, step int) {
	for id := first; ctx.Err() == nil; id += step {
		primary := w.g.Primary()
		if primary == nil {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		result := w.insert(limited, primary, id)
		cancel()
		w.mu.Lock()
		w.seen[id] = result
		w.mu.Unlock()
	}
}

func (w *writers) acknowledged() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, seen := range w.seen {
		if seen.acknowledged {
			n++
		}
	}
	return n
}

func (w *writers) insert(ctx context.Context, primary *Member, id int) (result write) {
	conn, err := pgconn.Connect(ctx, dsn(w.g, string(primary.Name())))
	if err != nil {
		return result
	}
	defer conn.Close(context.Background())
	_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO v VALUES (%d)", id)).ReadAll()
	result.transaction = conn.ParameterStatus("group_transaction")
	if err != nil {
		return result
	}
	var point ident.LogPoint
	_, err = fmt.Sscan(conn.ParameterStatus("group_term")+" "+conn.ParameterStatus("group_position"), &point.Term, &point.Position)
	for err == nil && ctx.Err() == nil && !result.acknowledged {
		for _, m := range w.g.Members() {
			status := m.Status()
			confirms := m != primary && status.Term == point.Term && !status.Fenced && status.Received.AtLeast(point)
			result.acknowledged = result.acknowledged || confirms
		}
	}
	return result
}

// failOver breaks the primary in a random way, replaces it by the rules of the
// design, and repairs it.
func failOver(t *testing.T, g *Group, term ident.Term, random *rand.Rand) {
	old := g.Primary()
	var rest []*Member
	for _, m := range g.Members() {
		if m != old {
			rest = append(rest, m)
			if random.IntN(2) == 0 {
				g.Network().CutBoth(old.Endpoint(), m.Endpoint(), true)
			}
		}
	}
	repair := func() {}
	switch random.IntN(3) {
	case 0:
		old.Kill()
		repair = func() { assert.NilError(t, old.Restart()) }
	case 1:
		old.Pause()
		repair = old.Resume
	}
	chosen := rest[0]
	for _, m := range rest {
		_, err := m.fence(term, "vm")
		assert.NilError(t, err)
		if m.Status().Received.Compare(chosen.Status().Received) > 0 {
			chosen = m
		}
	}
	_, err := chosen.promote(t.Context(), term, "vm")
	assert.NilError(t, err)
	repair()
	for _, m := range g.Members() {
		g.Network().CutBoth(old.Endpoint(), m.Endpoint(), false)
		if m != chosen {
			_, err := m.follow(term, chosen.Name())
			assert.NilError(t, err)
		}
	}
}

// No acknowledged write may be lost by promotions, all members must end equal,
// and the transaction status must tell the truth about every other write.
func TestPromotionsKeepAcknowledgedWrites(t *testing.T) {
	g := startGroup(t, func(cfg *Config) {
		for i := range cfg.Members {
			cfg.Members[i].ShipDelay, cfg.Members[i].Lag = time.Millisecond, time.Millisecond
		}
	})
	exec(t, connect(t, g, "a"), "CREATE TABLE v (i int PRIMARY KEY)")
	waitApplied(t, g, "b", 2)
	waitApplied(t, g, "c", 2)
	w := &writers{g: g, seen: map[int]write{}}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() { w.run(ctx, i, 4) })
	}
	random := rand.New(rand.NewPCG(1, 1))
	for term := ident.Term(2); term < 14; term++ {
		before := w.acknowledged()
		eventually(t, "writes are acknowledged", func() bool { return w.acknowledged() >= before+3 })
		failOver(t, g, term, random)
	}
	stop()
	running.Wait()
	primary := g.Primary()
	last := primary.Status().Received
	for _, m := range g.Members() {
		eventually(t, "members are equal", func() bool { return m.Status().Applied == last })
	}
	reader := connect(t, g, "a")
	for id, seen := range w.seen {
		stored := number(t, reader, "SELECT count(*) FROM v WHERE i = $1", id) == 1
		state := primary.transactionState(seen.transaction)
		assert.Assert(t, stored || !seen.acknowledged, "acknowledged write %d is lost", id)
		assert.Assert(t, seen.transaction == "" || stored == (state == group.TransactionCommitted), "write %d: stored %v, state %s", id, stored, state)
	}
	for _, m := range g.Members() {
		total := number(t, connect(t, g, string(m.Name())), "SELECT sum(i) FROM v")
		assert.Equal(t, total, number(t, connect(t, g, string(primary.Name())), "SELECT sum(i) FROM v"), m.Name())
	}
}
