package groupcontroller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const testGroup = ident.GroupName("deckbook")

// fakeGroup is an in-memory database group. Members have no log, only points, which the
// tests set explicitly.
type fakeGroup struct {
	mu             sync.Mutex
	members        map[ident.UpstreamName]*fakeMember
	statusRequests int // status requests received
	delay          time.Duration
	state          group.TransactionState
}

type fakeMember struct {
	group         *fakeGroup
	status        group.Status
	proposer      string
	refuse        bool          // connections are refused
	partitioned   bool          // calls time out and streams send nothing
	streamStalled bool          // streams send nothing, calls succeed
	changed       chan struct{} // closed and replaced on every change
}

func newFakeGroup() *fakeGroup {
	f := &fakeGroup{members: map[ident.UpstreamName]*fakeMember{}}
	for _, name := range []ident.UpstreamName{"a", "b", "c"} {
		f.members[name] = &fakeMember{group: f, changed: make(chan struct{}), status: group.Status{
			Group: testGroup, Upstream: name, Incarnation: 1, Term: 1, Role: group.RoleReplica, Primary: "a",
			Received: ident.LogPoint{Term: 1, Position: 1}, Applied: ident.LogPoint{Term: 1, Position: 1},
		}}
	}
	f.members["a"].status.Role = group.RolePrimary
	return f
}

// change edits a member and notifies its streams.
func (f *fakeGroup) change(name ident.UpstreamName, edit func(*fakeMember)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[name].edit(edit)
}

func (m *fakeMember) edit(edit func(*fakeMember)) {
	edit(m)
	close(m.changed)
	m.changed = make(chan struct{})
}

// setPoints sets the received and applied points of a member.
func (f *fakeGroup) setPoints(name ident.UpstreamName, received, applied ident.LogPoint) {
	f.change(name, func(m *fakeMember) { m.status.Received, m.status.Applied = received, applied })
}

// statusRequestCount returns the number of status requests served so far.
func (f *fakeGroup) statusRequestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statusRequests
}

func (f *fakeGroup) newAgent(_ ident.GroupName, name ident.UpstreamName, _ string) group.Agent {
	return f.members[name]
}

// call runs a request on the member after the group's delay.
func (m *fakeMember) call(ctx context.Context, run func() error) (group.Status, error) {
	f := m.group
	if err := pause(ctx, f.delay); err != nil {
		return group.Status{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.refuse {
		return group.Status{}, errors.WithStack(syscall.ECONNREFUSED)
	}
	if m.partitioned {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return group.Status{}, ctx.Err()
	}
	if err := run(); err != nil {
		return group.Status{}, err
	}
	return m.status, nil
}

func pause(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *fakeMember) Status(ctx context.Context) (group.Status, error) {
	return m.call(ctx, func() error { m.group.statusRequests++; return nil })
}

func (m *fakeMember) Stream(ctx context.Context, onStatus func(group.Status)) error {
	for {
		m.group.mu.Lock()
		status, changed, refuse, stalled := m.status, m.changed, m.refuse, m.partitioned || m.streamStalled
		m.group.mu.Unlock()
		if refuse {
			return errors.WithStack(syscall.ECONNREFUSED)
		}
		if !stalled {
			onStatus(status)
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var errTerm = errors.New("term rejected")

func (m *fakeMember) Fence(ctx context.Context, term ident.Term, proposer string) (group.Status, error) {
	return m.call(ctx, func() error {
		if term < m.status.Term || term == m.status.Term && proposer != m.proposer {
			return errTerm
		}
		if term > m.status.Term {
			m.proposer = proposer
			m.edit(func(m *fakeMember) { m.status.Term, m.status.Fenced, m.status.Role = term, true, group.RoleReplica })
		}
		return nil
	})
}

func (m *fakeMember) Promote(ctx context.Context, term ident.Term, proposer string) (group.Status, error) {
	return m.call(ctx, func() error {
		if term != m.status.Term || proposer != m.proposer {
			return errTerm
		}
		if m.status.Fenced {
			m.edit(func(m *fakeMember) {
				m.status.Role, m.status.Fenced, m.status.Primary = group.RolePrimary, false, m.status.Upstream
				m.status.Received = ident.LogPoint{Term: term, Position: m.status.Received.Position + 1}
				m.status.Applied = m.status.Received
			})
		}
		return nil
	})
}

func (m *fakeMember) Follow(ctx context.Context, term ident.Term, primary ident.UpstreamName, _ string) (group.Status, error) {
	return m.call(ctx, func() error {
		if term < m.status.Term {
			return errTerm
		}
		m.edit(func(m *fakeMember) {
			p := m.group.members[primary].status
			m.status.Term, m.status.Fenced, m.status.Role, m.status.Primary = term, false, group.RoleReplica, primary
			m.status.Received, m.status.Applied = p.Received, p.Received
		})
		return nil
	})
}

func (m *fakeMember) Handover(ctx context.Context, term ident.Term) (group.Status, error) {
	return m.call(ctx, func() error {
		if term != m.status.Term {
			return errTerm
		}
		return nil
	})
}

func (m *fakeMember) Transaction(ctx context.Context, _ string) (group.TransactionState, error) {
	_, err := m.call(ctx, func() error { return nil })
	return m.group.state, err
}

// fakeSource is a configuration source whose configuration the test replaces.
type fakeSource struct {
	mu      sync.Mutex // message handlers read the configuration while the test replaces it
	current *configuration.Configuration
	changed []func(*configuration.Configuration)
}

func (s *fakeSource) Current() *configuration.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *fakeSource) OnChange(f func(*configuration.Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = append(s.changed, f)
}

func (s *fakeSource) set(conf *configuration.Configuration) {
	s.mu.Lock()
	s.current = conf
	changed := slices.Clone(s.changed)
	s.mu.Unlock()
	for _, f := range changed {
		f(conf)
	}
}

// testConfiguration has the members a, b and c in the zones za, zb and zc; za and zb are
// in the same region. If not nil, change edits the upstreams.
func testConfiguration(change func(map[ident.UpstreamName]configuration.Upstream)) *configuration.Configuration {
	upstreams := map[ident.UpstreamName]configuration.Upstream{}
	for _, name := range []ident.UpstreamName{"a", "b", "c"} {
		upstreams[name] = configuration.Upstream{
			Zone: ident.AvailabilityZone("z" + name), Address: "127.0.0.1:1", Agent: "127.0.0.1:2",
			Slots: 2, Connections: 16, State: configuration.UpstreamInService,
		}
	}
	if change != nil {
		change(upstreams)
	}
	return &configuration.Configuration{
		Zones: map[ident.AvailabilityZone]configuration.Zone{
			"za": {Region: "south", State: configuration.ZoneInService}, "zb": {Region: "south", State: configuration.ZoneInService},
			"zc": {Region: "east", State: configuration.ZoneInService},
		},
		Databases: map[ident.GroupName]configuration.Database{testGroup: {Upstreams: upstreams}},
	}
}

// fakeMesh connects the controllers of one test.
type fakeMesh struct {
	self     peer.Member
	network  *fakeNetwork
	handlers map[peer.Kind]func(peer.Member, cbor.RawMessage)
	changed  []func([]peer.Member)
}

type fakeNetwork struct{ meshes []*fakeMesh }

func (n *fakeNetwork) join(name ident.VMName, zone ident.AvailabilityZone) *fakeMesh {
	m := &fakeMesh{
		self: peer.Member{Name: name, Zone: zone, Incarnation: 1}, network: n,
		handlers: map[peer.Kind]func(peer.Member, cbor.RawMessage){},
	}
	n.meshes = append(n.meshes, m)
	return m
}

func (m *fakeMesh) Self() peer.Member { return m.self }

func (m *fakeMesh) Members() []peer.Member {
	var members []peer.Member
	for _, other := range m.network.meshes {
		members = append(members, other.self)
	}
	return members
}

func (m *fakeMesh) Send(_ context.Context, to ident.VMName, kind peer.Kind, body any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	for _, other := range m.network.meshes {
		if receive := other.handlers[kind]; other.self.Name == to && receive != nil {
			go receive(m.self, data)
		}
	}
	return nil
}

func (m *fakeMesh) Handle(kind peer.Kind, receive func(peer.Member, cbor.RawMessage)) {
	m.handlers[kind] = receive
}

func (m *fakeMesh) Piggyback(peer.Kind, func(ident.VMName) []byte, func(peer.Member, []byte)) {}

func (m *fakeMesh) OnChange(changed func([]peer.Member)) { m.changed = append(m.changed, changed) }

// fakePlatform stores the group objects in memory.
type fakePlatform struct {
	objectapi.Client // nil, so that unexpected calls panic
	mu               sync.Mutex
	objects          map[string]objectapi.Object
	version          objectapi.Version
}

func (p *fakePlatform) Get(_ context.Context, _ objectapi.Kind, name string) (objectapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o, ok := p.objects[name]; ok {
		return o, nil
	}
	return objectapi.Object{}, resultcode.New(resultcode.PlatformNotFound, "no object")
}

func (p *fakePlatform) List(context.Context, objectapi.Kind) (objectapi.Changes, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return objectapi.Changes{Objects: slices.Collect(maps.Values(p.objects)), Version: p.version}, nil
}

func (p *fakePlatform) Put(_ context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.objects[name]; current.Version != ifVersion {
		return current, resultcode.New(resultcode.PlatformConflict, "version %d", current.Version)
	}
	data, err := json.Marshal(value)
	p.version++
	p.objects[name] = objectapi.Object{Kind: kind, Name: name, Version: p.version, Value: data}
	return p.objects[name], err
}

// startController starts the controller of a VM in zone zb.
func startController(f *fakeGroup, source *fakeSource) *Controller {
	return startControllers(f, source, map[ident.VMName]ident.AvailabilityZone{"vm1": "zb"})[0]
}

// startControllers starts one controller per VM, connected by a fake mesh.
func startControllers(f *fakeGroup, source *fakeSource, vms map[ident.VMName]ident.AvailabilityZone) []*Controller {
	network, store := &fakeNetwork{}, &fakePlatform{objects: map[string]objectapi.Object{}}
	var started []*Controller
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		started = append(started, New(Options{
			Mesh: network.join(name, vms[name]), Platform: store, Configuration: source, NewAgent: f.newAgent, Log: zerolog.Nop(),
		}))
	}
	for _, c := range started {
		c.Start()
	}
	return started
}
