package peers

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Kinds of questions.
const (
	KindProbe relay.Kind = iota + 1
	KindExecute
	KindAbandon
	KindBorrow
	// KindReach asks whether a VM reaches an upstream.
	KindReach
)

// KindVM is the kind of the store's objects in which VMs register; the name is that
// of the VM.
const KindVM objectapi.Kind = "rosemarywall-vms"

// Probe asks a VM for what it knows. The connection names the VM that asks.
type Probe struct{}

// Pulse answers a Probe.
type Pulse struct {
	// Version and ProofAge are the configuration in force and the age of its proof.
	Version  ident.ConfigurationVersion `cbor:"1,keyasint,omitempty"`
	ProofAge time.Duration              `cbor:"2,keyasint,omitempty"`
	Proved   bool                       `cbor:"3,keyasint,omitempty"`
	// Leaving says that the VM stops and takes no more statements.
	Leaving     bool              `cbor:"4,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// PartsVersion is the version of the table of rate parts that the VM has read, and
	// PartsAge the age of its reading.
	PartsVersion uint64        `cbor:"6,keyasint,omitempty"`
	PartsAge     time.Duration `cbor:"8,keyasint,omitempty"`
	// Digest stands for the registrations and the zones to be left that the VM knows.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
}

// Store holds the registrations.
type Store interface {
	List(ctx context.Context, kind objectapi.Kind) (objectapi.Changes, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
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
)

// peer is another VM.
type peer struct {
	identity relay.Identity
	client   *relay.Client
	alive    bool
	leaving  bool
	wake     chan struct{}
	cancel   context.CancelFunc
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
	// OnPulse is told each answer and when the question was sent.
	OnPulse func(askedAt time.Duration, from ident.VMName, p Pulse)
}

// Peers knows the other VMs. It is safe for concurrent use.
type Peers struct {
	cfg Config
	ctx context.Context

	mu    sync.Mutex
	peers map[ident.VMName]*peer
	live  []placement.VM
	// leaving says that this VM stops and executes for itself only without another VM.
	leaving bool
}

// New returns Peers that knows only this VM.
func New(cfg Config) *Peers {
	p := &Peers{cfg: cfg, peers: map[ident.VMName]*peer{}}
	p.live = []placement.VM{p.self()}
	return p
}

func (p *Peers) self() placement.VM {
	return placement.VM{Name: p.cfg.Self.VM, Zone: p.cfg.Self.Zone, Region: p.cfg.Self.Region}
}

// Run registers this VM and probes the others until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for ctx.Err() == nil {
		wait := retryEvery
		if p.register(ctx) {
			wait = relistEvery
		}
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

// registration is the value of a KindVM object.
type registration struct {
	Address string                 `json:"address"`
	Zone    ident.AvailabilityZone `json:"zone"`
	Region  ident.Region           `json:"region"`
}

// register writes this VM's registration if it is missing or differs, and learns of
// the others. Registrations are read after the write, so that of two VMs that start
// together at least one sees the other.
func (p *Peers) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	mine := registration{Address: p.cfg.Self.Address, Zone: p.cfg.Self.Zone, Region: p.cfg.Self.Region}
	for range 2 {
		all, err := p.cfg.Store.List(ctx, KindVM)
		if err != nil {
			p.cfg.Log.Debug().Err(err).Msg("registrations of VMs not read")
			return false
		}
		present, version := p.learn(all.Objects)
		if present == mine {
			return true
		}
		if _, err := p.cfg.Store.Put(ctx, KindVM, string(p.cfg.Self.VM), mine, version); err != nil {
			p.cfg.Log.Warn().Err(err).Bool("conflict", resultcode.Is(err, resultcode.PlatformConflict)).Msg("VM not registered")
			return false
		}
	}
	return true
}

// learn takes a list of registrations and returns this VM's own.
func (p *Peers) learn(objects []objectapi.Object) (registration, objectapi.Version) {
	var own registration
	var version objectapi.Version
	for _, o := range objects {
		var r registration
		if err := o.Decode(&r); err != nil {
			p.cfg.Log.Warn().Err(err).Str("object", o.Name).Msg("registration of a VM ignored")
			continue
		}
		if o.Name == string(p.cfg.Self.VM) {
			own, version = r, o.Version
			continue
		}
		p.meet(relay.Identity{VM: ident.VMName(o.Name), Zone: r.Zone, Region: r.Region, Address: r.Address})
	}
	return own, version
}

// Meet learns of a VM from its question.
func (p *Peers) Meet(identity relay.Identity) {
	if identity.VM != p.cfg.Self.VM && identity.Address != "" {
		p.meet(identity)
	}
}

func (p *Peers) meet(identity relay.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[identity.VM]
	if ok && known.identity.Address == identity.Address {
		if !known.alive {
			nudge(known.wake) // it has just asked, so it lives
		}
		return
	}
	if ok {
		known.cancel()
		known.client.Reset()
	}
	if p.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	q := &peer{identity: identity, wake: make(chan struct{}, 1), cancel: cancel,
		client: relay.NewClient(p.cfg.Self, identity.Address, p.cfg.Dial)}
	p.peers[identity.VM] = q
	go p.probe(ctx, q)
}

func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probe asks a VM again and again until ctx ends.
func (p *Peers) probe(ctx context.Context, q *peer) {
	for ctx.Err() == nil {
		askedAt := p.cfg.Now()
		pulse, err := p.ask(ctx, q)
		if ctx.Err() != nil {
			return
		}
		p.mark(q, err == nil, pulse.Leaving)
		wait := deadInterval
		if err == nil {
			p.cfg.OnPulse(askedAt, q.identity.VM, pulse)
			wait = p.cfg.ProbeInterval
		}
		select {
		case <-ctx.Done():
		case <-q.wake:
		case <-time.After(wait):
		}
	}
}

func (p *Peers) ask(ctx context.Context, q *peer) (Pulse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var pulse Pulse
	err := q.client.Ask(ctx, KindProbe, Probe{}, &pulse)
	if err != nil {
		q.client.Reset()
	}
	return pulse, err
}

// mark records whether a VM answers.
func (p *Peers) mark(q *peer, alive, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := q.alive != alive || q.leaving != leaving
	q.alive, q.leaving = alive, leaving
	if changed {
		p.cfg.Log.Info().Str("peer", string(q.identity.VM)).Bool("alive", alive).Bool("leaving", leaving).Msg("peer changed")
		p.rebuild()
	}
}

// suspect stops the use of a VM whose connection failed until it answers a probe.
func (p *Peers) suspect(q *peer) {
	p.mark(q, false, q.leaving)
	nudge(q.wake)
}

func (p *Peers) rebuild() {
	var live []placement.VM
	for _, q := range p.peers {
		if q.alive && !q.leaving {
			live = append(live, placement.VM{Name: q.identity.VM, Zone: q.identity.Zone, Region: q.identity.Region})
		}
	}
	if !p.leaving || len(live) == 0 {
		live = append(live, p.self())
	}
	slices.SortFunc(live, func(a, b placement.VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	p.live = live
}

// Leave takes this VM out of the live ones that it knows.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.rebuild()
}

// Live returns the live VMs, this one included unless it leaves, ordered by name.
func (p *Peers) Live() []placement.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live
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

// Ask sends a question to a VM.
func (p *Peers) Ask(ctx context.Context, to ident.VMName, kind relay.Kind, question, answer any) error {
	q, ok := p.get(to)
	if !ok {
		return relay.ErrNotSent
	}
	return q.client.Ask(ctx, kind, question, answer)
}
