package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// busyStatement: a member refuses a part of the statements as BUSY for some seconds. Long
// after that, requests have to be served as before.
func (p *play) busyStatement() ([]string, error) {
	const sessions = 12
	var mu sync.Mutex
	type outcome struct {
		at     time.Time
		served bool
	}
	var outcomes []outcome
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range sessions {
		running.Go(func() {
			p.useTransactions(ctx, n, func(served bool) {
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome{time.Now(), served})
			})
		})
	}
	time.Sleep(warmUp)
	begun := time.Now()
	if p.trouble {
		for time.Since(begun) < 6*time.Second {
			p.service.mu.Lock()
			for _, m := range p.service.member {
				m.rejectNext = 1
			}
			p.service.mu.Unlock()
			time.Sleep(25 * time.Millisecond)
		}
	}
	time.Sleep(30*time.Second - time.Since(begun))
	cancel()
	running.Wait()
	before, beforeServed, after, afterServed := 0, 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.at.Before(begun):
			before++
			if o.served {
				beforeServed++
			}
		case o.at.After(begun.Add(20 * time.Second)):
			after++
			if o.served {
				afterServed++
			}
		}
	}
	p.rec.printf("served before: %d of %d, later: %d of %d", beforeServed, before, afterServed, after)
	fmt.Printf("served before: %d of %d, later: %d of %d\n", beforeServed, before, afterServed, after)
	if afterServed*4 < after && beforeServed*4 >= before {
		return []string{"less than a quarter is served"}, nil
	}
	return nil, nil
}

// useTransactions runs transactions of one read and one write.
func (p *play) useTransactions(ctx context.Context, n int, done func(served bool)) {
	var c *client
	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = dial(p.vms[n%len(p.vms)].front(), primaryDatabase); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		served := true
		for _, text := range []string{"BEGIN", fmt.Sprintf("READ item%d", n), fmt.Sprintf("WRITE item%d x", n), "COMMIT"} {
			id := newID("d")
			p.rec.printf("session %d sends %s: %s", n, id, text)
			a, err := c.query(id, text)
			p.rec.printf("session %d: %s is answered %q %s %v", n, id, a.code, a.tag, err)
			if err != nil || a.code != "" {
				served = false
				if err != nil || a.state != "I" {
					c.close()
					c = nil
				}
				break
			}
		}
		done(served)
		time.Sleep(100 * time.Millisecond)
	}
}
