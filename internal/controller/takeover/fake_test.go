package takeover

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// fakePlatform is a store, a group of a primary u1 and replicas u2, u3 and so on, and the
// platform's promotion API.
type fakePlatform struct {
	t            *testing.T
	start        time.Time
	mu           sync.Mutex
	object       *objectapi.Object
	writeDelay   time.Duration // duration of a write to the store
	members      map[ident.UpstreamName]*member
	promoteCalls []ident.UpstreamName
	// callResults are the errors of the next promotion calls; nil promotes.
	callResults      []error
	lastWriterNumber int
	notified         []ident.VMName
	hubs             []placement.VM
	dials            int
	deregistered     map[ident.UpstreamName]time.Duration
	// steppedDown means that u1 had stepped down when it was replaced.
	steppedDown bool
	// beforeEffect and beforeStepDown are called, without the lock, before a promotion takes
	// effect and before a member steps down.
	beforeEffect, beforeStepDown func()
	// zoneSilent means that no VM in the zones of the members responds.
	zoneSilent   bool
	acknowledged ident.LogPoint // of the last commit that commitVia acknowledged
}

// member is an upstream.
type member struct {
	received     ident.LogPoint
	paused       ident.Term
	primary      bool
	unresponsive bool
	// loseResume drops resume commands without a response.
	loseResume bool
	// loseStepDown drops step-down commands without a response.
	loseStepDown bool
	resumes      int  // number of resume commands sent
	refuses      bool // no process listens at its address
	draining     bool
	incarnation  int64
}

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{t: t, start: time.Now(), members: map[ident.UpstreamName]*member{}}
	for _, name := range []ident.UpstreamName{"u1", "u2", "u3"} {
		p.members[name] = &member{received: ident.LogPoint{Term: 1, Position: 5}, primary: name == "u1"}
	}
	return p
}

// controller returns the controller of a VM.
func (p *fakePlatform) controller(name ident.VMName) *Controller {
	return New(Config{
		Self: name, Store: p, Promoter: p, Dial: p.dial, Snapshot: p.snapshot, RegistrationsComplete: func() bool { return true },
		Hubs: func() []placement.VM { return p.hubs }, Confirm: func(context.Context, execution.Target) bool { return true },
		UnreachableInZone: func(context.Context, ident.AvailabilityZone, execution.Target) bool { return !p.zoneSilent },
		Notify:            func(vm ident.VMName, _ execution.Target) { p.notified = append(p.notified, vm) },
		Now:               func() time.Duration { return time.Since(p.start) + time.Minute }, Log: zerolog.Nop(),
		UniqueID: func() string {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lastWriterNumber++
			return string(name) + string(rune('a'+p.lastWriterNumber))
		},
	})
}

// replace runs one attempt of a VM to replace u1, which leaves.
func (p *fakePlatform) replace(c *Controller) { p.replaceBecause(c, reasonLeaving) }

func (p *fakePlatform) replaceBecause(c *Controller, reason string) {
	t := p.attempt(c, reason)
	t.primary = &t.snapshot.Upstreams["g1"][0]
	defer t.close()
	t.run(p.t.Context())
}

// replaceMissing runs one attempt of a VM to replace the primary while none is registered.
func (p *fakePlatform) replaceMissing(c *Controller) {
	t := p.attempt(c, reasonMissing)
	assert.Assert(p.t, t.primary == nil)
	defer t.close()
	t.run(p.t.Context())
}

// attempt returns an attempt of a VM. Its primary is the member that is registered as such.
func (p *fakePlatform) attempt(c *Controller, reason string) *attempt {
	snapshot := p.snapshot()
	c.mu.Lock()
	g := c.group("g1")
	c.mu.Unlock()
	t := &attempt{controller: c, group: g, spec: snapshot.Catalog.Groups["g1"], snapshot: snapshot, reason: reason}
	for i, u := range snapshot.Upstreams["g1"] {
		if u.Primary {
			t.primary = &snapshot.Upstreams["g1"][i]
		}
	}
	return t
}

// commitVia makes the primary commit a write, which is acknowledged if it still leads and the
// replica receives it.
func (p *fakePlatform) commitVia(replica ident.UpstreamName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.primary && !m.unresponsive {
			m.received.Position++
			if r := p.members[replica]; r != nil && r.paused == 0 {
				r.received, p.acknowledged = m.received, m.received
			}
			return
		}
	}
}

// stopPrimary makes u1 silent, so that only the replicas can prove anything.
func (p *fakePlatform) stopPrimary() { p.updateMember("u1", func(m *member) { m.unresponsive = true }) }

// storedRecord returns the record in the store.
func (p *fakePlatform) storedRecord() record {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r record
	assert.NilError(p.t, json.Unmarshal(p.object.Value, &r))
	return r
}

func (p *fakePlatform) snapshot() *storesync.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []catalog.Upstream
	for _, name := range slices.Sorted(maps.Keys(p.members)) {
		m := p.members[name]
		state := catalog.Ready
		if m.draining {
			state = catalog.Draining
		}
		members = append(members, catalog.Upstream{Name: name, Group: "g1", Zone: "z-" + ident.AvailabilityZone(name), Address: string(name), State: state, Primary: m.primary, Incarnation: m.incarnation})
	}
	return &storesync.Snapshot{
		Catalog:   &catalog.Catalog{Groups: map[ident.GroupName]catalog.Group{"g1": {SyncReplicas: 1}}},
		Upstreams: catalog.Upstreams{"g1": members}, Deregistered: p.deregistered,
	}
}

// dialCount returns the number of connections opened to members.
func (p *fakePlatform) dialCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// promotedMembers returns the members that the platform was called to promote.
func (p *fakePlatform) promotedMembers() []ident.UpstreamName {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.promoteCalls)
}

// updateMember changes the state of a member.
func (p *fakePlatform) updateMember(name ident.UpstreamName, f func(*member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.members[name])
}

// Get implements Store.
func (p *fakePlatform) Get(context.Context, objectapi.Kind, string) (objectapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.object == nil {
		return objectapi.Object{}, resultcode.New(resultcode.PlatformNotFound, "no object")
	}
	return *p.object, nil
}

// Put implements Store.
func (p *fakePlatform) Put(_ context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error) {
	p.mu.Lock()
	writeDelay := p.writeDelay
	p.mu.Unlock()
	time.Sleep(writeDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	var version objectapi.Version
	if p.object != nil {
		version = p.object.Version
	}
	if version != ifVersion {
		return objectapi.Object{}, resultcode.New(resultcode.PlatformConflict, "another version")
	}
	raw, err := json.Marshal(value)
	p.object = &objectapi.Object{Kind: kind, Name: name, Version: version + 1, Value: raw}
	return *p.object, err
}

// Promote implements Promoter.
func (p *fakePlatform) Promote(_ context.Context, _ ident.VMName, _ uint64, _ ident.GroupName, upstream ident.UpstreamName) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promoteCalls = append(p.promoteCalls, upstream)
	if len(p.callResults) > 0 {
		err := p.callResults[0]
		p.callResults = p.callResults[1:]
		if err != nil {
			return err
		}
	}
	p.steppedDown = p.members["u1"] != nil && !p.members["u1"].primary
	if p.beforeEffect != nil {
		p.mu.Unlock()
		p.beforeEffect()
		p.mu.Lock()
	}
	for name, m := range p.members {
		m.primary, m.paused = name == upstream, 0
	}
	return nil
}

// errNoResponse is the error of a call without a response.
var errNoResponse = resultcode.New(resultcode.PlatformDown, "no response")

func (p *fakePlatform) dial(_ context.Context, target execution.Target, _ ident.OrganisationName) (execution.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	m := p.members[target.Upstream]
	if m != nil && m.refuses {
		return nil, errors.WithStack(syscall.ECONNREFUSED)
	}
	if m == nil || m.unresponsive {
		return nil, errors.New("connection timed out")
	}
	return &conn{platform: p, name: target.Upstream}, nil
}

// conn is a connection to a member.
type conn struct {
	platform *fakePlatform
	name     ident.UpstreamName
}

func (c *conn) Exchange(context.Context, ...statement.Command) ([]statement.Reply, error) {
	return nil, errors.New("not used")
}

func (c *conn) Status(_ context.Context, command statement.Command) (statement.Status, statement.Reply, error) {
	if hook := c.platform.beforeStepDown; hook != nil && command.Kind == statement.StepDownCommand {
		hook()
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	m := c.platform.members[c.name]
	if m.unresponsive {
		return statement.Status{}, statement.Reply{}, errors.New("connection reset")
	}
	switch command.Kind {
	case statement.PauseCommand:
		m.paused = command.Term
	case statement.ResumeCommand:
		m.resumes++
		if m.loseResume {
			return statement.Status{}, statement.Reply{}, errors.New("no response")
		}
		m.paused = 0
	case statement.StepDownCommand:
		if m.loseStepDown {
			return statement.Status{}, statement.Reply{}, errors.New("no response")
		}
		m.primary = false
	}
	return statement.Status{Primary: m.primary, Term: m.received.Term, PausedTerm: m.paused, ReceivedPosition: m.received}, statement.Reply{}, nil
}

func (c *conn) Alive() bool { return true }
func (c *conn) Close()      {}
