package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// downTime is the time between the kill of all processes and their start.
	downTime = 800 * time.Millisecond
	// recoveryTime is recovery_s of tesneno-plovdiv-grown.
	recoveryTime = 15 * time.Second
	// judgedTime is the time after it in which requests are counted.
	judgedTime = 8 * time.Second
	// greyTime and greyShare are the length of the trouble srv_grey and the share of the
	// requests that it fails.
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.4
	// operationTimeout is the time limit of an operation.
	operationTimeout = 4 * time.Second
	// tries is the number of attempts at an operation: two retries.
	tries = 3
)

// busyStatement: all processes are killed and start again, and the primary refuses a part
// of the statements as BUSY for some seconds.
func (p *play) busyStatement() ([]string, error) {
	const sessions = 12
	var mu sync.Mutex
	type operation struct {
		at     time.Time
		served bool
	}
	var operations []operation
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range sessions {
		running.Go(func() {
			p.useOperations(ctx, n, func(at time.Time, served bool) {
				mu.Lock()
				defer mu.Unlock()
				operations = append(operations, operation{at, served})
			})
		})
	}
	time.Sleep(warmUp)
	fault := time.Now()
	if p.trouble {
		for _, v := range p.vms {
			p.rec.printf("SIGKILL to %s", v.name)
			_ = v.process.Process.Kill()
		}
		time.Sleep(downTime)
		for _, v := range p.vms {
			<-v.exited
			if err := p.start(v); err != nil {
				cancel()
				return nil, err
			}
		}
	}
	back := time.Now()
	if p.trouble {
		p.service.setRejectShare(greyShare)
		time.Sleep(greyTime)
		p.service.setRejectShare(0)
	}
	time.Sleep(recoveryTime + judgedTime - time.Since(back))
	cancel()
	running.Wait()
	p.recordConnections()
	before, beforeServed, after, afterServed := 0, 0, 0, 0
	for _, o := range operations {
		switch {
		case o.at.Before(fault):
			before++
			if o.served {
				beforeServed++
			}
		case o.at.After(back.Add(recoveryTime)):
			after++
			if o.served {
				afterServed++
			}
		}
	}
	counts := fmt.Sprintf("served before the fault: %d of %d; sent later than %s after it: %d of %d",
		beforeServed, before, recoveryTime, afterServed, after)
	p.rec.printf("%s", counts)
	fmt.Println(counts)
	if afterServed*4 < after && beforeServed*4 >= before {
		return []string{"less than a quarter is served"}, nil
	}
	return nil, nil
}

// recordConnections records how many connections each VM holds at the end, when no requester
// has a session any more. It is for the reader only; the rule is judged without it.
func (p *play) recordConnections() {
	time.Sleep(time.Second)
	for _, v := range p.vms {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + v.ip + ":" + metricsPort(p.program) + "/metrics")
		if err != nil {
			p.rec.printf("%s: no metrics: %v", v.name, err)
			continue
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "rosemarywall_upstream_connections") {
				p.rec.printf("%s: %s", v.name, lines.Text())
			}
		}
		_ = response.Body.Close()
	}
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	for _, m := range p.service.member {
		p.rec.printf("member %s (primary %v): %d connections, %d of them in a transaction", m.id, m.primary, m.conns, m.open)
	}
}

// metricsPort returns the metrics port of the run line.
func metricsPort(program []string) string {
	if i := slices.Index(program, "--metrics-port"); i >= 0 && i+1 < len(program) {
		return program[i+1]
	}
	return ""
}

// setRejectShare sets the share of the statements that the primary refuses as BUSY.
func (s *service) setRejectShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.member {
		m.rejectShare = 0
		if m.primary {
			m.rejectShare = share
			s.rec.printf("member %s refuses a share of %.1f as BUSY", m.id, share)
		}
	}
}

// useOperations makes one operation after the other: 40 % transactions, else single reads
// and writes.
func (p *play) useOperations(ctx context.Context, n int, done func(at time.Time, served bool)) {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	conns := map[int]*client{}
	for ctx.Err() == nil {
		item := fmt.Sprintf("item%d", n)
		statements := []string{"READ " + item}
		switch kind := rng.Float64(); {
		case kind < 0.4:
			statements = []string{"BEGIN", "READ " + item, "WRITE " + item + " x", "COMMIT"}
		case kind < 0.5:
			statements = []string{"WRITE " + item + " x"}
		}
		at, served := time.Now(), false
		for try := 0; try < tries && !served && ctx.Err() == nil && time.Since(at) < operationTimeout; try++ {
			served = p.attempt(conns, n, (n+try)%len(p.vms), statements)
		}
		done(at, served)
		time.Sleep(100 * time.Millisecond)
	}
	for _, c := range conns {
		c.close()
	}
}

// attempt makes one attempt at an operation at a VM and reports whether it succeeded.
func (p *play) attempt(conns map[int]*client, n, front int, statements []string) bool {
	c := conns[front]
	if c == nil {
		var err error
		if c, err = dial(p.vms[front].front(), primaryDatabase); err != nil {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		conns[front] = c
	}
	for _, text := range statements {
		id := newID("d")
		p.rec.printf("session %d sends %s to %s: %s", n, id, p.vms[front].name, text)
		a, err := c.query(id, text)
		p.rec.printf("session %d: %s is answered %q %s %v", n, id, a.code, a.tag, err)
		if err == nil && a.code == "" {
			continue
		}
		if err != nil || a.state != "I" { // a requester closes a session that ends outside I
			c.close()
			delete(conns, front)
		}
		return false
	}
	return true
}
