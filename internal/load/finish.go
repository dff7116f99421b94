package load

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	groupcontroller "github.com/rosemarywall/rosemarywall/internal/controller/groups"
	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// collectLimit bounds the reading of the final primaries.
const collectLimit = 20 * time.Second

// counterSet remembers the counters of all VMs that ran, also of those that ended.
type counterSet struct {
	mu  sync.Mutex
	all map[*filter.Counters]struct{}
}

func (c *counterSet) sample(f *fleet.Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[*filter.Counters]struct{}{}
	}
	for _, name := range f.Names() {
		if vm := f.VM(name); vm != nil {
			c.all[vm.Counters()] = struct{}{}
		}
	}
}

// reads returns the reads that ran on replicas and on primaries.
func (c *counterSet) reads() (replica, primary int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for counters := range c.all {
		replica += counters.ReadsReplica.Load()
		primary += counters.ReadsPrimary.Load()
	}
	return replica, primary
}

func createStatements() string {
	values := make([]string, fixedRows)
	for i := range values {
		values[i] = "(" + strconv.Itoa(i) + ")"
	}
	return createRecords + "; " + createFixed + "; insert into load_fixed values " + strings.Join(values, ", ")
}

// finish waits until the groups are whole again and judges the run.
func (r *run) finish(sessions []*session) (*Result, error) {
	dumps := r.dump()
	sleepUntil(r.ctx, time.Now().Add(r.scenario.Settle))
	h := &History{Executions: map[string]Execution{}, Rates: map[ident.OrganisationName]Rate{}, Withdrawals: r.withdrawals}
	for _, s := range sessions {
		h.Records = append(h.Records, s.records...)
	}
	sort.SliceStable(h.Records, func(i, j int) bool { return h.Records[i].Intended < h.Records[j].Intended })
	for _, o := range r.config.Organisations {
		h.Rates[o.Name] = Rate{o.Rate, o.Burst}
	}
	ctx, cancel := context.WithTimeout(r.ctx, collectLimit)
	defer cancel()
	r.endVMs()
	for _, database := range r.config.Databases {
		if err := r.collect(ctx, database, h); err != nil {
			return nil, errors.Wrapf(err, "read the final primary of %s", database)
		}
	}
	sort.Slice(r.events, func(i, j int) bool { return r.events[i].At < r.events[j].At })
	result := &Result{Scenario: r.scenario, Seed: r.options.Seed, Baseline: r.options.Baseline, History: h, Events: r.events, Dumps: dumps, Changes: changes(dumps)}
	result.readsReplica, result.readsPrimary = r.counters.reads()
	result.weights = map[ident.OrganisationName]float64{}
	for _, o := range r.config.Organisations {
		result.weights[o.Name] = float64(o.Weight)
	}
	result.judge()
	return result, nil
}

// dump returns the state of every running VM.
func (r *run) dump() map[ident.VMName]map[string]any {
	dumps := map[ident.VMName]map[string]any{}
	for _, name := range r.fleet.Names() {
		if vm := r.fleet.VM(name); vm != nil {
			dumps[name] = vm.State()
		}
	}
	return dumps
}

// changes collects the unplanned changes of primaries from state dumps, by term.
func changes(dumps map[ident.VMName]map[string]any) map[ident.GroupName][]promotion.Outcome {
	found := map[ident.GroupName][]promotion.Outcome{}
	for _, state := range dumps {
		groups, _ := state["groups"].(map[ident.GroupName]groupcontroller.GroupDump)
		for name, g := range groups {
			if g.LastChange != nil && !g.LastChange.Planned {
				found[name] = append(found[name], *g.LastChange)
			}
		}
	}
	for _, of := range found {
		sort.Slice(of, func(i, j int) bool { return of[i].Term < of[j].Term })
	}
	return found
}

// endVMs ends all VMs, whose idle connections may take up the limit of an upstream.
func (r *run) endVMs() {
	var ended sync.WaitGroup
	for _, name := range r.fleet.Names() {
		ended.Go(func() { r.fleet.KillVM(name) })
	}
	ended.Wait()
}

// collect reads what the final primary of a group holds.
func (r *run) collect(ctx context.Context, database ident.GroupName, h *History) error {
	g := r.fleet.Standin.Groups[database]
	primary := g.Primary()
	if primary == nil {
		return errors.New("there is none")
	}
	var conn *pgconn.PgConn
	// A member that was cut off or paused learns late that its old callers are gone.
	err := retry(ctx, time.Now().Add(collectLimit), func() (err error) {
		conn, err = pgconn.Connect(ctx, r.fleet.DirectConnectionString(primary, database))
		return err
	})
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	results, err := conn.Exec(ctx, "select id from load_record").ReadAll()
	if err != nil {
		return err
	}
	for id, m := range g.Markers() {
		h.Executions[id] = Execution{Committed: m.Committed}
	}
	for _, row := range results[0].Rows {
		e := h.Executions[string(row[0])]
		e.Present = true
		h.Executions[string(row[0])] = e
	}
	return nil
}
