package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against probe traffic above the design limit for control traffic, 6,000 bytes
// per second, in a fleet of 8 VMs that each probe 7 others twice a second and respond to
// as many probes.
func TestProbeTrafficLimit(t *testing.T) {
	request, err := cbor.Marshal(ProbeRequest{})
	assert.NilError(t, err)
	response, err := cbor.Marshal(ProbeResponse{
		Version: 100000, ProofAge: time.Second, Proved: true, Incarnation: math.MaxUint64,
		ShareTableVersion: 100000, ShareTableAge: 5 * time.Second, View: storesync.ViewProof{Digest: math.MaxUint64, Proved: true, Age: 5 * time.Second},
	})
	assert.NilError(t, err)
	// The relay's framing of both messages, and the headers and the mask of WebSocket.
	const frameOverhead = 2*9 + 8
	probeBytes := len(request) + len(response) + frameOverhead
	const probesPerSecond = 2 * 7 * 2
	assert.Assert(t, probeBytes*probesPerSecond <= 6000, "%d bytes for each probe", probeBytes)
	t.Logf("%d bytes for each probe and its response", probeBytes)
}

// Guards against fields of a message that share a key and are then left out by the codec.
func TestProbeResponseKeepsAllFields(t *testing.T) {
	sent := ProbeResponse{Version: 1, ProofAge: 2, Proved: true, Leaving: true, Incarnation: 3, ShareTableVersion: 4, ShareTableAge: 5,
		View: storesync.ViewProof{Digest: 6, Proved: true, Age: 7, Era: 8, Unsettled: 9}}
	encoded, err := cbor.Marshal(sent)
	assert.NilError(t, err)
	var received ProbeResponse
	assert.NilError(t, cbor.Unmarshal(encoded, &received))
	assert.DeepEqual(t, received, sent)
}

// fakeStore is an in-memory store of registrations.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]objectapi.Object
	version objectapi.Version
	puts    int
	lists   int
}

func (r *fakeStore) List(context.Context, objectapi.Kind) (objectapi.Changes, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	var all objectapi.Changes
	for _, o := range r.objects {
		all.Objects = append(all.Objects, o)
	}
	return all, nil
}

func (r *fakeStore) Put(_ context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.objects[name].Version != ifVersion {
		return r.objects[name], resultcode.New(resultcode.PlatformConflict, "another version")
	}
	r.version++
	r.puts++
	raw, err := json.Marshal(value)
	o := objectapi.Object{Kind: kind, Name: name, Version: r.version, Value: raw}
	r.objects[name] = o
	return o, err
}

// registered reports whether a VM is registered.
func (r *fakeStore) registered(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.objects[name]
	return ok
}

func (r *fakeStore) Delete(_ context.Context, _ objectapi.Kind, name string, ifVersion objectapi.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.objects[name].Version != ifVersion {
		return resultcode.New(resultcode.PlatformConflict, "another version")
	}
	delete(r.objects, name)
	return nil
}

// node is a VM of the test with its relay server.
type node struct {
	*Peers
	server        *relay.Server
	cancel        context.CancelFunc
	mu            sync.Mutex
	reportLeaving bool
	unresponsive  bool
	silent        chan struct{} // responses are delayed until it is closed; nil for none
	result        execution.Result
	rejecting     bool        // statements are rejected
	busy          int         // the number of rollback requests that are rejected next
	otherBody     any         // the response to statements in place of result
	rollbacks     chan string // the transactions of the rollback requests
}

// setResult sets the result of the statements that a VM executes.
func (n *node) setResult(r execution.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.result = r
}

// setSilent delays the responses of a VM until resume is closed.
func (n *node) setSilent(resume chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = resume
}

func (n *node) Handle(ctx context.Context, from relay.Peer, kind relay.Kind, body cbor.RawMessage) any {
	n.Discover(from.Identity)
	n.mu.Lock()
	unresponsive, silent, result, rejecting, otherBody := n.unresponsive, n.silent, n.result, n.rejecting, n.otherBody
	n.mu.Unlock()
	if silent != nil {
		<-silent
	}
	var members MembersRequest
	var rollback RollbackRequest
	switch {
	case unresponsive:
		<-ctx.Done()
		return nil
	case kind == KindMembers && relay.Decode(body, &members) == nil:
		return n.ServeMembers(members)
	case kind == KindExecute && rejecting:
		return relay.Rejected
	case kind == KindExecute && otherBody != nil:
		return otherBody
	case kind == KindExecute:
		return result
	case kind == KindRollback && n.isBusy():
		return relay.Rejected
	case kind == KindRollback && relay.Decode(body, &rollback) == nil:
		n.rollbacks <- rollback.Transaction
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return ProbeResponse{Leaving: n.reportLeaving}
}

// isBusy reports whether a rollback request is to be rejected.
func (n *node) isBusy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy--
	return n.busy >= 0
}

func (n *node) Closed(relay.Peer) {}

func startNode(t *testing.T, store Store, name, zone string) *node {
	return startNodeProbing(t, store, name, zone, 20*time.Millisecond)
}

func startNodeProbing(t *testing.T, store Store, name, zone string, probeInterval time.Duration) *node {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	start := time.Now()
	n := &node{result: execution.Result{Outcome: execution.Done}, rollbacks: make(chan string, 8)}
	n.Peers = New(Config{
		Self:  relay.Identity{Version: relay.ProtocolVersion, VM: ident.VMName(name), Zone: ident.AvailabilityZone(zone), Address: l.Addr().String()},
		Store: store, ProbeInterval: probeInterval, Now: func() time.Duration { return time.Since(start) }, Log: zerolog.Nop(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
		OnProbeResponse: func(time.Duration, placement.VM, ProbeResponse) {},
		Relay: func() (ident.VMName, bool) {
			for _, hub := range n.Hubs() {
				if hub.Name != ident.VMName(name) {
					return hub.Name, true
				}
			}
			return "", false
		},
	})
	n.server = relay.NewServer(n, zerolog.Nop())
	go func() { _ = n.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.Run(ctx)
	t.Cleanup(func() { cancel(); n.server.Close() })
	return n
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("condition not reached: " + what)
}

// Guards against VMs that do not discover each other, and against VMs that continue to
// use a VM that has died, does not respond or is leaving.
func TestVMsDiscoverAndDropEachOther(t *testing.T) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	first := startNode(t, store, "vm-1", "a")
	second := startNode(t, store, "vm-2", "a")
	third := startNode(t, store, "vm-3", "b")
	all := func(n int, nodes ...*node) func() bool {
		return func() bool {
			for _, node := range nodes {
				if len(node.Hubs()) != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all VMs use all VMs", all(3, first, second, third))
	assert.Equal(t, store.puts, 3)
	third.cancel()
	third.server.Close()
	eventually(t, "the dead VM is not used", all(2, first, second))
	second.mu.Lock()
	second.unresponsive = true
	second.mu.Unlock()
	eventually(t, "the unresponsive VM is not used", all(1, first))
	second.mu.Lock()
	second.unresponsive, second.reportLeaving = false, true
	second.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(first.Hubs()), 1, "a leaving VM is used")
	second.mu.Lock()
	second.reportLeaving = false
	second.mu.Unlock()
	eventually(t, "the VM is used again", all(2, first))
	first.Leave()
	assert.Equal(t, len(first.Hubs()), 1, "a leaving VM must execute only on the others")
}

// Guards against every VM probing every other VM, which grows with the square of the
// fleet. In a zone of many equal VMs only the hubs are probed.
func TestOnlyHubsAreProbed(t *testing.T) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	var nodes []*node
	for i := range 12 {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("vm-%d", i), "a"))
	}
	hubs := func() []placement.VM { return nodes[0].Hubs() }
	eventually(t, "all VMs select the same hubs", func() bool {
		for _, n := range nodes {
			if n.Joining() || n.FleetSize() < len(nodes) || !slices.Equal(n.Hubs(), hubs()) {
				n.register(context.Background()) // without waiting for relistInterval
				return false
			}
		}
		return true
	})
	assert.Equal(t, len(hubs()), 5, "hubs provide two fifths of the capacity of twelve equal VMs")
	nonHubs := 0
	for _, n := range nodes {
		if placement.Index(hubs(), n.cfg.Self.VM) < 0 {
			n.mu.Lock()
			n.unresponsive = true // must have no effect, since it is not probed
			n.mu.Unlock()
			nonHubs++
		}
	}
	assert.Equal(t, nonHubs, 7)
	before := slices.Clone(hubs())
	time.Sleep(200 * time.Millisecond)
	assert.DeepEqual(t, hubs(), before)
	first := before[0].Name
	for _, n := range nodes {
		if n.cfg.Self.VM == first {
			n.cancel()
			n.server.Close()
		} else {
			n.mu.Lock()
			n.unresponsive = false
			n.mu.Unlock()
		}
	}
	eventually(t, "another VM replaces a dead hub", func() bool {
		for _, n := range nodes {
			if n.cfg.Self.VM != first && (placement.Index(n.Hubs(), first) >= 0 || len(n.Hubs()) < 5) {
				return false
			}
		}
		return true
	})
}

// readMembers reads the members as Run does.
func (n *node) readMembers(ctx context.Context) bool { return n.requestMembers(ctx) || n.register(ctx) }

// Guards against lists of the registrations by every VM, which grow with the square of the
// fleet: twice at the start and then once a minute. Guards also against VMs that learn of
// an added VM only by such a list.
func TestRegistrationsAreReadByHubs(t *testing.T) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	var nodes []*node
	for i := range 12 {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("vm-%d", i), "a"))
	}
	eventually(t, "all VMs have joined", func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return n.Joining() || n.FleetSize() < len(nodes) || len(n.Hubs()) != 5 })
	})
	store.mu.Lock()
	assert.Equal(t, store.lists, len(nodes))
	store.mu.Unlock()
	added := startNode(t, store, "vm-added", "a")
	eventually(t, "the added VM uses the hubs", func() bool { return len(added.Hubs()) == 6 })
	hubs := added.Hubs()
	store.mu.Lock()
	before := store.lists
	store.mu.Unlock()
	for _, n := range nodes {
		if placement.Index(hubs, n.cfg.Self.VM) < 0 {
			assert.Assert(t, n.readMembers(t.Context())) // as Run does after membersInterval
			_, known := n.lookup("vm-added")
			assert.Assert(t, known, "%s", n.cfg.Self.VM)
		}
	}
	store.mu.Lock()
	assert.Equal(t, store.lists, before)
	store.mu.Unlock()
}

// Guards against a former address of a VM that replaces its present one, and against a
// VM that is added again after it has left because a hub still lists it.
func TestMembersOfHubDoNotReplaceNewerOnes(t *testing.T) {
	p := New(Config{Self: relay.Identity{VM: "vm-1", Zone: "a"}, Now: func() time.Duration { return time.Minute }})
	p.ctx = t.Context()
	p.Discover(relay.Identity{VM: "vm-2", Zone: "a", Address: "10.0.0.2:1", Incarnation: 8})
	p.applyMembers([]relay.Identity{{VM: "vm-1", Address: "10.0.0.1:1"}, {VM: "vm-2", Zone: "a", Address: "10.0.0.3:1", Incarnation: 7}})
	q, _ := p.lookup("vm-2")
	assert.Equal(t, q.identity.Address, "10.0.0.2:1")
	assert.Equal(t, p.FleetSize(), 2, "a VM is not its own peer")
	q.dead = true
	p.applyMembers([]relay.Identity{{VM: "vm-1", Address: "10.0.0.1:1"}})
	_, known := p.lookup("vm-2")
	assert.Assert(t, !known)
}

// Guards against requests that wait for a hub that has failed until the next regular probe
// detects it, and against the loss of running work of a hub that is only silent for a
// while: its connection stays open, and the response to a write still arrives.
func TestSilentHubIsSuspectedBeforeItIsDead(t *testing.T) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	// After the first one the regular probes come too late to detect the silence.
	first, second := startNodeProbing(t, store, "vm-1", "a", time.Hour), startNode(t, store, "vm-2", "a")
	eventually(t, "the VMs use each other", func() bool { return len(first.Hubs()) == 2 && len(second.Hubs()) == 2 })
	resume := make(chan struct{})
	second.setSilent(resume)
	request := func(writes bool) chan execution.Result {
		result := make(chan execution.Result, 1)
		go func() {
			result <- first.Executor("vm-2").Execute(t.Context(), execution.Request{Mode: execution.Single, Writes: writes, Timeout: time.Hour})
		}()
		return result
	}
	write, read := request(true), request(false)
	select {
	case result := <-read:
		assert.Equal(t, result.Outcome, execution.Unknown)
		assert.Equal(t, result.Reason, execution.PeerLost)
	case <-time.After(30 * time.Second):
		t.Fatal("the read waits for the silent hub")
	}
	assert.Equal(t, len(first.Hubs()), 1, "a suspect hub is used")
	address, alive := first.Address("vm-2")
	assert.Assert(t, alive, "%s is taken for dead", address)
	assert.Equal(t, len(write), 0)
	close(resume)
	assert.Equal(t, (<-write).Outcome, execution.Done)
	eventually(t, "the hub is used again", func() bool { return len(first.Hubs()) == 2 })
}

// Guards against further requests to a VM that has refused one because it is stopping,
// until the next regular probe reports that it is leaving.
func TestStoppingHubIsNotUsed(t *testing.T) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	first, second := startNodeProbing(t, store, "vm-1", "a", time.Hour), startNode(t, store, "vm-2", "a")
	eventually(t, "the VMs use each other", func() bool { return len(first.Hubs()) == 2 && len(second.Hubs()) == 2 })
	second.setResult(execution.Result{Outcome: execution.NotRun, Reason: execution.Stopping})
	result := first.Executor("vm-2").Execute(t.Context(), execution.Request{Mode: execution.Single, Timeout: time.Minute})
	assert.Equal(t, result.Reason, execution.Stopping)
	assert.Equal(t, len(first.Hubs()), 1)
}

// Guards against a VM of a starting fleet that takes others for hubs, or writes the first
// rate share table, before the rest of the fleet has registered, and against a restarted
// VM that waits although it is registered already.
func TestNewVMsWaitForRegistrations(t *testing.T) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	first := startNode(t, store, "vm-1", "a")
	assert.Assert(t, first.Joining())
	assert.Equal(t, len(first.Hubs())+len(first.RateHolders()), 0)
	second := startNode(t, store, "vm-2", "a")
	eventually(t, "the first VM has registered", func() bool { return first.FleetSize() == 2 || store.registered("vm-1") })
	assert.Assert(t, first.Joining(), "VM must wait for others to register")
	eventually(t, "the VMs use each other", func() bool { return len(first.Hubs()) == 2 && len(second.Hubs()) == 2 })
	first.cancel()
	puts := store.puts
	restarted := New(first.cfg)
	restarted.ctx = t.Context()
	assert.Assert(t, restarted.Settling())
	assert.Assert(t, restarted.register(t.Context()))
	assert.Equal(t, store.puts, puts, "a registered VM must not register again")
	restarted.finishJoining()
	assert.Assert(t, !restarted.Settling(), "a hub that restarts must not wait for others")
}

// Guards against probe traffic that grows with the number of hubs in other zones, and
// against probe intervals so long that idle connections are closed.
func TestManyHubsOfOtherZonesAreProbedLessOften(t *testing.T) {
	p := New(Config{Self: relay.Identity{VM: "vm-1", Zone: "a"}, ProbeInterval: 800 * time.Millisecond})
	near, far := &peer{identity: relay.Identity{Zone: "a"}}, &peer{identity: relay.Identity{Zone: "b"}}
	for n, want := range map[int]time.Duration{1: 800, baseRateHubs: 800, 2 * baseRateHubs: 1600, 20 * baseRateHubs: 2500} {
		p.hubs = make([]placement.VM, n)
		assert.Equal(t, p.probeInterval(far), want*time.Millisecond, "%d hubs", n)
		assert.Equal(t, p.probeInterval(near), 800*time.Millisecond)
	}
}

// Guards against probes of most VMs of a large fleet to all hubs of other regions, and against
// hubs that learn late of the failure of others.
func TestOnlyHubsProbeOtherRegionsOften(t *testing.T) {
	p := New(Config{Self: relay.Identity{VM: "vm-1", Zone: "a", Region: "r"}, ProbeInterval: 800 * time.Millisecond})
	sameRegion, otherRegion := &peer{identity: relay.Identity{Zone: "b", Region: "r"}}, &peer{identity: relay.Identity{Zone: "c", Region: "s"}}
	assert.Equal(t, p.probeInterval(otherRegion), 800*time.Millisecond, "no hub is known")
	p.hubs = []placement.VM{{Name: "vm-2"}}
	assert.Equal(t, p.probeInterval(otherRegion), maxProbeInterval)
	assert.Equal(t, p.probeInterval(sameRegion), 800*time.Millisecond)
	p.hubs = append(p.hubs, placement.VM{Name: "vm-1"})
	assert.Equal(t, p.probeInterval(otherRegion), 800*time.Millisecond)
}

// Guards against a data race between a failed statement, which reads and changes the
// health of a VM, and a concurrent probe of the same VM. The race detector reports it.
func TestConcurrentHealthUpdates(t *testing.T) {
	n := startNode(t, &fakeStore{objects: map[string]objectapi.Object{}}, "vm-1", "a")
	eventually(t, "the VM is registered", func() bool {
		n.Discover(relay.Identity{VM: "vm-2", Zone: "a", Address: "127.0.0.1:1"})
		_, ok := n.lookup("vm-2")
		return ok
	})
	q, _ := n.lookup("vm-2")
	var ends sync.WaitGroup
	ends.Go(func() {
		for i := range 200 {
			n.setHealth(q, true, i%2 == 0)
		}
	})
	ends.Go(func() {
		for range 200 {
			n.markUnresponsive(q)
		}
	})
	ends.Wait()
}

// Guards against a VM that never registers because an entry under its name cannot be decoded.
func TestInvalidOwnRegistrationIsReplaced(t *testing.T) {
	store := &fakeStore{version: 5, objects: map[string]objectapi.Object{
		"vm-1": {Kind: KindVM, Name: "vm-1", Version: 5, Value: []byte(`{"address":7}`)},
	}}
	startNode(t, store, "vm-1", "a")
	eventually(t, "the registration is valid", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		var r registration
		return store.objects["vm-1"].Decode(&r) == nil && r.Zone == "a"
	})
}

// Guards against entries that are no registrations of VMs and that are probed, chosen as hubs
// or count as processor capacity.
func TestInvalidRegistrationsAreNoVMs(t *testing.T) {
	store := &fakeStore{objects: map[string]objectapi.Object{}}
	for name, text := range map[string]string{
		"port":     `{"address":"127.0.0.1:99999","zone":"a","cores":2}`,
		"no port":  `{"address":"127.0.0.1","zone":"a","cores":2}`,
		"cores":    `{"address":"127.0.0.1:9","zone":"a","cores":1e300}`,
		"negative": `{"address":"127.0.0.1:9","zone":"a","cores":-1}`,
		"no zone":  `{"address":"127.0.0.1:9","cores":2}`,
		"nested":   strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"bytes":    "\xff{",
	} {
		store.version++
		store.objects[name] = objectapi.Object{Kind: KindVM, Name: name, Version: store.version, Value: []byte(text)}
	}
	n := startNode(t, store, "vm-1", "a")
	eventually(t, "the VM has joined", func() bool { return !n.Joining() })
	assert.Assert(t, n.register(t.Context()))
	assert.Equal(t, n.FleetSize(), 1)
}
