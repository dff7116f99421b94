package shares

import (
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Limits of asking.
const (
	// peersPerRound is the number of VMs asked at once.
	peersPerRound = 4
	// firstInterval and lastInterval bound the time between rounds; fruitless rounds
	// double it, since an organisation above its rate finds tokens nowhere.
	firstInterval = 25 * time.Millisecond
	lastInterval  = 400 * time.Millisecond
	// answerTime is the time after which an unanswered ask no longer counts as
	// supply. It exceeds a round trip between regions.
	answerTime = 60 * time.Millisecond
	// dryTime is the time that a VM is asked last after it gave little.
	dryTime = 300 * time.Millisecond
	// minimumAsk avoids transfers that cost more than they help.
	minimumAsk = 1.0
	// reportAfter is the time after which finished credits are reported without an
	// ask to ride on.
	reportAfter = 250 * time.Millisecond
)

// ask is a question in flight.
type ask struct {
	to     ident.VMName
	at     time.Duration
	amount float64
}

// lender is what a borrower remembers about another VM.
type lender struct {
	asked    time.Duration
	dryUntil time.Duration
}

// borrower is the asking side of a bucket.
type borrower struct {
	asks     map[uint64]ask
	lenders  map[ident.VMName]*lender
	next     time.Duration
	interval time.Duration
	wanted   float64 // by the last round
	got      float64 // in answer to the last round
}

func newBorrower() borrower {
	return borrower{asks: map[uint64]ask{}, lenders: map[ident.VMName]*lender{}, interval: firstInterval}
}

// Transfer asks for tokens of one organisation.
type Transfer struct {
	ID           uint64                 `cbor:"1,keyasint"`
	Organisation ident.OrganisationName `cbor:"2,keyasint"`
	Amount       float64                `cbor:"3,keyasint"`
}

// SpentReport reports the part of a transfer that was spent or can no longer be spent.
type SpentReport struct {
	ID           uint64                 `cbor:"1,keyasint"`
	Organisation ident.OrganisationName `cbor:"2,keyasint"`
	Amount       float64                `cbor:"3,keyasint"`
}

// BorrowRequest goes from a borrower to a lender.
type BorrowRequest struct {
	Transfers    []Transfer    `cbor:"1,keyasint,omitempty"`
	SpentReports []SpentReport `cbor:"2,keyasint,omitempty"`
}

// BorrowResponse answers the wants of an AskMessage. An amount of zero means that
// the lender has none to spare.
type BorrowResponse struct {
	Grants []Transfer `cbor:"1,keyasint"`
	// ConfigurationVersion is the version that the lender's entitlement follows. A borrower
	// of a newer one takes nothing: the lender may not know of a lower rate.
	ConfigurationVersion ident.ConfigurationVersion `cbor:"2,keyasint"`
}

// candidate is a VM that may be asked.
type candidate struct {
	name     ident.VMName
	sameZone bool
}

// RequestTransfers returns the amounts to ask of other VMs when the bucket is about to run
// short, or when a waiting request needs short tokens. newID gives identifiers
// that this incarnation never uses again.
func (b *Bucket) RequestTransfers(now time.Duration, short float64, peers []candidate, newID func() uint64) map[ident.VMName]Transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if now < b.borrower.next || len(peers) == 0 {
		return nil
	}
	want := b.wanted(now, short)
	if want <= 0 {
		return nil
	}
	b.pace(now, want)
	chosen := b.choose(now, peers)
	out := make(map[ident.VMName]Transfer, len(chosen))
	for _, name := range chosen {
		w := Transfer{ID: newID(), Amount: max(minimumAsk, want/float64(len(chosen)))}
		b.borrower.asks[w.ID] = ask{to: name, at: now, amount: w.Amount}
		out[name] = w
	}
	return out
}

// wanted returns the tokens missing for the demand of the next horizon; zero while
// half of it is covered, which keeps rounds large and rare.
func (b *Bucket) wanted(now time.Duration, short float64) float64 {
	pending := 0.0
	for id, a := range b.borrower.asks {
		if now-a.at >= LoanValidity {
			delete(b.borrower.asks, id)
		} else if now-a.at < answerTime {
			pending += a.amount
		}
	}
	supply := b.tokens + b.borrowed() + pending
	need := b.need(now)
	if supply >= need/2 && supply >= short {
		return 0
	}
	return max(need, short, minimumAsk) - supply
}

// pace sets the time of the next round from the success of the last one.
func (b *Bucket) pace(now time.Duration, want float64) {
	r := &b.borrower
	if r.wanted > 0 && r.got < r.wanted/10 {
		r.interval = min(2*r.interval, lastInterval)
	} else {
		r.interval = firstInterval
	}
	r.wanted, r.got = want, 0
	r.next = now + r.interval
	if want < b.need(now)*3/4 {
		// Enough is left for a quarter of the horizon: fewer, larger rounds.
		r.next = max(r.next, now+b.horizon/3)
	}
}

// choose takes the VMs that are not known to be dry, own zone first, then those
// asked longest ago.
func (b *Bucket) choose(now time.Duration, peers []candidate) []ident.VMName {
	type ranked struct {
		candidate
		dry   bool
		asked time.Duration
	}
	all := make([]ranked, 0, len(peers))
	for _, p := range peers {
		r := ranked{candidate: p, asked: -1}
		if l, ok := b.borrower.lenders[p.name]; ok {
			r.dry, r.asked = l.dryUntil > now, l.asked
		}
		all = append(all, r)
	}
	sort.SliceStable(all, func(i, j int) bool {
		x, y := all[i], all[j]
		if x.dry != y.dry {
			return y.dry
		}
		if x.sameZone != y.sameZone {
			return x.sameZone
		}
		return x.asked < y.asked
	})
	var names []ident.VMName
	for _, r := range all[:min(peersPerRound, len(all))] {
		names = append(names, r.name)
		l, ok := b.borrower.lenders[r.name]
		if !ok {
			l = &lender{}
			b.borrower.lenders[r.name] = l
		}
		l.asked = now
	}
	return names
}

// Credit takes an answer. It returns false for an answer that is not credited:
// late, repeated, or of another VM than the one asked.
func (b *Bucket) Credit(now time.Duration, from ident.VMName, g Transfer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	a, ok := b.borrower.asks[g.ID]
	if !ok || a.to != from || !(g.Amount >= 0) || g.Amount > a.amount {
		return false
	}
	delete(b.borrower.asks, g.ID)
	if l := b.borrower.lenders[from]; l != nil && g.Amount < a.amount/2 {
		l.dryUntil = now + dryTime
	}
	b.borrower.got += g.Amount
	if g.Amount == 0 {
		return false
	}
	c := &credit{id: g.ID, lender: from, amount: g.Amount, until: a.at + LoanValidity}
	b.credits = append(b.credits, c)
	return c.until > now
}

// SpentReports returns what was spent of the transfers of one lender since the last
// report to it.
func (b *Bucket) SpentReports(now time.Duration, to ident.VMName) []SpentReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	var out []SpentReport
	for _, c := range b.credits {
		spent := c.spent
		if c.until <= now {
			spent = c.amount // the rest can no longer be spent
		}
		if c.lender == to && spent > c.reported {
			c.reported = spent
			out = append(out, SpentReport{ID: c.id, Amount: spent})
		}
	}
	return out
}

// UnreportedLenders returns the lenders whose finished transfers wait for a report since
// longer than is useful.
func (b *Bucket) UnreportedLenders(now time.Duration) []ident.VMName {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	var out []ident.VMName
	for _, c := range b.credits {
		finished := c.until <= now || c.spent >= c.amount
		if finished && c.reported < c.amount && now >= c.until-LoanValidity+reportAfter {
			out = append(out, c.lender)
		}
	}
	return out
}
