package freshness

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// requalification collects the two rounds of responses that qualify a restarted VM
// that cannot reach the platform.
type requalification struct {
	firstRound    map[ident.VMName]ident.Incarnation
	secondRound   map[ident.VMName]Attestation
	firstRoundEnd time.Duration // never until the first round is complete
}

func (r *requalification) reset() {
	*r = requalification{
		firstRound:    map[ident.VMName]ident.Incarnation{},
		secondRound:   map[ident.VMName]Attestation{},
		firstRoundEnd: never,
	}
}

// requalify records a response in the round in which its request was sent. Responses
// from unsettled VMs do not count, because such a VM may be the acceptor of a
// proposal that it does not know yet.
func (s *State) requalify(a Attestation, sentAt time.Duration) {
	if s.self.Qualified || a.Unsettled {
		return
	}
	r := &s.requalification
	if old, known := r.firstRound[a.VM]; known && old != a.Incarnation {
		r.reset()
	}
	r.firstRound[a.VM] = a.Incarnation
	if r.firstRoundEnd != never && sentAt > r.firstRoundEnd {
		r.secondRound[a.VM] = a
	}
}

// Tick advances the requalification after a restart. The controller calls it after
// each response and periodically.
func (s *State) Tick(now time.Duration) {
	if s.self.Qualified {
		return
	}
	others, complete := s.otherVMs()
	if !complete {
		return
	}
	r := &s.requalification
	if r.firstRoundEnd == never && containsAll(r.firstRound, others) {
		r.firstRoundEnd = now
	}
	if r.firstRoundEnd == never || !containsAll(r.secondRound, others) {
		return
	}
	unqualified := map[ident.VMName]bool{s.self.VM: true}
	for vm, a := range r.secondRound {
		if !a.Qualified {
			unqualified[vm] = true
		}
	}
	if s.unsafeToQualify(unqualified) {
		r.reset()
		return
	}
	s.self.Qualified = true
}

// otherVMs returns the other VMs of the share tables. The list is incomplete while a
// zone of the accepted configuration has no share table.
func (s *State) otherVMs() (vms []ident.VMName, complete bool) {
	if len(s.accepted.zones) == 0 {
		return nil, false
	}
	for _, zone := range s.accepted.zones {
		table, known := s.tables[zone]
		if !known || table.Version == 0 {
			return nil, false
		}
		for _, vm := range table.VMs {
			if vm != s.self.VM {
				vms = append(vms, vm)
			}
		}
	}
	return vms, true
}

// containsQuorum reports whether the VMs include a majority of the VMs in a majority
// of the zones.
func (s *State) containsQuorum(vms map[ident.VMName]bool) bool {
	zones := 0
	for _, zone := range s.accepted.zones {
		count := 0
		table := s.tables[zone]
		for _, vm := range table.VMs {
			if vms[vm] {
				count++
			}
		}
		if count >= Majority(len(table.VMs)) {
			zones++
		}
	}
	return zones >= Majority(len(s.accepted.zones))
}

func containsAll[V any](responses map[ident.VMName]V, vms []ident.VMName) bool {
	for _, vm := range vms {
		if _, ok := responses[vm]; !ok {
			return false
		}
	}
	return true
}
