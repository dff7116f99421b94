package main

import (
	"fmt"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// Bounds of the rule LOST around a planned stop.
const (
	lossSlack  = 200 * time.Millisecond
	afterGrace = time.Second
	// longWorkSent is the latest sending after SIGTERM of a request that long work excuses.
	longWorkSent = 3 * time.Second
)

// lostAroundStop returns the requests that break the rule LOST around the SIGTERM of a process:
// the connection ended without a complete answer, either once the request had been passed on to a
// member or later than lossSlack after its last byte was sent. Excused are requests that have used
// up their time, and those that were sent early and that the member was still at work on in the
// last sixth of the grace time. The members of the stand-ins break nothing off.
func lostAroundStop(p *process, grace time.Duration, list []request, arrivals map[string][]platformtest.Arrival) (lost []string, excused int) {
	for _, r := range list {
		if r.process != p || !r.closed || !r.endedAt.After(p.terminatedAt) || r.endedAt.After(p.terminatedAt.Add(grace+afterGrace)) {
			continue
		}
		passedOn, atWork := false, false
		for _, a := range arrivals[r.id] {
			passedOn = true
			end := p.terminatedAt.Add(grace)
			atWork = atWork || a.At.Before(end) && (a.EndedAt.IsZero() || a.EndedAt.After(end.Add(-grace/6)))
		}
		open := r.endedAt.Sub(r.sentAt)
		switch {
		case !passedOn && open <= lossSlack:
		case open >= routeTimeout:
			excused++
		case atWork && r.sentAt.Before(p.terminatedAt.Add(longWorkSent)):
			excused++
		default:
			lost = append(lost, fmt.Sprintf("%s %q sent %v after SIGTERM, connection ended %v later, passed on to a member: %t",
				r.id, r.text, r.sentAt.Sub(p.terminatedAt).Round(time.Millisecond), open.Round(time.Millisecond), passedOn))
		}
	}
	return lost, excused
}
