package sharecontroller

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// fakePlatform stores objects in memory.
type fakePlatform struct {
	mu      sync.Mutex
	version objectapi.Version
	objects map[string]objectapi.Object
	down    bool
	// loseResponses is the number of updates that are stored but get no response.
	loseResponses int
}

func (f *fakePlatform) Get(_ context.Context, _ objectapi.Kind, name string) (objectapi.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return objectapi.Object{}, resultcode.New(resultcode.PlatformDown, "down")
	}
	o, ok := f.objects[name]
	if !ok {
		return o, resultcode.New(resultcode.PlatformNotFound, "no %s", name)
	}
	return o, nil
}

func (f *fakePlatform) List(context.Context, objectapi.Kind) (objectapi.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return objectapi.Changes{}, resultcode.New(resultcode.PlatformDown, "down")
	}
	c := objectapi.Changes{Version: f.version}
	for _, o := range f.objects {
		c.Objects = append(c.Objects, o)
	}
	return c, nil
}

func (f *fakePlatform) Put(_ context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return objectapi.Object{}, resultcode.New(resultcode.PlatformDown, "down")
	}
	if o := f.objects[name]; o.Version != ifVersion {
		return o, resultcode.New(resultcode.PlatformConflict, "version %d", o.Version)
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, err
	}
	f.version++
	f.objects[name] = objectapi.Object{Kind: kind, Name: name, Version: f.version, Value: raw}
	if f.loseResponses > 0 {
		f.loseResponses--
		return objectapi.Object{}, resultcode.New(resultcode.PlatformDown, "response lost")
	}
	return f.objects[name], nil
}

func (f *fakePlatform) Delete(context.Context, objectapi.Kind, string, objectapi.Version) error {
	return resultcode.New(resultcode.PlatformBadRequest, "not used")
}

func (f *fakePlatform) Watch(ctx context.Context, _ []objectapi.Kind, after objectapi.Version, _ time.Duration) (objectapi.Changes, error) {
	for ctx.Err() == nil {
		if c, err := f.List(ctx, objectapi.KindShareTable); err != nil || c.Version > after {
			return c, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return objectapi.Changes{}, ctx.Err()
}

func (f *fakePlatform) VMs(context.Context) ([]objectapi.VM, error) { return nil, nil }

// fakeNetwork connects fake meshes. Messages have a fixed delay.
type fakeNetwork struct {
	mu     sync.Mutex
	meshes map[ident.VMName]*fakeMesh
	delay  time.Duration
}

type fakeMesh struct {
	network   *fakeNetwork
	self      peer.Member
	receivers map[peer.Kind]func(peer.Member, cbor.RawMessage)
	changed   []func([]peer.Member)
	versions  func(ident.VMName) []byte
	receive   func(peer.Member, []byte)
}

func (m *fakeMesh) Self() peer.Member { return m.self }

func (m *fakeMesh) Members() []peer.Member {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	var all []peer.Member
	for _, other := range m.network.meshes {
		all = append(all, other.self)
	}
	return all
}

func (m *fakeMesh) Send(_ context.Context, to ident.VMName, kind peer.Kind, body any) error {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	other, ok := m.network.meshes[to]
	if !ok || other.self.State == peer.Dead {
		return peer.ErrUnknownVM
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	from := m.self
	time.AfterFunc(m.network.delay, func() { other.receivers[kind](from, raw) })
	return nil
}

func (m *fakeMesh) Handle(kind peer.Kind, receive func(peer.Member, cbor.RawMessage)) {
	m.receivers[kind] = receive
}

func (m *fakeMesh) Piggyback(_ peer.Kind, provide func(ident.VMName) []byte, receive func(peer.Member, []byte)) {
	m.versions, m.receive = provide, receive
}

func (m *fakeMesh) OnChange(changed func([]peer.Member)) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.changed = append(m.changed, changed)
}

// set changes the state of a VM in every view.
func (n *fakeNetwork) set(vm ident.VMName, state peer.State) {
	n.mu.Lock()
	n.meshes[vm].self.State = state
	var observers []func([]peer.Member)
	var mesh *fakeMesh
	for _, m := range n.meshes {
		observers = append(observers, m.changed...)
		mesh = m
	}
	n.mu.Unlock()
	for _, changed := range observers {
		changed(mesh.Members())
	}
}

// fakeSource provides configurations.
type fakeSource struct {
	mu        sync.Mutex
	current   *configuration.Configuration
	observers []func(*configuration.Configuration)
}

func (s *fakeSource) Current() *configuration.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *fakeSource) OnChange(changed func(*configuration.Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, changed)
}

func (s *fakeSource) set(c *configuration.Configuration) {
	s.mu.Lock()
	s.current = c
	observers := s.observers
	s.mu.Unlock()
	for _, changed := range observers {
		changed(c)
	}
}

func testConfiguration(version ident.ConfigurationVersion, state configuration.ZoneState) *configuration.Configuration {
	return &configuration.Configuration{
		Version:       version,
		Organisations: map[ident.OrganisationName]configuration.Organisation{"acme": {Rate: 1000, Burst: 1000}},
		Zones: map[ident.AvailabilityZone]configuration.Zone{
			"a": {Weight: 1, State: state}, "b": {Weight: 1, State: configuration.ZoneInService},
		},
	}
}

// testFleet is a set of controllers on virtual time.
type testFleet struct {
	t           *testing.T
	platform    *fakePlatform
	network     *fakeNetwork
	source      *fakeSource
	controllers map[ident.VMName]*Controller
	stops       map[ident.VMName]func()
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{
		t: t, platform: &fakePlatform{objects: map[string]objectapi.Object{}},
		network:     &fakeNetwork{meshes: map[ident.VMName]*fakeMesh{}, delay: time.Millisecond},
		source:      &fakeSource{current: testConfiguration(1, configuration.ZoneInService)},
		controllers: map[ident.VMName]*Controller{}, stops: map[ident.VMName]func(){},
	}
}

func (f *testFleet) start(vm ident.VMName, zone ident.AvailabilityZone) *Controller {
	m := &fakeMesh{
		network: f.network, receivers: map[peer.Kind]func(peer.Member, cbor.RawMessage){},
		self: peer.Member{Name: vm, Zone: zone, Incarnation: 1},
	}
	c := New(Config{Mesh: m, Platform: f.platform, Source: f.source, Seed: 3})
	f.network.mu.Lock()
	f.network.meshes[vm] = m
	f.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	f.controllers[vm] = c
	f.stops[vm] = func() { cancel(); <-done }
	f.network.set(vm, peer.Alive)
	return c
}

func (f *testFleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
}

// shareUnits returns the share units by VM in the platform's table of a zone.
func (f *testFleet) shareUnits(zone string) map[ident.VMName]uint32 {
	o, err := f.platform.Get(context.Background(), objectapi.KindShareTable, zone)
	assert.NilError(f.t, err)
	var table struct {
		Rows []struct {
			VM         ident.VMName
			ShareUnits uint32 `json:"parts"`
		}
	}
	assert.NilError(f.t, json.Unmarshal(o.Value, &table))
	units := map[ident.VMName]uint32{}
	for _, r := range table.Rows {
		units[r.VM] += r.ShareUnits
	}
	return units
}
