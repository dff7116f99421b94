package peers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// Kinds of requests between VMs.
const (
	KindProbe relay.Kind = iota + 1
	KindExecute
	KindRollback
	KindBorrow
	// KindReachability requests whether a VM can reach an upstream.
	KindReachability
	// KindView requests the objects that a VM has read from the store.
	KindView
	// KindTake requests that a rate holder takes a token for an operation.
	KindTake
	// KindSuspect notifies a VM that a primary does not respond.
	KindSuspect
	// KindMembers requests the VMs that a hub knows.
	KindMembers
	// KindPositions requests positions that primaries have reported.
	KindPositions
	// KindUsage passes counts of requests to the VM that reports them.
	KindUsage
)

// KindVM is the kind of the store objects by which VMs register. The name of an object
// is that of the VM.
const KindVM objectapi.Kind = "rosemarywall-vms"

// ProbeRequest requests a VM's status. The connection identifies the sender.
type ProbeRequest struct{}

// ProbeResponse is the response to a ProbeRequest.
type ProbeResponse struct {
	// Version is the version of the configuration in force, and ProofAge the time since
	// it was proved current. They are valid only if Proved is set.
	Version  ident.ConfigurationVersion `cbor:"1,keyasint,omitempty"`
	ProofAge time.Duration              `cbor:"2,keyasint,omitempty"`
	Proved   bool                       `cbor:"3,keyasint,omitempty"`
	// Leaving is set if the VM is shutting down and accepts no more statements.
	Leaving     bool              `cbor:"4,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// ShareTableVersion is the version of the rate share table that the VM has read, and
	// ShareTableAge the time since it was read.
	ShareTableVersion uint64        `cbor:"6,keyasint,omitempty"`
	ShareTableAge     time.Duration `cbor:"8,keyasint,omitempty"`
	// View describes the upstream registrations and zone evacuations known to the VM.
	View storesync.ViewProof `cbor:"9,keyasint,omitempty"`
	// WallClock is the VM's wall-clock time in Unix milliseconds. It is sent only where
	// usage is reported.
	WallClock int64 `cbor:"10,keyasint,omitempty"`
}

// Store stores the registrations of VMs.
type Store interface {
	List(ctx context.Context, kind objectapi.Kind) (objectapi.Changes, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
	Delete(ctx context.Context, kind objectapi.Kind, name string, ifVersion objectapi.Version) error
}

const (
	// probeTimeout is the timeout of a probe. It exceeds a round trip between regions
	// plus scheduling delays on a busy processor.
	probeTimeout = 800 * time.Millisecond
	// deadProbeInterval is the interval between probes of a VM that does not respond.
	deadProbeInterval = time.Second
	// storeTimeout limits a store call.
	storeTimeout = time.Second
	// relistInterval is the interval at which hubs read the registrations. They reveal VMs
	// that could not be reached when they started.
	relistInterval = time.Minute
	// membersInterval is the interval at which other VMs request the members that a hub
	// knows, and memberRelistInterval that at which they read the registrations themselves
	// nevertheless. A registration that was removed is written again then.
	membersInterval      = 10 * time.Second
	memberRelistInterval = 10 * time.Minute
	retryInterval        = 300 * time.Millisecond
	// joinDelay is the time for which a VM without a registration waits for others to
	// register before it connects to any. The VMs of a starting fleet register within
	// 0.3 s of each other, and the hubs are known only once all have registered.
	joinDelay = 700 * time.Millisecond
	// baseRateHubs is the number of hubs above which hubs of other zones are probed less
	// often, so that the probe traffic of a VM does not grow with the fleet.
	baseRateHubs = 18
	// maxProbeInterval limits the interval between probes. The receiving VM closes a
	// connection that carries no request for 4 s.
	maxProbeInterval = 2500 * time.Millisecond
	// formerHubProbeTime is the time for which a former hub is still probed. Without
	// probes it would close the connection and roll back the transactions open on it.
	formerHubProbeTime = 20 * time.Second
	// registrationExpiry is the time without a response after which a VM's registration
	// is removed. It exceeds the duration of usual partitions.
	registrationExpiry = 5 * time.Minute
)

// peer is another VM.
type peer struct {
	identity relay.Identity
	client   *relay.Client
	// alive is set if the VM responds to probes, and dead if it does not. Neither is set
	// before the first probe has ended.
	alive, dead         bool
	leaving             bool
	deadSince           time.Duration
	registrationVersion objectapi.Version // zero if the registration was not read
	probeNow            chan struct{}
	// stopProbes ends the probe loop; nil while the VM is not probed.
	stopProbes context.CancelFunc
	// lastResponse is the time of the last response, in nanoseconds of Config.Now.
	lastResponse atomic.Int64
	// suspect is set while the VM does not respond and is not known to be dead, and
	// silenceProbe while a probe that may make it suspect is in progress; see silence.go.
	suspect, silenceProbe bool
	// trust ends when the VM becomes suspect.
	trust    context.Context
	endTrust context.CancelFunc
	// unwantedSince is the time at which the VM stopped being a probe target; zero while
	// it is one.
	unwantedSince time.Duration
}

// Config holds the dependencies and settings of Peers.
type Config struct {
	Self          relay.Identity
	Store         Store
	ProbeInterval time.Duration
	Now           func() time.Duration
	Log           zerolog.Logger
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Relay returns the hub of this zone from which members are requested. The result is
	// false if this VM reads the registrations itself. A nil Relay is one that never
	// returns a hub.
	Relay func() (ident.VMName, bool)
	// OnRejected is called with the error of an invalid message of another VM, or of a request
	// that is not sent. It may be nil.
	OnRejected func(peer ident.VMName, sent bool, err error)
	// OnProbeResponse is called with each probe response and the time at which the request
	// was sent.
	OnProbeResponse func(sentAt time.Duration, from placement.VM, p ProbeResponse)
}

// Peers tracks the other VMs of the fleet. It is safe for concurrent use.
type Peers struct {
	cfg Config
	ctx context.Context

	mu    sync.Mutex
	peers map[ident.VMName]*peer
	hubs  []placement.VM
	// rateHolders are the hubs that hold shares of the rates.
	rateHolders []placement.VM
	// extraTargets are VMs to probe in addition to the hubs.
	extraTargets []ident.VMName
	// registered is set once this VM's registration has been read, and listedAt is the time
	// of the last read.
	registered bool
	listedAt   time.Duration
	// invalid holds the versions of the entries of the last list that are no registrations.
	invalid map[string]objectapi.Version
	// registerNow requests that this VM writes its registration again.
	registerNow chan struct{}
	// restarted is set if this VM was registered before it started.
	restarted bool
	// joinedAt is the time at which joining ended.
	joinedAt time.Duration
	// leaving is set if this VM is shutting down. It is then no hub, and executes
	// statements itself only if there is no other VM.
	leaving bool
	// joining is set while the VM does not connect to others yet, because it has not read
	// the registrations or waits for others to register.
	joining bool
}

// New returns a Peers without any other VM.
func New(cfg Config) *Peers {
	return &Peers{cfg: cfg, peers: map[ident.VMName]*peer{}, joining: true, registerNow: make(chan struct{}, 1)}
}

func placementVM(i relay.Identity) placement.VM {
	return placement.VM{Name: i.VM, Zone: i.Zone, Region: i.Region, Cores: i.Cores}
}

// Run registers this VM and probes the hubs until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for ctx.Err() == nil {
		wait := retryInterval
		switch {
		case p.requestMembers(ctx):
			wait = membersInterval
		case p.register(ctx):
			wait = p.nextRead()
		}
		p.finishJoining()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-p.registerNow:
			p.restoreRegistration(ctx)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.peers {
		q.client.Reset()
	}
}

// finishJoining allows connections to other VMs. This also happens if the store does not
// respond, because other VMs may already know this one and contact it.
func (p *Peers) finishJoining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.joining {
		p.joining, p.joinedAt = false, p.cfg.Now()
		p.updateHubs()
	}
}

// settleTime is the time after joining within which the hubs of this zone respond to
// their first probe, or are restarting with this VM.
const settleTime = 300 * time.Millisecond

// Settling reports whether this VM does not know yet which hubs of its zone are alive. It
// is false after settleTime. A hub that was registered already does not wait: after the
// loss of a zone the hubs restart together, and the other VMs wait for them.
func (p *Peers) Settling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.joining {
		return true
	}
	isHub := placement.Index(p.hubs, p.cfg.Self.VM) >= 0
	if p.cfg.Now() >= p.joinedAt+settleTime || p.restarted && isHub {
		return false
	}
	for _, q := range p.peers {
		if q.stopProbes != nil && q.identity.Zone == p.cfg.Self.Zone && !q.alive && !q.dead {
			return true
		}
	}
	return false
}

// Joining reports whether this VM has just started and does not know the others yet.
func (p *Peers) Joining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joining
}

// Hubs returns the live hubs ordered by name, including this VM if it is a hub. There are
// none while this VM is joining.
func (p *Peers) Hubs() []placement.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hubs
}

// RateHolders returns the live hubs that hold shares of the rates, ordered by name.
func (p *Peers) RateHolders() []placement.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rateHolders
}

// setHubs sets the live hubs; p.mu must be held.
func (p *Peers) setHubs(hubs []placement.VM) {
	p.hubs, p.rateHolders = hubs, placement.RateHolders(hubs)
}

// FleetSize returns the number of VMs of the fleet including this one. It counts VMs that
// do not respond, because they may only be partitioned from this one.
func (p *Peers) FleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers) + 1
}

// AliveCount returns the number of other VMs that respond to probes.
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

// RespondingHubs returns the number of hubs that respond, and of those and the VMs that would
// be hubs if they responded. Both include this VM if it is a hub.
func (p *Peers) RespondingHubs() (responding, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placement.Index(p.hubs, p.cfg.Self.VM) >= 0 {
		responding, known = 1, 1
	}
	for _, q := range p.peers {
		if q.stopProbes == nil || q.unwantedSince > 0 || q.leaving {
			continue
		}
		known++
		if q.alive && !q.suspect {
			responding++
		}
	}
	return responding, known
}

// Knows reports whether a VM is part of the fleet, whether it responds or not.
func (p *Peers) Knows(name ident.VMName) bool {
	_, ok := p.lookup(name)
	return ok || name == p.cfg.Self.VM
}

// HasVMs reports whether the fleet has VMs in a zone, whether they respond or not.
func (p *Peers) HasVMs(zone ident.AvailabilityZone) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.Self.Zone == zone {
		return true
	}
	for _, q := range p.peers {
		if q.identity.Zone == zone {
			return true
		}
	}
	return false
}

// Address returns the address of a VM that responds to probes, even if it is leaving.
func (p *Peers) Address(name ident.VMName) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q, ok := p.peers[name]; ok && q.alive {
		return q.identity.Address, true
	}
	return "", false
}

// lookup returns the peer with the given name.
func (p *Peers) lookup(name ident.VMName) (*peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.peers[name]
	return q, ok
}

// Call sends a request to a VM and decodes its response into response.
func (p *Peers) Call(ctx context.Context, to ident.VMName, kind relay.Kind, request, response any) error {
	q, ok := p.lookup(to)
	if !ok {
		return relay.ErrNotSent
	}
	return p.call(ctx, q, kind, request, response)
}

func (p *Peers) call(ctx context.Context, q *peer, kind relay.Kind, request, response any) error {
	if kind != KindView { // which waits for a change
		defer p.watchSilence(q)()
	}
	err := q.client.Call(ctx, kind, request, response)
	switch {
	case err == nil, errors.Is(err, relay.ErrResponseTooLarge):
		p.noteResponse(q)
	case ctx.Err() != nil && kind != KindView: // its time may be shorter than silenceLimit
		recovery.Go(p.cfg.Log, "probe silent peer", func() { p.probeSilent(q) })
	}
	return err
}

// respondedAt returns the time of the last response.
func (q *peer) respondedAt() time.Duration { return time.Duration(q.lastResponse.Load()) }
