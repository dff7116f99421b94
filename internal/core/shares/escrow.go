package shares

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// OutgoingRequest is an action: send an ask to a VM.
type OutgoingRequest struct {
	To      ident.VMName
	Request BorrowRequest
}

// Escrow holds this VM's buckets of all organisations and moves tokens between VMs.
// What the VM may admit is told to it by Entitle. It is safe for concurrent use; a
// request that finds tokens in its bucket takes only the bucket's own lock.
type Escrow struct {
	buckets sync.Map // ident.OrganisationName to *Bucket
	lastID  atomic.Uint64

	view    sync.Mutex // guards the fields below
	peers   []candidate
	order   []ident.OrganisationName // of the configuration in force, sorted
	version ident.ConfigurationVersion
}

// NewEscrow returns an escrow without organisations. Transfers are numbered from
// firstID, which must differ from those of earlier lives of the VM.
func NewEscrow(firstID uint64) *Escrow {
	e := &Escrow{}
	e.lastID.Store(firstID)
	return e
}

func (e *Escrow) setPeers(peers []candidate) {
	e.view.Lock()
	defer e.view.Unlock()
	e.peers = peers
}

// SetPeers names the VMs that may be asked for tokens.
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

// SetOrganisations takes the organisations of a configuration, in any order.
func (e *Escrow) SetOrganisations(version ident.ConfigurationVersion, names []ident.OrganisationName) {
	e.setOrganisations(version, slices.Sorted(slices.Values(names)))
}

func (e *Escrow) setOrganisations(version ident.ConfigurationVersion, order []ident.OrganisationName) {
	e.view.Lock()
	defer e.view.Unlock()
	e.version, e.order = version, order
}

func (e *Escrow) known() ([]candidate, []ident.OrganisationName, ident.ConfigurationVersion) {
	e.view.Lock()
	defer e.view.Unlock()
	return e.peers, e.order, e.version
}

// SetEntitlements gives every organisation of the configuration a bucket, which accrues
// tokens from now on, and sets what this VM may admit.
func (e *Escrow) SetEntitlements(now time.Duration, entitlement func(ident.OrganisationName) Entitlement) {
	_, order, _ := e.known()
	for _, organisation := range order {
		if _, ok := e.buckets.Load(organisation); !ok {
			e.buckets.Store(organisation, NewBucket(now))
		}
	}
	e.buckets.Range(func(key, value any) bool {
		organisation, b := key.(ident.OrganisationName), value.(*Bucket)
		if _, ok := slices.BinarySearch(order, organisation); ok {
			b.SetEntitlement(now, entitlement(organisation))
			return true
		}
		// Loans still count if the organisation returns, so the bucket stays until they
		// have ended.
		b.SetEntitlement(now, Entitlement{})
		if b.State(now).Lent == 0 {
			e.buckets.Delete(organisation)
		}
		return true
	})
}

// BorrowRequests returns the transfers to ask for at now.
func (e *Escrow) BorrowRequests(now time.Duration) []OutgoingRequest {
	peers, order, _ := e.known()
	asks := outbox{}
	for _, organisation := range order {
		if b, ok := e.Bucket(organisation); ok {
			e.ask(now, organisation, b, 0, peers, asks)
		}
	}
	return asks.list()
}

// BucketStates returns the state of all buckets.
func (e *Escrow) BucketStates(now time.Duration) map[ident.OrganisationName]BucketState {
	levels := map[ident.OrganisationName]BucketState{}
	e.buckets.Range(func(key, value any) bool {
		levels[key.(ident.OrganisationName)] = value.(*Bucket).State(now)
		return true
	})
	return levels
}

// Bucket returns the bucket of an organisation of the configuration in force.
func (e *Escrow) Bucket(organisation ident.OrganisationName) (*Bucket, bool) {
	b, ok := e.buckets.Load(organisation)
	if !ok {
		return nil, false
	}
	return b.(*Bucket), true
}

// RequestTokens asks for the tokens that a waiting request needs.
func (e *Escrow) RequestTokens(now time.Duration, organisation ident.OrganisationName, tokens float64) []OutgoingRequest {
	b, ok := e.Bucket(organisation)
	if !ok {
		return nil
	}
	peers, _, _ := e.known()
	asks := outbox{}
	e.ask(now, organisation, b, tokens, peers, asks)
	return asks.list()
}

// outbox collects the asks of all organisations by lender.
type outbox map[ident.VMName]*BorrowRequest

func (o outbox) to(name ident.VMName) *BorrowRequest {
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

func (e *Escrow) ask(now time.Duration, organisation ident.OrganisationName, b *Bucket, short float64, peers []candidate, asks outbox) {
	wants := b.RequestTransfers(now, short, peers, func() uint64 { return e.lastID.Add(1) })
	report := func(to ident.VMName) {
		for _, s := range b.SpentReports(now, to) {
			s.Organisation = organisation
			m := asks.to(to)
			m.SpentReports = append(m.SpentReports, s)
		}
	}
	for to, w := range wants {
		w.Organisation = organisation
		m := asks.to(to)
		m.Transfers = append(m.Transfers, w)
		report(to)
	}
	for _, to := range b.UnreportedLenders(now) {
		report(to)
	}
}

// HandleBorrowRequest lends to another VM. The answer is empty for a mere report.
func (e *Escrow) HandleBorrowRequest(now time.Duration, from ident.VMName, incarnation ident.Incarnation, m BorrowRequest) BorrowResponse {
	for _, s := range m.SpentReports {
		if b, ok := e.Bucket(s.Organisation); ok {
			b.ReleaseLoan(now, from, incarnation, s.ID, s.Amount)
		}
	}
	_, _, version := e.known()
	answer := BorrowResponse{ConfigurationVersion: version}
	for _, w := range m.Transfers {
		amount := 0.0
		if b, ok := e.Bucket(w.Organisation); ok {
			amount = b.Lend(now, from, incarnation, w.ID, w.Amount)
		}
		answer.Grants = append(answer.Grants, Transfer{ID: w.ID, Organisation: w.Organisation, Amount: amount})
	}
	return answer
}

// HandleBorrowResponse credits an answer and returns the organisations that got tokens.
func (e *Escrow) HandleBorrowResponse(now time.Duration, from ident.VMName, m BorrowResponse) []ident.OrganisationName {
	if _, _, version := e.known(); m.ConfigurationVersion < version {
		return nil
	}
	var credited []ident.OrganisationName
	for _, g := range m.Grants {
		if b, ok := e.buckets.Load(g.Organisation); ok && b.(*Bucket).Credit(now, from, g) {
			credited = append(credited, g.Organisation)
		}
	}
	return credited
}
