package soak

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// Kinds of planned work. Each VM that gets SIGTERM is started again after its end.
const (
	StopZone  Kind = "stop-zone"  // SIGTERM to all VMs of a zone within a second
	StopFleet Kind = "stop-fleet" // SIGTERM to all VMs in turn
	StopTwice Kind = "stop-twice" // a second SIGTERM during the stop
	// StopPair stops a VM together with VMs of the primary's zone, which execute its writes.
	StopPair   Kind = "stop-pair"
	ReloadVM   Kind = "reload-vm"   // SIGHUP
	ReloadStop Kind = "reload-stop" // SIGHUP right before SIGTERM and during the stop
	// StopSeries stops the VMs of a zone and one of the primary's zone together, and again as
	// soon as they have started.
	StopSeries Kind = "stop-series"
)

var stopKinds = []Kind{StopZone, StopFleet, StopTwice, StopPair, ReloadVM, ReloadStop}

// seriesKinds have a random source of their own, so that they leave the other planned work of
// a seed as it is.
var seriesKinds = []Kind{StopSeries}

const (
	// stopInterval is the mean time between two planned stops of a run of unplanned faults.
	stopInterval = 5 * time.Second
	// seriesStream is the random stream of seriesKinds.
	seriesStream = stopStream + 2
	// stopsOfSeries is the number of stops of a StopSeries.
	stopsOfSeries = 2
	// seriesSpread is the time within which the VMs of a StopSeries get SIGTERM.
	seriesSpread = 300 * time.Millisecond
	// disruptedEvery is the interval of the seeds of planned work that also pause or kill a VM.
	disruptedEvery = 3
)

// plannedStops returns the planned stops of a run of unplanned faults.
func plannedStops(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, stopStream))
	var plan []Fault
	for at := between(rng, firstFault, stopInterval); at < length; at += between(rng, stopInterval/2, 3*stopInterval/2) {
		plan = append(plan, drawStop(rng, at, stopKinds))
	}
	return plan
}

// NewStopPlan returns the planned work of a seed, in order: stops, reloads and
// configurations, which overlap. Each seed divisible by disruptedEvery also pauses or kills a VM.
func NewStopPlan(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	kinds := append([]Kind{StopVM, Reconfigure}, stopKinds...)
	var plan []Fault
	for at := firstFault; at < length; at += between(rng, 400*time.Millisecond, 3*time.Second) {
		plan = append(plan, drawStop(rng, at, kinds))
		if rng.Float64() < seriesShare {
			plan = append(plan, drawStop(rng, at+between(rng, 10*time.Millisecond, time.Second), kinds))
		}
	}
	if seed%disruptedEvery == 0 {
		plan = append(plan, drawStop(rng, between(rng, firstFault, length), []Kind{PauseVM, KillVM}))
	}
	series := rand.New(rand.NewPCG(seed, seriesStream))
	plan = append(plan, drawStop(series, between(series, firstFault, length), seriesKinds))
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func drawStop(rng *rand.Rand, at time.Duration, kinds []Kind) Fault {
	return Fault{At: at, For: between(rng, 200*time.Millisecond, longest), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 16)}
}

// applyStop does planned work.
func (f *fleet) applyStop(fault Fault) {
	v := f.vms[fault.Target%len(f.vms)]
	switch fault.Kind {
	case StopZone:
		f.stopInTurn(f.vmsOf(zones[fault.Target%len(zones)]), fault.For*time.Second/longest)
	case StopFleet:
		f.stopInTurn(f.vms, fault.For)
	case StopTwice:
		p := v.signal(syscall.SIGTERM, true)
		time.AfterFunc(fault.For, func() {
			if p != nil && v.current() == p {
				v.signal(syscall.SIGTERM, true)
			}
		})
		v.awaitStop(p)
		f.restart(v)
	case StopPair:
		near := f.vmsOf(f.primaryZone())
		f.stopInTurn(append([]*vm{v}, near[:(len(near)+1)/2]...), 300*time.Millisecond)
	case StopSeries:
		vms := f.vmsOf(zones[fault.Target%len(zones)])
		if near := f.vmsOf(f.primaryZone())[0]; near.zone != vms[0].zone {
			vms = append(vms, near)
		}
		for range stopsOfSeries {
			f.stopInTurn(vms, seriesSpread)
		}
	case ReloadVM:
		v.reload(v.current(), 1+fault.Target%4)
	case ReloadStop:
		p := v.current()
		v.reload(p, 1+fault.Target%4)
		time.AfterFunc(fault.For, func() { v.reload(p, 2) })
		v.stop()
		f.restart(v)
	}
}

// signalSetupTime is the time after its start within which a process handles SIGHUP.
const signalSetupTime = time.Second

// reload sends SIGHUP to a process several times, unless it has just started.
func (v *vm) reload(p *process, times int) {
	for range times {
		if p != nil && v.current() == p && time.Since(p.started) > signalSetupTime {
			v.signal(syscall.SIGHUP, false)
		}
	}
}

// stopInTurn sends SIGTERM to VMs at equal intervals within a time, and starts each one after
// its end.
func (f *fleet) stopInTurn(vms []*vm, within time.Duration) {
	var running sync.WaitGroup
	for n, v := range vms {
		running.Go(func() {
			time.Sleep(within * time.Duration(n) / time.Duration(len(vms)))
			v.stop()
			f.restart(v)
		})
	}
	running.Wait()
}

func (f *fleet) vmsOf(zone string) []*vm {
	var found []*vm
	for _, v := range f.vms {
		if v.zone == zone {
			found = append(found, v)
		}
	}
	return found
}

// primaryZone returns the zone of the primary.
func (f *fleet) primaryZone() string {
	zone := zones[0]
	if id := f.group.PrimaryID(); id != "" {
		f.group.WithMember(id, func(m *platformtest.Member) { zone = m.Zone })
	}
	return zone
}

// startBalanced starts the clients that connect through the balancer.
func (f *fleet) startBalanced(ctx context.Context, running *sync.WaitGroup) {
	b := newBalancer(f.vms)
	running.Go(func() { b.run(ctx) })
	for n := workers; n < workers+balancedClients; n++ {
		w := &worker{fleet: f, n: n, rng: rand.New(rand.NewPCG(f.options.Seed, uint64(n)+2))}
		c := &balancedClient{worker: w, balancer: b}
		use := []func(context.Context, *caller){c.useWithoutPause, c.useOnce, c.useWithPauses}[n/len(zones)%3]
		running.Go(func() { c.run(ctx, use) })
	}
}

// disruptionOf records the unplanned disruption that a fault is, and returns a function that
// ends it.
func (f *fleet) disruptionOf(kind Kind, vm, member string) (end func()) {
	var begun []*disruption
	switch kind {
	case KillVM, CutStore:
		begun = append(begun, &disruption{vm: vm})
	case PauseVM:
		begun = append(begun, &disruption{vm: vm, halted: true})
	case KillAll:
		for _, v := range f.vms {
			begun = append(begun, &disruption{vm: v.name})
		}
	case StoreDown, StoreLoses, RestoreStore:
		begun = append(begun, &disruption{store: true})
	case RestartInOutage:
		begun = append(begun, &disruption{store: true}, &disruption{vm: vm})
	case CutUpstream, CrashUpstream, CrashPrimary, DeafReplica, LagReplica, LoseAnswers:
		begun = append(begun, &disruption{member: member})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range begun {
		d.from = time.Now()
	}
	f.disruptions = append(f.disruptions, begun...)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, d := range begun {
			d.to = time.Now()
		}
	}
}

// stopCheck returns the check of the run.
func (f *fleet) stopCheck() *stopCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &stopCheck{grace: f.vms[0].grace, apply: applyBound, signals: map[*process]signals{}, configs: f.configs, starved: f.starved,
		arrivals: f.group.Arrivals()}
	for _, v := range f.vms {
		maps.Copy(c.signals, v.allSignals())
	}
	for _, d := range f.disruptions {
		c.disruptions = append(c.disruptions, *d)
	}
	return c
}
