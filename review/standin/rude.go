package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// lineFeed: requesters write data that holds a line feed without a carriage return, followed
// by words that look like a message. A line ends with CR LF, so this is one message.
func (p *play) lineFeed() ([]string, error) {
	separator := " "
	if p.trouble {
		separator = "\n"
	}
	var mu sync.Mutex
	requested := map[string]string{} // text by id
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var running sync.WaitGroup
	for n := range 2 * len(p.vms) {
		running.Go(func() {
			for ctx.Err() == nil {
				p.writeLineFeed(n, separator, func(id, text string) {
					mu.Lock()
					defer mu.Unlock()
					requested[id] = text
				})
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return p.unaskedRuns(requested), nil
}

// writeLineFeed opens a session and writes once.
func (p *play) writeLineFeed(n int, separator string, sending func(id, text string)) {
	v := p.vms[n%len(p.vms)]
	c, err := dial(v.front(), primaryDatabase)
	if err != nil {
		p.rec.printf("session %d: %v", n, err)
		return
	}
	defer c.close()
	id, inner := newID("e"), newID("f")
	text := fmt.Sprintf("WRITE item%d first%sQUERY %s WRITE other not-sent", n, separator, inner)
	sending(id, text)
	p.rec.printf("session %d sends %s to %s: %q", n, id, v.name, text)
	for err = c.send("QUERY " + id + " " + text + "\r\n"); err == nil; {
		var a answer
		a, err = c.receive()
		p.rec.printf("session %d gets %q %s %v", n, a.code, a.tag, err)
		_ = c.conn.SetDeadline(time.Now().Add(100 * time.Millisecond)) // for answers to nothing
	}
}

// unaskedRuns returns the statements that members ran and that no requester has sent.
// requested holds the texts of the requests by id.
func (p *play) unaskedRuns(requested map[string]string) []string {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	var breaks []string
	for _, r := range p.service.runs {
		if requested[r.id] != r.text {
			breaks = append(breaks, fmt.Sprintf("%s runs %s (%s) at %s; the requester has sent %q under this id",
				r.member, r.id, r.text, p.rec.at(r.at), requested[r.id]))
		}
	}
	return breaks
}
