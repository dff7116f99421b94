package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// warmUp is the time of undisturbed traffic before the SIGTERM.
	warmUp = 3 * time.Second
	// afterStop is the time for which traffic goes on after it.
	afterStop = 8 * time.Second
)

// sent is a request that was sent completely.
type sent struct {
	id, text string
	vm       *vm // that took it from the requester
	at       time.Time
	// ended is when the answer was complete, or when the connection ended.
	ended time.Time
	err   error
	code  string
}

// busySession: requesters use their open connections without long pauses while the VM that
// they are connected to gets SIGTERM.
func (p *play) busySession() ([]string, error) {
	const sessions = 12
	var mu sync.Mutex
	var requests []sent
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range sessions {
		running.Go(func() {
			p.useSession(ctx, n, func(s sent) {
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, s)
			})
		})
	}
	time.Sleep(warmUp)
	begun := time.Now()
	if p.trouble {
		p.stop(p.vms[0])
	}
	time.Sleep(afterStop - time.Since(begun))
	cancel()
	running.Wait()
	return p.cutRequests(requests, begun), nil
}

// useSession runs one statement after the other on a connection until it is closed, and
// then on one to another VM.
func (p *play) useSession(ctx context.Context, n int, done func(sent)) {
	front := 0
	for ctx.Err() == nil {
		c, err := dial(p.vms[front].front(), boundedDatabase)
		if err != nil {
			front = 1 + n%(len(p.vms)-1)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			s := sent{id: newID("a"), text: "READ item" + fmt.Sprint(n), vm: p.vms[front]}
			if err = c.send("QUERY " + s.id + " " + s.text + "\r\n"); err != nil {
				break // closed outside a request
			}
			s.at = time.Now()
			p.rec.printf("session %d sends %s to %s: %s", n, s.id, p.vms[front].name, s.text)
			var a answer
			a, s.err = c.receive()
			s.ended, s.code = time.Now(), a.code
			p.rec.printf("session %d: %s is answered %q %s %v", n, s.id, a.code, a.tag, s.err)
			done(s)
			if s.err != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.close()
		front = 1 + n%(len(p.vms)-1) // as the platform does for a VM that isn't ready
	}
}

// cutRequests applies the rule LOST to the requests that the first VM took around stoppedAt,
// the time of its SIGTERM. Without the SIGTERM the same time is judged.
func (p *play) cutRequests(requests []sent, stoppedAt time.Time) []string {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	arrived := map[string]run{}
	for _, r := range p.service.runs {
		arrived[r.id] = r
	}
	var breaks []string
	for _, s := range requests {
		planned := s.vm == p.vms[0] && !s.ended.Before(stoppedAt) && !s.ended.After(stoppedAt.Add(graceTime+time.Second))
		if s.err == nil || !planned || s.ended.Sub(s.at) >= routeTimeout {
			continue
		}
		// Excused: sent up to 3 s after the SIGTERM, and its member still at work in the last
		// sixth of the grace time.
		if !s.at.After(stoppedAt.Add(3*time.Second)) && s.ended.After(stoppedAt.Add(graceTime*5/6)) {
			continue
		}
		r, passedOn := arrived[s.id]
		if !passedOn && s.ended.Sub(s.at) <= lossSlack {
			continue
		}
		breaks = append(breaks, fmt.Sprintf("%s (%s), sent at %s, cut at %s without an answer; passed on to %s: %v",
			s.id, s.text, p.rec.at(s.at), p.rec.at(s.ended), r.member, passedOn))
	}
	return breaks
}

// splitMessage: requesters write a message in two parts, its head and its data, 40 ms apart,
// while the VM that they are connected to gets SIGTERM. The data looks like a message.
func (p *play) splitMessage() ([]string, error) {
	const sessions = 48
	var mu sync.Mutex
	requested := map[string]string{} // text by id
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range sessions {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
			p.splitMessages(ctx, n, func(id, text string) {
				mu.Lock()
				defer mu.Unlock()
				requested[id] = text
			})
		})
	}
	time.Sleep(warmUp)
	begun := time.Now()
	if p.trouble {
		p.stop(p.vms[0])
	}
	time.Sleep(afterStop - time.Since(begun))
	cancel()
	running.Wait()
	return p.unaskedRuns(requested), nil
}

func (p *play) splitMessages(ctx context.Context, n int, sending func(id, text string)) {
	front := 0
	for ctx.Err() == nil {
		c, err := dial(p.vms[front].front(), primaryDatabase)
		if err != nil {
			front = 1 + n%(len(p.vms)-1)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			id, inner := newID("b"), newID("c")
			head, data := fmt.Sprintf("WRITE item%d ", n), "QUERY "+inner+" WRITE other not-sent"
			sending(id, head+data)
			p.rec.printf("session %d sends %s to %s: %s%s", n, id, p.vms[front].name, head, data)
			if err = c.send("QUERY " + id + " " + head); err != nil {
				break
			}
			time.Sleep(40 * time.Millisecond)
			if err = c.send(data + "\r\n"); err != nil {
				break
			}
			a, err := c.receive()
			p.rec.printf("session %d: %s is answered %q %s %v", n, id, a.code, a.tag, err)
			if err != nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.close()
		front = 1 + n%(len(p.vms)-1)
	}
}
