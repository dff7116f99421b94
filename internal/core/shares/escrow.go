package shares

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// OutgoingRequest is a request to be sent to a VM.
type OutgoingRequest struct {
	To      ident.VMName
	Request BorrowRequest
}

// Escrow holds this VM's buckets of all organisations and transfers tokens between
// VMs. SetEntitlements sets what the VM may admit. It is safe for concurrent use; a
// request that finds tokens in its bucket takes only the bucket's own lock.
type Escrow struct {
	buckets sync.Map // ident.OrganisationName to *Bucket
	lastID  atomic.Uint64

	mu            sync.Mutex // guards the fields below
	peers         []candidate
	organisations []ident.OrganisationName // of the configuration in force, sorted
	version       ident.ConfigurationVersion
}

// NewEscrow returns an escrow without organisations. Transfers are numbered from
// firstID. The numbers must differ from those of earlier incarnations of the VM.
func NewEscrow(firstID uint64) *Escrow {
	e := &Escrow{}
	e.lastID.Store(firstID)
	return e
}

func (e *Escrow) setPeers(peers []candidate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

// SetPeers sets the VMs from which tokens may be borrowed.
func (e *Escrow) SetPeers(sameZone, otherZones []ident.VMName) {
	var peers []candidate
	for _, name := range sameZone {
		peers = append(peers, candidate{name, true})
	}
	for _, name := range otherZones {
		peers = append(peers, candidate{name, false})
	}
	e.setPeers(peers)
}

// SetOrganisations sets the organisations of a configuration, in any order.
func (e *Escrow) SetOrganisations(version ident.ConfigurationVersion, names []ident.OrganisationName) {
	e.setOrganisations(version, slices.Sorted(slices.Values(names)))
}

func (e *Escrow) setOrganisations(version ident.ConfigurationVersion, names []ident.OrganisationName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.organisations = version, names
}

func (e *Escrow) snapshot() ([]candidate, []ident.OrganisationName, ident.ConfigurationVersion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers, e.organisations, e.version
}

// SetEntitlements creates a bucket, which accrues tokens from now on, for every
// organisation without one and sets what this VM may admit.
func (e *Escrow) SetEntitlements(now time.Duration, entitlement func(ident.OrganisationName) Entitlement) {
	_, organisations, _ := e.snapshot()
	for _, organisation := range organisations {
		if _, ok := e.buckets.Load(organisation); !ok {
			e.buckets.Store(organisation, NewBucket(now))
		}
	}
	e.buckets.Range(func(key, value any) bool {
		organisation, b := key.(ident.OrganisationName), value.(*Bucket)
		if _, ok := slices.BinarySearch(organisations, organisation); ok {
			b.SetEntitlement(now, entitlement(organisation))
			return true
		}
		// Loans still lower the capacity if the organisation is added again, so the bucket
		// of a removed organisation is kept until they have ended.
		b.SetEntitlement(now, Entitlement{})
		if b.State(now).Lent == 0 {
			e.buckets.Delete(organisation)
		}
		return true
	})
}

// BorrowRequests returns the requests that are due at now.
func (e *Escrow) BorrowRequests(now time.Duration) []OutgoingRequest {
	peers, organisations, _ := e.snapshot()
	requests := outbox{}
	for _, organisation := range organisations {
		if b, ok := e.Bucket(organisation); ok {
			b.returnSurplus(now)
			e.collectRequests(now, organisation, b, 0, peers, requests)
		}
	}
	return requests.list()
}

// BucketStates returns snapshots of all buckets at now.
func (e *Escrow) BucketStates(now time.Duration) map[ident.OrganisationName]BucketState {
	states := map[ident.OrganisationName]BucketState{}
	e.buckets.Range(func(key, value any) bool {
		states[key.(ident.OrganisationName)] = value.(*Bucket).State(now)
		return true
	})
	return states
}

// Bucket returns the bucket of an organisation of the configuration in force.
func (e *Escrow) Bucket(organisation ident.OrganisationName) (*Bucket, bool) {
	b, ok := e.buckets.Load(organisation)
	if !ok {
		return nil, false
	}
	return b.(*Bucket), true
}

// RequestTokens returns the requests for the tokens that a waiting request needs.
func (e *Escrow) RequestTokens(now time.Duration, organisation ident.OrganisationName, tokens float64) []OutgoingRequest {
	b, ok := e.Bucket(organisation)
	if !ok {
		return nil
	}
	peers, _, _ := e.snapshot()
	requests := outbox{}
	e.collectRequests(now, organisation, b, tokens, peers, requests)
	return requests.list()
}

// outbox collects the requests for all organisations by lender.
type outbox map[ident.VMName]*BorrowRequest

func (o outbox) requestTo(name ident.VMName) *BorrowRequest {
	m, ok := o[name]
	if !ok {
		m = &BorrowRequest{}
		o[name] = m
	}
	return m
}

func (o outbox) list() []OutgoingRequest {
	var out []OutgoingRequest
	for to, m := range o {
		out = append(out, OutgoingRequest{to, *m})
	}
	slices.SortFunc(out, func(a, b OutgoingRequest) int { return cmp.Compare(a.To, b.To) })
	return out
}

// collectRequests adds the transfers and reports that are due for an organisation.
func (e *Escrow) collectRequests(now time.Duration, organisation ident.OrganisationName, b *Bucket, needed float64, peers []candidate, requests outbox) {
	newID := func() uint64 { return e.lastID.Add(1) }
	for to, id := range b.DelegationRequests(now, needed > 0, peers, newID) {
		m := requests.requestTo(to)
		m.Delegations = append(m.Delegations, DelegationRequest{ID: id, Organisation: organisation})
	}
	transfers := b.RequestTransfers(now, needed, peers, newID)
	report := func(to ident.VMName) {
		for _, s := range b.SpentReports(now, to) {
			s.Organisation = organisation
			m := requests.requestTo(to)
			m.SpentReports = append(m.SpentReports, s)
		}
	}
	for to, t := range transfers {
		t.Organisation = organisation
		m := requests.requestTo(to)
		m.Transfers = append(m.Transfers, t)
		report(to)
	}
	for _, to := range b.UnreportedLenders(now) {
		report(to)
	}
}

// HandleBorrowRequest lends to another VM. The response has no grants when the request
// only contains reports or requests for delegations.
func (e *Escrow) HandleBorrowRequest(now time.Duration, from ident.VMName, incarnation ident.Incarnation, m BorrowRequest) BorrowResponse {
	for _, s := range m.SpentReports {
		if b, ok := e.Bucket(s.Organisation); ok {
			b.ReleaseLoan(now, from, incarnation, s)
		}
	}
	_, _, version := e.snapshot()
	response := BorrowResponse{ConfigurationVersion: version}
	for _, t := range m.Transfers {
		amount := 0.0
		if b, ok := e.Bucket(t.Organisation); ok {
			amount = b.Lend(now, from, incarnation, t.ID, t.Amount)
		}
		response.Grants = append(response.Grants, Transfer{ID: t.ID, Organisation: t.Organisation, Amount: amount})
	}
	for _, r := range m.Delegations {
		var d Delegation
		if b, ok := e.Bucket(r.Organisation); ok {
			d = b.Delegate(now, from, incarnation, m.Address)
		}
		d.ID, d.Organisation = r.ID, r.Organisation
		response.Delegations = append(response.Delegations, d)
	}
	return response
}

// HandleBorrowResponse credits granted transfers and returns the organisations that
// got tokens.
func (e *Escrow) HandleBorrowResponse(now time.Duration, from ident.VMName, m BorrowResponse) []ident.OrganisationName {
	if _, _, version := e.snapshot(); m.ConfigurationVersion < version {
		return nil
	}
	var credited []ident.OrganisationName
	for _, g := range m.Grants {
		if b, ok := e.buckets.Load(g.Organisation); ok && b.(*Bucket).Credit(now, from, g) {
			credited = append(credited, g.Organisation)
		}
	}
	for _, d := range m.Delegations {
		if b, ok := e.buckets.Load(d.Organisation); ok && b.(*Bucket).CreditDelegation(now, from, d) {
			credited = append(credited, d.Organisation)
		}
	}
	return credited
}
