package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	c = ident.AvailabilityZone("constanta-a")
	p = ident.AvailabilityZone("plovdiv-a")
	r = ident.AvailabilityZone("ruse-a")
)

func (f *fleet) vm(zone ident.AvailabilityZone, n int) *fakeVM {
	for _, vm := range f.vms {
		if vm.zone == zone {
			if n == 0 {
				return vm
			}
			n--
		}
	}
	panic("no such VM")
}

// zoneAcknowledges makes two VMs of a zone learn of the proposal and acknowledge it.
func (f *fleet) zoneAcknowledges(zone ident.AvailabilityZone) {
	first, second := f.vm(zone, 0), f.vm(zone, 1)
	f.read(first, false)
	f.read(second, false)
	f.deliverAll()
	f.request(first, second)
	f.deliverAll()
	f.acknowledge(first)
	f.deliverAll()
}

func (f *fleet) tryAccept(vm *fakeVM) {
	f.read(vm, false)
	f.deliverAll()
	f.accept(vm)
	f.deliverAll()
}

// restartTwo restarts two VMs of plovdiv-a during an outage. Both then send three
// rounds of requests to all other VMs.
func (f *fleet) restartTwo() {
	f.outage = true
	f.start(f.vm(p, 0))
	f.start(f.vm(p, 1))
	for range 3 {
		f.now += 100 * time.Millisecond
		f.requestAll(f.vm(p, 0))
		f.requestAll(f.vm(p, 1))
	}
	f.outage = false
}

// searchViolation disconnects ruse-a and plovdiv-a from the platform, sends requests
// from a VM of ruse-a to the other VM of its zone and the given VMs of plovdiv-a, and
// returns the last violation.
func (f *fleet) searchViolation(numbers ...int) (found string) {
	f.platformCut[p], f.platformCut[r] = true, true
	for range 10 {
		f.now += 500 * time.Millisecond
		f.request(f.vm(r, 0), f.vm(r, 1))
		for _, n := range numbers {
			f.request(f.vm(r, 0), f.vm(p, n))
		}
		f.deliverAll()
		if v := f.violation(); v != "" {
			found = v
		}
	}
	return found
}

// Guards against the loss of a rule. Each case is the shortest run in which a VM uses
// a superseded version if the rule is missing; with all rules it has no violation.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, test := range map[string]struct {
		wrong rules
		run   func(*fleet) string
	}{
		"a zone attests by a majority of its VMs, not by one": {
			rules{vmMajority: func(int) int { return 1 }},
			func(f *fleet) string {
				f.propose(f.vm(c, 0))
				f.deliverAll()
				f.zoneAcknowledges(c)
				f.zoneAcknowledges(p)
				f.tryAccept(f.vm(c, 0))
				return f.searchViolation(2)
			},
		},
		"a majority of zones accepts": {
			rules{skipAcks: true},
			func(f *fleet) string {
				f.propose(f.vm(c, 0))
				f.deliverAll()
				f.zoneAcknowledges(c)
				f.tryAccept(f.vm(c, 0))
				return f.searchViolation(0, 1)
			},
		},
		"a new acceptor counts no earlier acknowledgement": {
			rules{keepAttempt: true},
			func(f *fleet) string {
				f.propose(f.vm(c, 0))
				f.deliverAll()
				f.zoneAcknowledges(p)
				f.start(f.vm(c, 0))
				f.restartTwo()
				f.propose(f.vm(c, 1))
				f.deliverAll()
				f.zoneAcknowledges(c)
				f.tryAccept(f.vm(c, 1))
				return f.searchViolation(0, 1)
			},
		},
		"restarted VMs that may form a quorum are not qualified by the others": {
			rules{unsafeToQualify: allRestarted},
			func(f *fleet) string {
				f.propose(f.vm(c, 0))
				f.deliverAll()
				f.zoneAcknowledges(c)
				f.zoneAcknowledges(p)
				f.tryAccept(f.vm(c, 0))
				f.outage = true
				for _, vm := range f.vms {
					if vm != f.vm(r, 0) {
						f.start(vm)
					}
				}
				for range 3 {
					f.now += 100 * time.Millisecond
					for _, vm := range f.vms {
						f.requestAll(vm)
					}
				}
				return f.searchViolation(0, 1, 2)
			},
		},
		"a proposer does not attest before its call returns": {
			rules{attestDuringCall: true},
			func(f *fleet) string {
				f.propose(f.vm(c, 0))
				f.deliver(0)
				response := f.messages[0]
				f.messages = nil
				f.zoneAcknowledges(p)
				f.restartTwo()
				response.deliver()
				f.platformCut[p], f.platformCut[r] = true, true
				f.zoneAcknowledges(c)
				f.tryAccept(f.vm(c, 0))
				return f.searchViolation(0, 1)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.run(newFleet(rules{})), "")
			assert.Assert(t, test.run(newFleet(test.wrong)) != "")
		})
	}
}

func allRestarted(vm *fakeVM, unqualified map[ident.VMName]bool) bool {
	others, _ := vm.otherVMs()
	return len(unqualified) == len(others)+1
}
