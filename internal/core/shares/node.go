package shares

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// maxRemoteCandidates is the number of VMs in other zones from which a VM borrows
// tokens. It bounds the connections between zones.
const maxRemoteCandidates = 32

// Node is the escrow of one VM: its ledger and the buckets of all organisations.
// It is safe for concurrent use; a request that finds tokens in its bucket takes
// only the bucket's own lock.
type Node struct {
	*Escrow
	self detector.Member

	mu                   sync.Mutex
	rng                  *rand.Rand
	ledger               *Ledger
	entitlements         entitlements
	organisationsVersion ident.ConfigurationVersion // of the organisations passed to the escrow
	shareUnits           uint32
	usableUntil          time.Duration
}

// NewNode returns the escrow of a VM that has just started.
func NewNode(now time.Duration, self detector.Member, rng *rand.Rand) *Node {
	n := &Node{
		Escrow: NewEscrow(rng.Uint64() >> 8), self: self, rng: rng, entitlements: entitlements{zone: self.Zone},
		ledger: NewLedger(now, self.Name, self.Incarnation, rng),
	}
	return n
}

// SetConfiguration sets the configuration in force.
func (n *Node) SetConfiguration(now time.Duration, c *configuration.Configuration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entitlements.setConfiguration(now, c)
	n.refreshBuckets(now)
}

// SetMembers sets the membership view.
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
			// A suspected VM still counts as alive.
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
	n.ledger.SetPeers(now, zone)
	n.rng.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	n.setPeers(append(local, remote[:min(len(remote), maxRemoteCandidates)]...))
}

// WithLedger calls step with the ledger and applies the effect on the buckets.
func (n *Node) WithLedger(now time.Duration, step func(*Ledger)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	step(n.ledger)
	n.refreshBucketsIfChanged(now)
}

// Tick does the work that is due at now.
func (n *Node) Tick(now time.Duration) (Actions, []OutgoingRequest) {
	n.mu.Lock()
	actions := n.ledger.Tick(now)
	if n.entitlements.expire(now) {
		n.refreshBuckets(now)
	}
	n.refreshBucketsIfChanged(now)
	n.mu.Unlock()
	return actions, n.BorrowRequests(now)
}

// refreshBucketsIfChanged applies a change of share units or lease to the buckets.
func (n *Node) refreshBucketsIfChanged(now time.Duration) {
	if units, until := n.ledger.ShareUnits(now); units != n.shareUnits || until != n.usableUntil {
		n.refreshBuckets(now)
	}
}

// refreshBuckets creates missing buckets, which accrue tokens from now on, and sets
// the entitlements of all.
func (n *Node) refreshBuckets(now time.Duration) {
	n.shareUnits, n.usableUntil = n.ledger.ShareUnits(now)
	if n.entitlements.current == nil {
		return
	}
	if current := n.entitlements.current; current.Version != n.organisationsVersion {
		n.organisationsVersion = current.Version
		n.setOrganisations(current.Version, slices.Sorted(maps.Keys(current.Organisations)))
	}
	n.SetEntitlements(now, n.entitlement)
}

// entitlement returns what this VM may admit for an organisation.
func (n *Node) entitlement(organisation ident.OrganisationName) Entitlement {
	rate, burst := n.entitlements.zoneShare(organisation)
	fraction := float64(n.shareUnits) / TotalShareUnits
	return Entitlement{
		Rate: rate * fraction, Burst: burst * fraction, DemandHorizon: n.entitlements.demandHorizon(organisation),
		UsableUntil: n.usableUntil, LendAll: n.entitlements.zoneOut(),
	}
}

// Dump describes the escrow of a VM.
type Dump struct {
	ShareUnits   uint32                                 `json:"parts"`
	LeaseLeft    time.Duration                          `json:"lease_left_ns"`
	Table        Table                                  `json:"table"`
	TableVersion uint64                                 `json:"table_version"`
	LastDecision string                                 `json:"last_decision"`
	ZoneOut      bool                                   `json:"zone_out"`
	Buckets      map[ident.OrganisationName]BucketState `json:"buckets"`
}

// Dump returns the state of the escrow at now.
func (n *Node) Dump(now time.Duration) Dump {
	n.mu.Lock()
	d := Dump{LastDecision: n.ledger.LastDecision(), ZoneOut: n.entitlements.zoneOut()}
	d.Table, d.TableVersion = n.ledger.Table()
	var until time.Duration
	d.ShareUnits, until = n.ledger.ShareUnits(now)
	d.LeaseLeft = max(0, until-now)
	n.mu.Unlock()
	d.Buckets = n.BucketStates(now)
	return d
}
