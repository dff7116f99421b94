package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// shareTick is the time between steps of the escrow, as in the controller.
const shareTick = 20 * time.Millisecond

// escrow is one zone of VMs that share rates, on virtual time.
type escrow struct {
	*timeline
	members       []detector.Member
	nodes         []*shares.Node
	number        map[ident.VMName]int
	organisations []ident.OrganisationName
	perTick       float64 // statements of one organisation on one VM and tick
	servers       int     // VMs that serve one organisation

	totals escrowRun
	err    error
}

// escrowRun counts what a zone did.
type escrowRun struct {
	LeaseMessages, LeaseBytes       float64 // per VM and second
	TransferMessages, TransferBytes float64 // per VM and second
	Processor                       time.Duration
	Requests, Refused               int
	Memory                          float64 // bytes per VM
	TableBytes                      int
}

func organisationName(i int) ident.OrganisationName {
	return ident.OrganisationName(fmt.Sprintf("organisation-%04d", i))
}

// shareConfiguration has one zone and organisations of the given rate.
func shareConfiguration(organisations int, rate float64) *configuration.Configuration {
	c := configuration.Empty()
	c.Version = 1
	c.Zones[zoneName(0)] = configuration.Zone{Region: "region", State: configuration.ZoneInService, Weight: 1}
	for i := range organisations {
		c.Organisations[organisationName(i)] = configuration.Organisation{Rate: rate, Burst: 2 * rate, Weight: 1}
	}
	return c
}

// equalTable divides the parts of a zone equally; each VM is leased by the next.
func equalTable(members []detector.Member) shares.Table {
	t := shares.Table{Writer: "capacity"}
	left := uint32(shares.TotalShareUnits)
	for i, m := range members {
		part := left / uint32(len(members)-i)
		left -= part
		lessor := members[(i+1)%len(members)].Name
		t.Rows = append(t.Rows, shares.Row{VM: m.Name, Incarnation: m.Incarnation, ShareUnits: part, Lessor: lessor, LessorTerm: 1})
	}
	return t
}

// newEscrow starts a zone. Each organisation's callers are on some of the VMs and
// use the given part of its rate.
func newEscrow(vms, organisations, servers int, part float64) *escrow {
	const perVM = StatementsPerVM
	rate := perVM * float64(vms) / float64(organisations) / part
	s := &escrow{timeline: newTimeline(11), number: map[ident.VMName]int{}, servers: min(servers, vms)}
	s.members = fleetOf(1, vms)
	config := shareConfiguration(organisations, rate)
	table := equalTable(s.members)
	for i := range organisations {
		s.organisations = append(s.organisations, organisationName(i))
	}
	s.perTick = part * rate / float64(s.servers) * shareTick.Seconds()
	s.nodes = make([]*shares.Node, vms)
	_, held := heapOf(func() []*shares.Node {
		for i, m := range s.members {
			n := shares.NewNode(0, m, rand.New(rand.NewPCG(s.rng.Uint64(), 4)))
			n.SetConfiguration(0, config)
			n.SetMembers(0, s.members)
			n.WithLedger(0, func(l *shares.Ledger) { l.ObserveTable(0, 0, table, 1) })
			s.nodes[i] = n
			s.number[m.Name] = i
		}
		return s.nodes
	})
	s.totals.Memory = held / float64(vms)
	for i := range s.members {
		s.at(time.Duration(s.rng.Int64N(int64(shareTick))), func() { s.tick(i) })
	}
	return s
}

func (s *escrow) tick(i int) {
	n := s.nodes[i]
	s.load(i)
	actions, asks := n.Tick(s.now)
	if actions.Read {
		n.WithLedger(s.now, func(l *shares.Ledger) { l.ObserveTable(s.now, s.now, equalTable(s.members), 1) })
	}
	if actions.LeaseRequest != nil {
		s.lease(i, s.number[actions.Lessor], *actions.LeaseRequest)
	}
	s.transfer(i, asks)
	s.at(s.now+shareTick, func() { s.tick(i) })
}

// load takes the tokens of the statements of one tick.
func (s *escrow) load(i int) {
	for k, organisation := range s.organisations {
		first := k * len(s.nodes) / len(s.organisations)
		if (i-first+len(s.nodes))%len(s.nodes) >= s.servers {
			continue
		}
		b, ok := s.nodes[i].Bucket(organisation)
		if !ok {
			continue
		}
		// A binomial number of statements, so that arrivals are uneven.
		for range int(2*s.perTick) + 1 {
			if s.rng.Float64() >= s.perTick/float64(int(2*s.perTick)+1) {
				continue
			}
			b.RecordDemand(s.now, 1)
			s.totals.Requests++
			if !b.Take(s.now, 1) {
				s.wait(i, organisation, s.now)
			}
		}
	}
}

// wait lets a request wait for tokens as the controller does, for up to 50 ms.
func (s *escrow) wait(i int, organisation ident.OrganisationName, since time.Duration) {
	s.transfer(i, s.nodes[i].RequestTokens(s.now, organisation, 1))
	s.at(s.now+5*time.Millisecond, func() {
		b, _ := s.nodes[i].Bucket(organisation)
		switch {
		case b.Take(s.now, 1):
		case s.now-since >= 50*time.Millisecond:
			s.totals.Refused++
		default:
			s.wait(i, organisation, since)
		}
	})
}

func (s *escrow) size(from int, kind peer.Kind, body any) float64 {
	n, err := messageBytes(s.members[from], kind, body)
	if err != nil {
		s.err = err
	}
	return float64(n)
}

func (s *escrow) lease(from, to int, q shares.LeaseRequest) {
	s.totals.LeaseMessages++
	s.totals.LeaseBytes += s.size(from, "share-lease", q)
	m := s.members[from]
	s.at(s.now+insideZone, func() {
		s.nodes[to].WithLedger(s.now, func(l *shares.Ledger) {
			grant, ok := l.HandleLeaseRequest(s.now, m.Name, m.Incarnation, q)
			if !ok {
				return
			}
			s.totals.LeaseMessages++
			s.totals.LeaseBytes += s.size(to, "share-confirm", grant)
			s.at(s.now+insideZone, func() {
				s.nodes[from].WithLedger(s.now, func(l *shares.Ledger) { l.HandleLeaseGrant(s.now, s.members[to].Name, grant) })
			})
		})
	})
}

func (s *escrow) transfer(from int, asks []shares.OutgoingRequest) {
	for _, a := range asks {
		to := s.number[a.To]
		s.totals.TransferMessages++
		s.totals.TransferBytes += s.size(from, "share-ask", a.Request)
		m := s.members[from]
		s.at(s.now+insideZone, func() {
			grant := s.nodes[to].HandleBorrowRequest(s.now, m.Name, m.Incarnation, a.Request)
			if len(grant.Grants) == 0 {
				return
			}
			s.totals.TransferMessages++
			s.totals.TransferBytes += s.size(to, "share-grant", grant)
			s.at(s.now+insideZone, func() { s.nodes[from].HandleBorrowResponse(s.now, s.members[to].Name, grant) })
		})
	}
}

// runEscrow measures a zone for six virtual seconds, a multiple of the time between
// renewals.
func runEscrow(vms, organisations, servers int, part float64) (escrowRun, error) {
	s := newEscrow(vms, organisations, servers, part)
	s.run(5 * time.Second)
	memory := s.totals.Memory
	s.totals = escrowRun{Memory: memory}
	const seconds = 6
	start := processorTime()
	s.run(s.now + seconds*time.Second)
	r := s.totals
	per := float64(vms * seconds)
	r.Processor = time.Duration(float64(processorTime()-start) / per)
	r.LeaseMessages, r.LeaseBytes = r.LeaseMessages/per, r.LeaseBytes/per
	r.TransferMessages, r.TransferBytes = r.TransferMessages/per, r.TransferBytes/per
	table, err := messageBytes(s.members[0], "share-table", equalTable(s.members))
	r.TableBytes = table
	if err != nil {
		s.err = err
	}
	return r, s.err
}

// takeTime is the processor time of one admission that finds tokens.
func takeTime(organisations int) time.Duration {
	s := newEscrow(2, organisations, 2, 1e-9)
	s.run(time.Second)
	i := 0
	return timePer(300_000, func() {
		b, _ := s.nodes[0].Bucket(s.organisations[i%len(s.organisations)])
		b.RecordDemand(s.now, 1)
		b.Take(s.now, 1)
		i++
	})
}

// tickTime is the processor time of one step of an idle escrow.
func tickTime(organisations int) time.Duration {
	s := newEscrow(2, organisations, 2, 1e-9)
	s.run(time.Second)
	now := s.now
	return timePer(500, func() {
		now += shareTick
		s.nodes[0].Tick(now)
	})
}
