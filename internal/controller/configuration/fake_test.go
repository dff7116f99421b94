package configcontroller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// latency is the one-way latency between VMs and to the platform.
const latency = 8 * time.Millisecond

// fakeStore is an in-memory platform.
type fakeStore struct {
	mu         sync.Mutex
	version    objectapi.Version
	objects    map[string]objectapi.Object
	changed    chan struct{}
	calls      int
	outage     bool
	watchDelay map[ident.AvailabilityZone]time.Duration // added to responses of watches
	// afterPut, if set, may return an error for a put that took effect.
	afterPut func(kind objectapi.Kind, name string, from ident.VMName) error
}

// fakeClient is the platform client of one VM.
type fakeClient struct {
	store *fakeStore
	vm    *testVM
}

var errPlatformDown = resultcode.New(resultcode.PlatformDown, "no response")

// begin counts a call, waits for the round-trip latency, and fails if the platform
// cannot be reached.
func (c fakeClient) begin(ctx context.Context) error {
	time.Sleep(2 * latency)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.calls++
	if c.store.outage || c.vm.network.platformCut[c.vm.member.Zone] || ctx.Err() != nil {
		return errPlatformDown
	}
	return nil
}

func (c fakeClient) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	if err := c.begin(ctx); err != nil {
		return objectapi.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	object, ok := c.store.objects[string(kind)+"/"+name]
	if !ok {
		return objectapi.Object{}, resultcode.New(resultcode.PlatformNotFound, "%s/%s", kind, name)
	}
	return object, nil
}

func (c fakeClient) List(ctx context.Context, kind objectapi.Kind) (objectapi.Changes, error) {
	if err := c.begin(ctx); err != nil {
		return objectapi.Changes{}, err
	}
	return c.store.since([]objectapi.Kind{kind}, 0), nil
}

func (s *fakeStore) since(kinds []objectapi.Kind, after objectapi.Version) objectapi.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := objectapi.Changes{Version: s.version}
	for _, object := range s.objects {
		if slices.Contains(kinds, object.Kind) && object.Version > after {
			changes.Objects = append(changes.Objects, object)
		}
	}
	return changes
}

func (c fakeClient) Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error) {
	if err := c.begin(ctx); err != nil {
		return objectapi.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	key := string(kind) + "/" + name
	if old := c.store.objects[key]; old.Version != ifVersion {
		return old, resultcode.New(resultcode.PlatformConflict, "%s has version %d", key, old.Version)
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, err
	}
	c.store.version++
	object := objectapi.Object{Kind: kind, Name: name, Version: c.store.version, Value: encoded}
	c.store.objects[key] = object
	close(c.store.changed)
	c.store.changed = make(chan struct{})
	if c.store.afterPut != nil {
		if err := c.store.afterPut(kind, name, c.vm.member.Name); err != nil {
			return objectapi.Object{}, err
		}
	}
	return object, nil
}

func (c fakeClient) Delete(context.Context, objectapi.Kind, string, objectapi.Version) error {
	return errPlatformDown
}

func (c fakeClient) VMs(context.Context) ([]objectapi.VM, error) { return nil, errPlatformDown }

func (c fakeClient) Watch(ctx context.Context, kinds []objectapi.Kind, after objectapi.Version, timeout time.Duration) (objectapi.Changes, error) {
	if err := c.begin(ctx); err != nil {
		return objectapi.Changes{}, err
	}
	deadline := make(chan struct{})
	defer time.AfterFunc(timeout, func() { close(deadline) }).Stop()
	for expired := false; ; {
		c.store.mu.Lock()
		changed := c.store.changed
		c.store.mu.Unlock()
		if changes := c.store.since(kinds, after); len(changes.Objects) > 0 || expired {
			time.Sleep(c.store.watchDelay[c.vm.member.Zone])
			return changes, c.begin(ctx) // the response may be lost as well
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-ctx.Done():
			return objectapi.Changes{}, errPlatformDown
		}
	}
}

// fakeNetwork connects the VMs of a test.
type fakeNetwork struct {
	mu          sync.Mutex
	vms         map[ident.VMName]*testVM
	platformCut map[ident.AvailabilityZone]bool // guarded by the store's lock
	dead        map[ident.VMName]bool
	partitioned map[ident.AvailabilityZone]bool // zones that cannot reach other zones
	delay       time.Duration                   // added to the latency
}

type testVM struct {
	*Controller
	network  *fakeNetwork
	member   peer.Member
	handlers map[peer.Kind]func(peer.Member, cbor.RawMessage)
	inbox    chan inFlight
	stop     context.CancelFunc
}

func (vm *testVM) Self() peer.Member { return vm.member }

func (vm *testVM) Members() []peer.Member {
	vm.network.mu.Lock()
	defer vm.network.mu.Unlock()
	var members []peer.Member
	for _, other := range vm.network.vms {
		member := other.member
		if vm.network.dead[member.Name] {
			member.State = peer.Dead
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(x, y peer.Member) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return members
}

// Send queues a message that arrives after the latency.
func (vm *testVM) Send(_ context.Context, to ident.VMName, kind peer.Kind, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	vm.network.mu.Lock()
	other, delay := vm.network.vms[to], vm.network.delay
	vm.network.mu.Unlock()
	if other == nil {
		return errPlatformDown
	}
	select {
	case other.inbox <- inFlight{time.Now().Add(latency + delay), vm.member, kind, encoded}:
	default: // a full inbox drops messages, as the mesh does
	}
	return nil
}

// inFlight is a message in transit.
type inFlight struct {
	arrives time.Time
	from    peer.Member
	kind    peer.Kind
	body    cbor.RawMessage
}

// deliver passes messages to a VM when they arrive, unless the sender or the receiver
// is dead or their zones cannot reach each other. The fakes use no timer channels: in
// Go 1.26.8 the race detector occasionally crashes in
// runtime.(*timer).maybeRunChan if a timer of a synctest bubble expires while a
// goroutine enters its select.
func (vm *testVM) deliver(ctx context.Context) {
	for {
		select {
		case m := <-vm.inbox:
			time.Sleep(time.Until(m.arrives))
			n := vm.network
			n.mu.Lock()
			lost := n.dead[vm.member.Name] || n.dead[m.from.Name] ||
				m.from.Zone != vm.member.Zone && (n.partitioned[m.from.Zone] || n.partitioned[vm.member.Zone])
			n.mu.Unlock()
			if !lost && ctx.Err() == nil {
				vm.handlers[m.kind](m.from, m.body)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (vm *testVM) Handle(kind peer.Kind, handler func(peer.Member, cbor.RawMessage)) {
	vm.handlers[kind] = handler
}

func (vm *testVM) Piggyback(peer.Kind, func(ident.VMName) []byte, func(peer.Member, []byte)) {}
func (vm *testVM) OnChange(func([]peer.Member))                                              {}

// testFleet is a fleet with three zones of 3, 2 and 2 VMs.
type testFleet struct {
	t       *testing.T
	store   *fakeStore
	network *fakeNetwork
	running sync.WaitGroup
}

var testZones = []ident.AvailabilityZone{"plovdiv-a", "constanta-a", "ruse-a"}

// runFleet runs a test in virtual time on a fleet with share tables.
func runFleet(t *testing.T, test func(*testFleet)) {
	virtualtime.Test(t, func(t *testing.T) {
		f := &testFleet{t: t,
			store: &fakeStore{objects: map[string]objectapi.Object{}, changed: make(chan struct{})},
			network: &fakeNetwork{vms: map[ident.VMName]*testVM{}, platformCut: map[ident.AvailabilityZone]bool{},
				dead: map[ident.VMName]bool{}, partitioned: map[ident.AvailabilityZone]bool{}}}
		defer func() {
			for _, vm := range f.network.vms {
				vm.stop()
			}
			f.running.Wait()
		}()
		vms := f.shareTables()
		for _, zone := range testZones {
			for _, name := range vms[zone] {
				f.start(name, zone, 1)
			}
		}
		time.Sleep(time.Second)
		test(f)
	})
}

// shareTables writes the share tables and returns their VMs.
func (f *testFleet) shareTables() map[ident.AvailabilityZone][]ident.VMName {
	vms := map[ident.AvailabilityZone][]ident.VMName{}
	for i, zone := range testZones {
		for n := range []int{3, 2, 2}[i] {
			vms[zone] = append(vms[zone], ident.VMName(fmt.Sprintf("%s-%d", zone, n)))
		}
		encoded, err := json.Marshal(vms[zone])
		assert.NilError(f.t, err)
		f.store.version++
		f.store.objects["share-table/"+string(zone)] = objectapi.Object{Kind: objectapi.KindShareTable,
			Name: string(zone), Version: f.store.version, Value: encoded}
	}
	return vms
}

// start starts a VM and stops an earlier incarnation with the same name.
func (f *testFleet) start(name ident.VMName, zone ident.AvailabilityZone, incarnation ident.Incarnation) *testVM {
	vm := &testVM{network: f.network, inbox: make(chan inFlight, 1024), handlers: map[peer.Kind]func(peer.Member, cbor.RawMessage){},
		member: peer.Member{Name: name, Zone: zone, Incarnation: incarnation}}
	vm.Controller = New(Options{Mesh: vm, Platform: fakeClient{f.store, vm}, Clock: clock.New(),
		Writer: objectapi.NewWriter(fmt.Sprintf("%s-%d", name, incarnation), uint64(incarnation)), Seed: uint64(len(name)),
		ShareTable: func(value json.RawMessage) (vms []ident.VMName, err error) {
			return vms, json.Unmarshal(value, &vms)
		}, Log: zerolog.Nop()})
	f.network.mu.Lock()
	if old := f.network.vms[name]; old != nil {
		old.stop()
	}
	f.network.vms[name] = vm
	f.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	vm.stop = cancel
	f.running.Go(func() { _ = vm.Run(ctx) })
	f.running.Go(func() { vm.deliver(ctx) })
	return vm
}

func (f *testFleet) vm(name ident.VMName) *testVM { return f.network.vms[name] }

func (f *testFleet) apply(name ident.VMName, text string) Result {
	return f.vm(name).Apply(context.Background(), "note.ini", []byte(text))
}

const key = "swordfish"

// firstNote returns a note that adds the zones and an organisation with a key for one
// of two databases.
func firstNote() string {
	text := "[note]\ntitle = first\n[add organisation web]\nrate = 100\nburst = 10\ndatabases = deck\n" +
		"[add database deck]\n[add database wiki]\nopen = yes\n" + keySection("add", "main", key)
	for _, zone := range testZones {
		text += fmt.Sprintf("[add zone %s]\nregion = bg\n", zone)
	}
	return text
}

func keySection(action, name, key string) string {
	return fmt.Sprintf("[%s key web/%s]\nhash = sha256:%x\n", action, name, configuration.HashKey(key))
}

const withdrawal = "[note]\ntitle = withdraw\n[withdraw key web/main]\n"

// applyFirstNote applies the first note and checks that every VM accepts its key.
func (f *testFleet) applyFirstNote() {
	r := f.apply("plovdiv-a-0", firstNote())
	assert.Assert(f.t, r.Outcome == OutcomeAccepted, "%+v", r)
	assert.Equal(f.t, len(r.Lagging), 0)
	time.Sleep(time.Second)
	for _, vm := range f.network.vms {
		_, err := vm.Authorise("web", "deck", key)
		assert.NilError(f.t, err)
	}
}

func (f *testFleet) setOutage(outage bool) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.outage = outage
}

// isolate disconnects a zone from the platform and the other zones.
func (f *testFleet) isolate(zone ident.AvailabilityZone) {
	f.store.mu.Lock()
	f.network.platformCut[zone] = true
	f.store.mu.Unlock()
	f.network.mu.Lock()
	f.network.partitioned[zone] = true
	f.network.mu.Unlock()
}
