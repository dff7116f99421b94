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
	// KindView asks for what a VM has read in the store.
	KindView
	// KindTake asks a VM that holds rates to spend an operation.
	KindTake
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
	// OnPulse is told each answer and when the question was sent.
	OnPulse func(askedAt time.Duration, from placement.VM, p Pulse)
}

// Peers knows the other VMs. It is safe for concurrent use.
type Peers struct {
	cfg Config
	ctx context.Context

	mu    sync.Mutex
	peers map[ident.VMName]*peer
	hubs  []placement.VM
	// watched are VMs to probe beside the hubs.
	watched []ident.VMName
	// leaving says that this VM stops and executes for itself only without another VM.
	leaving bool
}

// New returns Peers that knows only this VM.
func New(cfg Config) *Peers {
	p := &Peers{cfg: cfg, peers: map[ident.VMName]*peer{}}
	p.hubs = []placement.VM{placementOf(cfg.Self)}
	return p
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
	// Cores is the processor capacity.
	Cores float64 `json:"cores"`
}

// register writes this VM's registration if it is missing or differs, and learns of
// the others. Registrations are read after the write, so that of two VMs that start
// together at least one sees the other.
func (p *Peers) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	self := p.cfg.Self
	mine := registration{Address: self.Address, Zone: self.Zone, Region: self.Region, Cores: self.Cores}
	for range 2 {
		all, err := p.cfg.Store.List(ctx, KindVM)
		if err != nil {
			p.cfg.Log.Debug().Err(err).Msg("registrations of VMs not read")
			return false
		}
		present, version := p.learn(all.Objects)
		if present == mine {
			p.forgetGone(ctx)
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
	listed := map[ident.VMName]bool{}
	p.mu.Lock()
	defer p.mu.Unlock()
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
		name := ident.VMName(o.Name)
		listed[name] = true
		p.meet(relay.Identity{VM: name, Zone: r.Zone, Region: r.Region, Address: r.Address, Cores: r.Cores})
		if q := p.peers[name]; q != nil {
			q.version = o.Version
		}
	}
	for name, q := range p.peers {
		if !listed[name] && q.dead {
			p.drop(q)
		}
	}
	p.rebuild()
	return own, version
}

// Meet learns of a VM from its question.
func (p *Peers) Meet(identity relay.Identity) {
	if identity.VM == p.cfg.Self.VM || identity.Address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meet(identity) {
		p.rebuild()
	}
}

// meet records a VM and reports whether it was new; p.mu is held.
func (p *Peers) meet(identity relay.Identity) bool {
	known, ok := p.peers[identity.VM]
	if ok && known.identity.Address == identity.Address {
		if known.dead {
			nudge(known.wake) // it has just asked, so it lives
		}
		return false
	}
	if ok {
		p.drop(known)
	}
	if p.ctx == nil {
		return false
	}
	p.peers[identity.VM] = &peer{identity: identity, wake: make(chan struct{}, 1),
		client: relay.NewClient(p.cfg.Self, identity.Address, p.cfg.Dial)}
	return true
}

// drop forgets a VM; p.mu is held.
func (p *Peers) drop(q *peer) {
	if q.stop != nil {
		q.stop()
	}
	q.client.Reset()
	delete(p.peers, q.identity.VM)
}

// forgetGone removes the registrations of VMs that have not answered for long, so
// that VMs which were taken out of service are not probed for ever. One that lives
// after all registers again.
func (p *Peers) forgetGone(ctx context.Context) {
	p.mu.Lock()
	first := placement.Place(p.hubs, "registrations", p.cfg.Self.VM) == 0
	gone := map[ident.VMName]objectapi.Version{}
	for name, q := range p.peers {
		if first && q.dead && q.version > 0 && p.cfg.Now() >= q.deadSince+goneAfter {
			gone[name] = q.version
		}
	}
	p.mu.Unlock()
	for name, version := range gone {
		err := p.cfg.Store.Delete(ctx, KindVM, string(name), version)
		p.cfg.Log.Info().Err(err).Str("peer", string(name)).Msg("registration of a gone VM removed")
	}
}

func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probe asks a VM again and again until ctx ends.
func (p *Peers) probe(ctx context.Context, q *peer) {
	for ctx.Err() == nil && !p.ended(q) {
		askedAt := p.cfg.Now()
		pulse, err := p.ask(ctx, q)
		if ctx.Err() != nil {
			return
		}
		p.mark(q, err == nil, pulse.Leaving)
		wait := deadInterval
		if err == nil {
			p.cfg.OnPulse(askedAt, placementOf(q.identity), pulse)
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
	if p.peers[q.identity.VM] != q || q.alive == alive && q.dead == !alive && q.leaving == leaving {
		return
	}
	if !alive && !q.dead {
		q.deadSince = p.cfg.Now()
	}
	q.alive, q.dead, q.leaving = alive, !alive, leaving
	p.cfg.Log.Info().Str("peer", string(q.identity.VM)).Bool("alive", alive).Bool("leaving", leaving).Msg("peer changed")
	p.rebuild()
}

// suspect stops the use of a VM whose connection failed until it answers a probe.
func (p *Peers) suspect(q *peer) {
	p.mark(q, false, q.leaving)
	nudge(q.wake)
}

// rebuild chooses the hubs, and starts and ends probes accordingly; p.mu is held.
func (p *Peers) rebuild() {
	candidates := []placement.Candidate{{VM: placementOf(p.cfg.Self), Leaving: p.leaving}}
	for _, q := range p.peers {
		candidates = append(candidates, placement.Candidate{VM: placementOf(q.identity), Dead: q.dead, Leaving: q.leaving})
	}
	chosen, names := placement.Hubs(candidates)
	var hubs []placement.VM
	for _, v := range chosen {
		if q := p.peers[v.Name]; q == nil || q.alive {
			hubs = append(hubs, v)
		}
	}
	p.hubs = hubs
	p.probeOnly(append(names, p.watched...))
}

// probeOnly probes the named VMs and no others; p.mu is held.
func (p *Peers) probeOnly(names []ident.VMName) {
	wanted := map[ident.VMName]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	for name, q := range p.peers {
		switch {
		case wanted[name]:
			q.unwanted = 0
			if q.stop == nil {
				var ctx context.Context
				ctx, q.stop = context.WithCancel(p.ctx)
				go p.probe(ctx, q)
			}
		case q.stop != nil && q.unwanted == 0:
			q.unwanted = p.cfg.Now()
		}
	}
}

// ended ends the probes of a VM that has been unwanted for long enough.
func (p *Peers) ended(q *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.unwanted == 0 || p.cfg.Now() < q.unwanted+probeOn {
		return false
	}
	q.stop()
	q.stop, q.alive, q.dead, q.unwanted = nil, false, false, 0
	return true
}

// Watch probes VMs beside the hubs, because what they hold matters.
func (p *Peers) Watch(names []ident.VMName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(names, p.watched) {
		p.watched = slices.Clone(names)
		p.rebuild()
	}
}

// Leave takes this VM out of the hubs that it knows.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.rebuild()
}

// Hubs returns the hubs that answer, ordered by name; this VM is among them if it is
// a hub.
func (p *Peers) Hubs() []placement.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hubs
}

// Population returns the number of VMs of the fleet, this one included. VMs that do
// not answer count, because they may only be cut off from this one.
func (p *Peers) Population() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers) + 1
}

// Alive returns the number of other VMs that answer probes.
func (p *Peers) Alive() int {
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

// Ask sends a question to a VM.
func (p *Peers) Ask(ctx context.Context, to ident.VMName, kind relay.Kind, question, answer any) error {
	q, ok := p.get(to)
	if !ok {
		return relay.ErrNotSent
	}
	return q.client.Ask(ctx, kind, question, answer)
}
