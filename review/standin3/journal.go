package main

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// requests writes what requesters have sent, how it was answered and where it ran, in the order
// of sending.
func (r *record) requests(list []request, arrivals map[string][]platformtest.Arrival) {
	r.add("%d requests were sent, all times since the start:", len(list))
	since := func(at time.Time) float64 { return at.Sub(r.from).Seconds() }
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b request) int { return a.sentAt.Compare(b.sentAt) })
	for _, q := range list {
		r.add("sent at %.3f to %s process %d: QUERY %s %s; at %.3f: %s", since(q.sentAt), q.vm.settings.node, q.process.command.Process.Pid,
			q.id, q.text, since(q.endedAt), q.outcome)
		for _, a := range arrivals[q.id] {
			if a.EndedAt.IsZero() {
				r.add("  received by %s at %.3f, at work to the end", a.Member, since(a.At))
			} else {
				r.add("  run by %s from %.3f to %.3f", a.Member, since(a.At), since(a.EndedAt))
			}
		}
	}
}
