package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The store's copy and the operator in olderCopy. Times count from the confirmation of the
// configuration that takes the key away.
const (
	storeAwayAt  = 3800 * time.Millisecond
	storeBackAt  = 4600 * time.Millisecond
	rewriteDelay = 800 * time.Millisecond // after the return of the store
	revokeTime   = 5 * time.Second        // revoke_ms
)

// olderCopy: a key is taken away; the store comes back from a copy in which it is valid while
// all processes restart, and the operator writes the configuration again.
func (p *play) olderCopy() ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var running sync.WaitGroup
	for n := range 12 {
		running.Go(func() {
			p.useKey(ctx, n, secondKey, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				sentAt[id] = time.Now()
			})
		})
	}
	time.Sleep(warmUp)
	backup := p.store.CopyNow()
	p.configure(false)
	revoked := time.Now()
	p.rec.printf("the key %s is taken away", secondKey)
	if p.trouble {
		time.Sleep(storeAwayAt - time.Since(revoked))
		p.rec.printf("the store is away; all processes are killed")
		p.store.SetUnavailable(true)
		for _, v := range p.vms {
			_ = v.process.Process.Signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range p.vms {
			<-v.exited
			if err := p.start(v); err != nil {
				return nil, err
			}
		}
		time.Sleep(storeBackAt - time.Since(revoked))
		p.store.Restore(backup)
		p.store.SetUnavailable(false)
		p.rec.printf("the store is back from an older copy")
		time.Sleep(rewriteDelay)
		p.store.Rewrite()
		p.rec.printf("operator and members have written again")
	}
	time.Sleep(8*time.Second - time.Since(revoked))
	cancel()
	running.Wait()
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	var breaks []string
	for _, r := range p.service.runs {
		if at, known := sentAt[r.id]; known && at.After(revoked.Add(revokeTime)) {
			breaks = append(breaks, fmt.Sprintf("%s runs %s, sent at %s with a key that was taken away at %s", r.member, r.id,
				p.rec.at(at), p.rec.at(revoked)))
		}
	}
	return breaks, nil
}

// useKey reads with a key, in a session for each read.
func (p *play) useKey(ctx context.Context, n int, key string, sending func(id string)) {
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		c, err := dialWith(p.vms[n%len(p.vms)].front(), boundedDatabase, key)
		if err != nil {
			p.rec.printf("session %d: %v", n, err)
			continue
		}
		id := newID("g")
		sending(id)
		p.rec.printf("session %d sends %s", n, id)
		a, err := c.query(id, fmt.Sprintf("READ item%d", n))
		p.rec.printf("session %d: %s is answered %q %s %v", n, id, a.code, a.tag, err)
		c.close()
	}
}
