package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

const (
	// freezes is the number of freezes, one machine at a time, and freezeTime the length of each.
	// The pages let a machine freeze for up to 4 s.
	freezes    = 6
	freezeTime = 2 * time.Second
	freezeGap  = time.Second
	// downTime is the time for which all processes are down, and settledTime the one between their
	// start and the first freeze.
	downTime    = 1500 * time.Millisecond
	settledTime = 4 * time.Second
	// recoveryTime is the time after which the rule RECOVER counts, and judgedTime the time for
	// which requests are judged before the final fault and after it.
	recoveryTime = 12 * time.Second
	judgedTime   = 10 * time.Second
)

// operations counts the transactions of all requesters.
type operations struct{ served, failed atomic.Int64 }

// transactor runs one transaction after the other on the primary route of a service.
type transactor struct {
	fleet  *fleet
	number int
	counts *operations
	next   int
}

func (t *transactor) run(ctx context.Context) {
	zone := zones[t.number%len(zones)].name
	for attempt := t.number / len(zones); ctx.Err() == nil; attempt++ {
		v := t.fleet.entry(zone, attempt)
		c, reply, err := platformtest.DialClient(v.address(frontPort), databaseName(0, 0), tenantKey(t.number%tenants), timeLimit)
		if err != nil || reply.Code != "" {
			t.counts.failed.Add(1)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil && t.transaction(c, v) {
			time.Sleep(20 * time.Millisecond)
		}
		c.Close()
		time.Sleep(50 * time.Millisecond)
	}
}

// transaction runs a transaction of two statements and reports whether it was committed.
func (t *transactor) transaction(c *platformtest.Client, v *vm) bool {
	t.next++
	for i, text := range []string{"BEGIN", "WRITE 1a " + fmt.Sprint(t.next), "READ 1b", "COMMIT"} {
		id := fmt.Sprintf("%04x%06x%x", t.number, t.next, i)
		sentAt := time.Now()
		reply, err := c.Query(id, text)
		if err != nil || reply.Code != "" {
			t.counts.failed.Add(1)
			t.fleet.record.add("QUERY %s %s to %s: %s %v after %v", id, text, v.settings.node, reply.Code, err, time.Since(sentAt).Round(time.Millisecond))
			return false
		}
	}
	t.counts.served.Add(1)
	return true
}

// freezeCase kills all processes at once, as a final fault, and compares the share of transactions
// that are served before it and recoveryTime after the machines are back. While the system
// recovers, machines freeze and wake again, one at a time. Those in the zone of the primary, which
// pass the transactions on to it, do not freeze.
func freezeCase(f *fleet, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.start(ctx); err != nil {
		return false, err
	}
	var counts operations
	var running sync.WaitGroup
	for n := range sessions {
		t := &transactor{fleet: f, number: n, counts: &counts}
		running.Go(func() { t.run(ctx) })
	}
	share := func(when string) float64 {
		served, failed := counts.served.Load(), counts.failed.Load()
		time.Sleep(judgedTime)
		served, failed = counts.served.Load()-served, counts.failed.Load()-failed
		f.record.add("%s, in %v: %d transactions served, %d not", when, judgedTime, served, failed)
		return float64(served) / float64(max(1, served+failed))
	}
	time.Sleep(3 * time.Second)
	before := share("before the final fault")
	for _, v := range f.vms {
		v.signal(syscall.SIGKILL)
	}
	f.record.add("all processes killed")
	time.Sleep(downTime)
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return false, err
		}
	}
	f.record.add("all processes started")
	time.Sleep(settledTime)
	var frozen []*vm
	for _, v := range f.vms {
		if v.settings.zone != zones[0].name { // that of the primary
			frozen = append(frozen, v)
		}
	}
	for n := range freezes {
		v := frozen[n%len(frozen)]
		if trouble {
			f.record.add("%s freezes for %v", v.settings.node, freezeTime)
			v.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		v.signal(syscall.SIGCONT)
		time.Sleep(freezeGap)
		f.record.add("%d transactions served so far", counts.served.Load())
	}
	time.Sleep(recoveryTime)
	after := share(fmt.Sprintf("%v after the machines are back", recoveryTime))
	f.record.state(f, "state")
	cancel()
	running.Wait()
	f.record.add("served before: %.3f, after: %.3f; a quarter is the least", before, after)
	if before < 0.25 {
		return false, fmt.Errorf("only %.3f of the transactions were served before the final fault", before)
	}
	return after < 0.25, nil
}
