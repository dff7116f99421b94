package load

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarywall/rosemarywall/internal/entry"
	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	startLimit   = 30 * time.Second
	noteLimit    = 8 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Options configure a run.
type Options struct {
	// Seed makes the offered load repeatable.
	Seed uint64
	// Baseline, when not empty, replaces a part of the system.
	Baseline Baseline
	Log      zerolog.Logger
}

// Event is a fault as it happened. Times count from the start of the load.
type Event struct {
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Target string        `json:"target,omitempty"`
	Value  string        `json:"value,omitempty"`
	At     time.Duration `json:"at_ns"`
	// Until is when the fault was undone, zero when it was not.
	Until time.Duration `json:"until_ns,omitempty"`
	Error string        `json:"error,omitempty"`
}

// run is one installation under load.
type run struct {
	scenario     Scenario
	options      Options
	config       fleet.Config
	fleet        *fleet.Fleet
	balancer     *balancer
	workload     *workload
	counters     counterSet
	callerConfig *pgconn.Config
	ctx          context.Context
	start        time.Time

	mu          sync.Mutex
	events      []Event
	withdrawals []Withdrawal
}

// Run starts the installation, runs the scenario and returns what was seen.
func Run(ctx context.Context, scenario Scenario, options Options) (*Result, error) {
	r := &run{scenario: scenario, options: options, ctx: ctx, workload: newWorkload(), config: installations[scenario.Installation]()}
	r.scenario = scenario.resolve(r.config)
	scenario = r.scenario
	r.config.Seed, r.config.Log = options.Seed, options.Log
	r.config.Baseline = r.baseline()
	if scenario.Slots > 0 {
		r.config.Slots = scenario.Slots
	}
	if scenario.Connections > 0 {
		r.config.Connections = scenario.Connections
	}
	var err error
	if r.callerConfig, err = pgconn.ParseConfig("postgres://caller@127.0.0.1:1/none?sslmode=disable"); err != nil {
		return nil, errors.Wrap(err, "caller configuration")
	}
	if r.fleet, err = fleet.Start(r.config); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	sessions := r.drive()
	return r.finish(sessions)
}

func (r *run) baseline() entry.Baseline {
	switch r.options.Baseline {
	case ReadsOnPrimary:
		return entry.Baseline{ReadsOnPrimary: true}
	case StaticShares:
		vms := 0
		for _, z := range r.config.Zones {
			vms += z.VMs
		}
		return entry.Baseline{StaticShares: vms}
	case FirstComeQueue:
		return entry.Baseline{FIFOQueue: true}
	}
	return entry.Baseline{}
}

// now is the time since the start of the load.
func (r *run) now() time.Duration { return time.Since(r.start) }

// note applies a release note through the first VM that accepts it. Ready VMs come
// first, as an operator would choose.
func (r *run) note(text string) error {
	ctx, cancel := context.WithTimeout(r.ctx, noteLimit)
	defer cancel()
	var last error
	names := r.fleet.Names()
	sort.SliceStable(names, func(i, j int) bool {
		return r.balancer.isReadyNow(names[i]) && !r.balancer.isReadyNow(names[j])
	})
	for _, vm := range names {
		if r.fleet.VM(vm) == nil {
			continue
		}
		if _, last = r.fleet.ApplyNote(ctx, vm, text); last == nil || undecided(last) {
			return last
		}
		r.options.Log.Warn().Err(last).Str("vm", string(vm)).Msg("release note not accepted")
	}
	return last
}

// undecided reports whether the note, or one before it, may still be accepted.
func undecided(err error) bool {
	text := err.Error()
	return strings.Contains(text, resultcode.NoteConflict.String()) || strings.Contains(text, resultcode.NoteNotAccepted.String())
}

// prepare configures the installation, waits until all VMs are ready and creates
// the tables.
func (r *run) prepare() error {
	r.fleet.SetLatencies()
	r.balancer = newBalancer(r.fleet)
	deadline := time.Now().Add(startLimit)
	err := retry(r.ctx, deadline, func() error {
		err := r.note(r.fleet.FirstNote() + r.secondKeys())
		if err != nil && r.configured() {
			return nil // an attempt that was answered with an error was accepted later
		}
		return err
	})
	if err != nil {
		return errors.Wrap(err, "first release note")
	}
	if err := retry(r.ctx, deadline, r.settled); err != nil {
		return err
	}
	for _, database := range r.config.Databases {
		if err := retry(r.ctx, deadline, func() error { return r.createTables(database) }); err != nil {
			return errors.Wrapf(err, "create tables of %s", database)
		}
	}
	r.counters.sample(r.fleet)
	return nil
}

// configured reports whether every VM has a configuration.
func (r *run) configured() bool {
	for _, name := range r.fleet.Names() {
		if r.fleet.VM(name).Configuration().Version == 0 {
			return false
		}
	}
	return true
}

// fullBucket is the part of its burst that a settled bucket holds.
const fullBucket = 0.95

// settled returns an error until every VM is ready and has its share of every
// rate. After a first note that takes F and the guard, and the filling of the buckets.
func (r *run) settled() error {
	if ready := r.balancer.look(); ready < len(r.fleet.Names()) {
		return errors.Newf("%d of %d VMs are ready", ready, len(r.fleet.Names()))
	}
	if r.config.Baseline.StaticShares > 0 {
		return nil
	}
	for _, name := range r.fleet.Names() {
		shares := r.fleet.VM(name).Shares()
		if len(shares.Buckets) < len(r.config.Organisations) {
			return errors.Newf("VM %s has shares of %d organisations", name, len(shares.Buckets))
		}
		for organisation, level := range shares.Buckets {
			if level.Burst == 0 || level.Tokens < fullBucket*level.Burst {
				return errors.Newf("VM %s holds %.0f of %.0f tokens of %s", name, level.Tokens, level.Burst, organisation)
			}
		}
	}
	return nil
}

// secondKeys adds the keys that the timetable withdraws.
func (r *run) secondKeys() string {
	var sections string
	for _, f := range r.scenario.Faults {
		if f.Action == "withdraw-key" {
			organisation := ident.OrganisationName(f.Target)
			sections += fleet.KeySection(organisation, secondKey, secondSecret(organisation))
		}
	}
	return sections
}

func secondSecret(organisation ident.OrganisationName) string {
	return "second-" + fleet.Key(organisation)
}

func retry(ctx context.Context, deadline time.Time, try func() error) error {
	for {
		err := try()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		sleepUntil(ctx, time.Now().Add(pollInterval))
	}
}

// createTables fills a database with the tables of the load, as the operators do:
// directly on the primary.
func (r *run) createTables(database ident.GroupName) error {
	primary := r.fleet.Standin.Groups[database].Primary()
	conn, err := pgconn.Connect(r.ctx, r.fleet.DirectConnectionString(primary, database))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(r.ctx) }()
	return conn.Exec(r.ctx, createStatements()).Close()
}

// drive runs all sessions and the timetable to their end.
func (r *run) drive() []*session {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var background errgroup.Group
	background.Go(func() error { r.balancer.run(ctx); return nil })
	sessions := r.sessions()
	r.start = time.Now()
	var timetable, load sync.WaitGroup
	for _, f := range r.scenario.Faults {
		timetable.Go(func() { r.disturb(ctx, f) })
	}
	perRequest := 1 + 3*r.scenario.Transactions
	due := map[ident.OrganisationName]chan time.Duration{}
	for _, o := range r.config.Organisations {
		arrivals := make(chan time.Duration, maxBacklog)
		due[o.Name] = arrivals
		load.Go(func() { r.generate(ctx, o, perRequest, arrivals) })
	}
	for _, s := range sessions {
		load.Go(func() { s.serve(ctx, due[s.organisation]) })
	}
	load.Wait()
	timetable.Wait()
	r.counters.sample(r.fleet)
	cancel()
	_ = background.Wait()
	return sessions
}

// sessions makes the callers of every organisation. Where a key is to be withdrawn,
// every second session of the organisation uses it.
func (r *run) sessions() []*session {
	withdrawn := map[ident.OrganisationName]bool{}
	for _, f := range r.scenario.Faults {
		if f.Action == "withdraw-key" {
			withdrawn[ident.OrganisationName(f.Target)] = true
		}
	}
	var sessions []*session
	for _, o := range r.config.Organisations {
		for i := range r.scenario.sessionsOf(o) {
			number := len(sessions) + 1
			s := &session{
				run: r, number: number, organisation: o.Name, group: r.config.Databases[number%len(r.config.Databases)],
				key: "main", secret: fleet.Key(o.Name),
				random: rand.New(rand.NewPCG(r.options.Seed, uint64(number))),
			}
			s.carriesToken = float64(i) < r.scenario.Token*float64(r.scenario.sessionsOf(o))
			s.acceptsAge = s.carriesToken && s.random.Float64() < r.scenario.Aged
			if withdrawn[o.Name] && i%2 == 1 {
				s.key, s.secret = secondKey, secondSecret(o.Name)
			}
			sessions = append(sessions, s)
		}
	}
	return sessions
}

// disturb carries out one entry of the timetable and undoes it.
func (r *run) disturb(ctx context.Context, f Fault) {
	if !sleepUntil(ctx, r.start.Add(f.At)) {
		return
	}
	event := Event{Name: f.Name, Action: f.Action, Target: f.Target, Value: f.Value, At: r.now()}
	undo, err := actions[f.Action].start(r, f)
	until := r.scenario.Duration
	if f.For > 0 {
		until = f.At + f.For
	}
	if err == nil && undo != nil {
		sleepUntil(ctx, r.start.Add(until))
		event.Until = r.now()
		err = undo()
	}
	if err != nil {
		event.Error = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}
