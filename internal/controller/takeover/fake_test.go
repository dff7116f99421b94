package takeover

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// world is a store, a group of a primary u1 and replicas u2, u3 and so on, and the
// platform's promotion.
type world struct {
	t       *testing.T
	start   time.Time
	mu      sync.Mutex
	object  *objectapi.Object
	slow    time.Duration // time that a write of the store takes
	members map[ident.UpstreamName]*member
	calls   []ident.UpstreamName
	// answers are the errors of the next calls of the promotion; nil promotes.
	answers []error
	unique  int
	told    []ident.VMName
	hubs    []placement.VM
	dials   int
	gone    map[ident.UpstreamName]time.Duration // members whose registration has gone
	// steppedDown says that u1 had stepped down when it was replaced.
	steppedDown bool
}

// member is an upstream.
type member struct {
	received ident.LogPoint
	paused   ident.Term
	primary  bool
	silent   bool
	// loseResume lets orders to resume go unanswered and not be carried out yet.
	loseResume bool
	// loseStepDown does the same to orders to step down.
	loseStepDown bool
	resumes      int // orders to resume that were sent
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, start: time.Now(), members: map[ident.UpstreamName]*member{}}
	for _, name := range []ident.UpstreamName{"u1", "u2", "u3"} {
		w.members[name] = &member{received: ident.LogPoint{Term: 1, Position: 5}, primary: name == "u1"}
	}
	return w
}

// controller returns the controller of a VM in the world.
func (w *world) controller(name ident.VMName) *Controller {
	return New(Config{
		Self: name, Store: w, Promoter: w, Dial: w.dial, State: w.state, RegistrationsComplete: func() bool { return true },
		Hubs: func() []placement.VM { return w.hubs }, Confirm: func(context.Context, execution.Target) bool { return true },
		Notify: func(vm ident.VMName, _ execution.Target) { w.told = append(w.told, vm) },
		Now:    func() time.Duration { return time.Since(w.start) + time.Minute }, Log: zerolog.Nop(),
		UniqueID: func() string {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.unique++
			return string(name) + string(rune('a'+w.unique))
		},
	})
}

// replace runs one attempt of a VM to replace u1, which leaves.
func (w *world) replace(c *Controller) { w.replaceBecause(c, reasonLeaving) }

func (w *world) replaceBecause(c *Controller, reason string) {
	state := w.state()
	primary := state.Upstreams["g1"][0]
	c.mu.Lock()
	g := c.group("g1")
	c.mu.Unlock()
	(&attempt{controller: c, group: g, spec: state.Catalog.Groups["g1"], state: state, reason: reason, primary: &primary}).run(w.t.Context())
}

func (w *world) state() *storesync.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	var members []catalog.Upstream
	for _, name := range slices.Sorted(maps.Keys(w.members)) {
		members = append(members, catalog.Upstream{Name: name, Group: "g1", Address: string(name), State: catalog.Ready, Primary: w.members[name].primary})
	}
	return &storesync.Snapshot{
		Catalog:   &catalog.Catalog{Groups: map[ident.GroupName]catalog.Group{"g1": {SyncReplicas: 1}}},
		Upstreams: catalog.Upstreams{"g1": members}, Deregistered: w.gone,
	}
}

// asked returns the number of connections that were opened to members.
func (w *world) asked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials
}

// promoted returns the members whose promotion was called for.
func (w *world) promoted() []ident.UpstreamName {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

// with changes a member.
func (w *world) with(name ident.UpstreamName, f func(*member)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.members[name])
}

// Get implements Store.
func (w *world) Get(context.Context, objectapi.Kind, string) (objectapi.Object, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.object == nil {
		return objectapi.Object{}, resultcode.New(resultcode.PlatformNotFound, "no object")
	}
	return *w.object, nil
}

// Put implements Store.
func (w *world) Put(_ context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error) {
	w.mu.Lock()
	slow := w.slow
	w.mu.Unlock()
	time.Sleep(slow)
	w.mu.Lock()
	defer w.mu.Unlock()
	var version objectapi.Version
	if w.object != nil {
		version = w.object.Version
	}
	if version != ifVersion {
		return objectapi.Object{}, resultcode.New(resultcode.PlatformConflict, "another version")
	}
	raw, err := json.Marshal(value)
	w.object = &objectapi.Object{Kind: kind, Name: name, Version: version + 1, Value: raw}
	return *w.object, err
}

// Promote implements Promoter.
func (w *world) Promote(_ context.Context, _ ident.VMName, _ uint64, _ ident.GroupName, upstream ident.UpstreamName) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, upstream)
	if len(w.answers) > 0 {
		err := w.answers[0]
		w.answers = w.answers[1:]
		if err != nil {
			return err
		}
	}
	w.steppedDown = !w.members["u1"].primary
	for name, m := range w.members {
		m.primary, m.paused = name == upstream, 0
	}
	return nil
}

// errLost is the answer of a call that got none.
var errLost = resultcode.New(resultcode.PlatformDown, "no answer")

func (w *world) dial(_ context.Context, target execution.Target, _ ident.OrganisationName) (execution.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dials++
	if w.members[target.Upstream].silent {
		return nil, errors.New("connection timed out")
	}
	return &conn{w: w, name: target.Upstream}, nil
}

// conn is a connection to a member.
type conn struct {
	w    *world
	name ident.UpstreamName
}

func (c *conn) Exchange(context.Context, ...statement.Command) ([]statement.Reply, error) {
	return nil, errors.New("not used")
}

func (c *conn) Status(_ context.Context, command statement.Command) (statement.Status, statement.Reply, error) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	m := c.w.members[c.name]
	if m.silent {
		return statement.Status{}, statement.Reply{}, errors.New("connection reset")
	}
	switch command.Kind {
	case statement.PauseCommand:
		m.paused = command.Term
	case statement.ResumeCommand:
		m.resumes++
		if m.loseResume {
			return statement.Status{}, statement.Reply{}, errors.New("no answer")
		}
		m.paused = 0
	case statement.StepDownCommand:
		if m.loseStepDown {
			return statement.Status{}, statement.Reply{}, errors.New("no answer")
		}
		m.primary = false
	}
	return statement.Status{Primary: m.primary, Term: m.received.Term, PausedTerm: m.paused, ReceivedPosition: m.received}, statement.Reply{}, nil
}

func (c *conn) Alive() bool { return true }
func (c *conn) Close()      {}
