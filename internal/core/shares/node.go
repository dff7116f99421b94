package shares

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// remoteCandidates is the number of VMs of other zones that a VM asks for tokens.
// It bounds the connections between zones.
const remoteCandidates = 32

// Outgoing is an action: send an ask to a VM.
type Outgoing struct {
	To      ident.VMName
	Message AskMessage
}

// Node is the escrow of one VM: its ledger and the buckets of all organisations.
// It is safe for concurrent use; a request that finds tokens in its bucket takes
// only the bucket's own lock.
type Node struct {
	self    detector.Member
	buckets sync.Map // ident.OrganisationName to *Bucket
	lastID  atomic.Uint64

	mu          sync.Mutex
	rng         *rand.Rand
	ledger      *Ledger
	entitled    entitlements
	peers       []candidate
	order       []ident.OrganisationName   // of the configuration in force, sorted
	ordered     ident.ConfigurationVersion // that order is made of
	parts       uint32
	usableUntil time.Duration
}

// NewNode returns the escrow of a VM that has just started.
func NewNode(now time.Duration, self detector.Member, rng *rand.Rand) *Node {
	n := &Node{
		self: self, rng: rng, entitled: entitlements{zone: self.Zone},
		ledger: NewLedger(now, self.Name, self.Incarnation, rng),
	}
	n.lastID.Store(rng.Uint64() >> 8)
	return n
}

// SetConfiguration takes the configuration in force.
func (n *Node) SetConfiguration(now time.Duration, c *configuration.Configuration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entitled.set(now, c)
	n.refresh(now)
}

// SetMembers takes the membership view.
func (n *Node) SetMembers(now time.Duration, members []detector.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var zone []Peer
	var local, remote []candidate
	for _, m := range members {
		if m.Name == n.self.Name {
			continue
		}
		if m.Zone == n.self.Zone {
			// A suspected VM is not yet treated as gone.
			alive := m.State == detector.Alive || m.State == detector.Suspect
			zone = append(zone, Peer{Name: m.Name, Incarnation: m.Incarnation, Alive: alive})
		}
		if m.State != detector.Alive {
			continue
		}
		if m.Zone == n.self.Zone {
			local = append(local, candidate{m.Name, true})
		} else {
			remote = append(remote, candidate{m.Name, false})
		}
	}
	n.ledger.SetView(now, zone)
	n.rng.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	n.peers = append(local, remote[:min(len(remote), remoteCandidates)]...)
}

// WithLedger runs a step of the ledger and applies its effect on the buckets.
func (n *Node) WithLedger(now time.Duration, step func(*Ledger)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	step(n.ledger)
	n.refreshIfChanged(now)
}

// Tick does the work that is due at now.
func (n *Node) Tick(now time.Duration) (Actions, []Outgoing) {
	n.mu.Lock()
	actions := n.ledger.Tick(now)
	if n.entitled.expire(now) {
		n.refresh(now)
	}
	n.refreshIfChanged(now)
	peers, order := n.peers, n.order
	n.mu.Unlock()
	asks := outbox{}
	for _, organisation := range order {
		if b, ok := n.Bucket(organisation); ok {
			n.ask(now, organisation, b, 0, peers, asks)
		}
	}
	return actions, asks.list()
}

// Short asks for the tokens that a waiting request needs.
func (n *Node) Short(now time.Duration, organisation ident.OrganisationName, tokens float64) []Outgoing {
	b, ok := n.Bucket(organisation)
	if !ok {
		return nil
	}
	n.mu.Lock()
	peers := n.peers
	n.mu.Unlock()
	asks := outbox{}
	n.ask(now, organisation, b, tokens, peers, asks)
	return asks.list()
}

// outbox collects the asks of all organisations by lender.
type outbox map[ident.VMName]*AskMessage

func (o outbox) to(name ident.VMName) *AskMessage {
	m, ok := o[name]
	if !ok {
		m = &AskMessage{}
		o[name] = m
	}
	return m
}

func (o outbox) list() []Outgoing {
	var out []Outgoing
	for to, m := range o {
		out = append(out, Outgoing{to, *m})
	}
	slices.SortFunc(out, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return out
}

func (n *Node) ask(now time.Duration, organisation ident.OrganisationName, b *Bucket, short float64, peers []candidate, asks outbox) {
	wants := b.Ask(now, short, peers, func() uint64 { return n.lastID.Add(1) })
	report := func(to ident.VMName) {
		for _, s := range b.Reports(now, to) {
			s.Organisation = organisation
			m := asks.to(to)
			m.Spent = append(m.Spent, s)
		}
	}
	for to, w := range wants {
		w.Organisation = organisation
		m := asks.to(to)
		m.Wants = append(m.Wants, w)
		report(to)
	}
	for _, to := range b.Unreported(now) {
		report(to)
	}
}

// ReceiveAsk lends to another VM. The answer is empty for a mere report.
func (n *Node) ReceiveAsk(now time.Duration, from ident.VMName, incarnation ident.Incarnation, m AskMessage) GrantMessage {
	for _, s := range m.Spent {
		if b, ok := n.Bucket(s.Organisation); ok {
			b.Release(now, from, incarnation, s.ID, s.Amount)
		}
	}
	answer := GrantMessage{Configuration: n.configurationVersion()}
	for _, w := range m.Wants {
		amount := 0.0
		if b, ok := n.Bucket(w.Organisation); ok {
			amount = b.Lend(now, from, incarnation, w.ID, w.Amount)
		}
		answer.Grants = append(answer.Grants, Want{ID: w.ID, Organisation: w.Organisation, Amount: amount})
	}
	return answer
}

// ReceiveGrant credits an answer and returns the organisations that got tokens.
func (n *Node) ReceiveGrant(now time.Duration, from ident.VMName, m GrantMessage) []ident.OrganisationName {
	if m.Configuration < n.configurationVersion() {
		return nil
	}
	var credited []ident.OrganisationName
	for _, g := range m.Grants {
		if b, ok := n.buckets.Load(g.Organisation); ok && b.(*Bucket).Credit(now, from, g) {
			credited = append(credited, g.Organisation)
		}
	}
	return credited
}

func (n *Node) configurationVersion() ident.ConfigurationVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.entitled.current == nil {
		return 0
	}
	return n.entitled.current.Version
}

// Bucket returns the bucket of an organisation of the configuration in force.
func (n *Node) Bucket(organisation ident.OrganisationName) (*Bucket, bool) {
	b, ok := n.buckets.Load(organisation)
	if !ok {
		return nil, false
	}
	return b.(*Bucket), true
}

// refreshIfChanged passes a change of parts or lease to the buckets.
func (n *Node) refreshIfChanged(now time.Duration) {
	if parts, until := n.ledger.Parts(now); parts != n.parts || until != n.usableUntil {
		n.refresh(now)
	}
}

// refresh gives every organisation a bucket, which accrues tokens from now on, and
// passes the entitlements on.
func (n *Node) refresh(now time.Duration) {
	n.parts, n.usableUntil = n.ledger.Parts(now)
	if n.entitled.current == nil {
		return
	}
	if current := n.entitled.current; current.Version != n.ordered {
		n.ordered = current.Version
		n.order = slices.Sorted(maps.Keys(current.Organisations))
	}
	for _, organisation := range n.order {
		if _, ok := n.buckets.Load(organisation); !ok {
			n.buckets.Store(organisation, NewBucket(now))
		}
	}
	n.buckets.Range(func(key, value any) bool {
		n.refreshBucket(now, key.(ident.OrganisationName), value.(*Bucket))
		return true
	})
}

func (n *Node) refreshBucket(now time.Duration, organisation ident.OrganisationName, b *Bucket) {
	if _, ok := n.entitled.current.Organisations[organisation]; ok {
		b.Set(now, n.entitlement(organisation))
		return
	}
	// Loans still count if the organisation returns, so the bucket stays until they
	// have ended.
	b.Set(now, Entitlement{})
	if b.Level(now).Lent == 0 {
		n.buckets.Delete(organisation)
	}
}

// entitlement returns what this VM may admit for an organisation.
func (n *Node) entitlement(organisation ident.OrganisationName) Entitlement {
	rate, burst := n.entitled.zoneShare(organisation)
	part := float64(n.parts) / TotalParts
	return Entitlement{
		Rate: rate * part, Burst: burst * part, Horizon: n.entitled.horizon(organisation),
		UsableUntil: n.usableUntil, LendAll: n.entitled.out(),
	}
}

// Dump describes the escrow of a VM.
type Dump struct {
	Parts        uint32                           `json:"parts"`
	LeaseLeft    time.Duration                    `json:"lease_left_ns"`
	Table        Table                            `json:"table"`
	TableVersion uint64                           `json:"table_version"`
	LastDecision string                           `json:"last_decision"`
	ZoneOut      bool                             `json:"zone_out"`
	Buckets      map[ident.OrganisationName]Level `json:"buckets"`
}

// Dump returns the state at now.
func (n *Node) Dump(now time.Duration) Dump {
	n.mu.Lock()
	d := Dump{LastDecision: n.ledger.LastDecision(), ZoneOut: n.entitled.out(), Buckets: map[ident.OrganisationName]Level{}}
	d.Table, d.TableVersion = n.ledger.Table()
	var until time.Duration
	d.Parts, until = n.ledger.Parts(now)
	d.LeaseLeft = max(0, until-now)
	n.mu.Unlock()
	n.buckets.Range(func(key, value any) bool {
		d.Buckets[key.(ident.OrganisationName)] = value.(*Bucket).Level(now)
		return true
	})
	return d
}
