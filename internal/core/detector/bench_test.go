package detector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// sizes are the simulated fleets.
var sizes = []struct{ zones, perZone int }{{3, 3}, {7, 22}, {7, 154}, {24, 154}}

// traffic runs a fleet of the given size without faults. It returns the average messages
// and encoded bytes that a VM sends per second, and the bytes per second of the VM that
// sends most, which is a watcher.
func traffic(zones, perZone, payload int, d time.Duration) (messages, bytes, most float64) {
	s := newSim(11, zones, perZone)
	s.bootConverged()
	s.run(5 * time.Second)
	s.messages, s.bytes, s.encode, s.payload = 0, 0, true, payload
	s.run(s.Now + d)
	perSecond := d.Seconds() * float64(len(s.names))
	for _, vm := range s.vms {
		most = max(most, float64(vm.bytes)/d.Seconds())
	}
	return float64(s.messages) / perSecond, float64(s.bytes) / perSecond, most
}

// functions are the sizes in bytes of the payloads piggybacked on probe messages:
// configuration version and attestation, versions of the share tables, and upstream
// health.
var functions = map[string]int{"configuration": 150, "shares": 100, "health": 120}

// BenchmarkTraffic compares one detector that carries the payloads of all functions with
// a separate detector for each function. It reports sent traffic per VM and second; on
// average a VM receives as much as it sends.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.perZone), func(b *testing.B) {
			for b.Loop() {
				const d = 10 * time.Second
				plainMessages, plainBytes, _ := traffic(size.zones, size.perZone, 0, d)
				all := 0
				var messages, bytes float64
				for _, payload := range functions {
					all += payload
					m, by, _ := traffic(size.zones, size.perZone, payload, d)
					messages, bytes = messages+m, bytes+by
				}
				sharedMessages, sharedBytes, most := traffic(size.zones, size.perZone, all, d)
				b.ReportMetric(plainMessages, "plain-messages")
				b.ReportMetric(plainBytes, "plain-bytes")
				b.ReportMetric(sharedMessages, "shared-messages")
				b.ReportMetric(sharedBytes, "shared-bytes")
				b.ReportMetric(most, "shared-bytes-watcher")
				b.ReportMetric(messages, "separate-messages")
				b.ReportMetric(bytes, "separate-bytes")
			}
		})
	}
}

// BenchmarkDetection stops one VM of each zone under 1% message loss. It reports the
// time until the first and the last VM of the zone considers it dead, the refutations
// per 100 VMs in a minute, and the members falsely declared dead.
func BenchmarkDetection(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.perZone), func(b *testing.B) {
			for b.Loop() {
				measureDetection(b, size.zones, size.perZone)
			}
		})
	}
}

func measureDetection(b *testing.B, zones, perZone int) {
	s := newSim(12, zones, perZone)
	s.bootConverged()
	s.loss, s.jitter = 0.01, 5*time.Millisecond
	s.run(10 * time.Second)
	start := s.Now
	stopped := map[ident.VMName]bool{}
	for z := range zones {
		name := s.names[z*perZone]
		stopped[name] = true
		s.stop(s.vms[name])
	}
	first, last := map[ident.VMName]time.Duration{}, map[ident.VMName]time.Duration{}
	pending := map[ident.VMName]map[ident.VMName]bool{}
	for _, name := range s.names {
		pending[name] = map[ident.VMName]bool{}
		for dead := range stopped {
			if s.vms[dead].self.Zone == s.vms[name].self.Zone && !stopped[name] {
				pending[name][dead] = true
			}
		}
	}
	s.onStep = func(vm *simVM) {
		for dead := range pending[vm.self.Name] {
			if m, _ := vm.detector.Member(dead); m.State == Dead {
				delete(pending[vm.self.Name], dead)
				if _, known := first[dead]; !known {
					first[dead] = s.Now - start
				}
				last[dead] = s.Now - start
			}
		}
	}
	s.run(start + time.Minute)
	var firsts, lasts []float64
	for dead := range stopped {
		firsts, lasts = append(firsts, first[dead].Seconds()), append(lasts, last[dead].Seconds())
	}
	missed, refuted, deaths := 0, uint64(0), 0
	for _, name := range s.names {
		missed += len(pending[name])
		if stopped[name] {
			continue
		}
		refuted += s.vms[name].detector.Stats().Refutations
		for _, m := range s.vms[name].detector.Members() {
			if m.State == Dead && !stopped[m.Name] {
				deaths++
			}
		}
	}
	if len(stopped) > len(firsts) || missed > 0 {
		b.Errorf("%d views did not detect a stopped VM", missed)
	}
	b.ReportMetric(slices.Max(firsts), "s-first-max")
	b.ReportMetric(slices.Max(lasts), "s-last-max")
	b.ReportMetric(float64(refuted)/float64(len(s.names))*100, "%suspected")
	b.ReportMetric(float64(deaths), "false-deaths")
}
