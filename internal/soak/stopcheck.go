package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

const (
	// contactTime is the time after a disruption in which it still excuses.
	contactTime = 5 * time.Second
	// lossSlack is the time after which a request counts as read by the process.
	lossSlack = 200 * time.Millisecond
	// afterGrace is the time after the grace time to which a planned stop extends.
	afterGrace = time.Second
	// longWorkSent bounds the time after SIGTERM until which a request may have been sent
	// that is excused by long work of the member. It is also at most half of the grace time.
	longWorkSent = 3 * time.Second
	// configCutFactor is the ratio of cuts beside configurations to those at other times
	// from which on they are violations.
	configCutFactor = 3
)

// disruption is an unplanned one of a VM, a member or the store.
type disruption struct {
	from, to   time.Time // to is zero while it lasts
	vm, member string
	store      bool
	// halted is set if the process of the VM could not run.
	halted bool
}

// overlaps reports whether the disruption lies in a span.
func (d disruption) overlaps(from, to time.Time) bool {
	return !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from))
}

// stopCheck judges requests and processes by the planned work around them.
type stopCheck struct {
	grace, apply time.Duration
	signals      map[*process]signals
	disruptions  []disruption
	starved      []starvation
	configs      []time.Time // when configurations were written and confirmed
	arrivals     map[string][]platformtest.Arrival
}

// stopCounts counts what was judged.
type stopCounts struct {
	// AroundStops are the requests that ended around a planned stop, and Cut those of them
	// that ended without an answer.
	AroundStops, Cut int
	// Excused are the cut ones that are no violations, by reason.
	Excused map[string]int
}

// check returns the violations.
func (c *stopCheck) check(requests []request) ([]string, stopCounts) {
	var found []string
	counts := stopCounts{Excused: map[string]int{}}
	beside := map[string]*configCuts{}
	for _, r := range requests {
		given := c.signals[r.process]
		stop := c.stopping(given, r)
		if stop {
			counts.AroundStops++
		}
		config := c.besideConfig(r)
		if beside[r.process.vm] == nil {
			beside[r.process.vm] = &configCuts{}
		}
		beside[r.process.vm].count(config)
		if r.end != closed {
			continue
		}
		if stop {
			counts.Cut++
		}
		if reason := c.excuse(r); reason != "" {
			if stop {
				counts.Excused[reason]++
			}
			continue
		}
		switch {
		case stop:
			found = append(found, fmt.Sprintf("%s was cut %v after SIGTERM: %s", r.id, r.endedAt.Sub(given.terminatedAt), c.describe(r)))
		case c.reloading(given, r):
			found = append(found, fmt.Sprintf("%s was cut after SIGHUP: %s", r.id, c.describe(r)))
		default:
			beside[r.process.vm].cut(config, c.describe(r), r)
		}
	}
	for _, cuts := range beside {
		found = append(found, cuts.violations()...)
	}
	return append(found, c.forced()...), counts
}

// stopping reports whether a request ended around a SIGTERM of its VM.
func (c *stopCheck) stopping(s signals, r request) bool {
	return !s.terminatedAt.IsZero() && r.endedAt.After(s.terminatedAt) && r.endedAt.Before(s.terminatedAt.Add(c.grace+afterGrace))
}

// reloading reports whether a request was cut after a SIGHUP that came at most the bound for
// configurations before it.
func (c *stopCheck) reloading(s signals, r request) bool {
	return slices.ContainsFunc(s.reloadedAt, func(at time.Time) bool {
		return r.endedAt.After(at) && !r.sentAt.After(at.Add(c.apply))
	})
}

// besideConfig reports whether a request ended while a new configuration may come into force.
func (c *stopCheck) besideConfig(r request) bool {
	return slices.ContainsFunc(c.configs, func(at time.Time) bool {
		return r.endedAt.After(at) && r.endedAt.Before(at.Add(c.apply+time.Second))
	})
}

// excuse returns why a request whose connection ended was not owed an answer, or "".
func (c *stopCheck) excuse(r request) string {
	arrivals := c.arrivals[r.id]
	switch {
	case len(arrivals) == 0 && r.endedAt.Sub(r.sentAt) <= lossSlack+c.delay(r, r.process.vm)+c.delay(r, ""):
		if r.closedBefore {
			return "sent after the close"
		}
		return "not read" // or the soak saw its end late
	case r.endedAt.Sub(r.sentAt) >= r.timeout:
		return "timeout"
	case slices.ContainsFunc(arrivals, func(a platformtest.Arrival) bool { return a.Dropped }):
		return "upstream broke off"
	case slices.ContainsFunc(arrivals, func(a platformtest.Arrival) bool { return c.longWork(r, a) }):
		return "long statement"
	case c.delay(r, r.process.vm) >= lossSlack:
		return "VM without processor"
	}
	return c.disrupted(r, arrivals)
}

// longWork reports whether the member still ran a request in the last sixth of the grace time
// that was sent early in the stop.
func (c *stopCheck) longWork(r request, a platformtest.Arrival) bool {
	at := c.signals[r.process].terminatedAt
	if at.IsZero() || r.sentAt.After(at.Add(min(longWorkSent, c.grace/2))) {
		return false
	}
	return a.At.Before(at.Add(c.grace)) && (a.EndedAt.IsZero() || a.EndedAt.After(at.Add(c.grace*5/6)))
}

// delay returns for how long a process had no processor while a request was open.
func (c *stopCheck) delay(r request, vm string) time.Duration {
	total := time.Duration(0)
	for _, s := range c.starved {
		if s.vm == vm && !s.from.After(r.endedAt) && !s.to.Before(r.sentAt) {
			total += s.delay
		}
	}
	return total
}

// disrupted returns "disruption" if one of the VM, of a member that received the request or of
// the store lies between contactTime before the request and its end, and "" otherwise.
func (c *stopCheck) disrupted(r request, arrivals []platformtest.Arrival) string {
	for _, d := range c.disruptions {
		touches := d.store || d.vm != "" && d.vm == r.process.vm ||
			d.member != "" && slices.ContainsFunc(arrivals, func(a platformtest.Arrival) bool { return a.Member == d.member })
		if touches && d.overlaps(r.sentAt.Add(-contactTime), r.endedAt) {
			return "disruption"
		}
	}
	return ""
}

// rejections returns the messages with invalid boundaries that did not get their error or the end of
// the connection, unless the VM was disrupted or killed, or its stop ended the connection before it
// had read the message.
func (c *stopCheck) rejections(rejections []rejection) []string {
	var found []string
	for _, r := range rejections {
		given := c.signals[r.process]
		stopped := !given.terminatedAt.IsZero() && given.terminatedAt.Before(r.endedAt) && (!given.killedAt.IsZero() ||
			r.endedAt.Sub(r.sentAt) <= lossSlack+c.delay(r.request, r.process.vm)+c.delay(r.request, ""))
		starved := r.end == gaveUp && c.delay(r.request, r.process.vm) >= lossSlack
		disrupted := slices.ContainsFunc(c.disruptions, func(d disruption) bool {
			return d.vm == r.process.vm && d.overlaps(r.sentAt.Add(-contactTime), r.endedAt)
		})
		if !stopped && !starved && !disrupted {
			found = append(found, r.problem)
		}
	}
	return found
}

// forced returns the processes that had to be killed at the end of the grace time though they
// were not halted.
func (c *stopCheck) forced() []string {
	var found []string
	for p, s := range c.signals {
		halted := slices.ContainsFunc(c.disruptions, func(d disruption) bool {
			return d.halted && d.vm == p.vm && d.overlaps(s.terminatedAt, s.killedAt)
		})
		if !s.killedAt.IsZero() && !halted {
			found = append(found, fmt.Sprintf("%s had not ended %v after SIGTERM", p.vm, s.killedAt.Sub(s.terminatedAt)))
		}
	}
	return found
}

func (c *stopCheck) describe(r request) string {
	text := fmt.Sprintf("%s, sent %s, open for %v", r.process.vm, r.sentAt.UTC().Format("15:04:05.000"), r.endedAt.Sub(r.sentAt))
	if at := c.signals[r.process].terminatedAt; !at.IsZero() {
		text += fmt.Sprintf(", sent %v after SIGTERM", r.sentAt.Sub(at))
	}
	for _, a := range c.arrivals[r.id] {
		text += fmt.Sprintf(", at %s after %v", a.Member, a.At.Sub(r.sentAt))
		if !a.EndedAt.IsZero() {
			text += fmt.Sprintf(" until %v", a.EndedAt.Sub(r.sentAt))
		}
	}
	return text
}

// configCuts counts the requests of a VM beside configurations and at other times.
type configCuts struct {
	requests, cuts [2]int // at other times, beside configurations
	described      []string
}

func (k *configCuts) count(beside bool) { k.requests[index(beside)]++ }

// cut records a request that was cut outside planned stops.
func (k *configCuts) cut(beside bool, text string, r request) {
	k.cuts[index(beside)]++
	if beside && r.endedAt.Sub(r.sentAt) < r.timeout*7/10 {
		k.described = append(k.described, r.id+" was cut beside a configuration: "+text)
	}
}

func (k *configCuts) violations() []string {
	if k.cuts[1]*k.requests[0] > configCutFactor*k.cuts[0]*k.requests[1] {
		return k.described
	}
	return nil
}

func index(beside bool) int {
	if beside {
		return 1
	}
	return 0
}
