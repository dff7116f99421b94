package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// Kinds of questions.
const (
	KindProbe relay.Kind = iota + 1
	KindExecute
	KindAbandon
	KindBorrow
	// KindReachability asks whether a VM reaches an upstream.
	KindReachability
	// KindView asks for what a VM has read in the store.
	KindView
	// KindTake asks a VM that holds rates to spend an operation.
	KindTake
	// KindSuspect tells that a primary does not answer.
	KindSuspect
)

// KindVM is the kind of the store's objects in which VMs register; the name is that
// of the VM.
const KindVM objectapi.Kind = "rosemarywall-vms"

// ProbeRequest asks a VM for what it knows. The connection names the VM that asks.
type ProbeRequest struct{}

// ProbeResponse answers a ProbeRequest.
type ProbeResponse struct {
	// Version and ProofAge are the configuration in force and the age of its proof.
	Version  ident.ConfigurationVersion `cbor:"1,keyasint,omitempty"`
	ProofAge time.Duration              `cbor:"2,keyasint,omitempty"`
	Proved   bool                       `cbor:"3,keyasint,omitempty"`
	// Leaving says that the VM stops and takes no more statements.
	Leaving     bool              `cbor:"4,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// ShareTableVersion is the version of the table of rate parts that the VM has read, and
	// PartsAge the age of its reading.
	ShareTableVersion uint64        `cbor:"6,keyasint,omitempty"`
	ShareTableAge     time.Duration `cbor:"8,keyasint,omitempty"`
	// Digest stands for the registrations and the zones to be left that the VM knows.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
}

// Store holds the registrations.
type Store interface {
	List(ctx context.Context, kind objectapi.Kind) (objectapi.Changes, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
	Delete(ctx context.Context, kind objectapi.Kind, name string, ifVersion objectapi.Version) error
}

const (
	// probeTimeout is the time in which a probe must be answered. It exceeds a round
	// trip between regions and a wait for a busy processor.
	probeTimeout = 800 * time.Millisecond
	// deadInterval is the time between probes of a VM that does not answer.
	deadInterval = time.Second
	// storeTimeout bounds a call of the store.
	storeTimeout = time.Second
	// relistEvery is the time between reads of the registrations, for VMs that could
	// not be reached when they started.
	relistEvery = time.Minute
	retryEvery  = 300 * time.Millisecond
	// settleTime is the time for which a VM that is new to the store waits for others to
	// register before it connects to any. VMs of a fleet that starts do so within 0.3 s of
	// each other, and which of them are hubs is known only when all have.
	settleTime = 700 * time.Millisecond
	// manyHubs is the number of hubs above which those of other zones are probed less
	// often, so that a VM sends no more probes in a larger fleet.
	manyHubs = 18
	// slowestProbe bounds the time between probes. A connection without a question for
	// 4 s is closed by the VM that is asked.
	slowestProbe = 2500 * time.Millisecond
	// probeOn is the time for which a VM that is no hub any more is still probed. Without
	// probes it would close the connection and roll back what is open over it.
	probeOn = 20 * time.Second
	// goneAfter is the time without an answer after which a VM's registration is
	// removed. It exceeds the usual partitions.
	goneAfter = 5 * time.Minute
)

// peer is another VM.
type peer struct {
	identity relay.Identity
	client   *relay.Client
	// alive says that it answers, dead that it does not; neither holds before it was
	// asked.
	alive, dead bool
	leaving     bool
	deadSince   time.Duration
	version     objectapi.Version // of its registration; zero if it was not read there
	wake        chan struct{}
	// stop ends the probes; nil while it is not probed.
	stop context.CancelFunc
	// unwanted is the time since which it need not be probed; zero while it must.
	unwanted time.Duration
}

// Config sets up Peers.
type Config struct {
	Self          relay.Identity
	Store         Store
	ProbeInterval time.Duration
	Now           func() time.Duration
	Log           zerolog.Logger
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnProbeResponse is told each answer and when the question was sent.
	OnProbeResponse func(askedAt time.Duration, from placement.VM, p ProbeResponse)
}

// Peers knows the other VMs. It is safe for concurrent use.
type Peers struct {
	cfg Config
	ctx context.Context

	mu    sync.Mutex
	peers map[ident.VMName]*peer
	hubs  []placement.VM
	// holders are the hubs that hold parts of the rates.
	holders []placement.VM
	// watched are VMs to probe beside the hubs.
	watched []ident.VMName
	// leaving says that this VM stops and executes for itself only without another VM.
	leaving bool
	// settling says that the VM connects to no other yet, because it has not read the
	// registrations or waits for others to register.
	settling bool
}

// New returns Peers that knows no VM.
func New(cfg Config) *Peers {
	return &Peers{cfg: cfg, peers: map[ident.VMName]*peer{}, settling: true}
}

func placementOf(i relay.Identity) placement.VM {
	return placement.VM{Name: i.VM, Zone: i.Zone, Region: i.Region, Cores: i.Cores}
}

// Run registers this VM and probes the hubs until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for ctx.Err() == nil {
		wait := retryEvery
		if p.register(ctx) {
			wait = relistEvery
		}
		p.settle()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.peers {
		q.client.Reset()
	}
}

// settle lets the VM connect to the others. If the store does not answer it does so,
// too: they may know it.
func (p *Peers) settle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settling {
		p.settling = false
		p.rebuild()
	}
}

// Joining reports whether the VM is so new that it does not know the others.
func (p *Peers) Joining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settling
}

// Hubs returns the hubs that answer, ordered by name; this VM is among them if it is
// a hub. There are none while it settles.
func (p *Peers) Hubs() []placement.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hubs
}

// RateHolders returns those of the hubs that hold parts of the rates, ordered by name.
func (p *Peers) RateHolders() []placement.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holders
}

// setHubs records the hubs that answer; p.mu is held.
func (p *Peers) setHubs(hubs []placement.VM) {
	p.hubs, p.holders = hubs, placement.RateHolders(hubs)
}

// FleetSize returns the number of VMs of the fleet, this one included. VMs that do
// not answer count, because they may only be cut off from this one.
func (p *Peers) FleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers) + 1
}

// AliveCount returns the number of other VMs that answer probes.
func (p *Peers) AliveCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, q := range p.peers {
		if q.alive {
			n++
		}
	}
	return n
}

// Address returns the address of a VM that answers; a VM that leaves is included.
func (p *Peers) Address(name ident.VMName) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q, ok := p.peers[name]; ok && q.alive {
		return q.identity.Address, true
	}
	return "", false
}

// get returns a VM.
func (p *Peers) get(name ident.VMName) (*peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.peers[name]
	return q, ok
}

// Call sends a question to a VM.
func (p *Peers) Call(ctx context.Context, to ident.VMName, kind relay.Kind, question, answer any) error {
	q, ok := p.get(to)
	if !ok {
		return relay.ErrNotSent
	}
	return q.client.Call(ctx, kind, question, answer)
}
