package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against probes that exceed the traffic bound of the design, 6,000 bytes a
// second for control, at the size of today's fleets: 8 VMs that each ask 7 others
// twice a second and answer as often.
func TestProbesStayWithinTheTrafficBound(t *testing.T) {
	question, err := cbor.Marshal(ProbeRequest{})
	assert.NilError(t, err)
	answer, err := cbor.Marshal(ProbeResponse{
		Version: 100000, ProofAge: time.Second, Proved: true, Incarnation: math.MaxUint64,
		ShareTableVersion: 100000, ShareTableAge: 5 * time.Second, Digest: math.MaxUint64,
	})
	assert.NilError(t, err)
	// The frames of the relay around both, and the headers and the mask of WebSocket.
	const frames = 2*9 + 8
	n := len(question) + len(answer) + frames
	const perSecond = 2 * 7 * 2
	assert.Assert(t, n*perSecond <= 6000, "%d bytes for each probe", n)
	t.Logf("%d bytes for each probe and its answer", n)
}

// registry is a store of registrations in memory.
type registry struct {
	mu      sync.Mutex
	objects map[string]objectapi.Object
	version objectapi.Version
	puts    int
}

func (r *registry) List(context.Context, objectapi.Kind) (objectapi.Changes, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all objectapi.Changes
	for _, o := range r.objects {
		all.Objects = append(all.Objects, o)
	}
	return all, nil
}

func (r *registry) Put(_ context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error) {
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

// known reports whether a VM is registered.
func (r *registry) known(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.objects[name]
	return ok
}

func (r *registry) Delete(_ context.Context, _ objectapi.Kind, name string, ifVersion objectapi.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.objects[name].Version != ifVersion {
		return resultcode.New(resultcode.PlatformConflict, "another version")
	}
	delete(r.objects, name)
	return nil
}

// node is a VM with its relay server.
type node struct {
	*Peers
	server *relay.Server
	cancel context.CancelFunc
	mu     sync.Mutex
	leave  bool
	silent bool
}

func (n *node) Handle(_ context.Context, from relay.Peer, _ relay.Kind, _ cbor.RawMessage) any {
	n.Discover(from.Identity)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.silent {
		return nil
	}
	return ProbeResponse{Leaving: n.leave}
}

func (n *node) Closed(relay.Peer) {}

func startNode(t *testing.T, store Store, name, zone string) *node {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	start := time.Now()
	n := &node{}
	n.Peers = New(Config{
		Self:  relay.Identity{Version: relay.ProtocolVersion, VM: ident.VMName(name), Zone: ident.AvailabilityZone(zone), Address: l.Addr().String()},
		Store: store, ProbeInterval: 20 * time.Millisecond, Now: func() time.Duration { return time.Since(start) }, Log: zerolog.Nop(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
		OnProbeResponse: func(time.Duration, placement.VM, ProbeResponse) {},
	})
	n.server = relay.NewServer(n)
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
	t.Fatal("never: " + what)
}

// Guards against VMs that do not find each other, and against ones that go on using a
// VM that has died, is silent or leaves.
func TestVMsFindAndLoseEachOther(t *testing.T) {
	store := &registry{objects: map[string]objectapi.Object{}}
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
	eventually(t, "all see all", all(3, first, second, third))
	assert.Equal(t, store.puts, 3)
	third.cancel()
	third.server.Close()
	eventually(t, "the dead VM is passed over", all(2, first, second))
	second.mu.Lock()
	second.silent = true
	second.mu.Unlock()
	eventually(t, "the silent VM is passed over", all(1, first))
	second.mu.Lock()
	second.silent, second.leave = false, true
	second.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(first.Hubs()), 1, "a VM that leaves is not used")
	second.mu.Lock()
	second.leave = false
	second.mu.Unlock()
	eventually(t, "the VM is used again", all(2, first))
	first.Leave()
	assert.Equal(t, len(first.Hubs()), 1, "a VM that leaves executes on the others")
}

// Guards against probes of all VMs by all, whose number grows with the square of the
// fleet: in a zone of many equal VMs only the hubs are connected to.
func TestOnlyHubsAreProbed(t *testing.T) {
	store := &registry{objects: map[string]objectapi.Object{}}
	var nodes []*node
	for i := range 12 {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("vm-%d", i), "a"))
	}
	hubs := func() []placement.VM { return nodes[0].Hubs() }
	eventually(t, "all agree about the hubs", func() bool {
		for _, n := range nodes {
			if n.Joining() || n.FleetSize() < len(nodes) || !slices.Equal(n.Hubs(), hubs()) {
				n.register(context.Background()) // instead of the regular reading
				return false
			}
		}
		return true
	})
	assert.Equal(t, len(hubs()), 5, "two fifths of twelve equal VMs")
	plain := 0
	for _, n := range nodes {
		if placement.Index(hubs(), n.cfg.Self.VM) < 0 {
			n.mu.Lock()
			n.silent = true // nobody may notice
			n.mu.Unlock()
			plain++
		}
	}
	assert.Equal(t, plain, 7)
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
			n.silent = false
			n.mu.Unlock()
		}
	}
	eventually(t, "another VM takes the place of a dead hub", func() bool {
		for _, n := range nodes {
			if n.cfg.Self.VM != first && (placement.Index(n.Hubs(), first) >= 0 || len(n.Hubs()) < 5) {
				return false
			}
		}
		return true
	})
}

// Guards against connections to VMs that look like hubs only because the others of a
// fleet that starts have not registered yet, against a first table of rate parts by a VM
// that does not know them, and against a VM that waits for others after a restart.
func TestNewVMsWaitForOthers(t *testing.T) {
	store := &registry{objects: map[string]objectapi.Object{}}
	first := startNode(t, store, "vm-1", "a")
	assert.Assert(t, first.Joining())
	assert.Equal(t, len(first.Hubs())+len(first.RateHolders()), 0)
	second := startNode(t, store, "vm-2", "a")
	eventually(t, "the first VM has registered", func() bool { return first.FleetSize() == 2 || store.known("vm-1") })
	assert.Assert(t, first.Joining(), "the others may register a moment later")
	eventually(t, "the VMs know each other", func() bool { return len(first.Hubs()) == 2 && len(second.Hubs()) == 2 })
	first.cancel()
	puts := store.puts
	assert.Assert(t, New(first.cfg).register(t.Context()))
	assert.Equal(t, store.puts, puts, "a VM that is registered is not new")
}

// Guards against probes that grow with the number of hubs of other zones, and against
// connections that are closed for want of questions.
func TestManyHubsOfOtherZonesAreProbedLessOften(t *testing.T) {
	p := New(Config{Self: relay.Identity{VM: "vm-1", Zone: "a"}, ProbeInterval: 800 * time.Millisecond})
	near, far := &peer{identity: relay.Identity{Zone: "a"}}, &peer{identity: relay.Identity{Zone: "b"}}
	for n, want := range map[int]time.Duration{1: 800, manyHubs: 800, 2 * manyHubs: 1600, 20 * manyHubs: 2500} {
		p.hubs = make([]placement.VM, n)
		assert.Equal(t, p.interval(far), want*time.Millisecond, "%d hubs", n)
		assert.Equal(t, p.interval(near), 800*time.Millisecond)
	}
}

// Guards against a failed statement that reads what is known of a VM while a probe of
// it changes that, which the race detector reports.
func TestFailedStatementsAndProbesAgreeOnAVM(t *testing.T) {
	n := startNode(t, &registry{objects: map[string]objectapi.Object{}}, "vm-1", "a")
	eventually(t, "the VM is registered", func() bool {
		n.Discover(relay.Identity{VM: "vm-2", Zone: "a", Address: "127.0.0.1:1"})
		_, ok := n.get("vm-2")
		return ok
	})
	q, _ := n.get("vm-2")
	var ends sync.WaitGroup
	ends.Go(func() {
		for i := range 200 {
			n.mark(q, true, i%2 == 0)
		}
	})
	ends.Go(func() {
		for range 200 {
			n.suspect(q)
		}
	})
	ends.Wait()
}
