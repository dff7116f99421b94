package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// Options of a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// VMs is the number of processes; they stand in three zones.
	VMs int
	// Program is the path of rosemarywall-platform.
	Program string
	// Directory holds settings and logs.
	Directory string
	// Recovery is the time within which every VM must serve writes after its start and
	// after the last fault.
	Recovery time.Duration
	// Stops plays planned work with the users' grace time and statement limits instead of
	// faults.
	Stops bool
}

// DefaultRecovery is the bound of the users' deployments.
const DefaultRecovery = 12 * time.Second

// Report is the result of a run.
type Report struct {
	Faults, Reads, Writes int
	Stops                 stopCounts
	Odd                   OddCounts
	// Usage compares the reports of the windows of the run with what members began to run.
	Usage platformtest.UsageSummary
	// Violations are broken promises; none is expected.
	Violations []string
}

const (
	workers           = 12
	mainKey, smallKey = "key-main", "key-small"
	// smallRate and smallBurst are those of the organisation whose rate is checked.
	smallRate, smallBurst = 20, 20
	// temporary is the number of organisations whose keys can be withdrawn.
	temporary = 16
)

// zones are the availability zones of the VMs and of the upstreams.
var zones = []string{"a", "b", "c"}

// fleet is a run.
type fleet struct {
	options Options
	store   *platformtest.Store
	group   *platformtest.Group
	duties  *platformtest.DutyServer
	vms     []*vm
	members map[string]*proxy
	history *history
	probes  atomic.Int64
	items   [workers + balancedClients]atomic.Int64 // epoch of the item of each caller
	// timeouts are those of the routes.
	timeouts map[string]time.Duration
	requests requestLog
	sent     sentLog
	odd      oddCounters

	mu          sync.Mutex
	version     int
	withdrawn   []time.Time // by temporary organisation; in the order of withdrawal
	evacuated   string      // zone that is evacuated, or ""
	configs     []time.Time // when configurations were written
	disruptions []*disruption
	starved     []starvation
}

// Run plays one seed. The error says that the run could not be made.
func Run(ctx context.Context, o Options) (Report, error) {
	f, err := newFleet(o)
	if err != nil {
		return Report{}, err
	}
	defer f.close()
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return Report{}, errors.Wrap(err, "cannot start the program")
		}
	}
	if !f.serving(o.Recovery) {
		return Report{}, errors.New("the fleet does not start")
	}
	started := time.Now()
	work, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for n := range workers {
		w := &worker{fleet: f, n: n, rng: rand.New(rand.NewPCG(o.Seed, uint64(n)+2))}
		running.Go(func() { w.run(work) })
	}
	f.startBalanced(work, &running)
	running.Go(func() { f.watchScheduling(work) })
	running.Go(func() { f.spend(work) })
	running.Go(func() { f.useTemporary(work) })
	plan := NewPlan(o.Seed, o.Length)
	if o.Stops {
		plan = NewStopPlan(o.Seed, o.Length)
	}
	f.startOdd(work, &running, plan)
	f.inject(plan)
	f.watchEvacuation()
	if !f.serving(o.Recovery) {
		f.history.violate("not every VM serves writes %v after the last fault", o.Recovery)
	}
	f.watchUsage(o.Recovery)
	stop()
	running.Wait()
	usage := f.duties.Usage().Summary(started, time.Now().Add(-usageBounds.Late))
	if o.Stops && o.Seed%disruptedEvery != 0 && usage.Missed+usage.Wrong > 0 {
		f.history.violate("usage beside planned work: %v", usage.Details)
	}
	report := f.judge(len(plan))
	report.Usage = usage
	return report, ctx.Err()
}

func newFleet(o Options) (*fleet, error) {
	f := &fleet{options: o, store: platformtest.NewStore(), history: newHistory(), members: map[string]*proxy{}}
	f.group = platformtest.NewGroup(f.store, "g1", zones...)
	f.duties = platformtest.NewDutyServer(f.group)
	f.duties.Usage().SetBounds(usageBounds)
	for _, id := range f.group.MemberIDs() {
		var address string
		f.group.WithMember(id, func(m *platformtest.Member) {
			address = m.Address
			m.SetMaxConns(64)
			m.SetStatementTime(statementTime)
		})
		p, err := newProxy(address)
		if err != nil {
			return nil, err
		}
		f.members[id] = p
		f.group.SetAddress(id, p.address())
	}
	grace := shortGrace
	f.timeouts = map[string]time.Duration{primaryRoute: callTimeout / 2, boundedRoute: callTimeout / 2, sessionRoute: callTimeout / 2}
	if o.Stops {
		grace = usersGrace
		f.timeouts = map[string]time.Duration{primaryRoute: 1250 * time.Millisecond, boundedRoute: time.Second, sessionRoute: 800 * time.Millisecond}
	}
	f.configure()
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "r-" + zone
	}
	for n := range o.VMs {
		v, err := newVM(o.Directory, o.Program, n, zones[n%len(zones)], regions, grace, f.store.Address(), f.duties.Address())
		if err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.close()
	}
	for _, p := range f.members {
		p.close()
	}
	f.group.Close()
	f.duties.Close()
	f.store.Close()
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.version += 1 + f.version%3
	route := func(host, kind string) map[string]any {
		return map[string]any{"name": "r-" + host, "host": host, "type": kind, "timeout_ms": f.timeouts[host].Milliseconds(),
			"slo_ms": 800, "upstream": "g1", "max_staleness_ms": boundedAge.Milliseconds(), "public": false}
	}
	tenants := []any{
		map[string]any{"name": "main", "api_keys": []string{mainKey}, "rate_per_s": 5000, "burst": 5000},
		map[string]any{"name": "small", "api_keys": []string{smallKey}, "rate_per_s": smallRate, "burst": smallBurst},
	}
	for n := range temporary {
		keys := []string{}
		if n >= len(f.withdrawn) {
			keys = append(keys, temporaryName(n))
		}
		tenants = append(tenants, map[string]any{"name": temporaryName(n), "api_keys": keys, "rate_per_s": 500, "burst": 500})
	}
	f.configs = append(f.configs, time.Now())
	f.store.Set("config", "main", map[string]any{
		"version":   f.version,
		"routes":    []any{route(primaryRoute, "primary"), route(boundedRoute, "bounded_staleness"), route(sessionRoute, "read_your_writes")},
		"upstreams": []any{map[string]any{"name": "g1", "max_conns": 64, "sync_replicas": 1}},
		"limits":    map[string]any{"tx_idle_ms": 3000}, "tenants": tenants,
	})
}

func temporaryName(n int) string { return "temporary-" + strconv.Itoa(n) }

// withdraw takes the key of the next temporary organisation away.
func (f *fleet) withdraw(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.withdrawn) + count
	for len(f.withdrawn) < min(n, temporary-1) {
		f.withdrawn = append(f.withdrawn, time.Time{})
	}
	f.configure()
	for i := range f.withdrawn {
		if f.withdrawn[i].IsZero() {
			f.withdrawn[i] = time.Now()
		}
	}
}

// spend asks for more than the small organisation's rate.
func (f *fleet) spend(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		f.ask(n, boundedRoute, smallKey, "READ i0")
		time.Sleep(8 * time.Millisecond)
	}
}

// useTemporary keeps using keys, also those that were withdrawn.
func (f *fleet) useTemporary(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		f.mu.Lock()
		newest := len(f.withdrawn)
		f.mu.Unlock()
		f.ask(n, boundedRoute, temporaryName(max(0, newest-n%3)), "READ i0")
		time.Sleep(10 * time.Millisecond)
	}
}

// serving waits until every VM serves a write.
func (f *fleet) serving(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for n := range f.vms {
		for !f.ask(n, primaryRoute, mainKey, "WRITE probe "+strconv.Itoa(n)) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// judge makes the checks that need the whole run.
func (f *fleet) judge(faults int) Report {
	for _, v := range f.vms {
		if n := v.ownExits(); n > 0 {
			f.history.violate("%s ended by itself %d times", v.name, n)
		}
	}
	f.history.check(f.group.CommitCounts())
	f.history.checkRate("small", smallRate, smallBurst, f.group.ExecutionTimes("small"))
	for n, at := range f.withdrawn {
		f.history.checkRevoked(temporaryName(n), at, f.group.ExecutionTimes(temporaryName(n)))
	}
	f.checkSent()
	check := f.stopCheck()
	violations, stops := check.check(f.requests.requests)
	violations = append(violations, check.rejections(f.requests.rejections)...)
	f.history.violations = append(f.history.violations, violations...)
	f.history.violations = append(f.history.violations, f.duties.Usage().Violations()...)
	return Report{Faults: faults, Stops: stops, Odd: f.odd.counts(), Reads: f.history.reads, Writes: f.history.succeeded,
		Violations: append(f.history.violations, f.group.Violations()...)}
}

// NewDirectory returns a directory for the settings and logs of a seed.
func NewDirectory(parent string, seed uint64) (string, error) {
	directory := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	return directory, os.MkdirAll(directory, 0o700)
}
