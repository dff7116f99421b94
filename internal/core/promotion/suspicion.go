package promotion

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Reasons of an unplanned change.
const (
	reasonDead        = "connections refused"
	reasonSilent      = "stream silent"
	reasonTakeover    = "proposer did not finish fencing"
	reasonNotPromoted = "recorded primary was not promoted"
	reasonMove        = "proposer did not finish the move"
)

type suspicion struct {
	why     string
	since   time.Duration
	heard   time.Duration // last status of the primary
	nextAsk time.Duration
	subject ConfirmationRequest
}

// problem returns why the group needs a new primary, or "".
func (m *Machine) problem() string {
	p, term := m.primary()
	if m.record.State == Fencing && m.record.Term == term && (p == nil || p.status.Term != term) {
		if m.now-m.recordAt >= TakeoverDelay {
			return reasonTakeover
		}
		return ""
	}
	switch {
	case p == nil:
		return ""
	case p.dead:
		return reasonDead
	case m.now-p.heard >= StatusTimeout:
		return reasonSilent
	case m.isUnpromoted && m.now-max(m.unpromoted, m.recordAt) >= TakeoverDelay:
		return reasonNotPromoted
	case m.HoldsWrites() && m.now-m.recordAt >= MoveTakeoverDelay:
		return reasonMove
	}
	return ""
}

// watchRole notes since when the primary is reachable without being primary: its
// proposer died before promoting it, or it restarted as a replica.
func (m *Machine) watchRole() {
	p, term := m.primary()
	is := p != nil && p.fresh(m.now) && !promoted(p, term)
	if is && !m.isUnpromoted {
		m.unpromoted = m.now
	}
	m.isUnpromoted = is
}

// promoted reports whether the member itself says that it is primary of the term.
func promoted(s *memberState, term ident.Term) bool {
	return s.known && s.status.Role == group.RolePrimary && !s.status.Fenced && s.status.Term == term
}

// consider starts a change when one is needed and it is this VM's turn.
func (m *Machine) consider() {
	why := m.problem()
	if why == "" {
		m.suspect = suspicion{}
		m.considerMove()
		return
	}
	m.moving = false
	m.suspectFor(why)
	if m.now < m.suspect.since+time.Duration(m.rank())*RankDelay || !m.reachable(m.now) {
		return
	}
	if why == reasonTakeover || why == reasonNotPromoted || why == reasonMove {
		m.propose(why)
		return
	}
	if !m.flapping(why) {
		m.confirm()
	}
}

func (m *Machine) suspectFor(why string) {
	p, term := m.primary()
	subject := ConfirmationRequest{Group: m.group, Term: term}
	heard := m.recordAt
	if p != nil {
		subject.Primary, heard = p.Upstream, p.heard
	}
	if m.suspect.why == "" || m.suspect.subject != subject {
		m.suspect = suspicion{since: m.now, heard: heard, subject: subject}
		m.note("suspect", fmt.Sprintf("primary %s of term %d: %s", subject.Primary, term, why))
	}
	m.suspect.why = why
}

// flapping reports whether a change is held back because the last one was recent.
func (m *Machine) flapping(why string) bool {
	if !m.seenUnplanned || m.now-m.unplanned >= FlapWindow || why == reasonDead {
		return false
	}
	return m.now-m.suspect.heard < FlapStatusTimeout
}

// confirm asks other VMs, or acts alone when there is none.
func (m *Machine) confirm() {
	witnesses := m.witnesses()
	if len(witnesses) == 0 {
		if m.now >= m.suspect.since+SoleVMDelay {
			m.propose(m.suspect.why)
		}
		return
	}
	if m.now < m.suspect.nextAsk {
		return
	}
	m.suspect.nextAsk = m.now + ConfirmationInterval
	m.random.Shuffle(len(witnesses), func(i, j int) { witnesses[i], witnesses[j] = witnesses[j], witnesses[i] })
	for _, w := range witnesses[:min(3, len(witnesses))] {
		m.act(RequestConfirmation{To: w.Name, Request: m.suspect.subject})
	}
}

// witnesses returns the VMs that may confirm: those of other zones, or those of
// this zone when there are none.
func (m *Machine) witnesses() []VM {
	var near, far []VM
	for _, vm := range m.vms {
		switch {
		case vm.Name == m.self.Name:
		case vm.Zone == m.self.Zone:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	if len(far) > 0 {
		return far
	}
	return near
}

// ConfirmationRequest answers another VM from this VM's own evidence. A VM that hears no
// member at all has lost its own network and confirms nothing.
func (m *Machine) ConfirmationRequest(now time.Duration, from ident.VMName, q ConfirmationRequest) {
	m.now = now
	p, term := m.primary()
	failed := false
	if p != nil && term == q.Term && p.Upstream == q.Primary {
		failed = (p.hasRefused || now-p.heard >= WitnessStatusTimeout) && m.hearsOther(p)
	}
	m.act(Respond{To: from, Response: ConfirmationResponse{Request: q, Failed: failed}})
	if m.record.Term > q.Term {
		m.act(Announce{Version: m.version, Record: m.record})
	}
}

func (m *Machine) hearsOther(p *memberState) bool {
	for i := range m.members {
		if s := &m.members[i]; s != p && s.fresh(m.now) {
			return true
		}
	}
	return false
}

// ConfirmationResponse records the answer of a VM to a question of this one.
func (m *Machine) ConfirmationResponse(now time.Duration, from ident.VMName, a ConfirmationResponse) {
	m.now = now
	if m.attempt != nil || !a.Failed || m.suspect.why == "" || a.Request != m.suspect.subject {
		return
	}
	isWitness := func(vm VM) bool { return vm.Name == from }
	why := m.problem()
	if why == "" || !m.reachable(now) || !slices.ContainsFunc(m.witnesses(), isWitness) {
		return
	}
	m.note("confirmed", string(from))
	m.propose(why)
}

// rank is this VM's place in the order of proposers. A VM that is not listed ranks
// last.
func (m *Machine) rank() int {
	var zone ident.AvailabilityZone
	if p, _ := m.primary(); p != nil {
		zone = p.Zone
	} else if p := m.member(m.record.Primary); p != nil {
		zone = p.Zone
	}
	rank, listed := 0, false
	for _, vm := range m.vms {
		listed = listed || vm.Name == m.self.Name
		if vm.Name != m.self.Name && m.before(vm, m.self, zone) {
			rank++
		}
	}
	if !listed {
		return len(m.vms)
	}
	return rank
}

func (m *Machine) before(a, b VM, zone ident.AvailabilityZone) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		return b.Zone == zone
	}
	if c := cmp.Compare(m.weight(a), m.weight(b)); c != 0 {
		return c > 0
	}
	return a.Name < b.Name
}

// weight is the rendezvous weight of a VM for this group.
func (m *Machine) weight(vm VM) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.group))
	h.Write([]byte{0})
	h.Write([]byte(vm.Name))
	x := h.Sum64() // FNV's high bits mix poorly for short names
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}
