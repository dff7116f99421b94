package soak

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// checked is a case of the check of planned stops. Times are milliseconds after SIGTERM.
type checked struct {
	name string
	// sent and ended are those of the request, which reaches m1 at arrived and is done there at
	// done; zero means never.
	sent, ended, arrived, done int
	end                        requestEnd
	timeout                    int // 1 s if zero
	disruptions                []disruption
	starved                    []starvation
	violations                 int
}

// begin is the time of SIGTERM in the cases.
var begin = time.Unix(1_800_000_000, 0)

func after(milliseconds int) time.Time {
	return begin.Add(time.Duration(milliseconds) * time.Millisecond)
}

// Guards against a check of planned stops that passes whatever happens, and against one that
// excuses more or less than the rule.
func TestStopCheckFollowsTheRule(t *testing.T) {
	for _, c := range []checked{
		{name: "answered", sent: 100, ended: 200, arrived: 110, done: 190, end: answered},
		{name: "cut at a member", sent: 5290, ended: 5300, arrived: 5292, end: closed, violations: 1},
		{name: "cut after a member was done", sent: 5290, ended: 5300, arrived: 5292, done: 5295, end: closed, violations: 1},
		{name: "sent before SIGTERM", sent: -500, ended: 50, arrived: -490, done: -100, end: closed, violations: 1},
		{name: "cut before SIGTERM", sent: -500, ended: -1, arrived: -490, done: -100, end: closed},
		{name: "cut late", sent: 6700, ended: 6999, arrived: 6701, done: 6800, end: closed, violations: 1},
		{name: "cut after the planned work", sent: 6900, ended: 7000, arrived: 6901, done: 6950, end: closed},
		{name: "not read", sent: 5200, ended: 5400, end: closed},
		{name: "read", sent: 5200, ended: 5401, end: closed, violations: 1},
		{name: "client gave up", sent: 100, ended: 900, arrived: 110, end: gaveUp},
		{name: "timeout", sent: 100, ended: 1100, arrived: 110, end: closed},
		{name: "before the timeout", sent: 100, ended: 1099, arrived: 110, done: 400, end: closed, violations: 1},
		{name: "long statement", sent: 3000, ended: 5300, arrived: 3001, done: 5001, end: closed, timeout: 3000},
		{name: "long statement sent late", sent: 3001, ended: 5300, arrived: 3002, done: 5001, end: closed, timeout: 3000, violations: 1},
		{name: "statement done before the last sixth", sent: 2900, ended: 5300, arrived: 2901, done: 5000, end: closed, timeout: 3000, violations: 1},
		{name: "VM disrupted", sent: 5000, ended: 5300, arrived: 5001, end: closed,
			disruptions: []disruption{{vm: "vm", from: after(-100), to: after(0)}}},
		{name: "VM disrupted before the contact time", sent: 5001, ended: 5300, arrived: 5002, end: closed,
			disruptions: []disruption{{vm: "vm", from: after(-100), to: after(0)}}, violations: 1},
		{name: "VM disrupted later", sent: 5001, ended: 5300, arrived: 5002, end: closed,
			disruptions: []disruption{{vm: "vm", from: after(5301)}}, violations: 1},
		{name: "other VM and member disrupted", sent: 5001, ended: 5300, arrived: 5002, end: closed,
			disruptions: []disruption{{vm: "other", from: after(0)}, {member: "m2", from: after(0)}}, violations: 1},
		{name: "member disrupted", sent: 5001, ended: 5300, arrived: 5002, end: closed, disruptions: []disruption{{member: "m1", from: after(5100)}}},
		{name: "store disrupted", sent: 5001, ended: 5300, arrived: 5002, end: closed, disruptions: []disruption{{store: true, from: after(2000), to: after(2100)}}},
		{name: "VM without processor", sent: 5001, ended: 5300, arrived: 5002, end: closed,
			starved: []starvation{{vm: "vm", from: after(4600), to: after(5100), delay: lossSlack}}},
		{name: "VM without processor for a short time", sent: 5001, ended: 5300, arrived: 5002, end: closed,
			starved: []starvation{{vm: "vm", from: after(4600), to: after(5100), delay: lossSlack - 1}}, violations: 1},
		{name: "VM without processor before", sent: 5101, ended: 5300, arrived: 5102, end: closed,
			starved: []starvation{{vm: "vm", from: after(4600), to: after(5100), delay: lossSlack}}, violations: 1},
		{name: "soak without processor", sent: 5001, ended: 5300, arrived: 5002, end: closed,
			starved: []starvation{{from: after(4600), to: after(5100), delay: time.Second}}, violations: 1},
		{name: "end seen late", sent: 5001, ended: 5300, end: closed,
			starved: []starvation{{from: after(4600), to: after(5100), delay: 99 * time.Millisecond}}},
		{name: "end seen later than the delay", sent: 5001, ended: 5301, end: closed,
			starved: []starvation{{from: after(4600), to: after(5100), delay: 99 * time.Millisecond}}, violations: 1},
	} {
		found, _ := newCase(c, signals{terminatedAt: begin})
		assert.Equal(t, len(found), c.violations, "%s: %v", c.name, found)
	}
}

// newCase returns the violations and counts of a case in which the process has got signals.
func newCase(c checked, given signals) ([]string, stopCounts) {
	p := &process{vm: "vm"}
	check := stopCheck{grace: usersGrace, apply: applyBound, signals: map[*process]signals{p: given}, disruptions: c.disruptions, starved: c.starved,
		arrivals: map[string][]platformtest.Arrival{}}
	r := request{id: "r", process: p, sentAt: after(c.sent), endedAt: after(c.ended), end: c.end, timeout: time.Duration(cmp.Or(c.timeout, 1000)) * time.Millisecond}
	if c.arrived != 0 {
		a := platformtest.Arrival{At: after(c.arrived), Member: "m1", ID: r.id}
		if c.done != 0 {
			a.EndedAt = after(c.done)
		}
		check.arrivals[r.id] = append(check.arrivals[r.id], a)
	}
	return check.check([]request{r})
}

// Guards against an excuse for a request whose member answered, and against a charge for one
// whose member broke off.
func TestStopCheckExcusesLostAnswersOfMembers(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		p := &process{vm: "vm"}
		check := stopCheck{grace: usersGrace, signals: map[*process]signals{p: {terminatedAt: begin}},
			arrivals: map[string][]platformtest.Arrival{"r": {{Member: "m1", At: after(101), EndedAt: after(150), Dropped: dropped}}}}
		found, counts := check.check([]request{{id: "r", process: p, sentAt: after(100), endedAt: after(151), end: closed, timeout: time.Second}})
		assert.Equal(t, len(found) == 0, dropped)
		assert.Equal(t, counts.AroundStops, 1)
		assert.Equal(t, counts.Cut, 1)
	}
}

// Guards against requests that a VM has read and dropped and that are taken for requests of a
// client that has not noticed the end of its connection.
func TestStopCheckTellsRequestsSentAfterTheClose(t *testing.T) {
	for _, c := range []struct {
		closedBefore, arrived bool
		reason                string
	}{{true, false, "sent after the close"}, {false, false, "not read"}, {true, true, ""}} {
		p := &process{vm: "vm"}
		check := stopCheck{grace: usersGrace, signals: map[*process]signals{p: {terminatedAt: begin}}, arrivals: map[string][]platformtest.Arrival{}}
		r := request{id: "r", process: p, sentAt: after(4000), endedAt: after(4001), end: closed, timeout: time.Second, closedBefore: c.closedBefore}
		if c.arrived {
			check.arrivals["r"] = []platformtest.Arrival{{Member: "m1", At: after(4000)}}
		}
		assert.Equal(t, check.excuse(r), c.reason)
	}
}

// Guards against requests that SIGHUP cuts.
func TestStopCheckCoversReloads(t *testing.T) {
	reload := signals{reloadedAt: []time.Time{begin}}
	for _, c := range []checked{
		{name: "cut by the reload", sent: -500, ended: 10, arrived: -490, end: closed, violations: 1},
		{name: "sent within the bound", sent: 1000, ended: 1500, arrived: 1001, end: closed, violations: 1},
		{name: "sent later", sent: 1001, ended: 1500, arrived: 1002, end: closed},
		{name: "cut before", sent: -500, ended: -10, arrived: -490, end: closed},
	} {
		found, _ := newCase(c, reload)
		assert.Equal(t, len(found), c.violations, "%s: %v", c.name, found)
	}
}

// Guards against requests that a new configuration cuts, and against a charge for VMs that cut
// as often at other times.
func TestStopCheckComparesCutsBesideConfigurations(t *testing.T) {
	p := &process{vm: "vm"}
	check := stopCheck{apply: applyBound, signals: map[*process]signals{p: {}}, configs: []time.Time{begin}, arrivals: map[string][]platformtest.Arrival{}}
	requests := func(from, cut int) []request {
		var all []request
		for n := range 20 {
			r := request{id: fmt.Sprintf("r%d", from+n), process: p, sentAt: after(from + n), endedAt: after(from + n + 100), timeout: time.Second}
			if n < cut {
				r.end = closed
			}
			check.arrivals[r.id] = []platformtest.Arrival{{At: r.sentAt, Member: "m1"}}
			all = append(all, r)
		}
		return all
	}
	found, _ := check.check(append(requests(0, 4), requests(5000, 1)...))
	assert.Equal(t, len(found), 4)
	found, _ = check.check(append(requests(0, 3), requests(5000, 1)...))
	assert.Equal(t, len(found), 0)
	late := requests(0, 1)
	late[0].endedAt = late[0].sentAt.Add(700 * time.Millisecond)
	found, _ = check.check(append(late, requests(5000, 0)...))
	assert.Equal(t, len(found), 0, "used seven tenths of its time")
}

// Guards against a VM that does not end within the grace time, and against a charge for one
// that was halted.
func TestStopCheckFindsProcessesThatDoNotEnd(t *testing.T) {
	p := &process{vm: "vm"}
	killed := signals{terminatedAt: begin, killedAt: begin.Add(usersGrace)}
	for _, c := range []struct {
		disruptions []disruption
		violations  int
	}{
		{nil, 1},
		{[]disruption{{vm: "vm", halted: true, from: after(100), to: after(200)}}, 0},
		{[]disruption{{vm: "vm", halted: true, from: after(-200), to: after(-100)}}, 1},
		{[]disruption{{vm: "vm", from: after(100)}, {vm: "other", halted: true, from: after(100)}, {store: true, from: after(0)}}, 1},
	} {
		check := stopCheck{grace: usersGrace, signals: map[*process]signals{p: killed}, disruptions: c.disruptions}
		found, _ := check.check(nil)
		assert.Equal(t, len(found), c.violations, "%+v", c.disruptions)
	}
}

// Guards against a balancer that sends clients elsewhere than the users' platform does.
func TestBalancerFollowsReadiness(t *testing.T) {
	var vms []*vm
	for n := range 6 {
		vms = append(vms, &vm{zone: zones[n/3]})
	}
	b := newBalancer(vms)
	picked := func() map[int]bool {
		seen := map[int]bool{}
		for hash := range 12 {
			seen[b.pick("a", hash)] = true
		}
		return seen
	}
	miss := func(vms ...int) {
		for _, n := range vms {
			b.record(n, false)
		}
	}
	miss(0)
	assert.DeepEqual(t, picked(), map[int]bool{0: true, 1: true, 2: true})
	miss(0)
	assert.DeepEqual(t, picked(), map[int]bool{1: true, 2: true})
	miss(1, 1) // fewer than half are in rotation
	assert.DeepEqual(t, picked(), map[int]bool{0: true, 1: true, 2: true})
	miss(2, 2) // none is in rotation
	assert.DeepEqual(t, picked(), map[int]bool{3: true, 4: true, 5: true})
	miss(3, 3, 4, 4, 5, 5) // none is in rotation anywhere
	assert.DeepEqual(t, picked(), map[int]bool{0: true, 1: true, 2: true})
	b.record(0, true)
	assert.DeepEqual(t, picked(), map[int]bool{0: true, 1: true, 2: true})
}

// Guards against plans of planned work that do not repeat or that leave kinds out.
func TestStopPlanFollowsFromTheSeed(t *testing.T) {
	assert.DeepEqual(t, NewStopPlan(7, time.Minute), NewStopPlan(7, time.Minute))
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, f := range NewStopPlan(seed, time.Minute) {
			seen[f.Kind] = true
		}
	}
	assert.Equal(t, len(seen), len(stopKinds)+len(seriesKinds)+4)
}

// Guards against delays that are counted for the time before a sample, or not for threads that
// have started since.
func TestDelaysOfThreads(t *testing.T) {
	before := map[string]time.Duration{"1": 10, "2": 20, "ended": 5}
	now := map[string]time.Duration{"1": 13, "2": 27, "new": 100}
	assert.Equal(t, longestDelay(before, now), time.Duration(7))
	assert.Equal(t, totalDelay(before, now), time.Duration(110))
	assert.Equal(t, totalDelay(now, map[string]time.Duration{}), time.Duration(0))
}
