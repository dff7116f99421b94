package freshness

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// MaxStaleness is the longest time for which a version may still be honoured after a higher
// one was accepted.
const MaxStaleness = 3 * time.Second

// Forever is a deadline that never passes.
const Forever = time.Duration(math.MaxInt64 / 4)

// never is the time of an event that did not happen; F later is still in the past.
const never = time.Duration(math.MinInt64 / 4)

// Table lists the VMs of one availability zone whose majority speaks for it.
type Table struct {
	// Version orders the tables of a zone; zero stands for the membership view.
	Version uint64
	VMs     []ident.VMName
}

// Majority is the number of members that form a majority of n.
func Majority(n int) int { return n/2 + 1 }

// Reading is what the platform showed.
type Reading struct {
	Accepted ident.ConfigurationVersion
	// Proposal is the highest proposed version, at least Accepted.
	Proposal ident.ConfigurationVersion
	// At is the time on this VM's clock before which the reading was certainly not made.
	At time.Duration
}

// Attestation is what a VM says about itself in an answer.
type Attestation struct {
	VM          ident.VMName
	Zone        ident.AvailabilityZone
	Incarnation ident.Incarnation
	// Qualified is false after a restart until the VM knows every proposal that it
	// may have acknowledged before.
	Qualified bool
	// Unsettled is true while the VM waits for the platform's answer to its own new
	// proposal: the proposal may exist without the VM's knowing it.
	Unsettled bool
	// Highest is the highest version that the VM knows as proposed or accepted.
	Highest ident.ConfigurationVersion
	// Table is the version of the share table of its zone that the VM knows.
	Table uint64
}

// ZoneSummary is what a VM says about a whole zone: a majority of its VMs knew of no
// version above Version, at Age before the answer.
type ZoneSummary struct {
	Zone    ident.AvailabilityZone
	Version ident.ConfigurationVersion
	Table   uint64
	Age     time.Duration
}

// level is a configuration for which freshness is proved.
type level struct {
	version ident.ConfigurationVersion
	zones   []ident.AvailabilityZone
}

type testimony struct {
	Attestation
	asked time.Duration
}

type summaryKey struct {
	zone    ident.AvailabilityZone
	version ident.ConfigurationVersion
}

type summaryAt struct {
	table uint64
	at    time.Duration
}

// State is the state of one VM. It is not safe for concurrent use.
type State struct {
	self      Attestation
	accepted  level
	held      level // the proposal after accepted, or equal to accepted
	reading   Reading
	vms       map[ident.VMName]testimony
	summaries map[summaryKey]summaryAt
	tables    map[ident.AvailabilityZone]Table
	restart   requalification
	majority  func(int) int // replaced by tests that check that a wrong rule is found
	blocked   func(map[ident.VMName]bool) bool
}

// New returns the state of a VM that has just started, at time 0. A VM of a
// fleet that starts for the first time also begins unqualified; its first
// reading qualifies it.
func New(vm ident.VMName, zone ident.AvailabilityZone, incarnation ident.Incarnation) *State {
	s := &State{
		self:      Attestation{VM: vm, Zone: zone, Incarnation: incarnation},
		reading:   Reading{At: never},
		vms:       map[ident.VMName]testimony{},
		summaries: map[summaryKey]summaryAt{},
		tables:    map[ident.AvailabilityZone]Table{},
		majority:  Majority,
	}
	s.blocked = s.containsQuorum
	s.restart.reset()
	return s
}

// Version returns the accepted version in force.
func (s *State) Version() ident.ConfigurationVersion { return s.accepted.version }

// Pending returns the version of the proposal that is honoured together with the
// accepted version; it equals Version when there is none.
func (s *State) Pending() ident.ConfigurationVersion { return s.held.version }

// Highest returns the highest version known as proposed or accepted.
func (s *State) Highest() ident.ConfigurationVersion { return s.self.Highest }

// Qualified reports whether this VM's attestations count.
func (s *State) Qualified() bool { return s.self.Qualified }

// Adopt puts an accepted version with its zones into force; lower ones are ignored.
func (s *State) Adopt(version ident.ConfigurationVersion, zones []ident.AvailabilityZone) {
	if version < s.accepted.version {
		return
	}
	s.accepted = level{version, slices.Clone(zones)}
	if s.held.version <= version {
		s.held = s.accepted
	}
	s.Learn(version)
}

// SetPending notes a proposal whose content this VM knows. Only the direct successor
// of the accepted version can be held.
func (s *State) SetPending(version ident.ConfigurationVersion, zones []ident.AvailabilityZone) {
	if version == s.accepted.version+1 {
		s.held = level{version, slices.Clone(zones)}
	}
	s.Learn(version)
}

// Learn notes that a version was proposed or accepted.
func (s *State) Learn(version ident.ConfigurationVersion) {
	s.self.Highest = max(s.self.Highest, version)
}

// SetUnsettled notes that this VM sends a new proposal to the platform, or that
// the call has ended. Only a call that ended with success makes the VM the
// proposal's acceptor; after any other end it must raise the attempt.
func (s *State) SetUnsettled(unsettled bool) { s.self.Unsettled = unsettled }

// RecordReading notes a reading of the platform, direct or relayed. For a relayed one, At
// is the time of the question minus the age that the answer states.
func (s *State) RecordReading(r Reading) {
	s.Learn(max(r.Accepted, r.Proposal))
	if r.At > 0 {
		s.self.Qualified = true
	}
	if r.At > s.reading.At {
		s.reading = r
	}
}

// LastReading returns the newest reading; its At is far in the past when there is none.
func (s *State) LastReading() Reading { return s.reading }

// SetTable notes the share table of a zone; older versions are ignored. A VM that
// the table lists with several incarnations counts once.
func (s *State) SetTable(zone ident.AvailabilityZone, table Table) {
	if old, known := s.tables[zone]; known && table.Version < old.Version {
		return
	}
	vms := slices.Clone(table.VMs)
	slices.Sort(vms)
	s.tables[zone] = Table{Version: table.Version, VMs: slices.Compact(vms)}
	if zone == s.self.Zone {
		s.self.Table = table.Version
	}
}

// Table returns the share table of a zone.
func (s *State) Table(zone ident.AvailabilityZone) Table { return s.tables[zone] }

// ZonesWithTable returns the zones that have a table.
func (s *State) ZonesWithTable() []ident.AvailabilityZone { return slices.Sorted(maps.Keys(s.tables)) }

// Zones returns the zones of the accepted configuration.
func (s *State) Zones() []ident.AvailabilityZone { return s.accepted.zones }

// RecordAttestation notes the attestation in the answer to a question asked at the given time.
func (s *State) RecordAttestation(a Attestation, asked time.Duration) {
	s.Learn(a.Highest)
	if old, known := s.vms[a.VM]; !known || asked >= old.asked {
		s.vms[a.VM] = testimony{a, asked}
	}
	s.requalify(a, asked)
}

// RecordZoneSummary notes the summary of a zone in the answer to a question asked at
// the given time.
func (s *State) RecordZoneSummary(summary ZoneSummary, asked time.Duration) {
	key := summaryKey{summary.Zone, summary.Version}
	at := asked - summary.Age
	if old, known := s.summaries[key]; !known || at > old.at {
		s.summaries[key] = summaryAt{summary.Table, at}
	}
	maps.DeleteFunc(s.summaries, func(k summaryKey, _ summaryAt) bool { return k.version < s.accepted.version })
}

// Attestation returns this VM's own attestation.
func (s *State) Attestation() Attestation { return s.self }

// ZoneSummaries returns what this VM can say about the zones for a version.
func (s *State) ZoneSummaries(now time.Duration, version ident.ConfigurationVersion) []ZoneSummary {
	var summaries []ZoneSummary
	for zone, table := range s.tables {
		if at := min(s.zoneTime(zone, version), now); at > now-MaxStaleness {
			summaries = append(summaries, ZoneSummary{Zone: zone, Version: version, Table: table.Version, Age: now - at})
		}
	}
	return summaries
}

// FreshUntil returns the times until which the accepted version alone, and the
// accepted version together with the held proposal, are proved to be current.
// The second is never earlier than the first.
func (s *State) FreshUntil() (accepted, held time.Duration) {
	accepted = s.until(s.accepted)
	return accepted, max(accepted, s.until(s.held))
}

// Fresh reports whether the configuration is proved to be current, and otherwise
// why not. When only the held proposal makes it so, the caller must honour what
// both configurations allow.
func (s *State) Fresh(now time.Duration) (bool, string) {
	if _, held := s.FreshUntil(); now < held {
		return true, ""
	}
	switch {
	case s.reading.Accepted > s.accepted.version:
		return false, "a newer version was accepted and has not arrived yet"
	case s.self.Highest > s.held.version:
		return false, "a newer proposal is known and its outcome is not"
	}
	return false, "the platform and a majority of zones have not answered within the limit"
}

func (s *State) until(l level) time.Duration {
	at := s.quorumTime(l)
	if s.reading.Accepted <= l.version {
		at = max(at, s.reading.At)
	}
	if at >= Forever {
		return Forever
	}
	return at + MaxStaleness
}

// quorumTime returns the newest time at which a majority of zones knew of no
// version above the level's.
func (s *State) quorumTime(l level) time.Duration {
	times := make([]time.Duration, 0, len(l.zones))
	for _, zone := range l.zones {
		times = append(times, s.zoneTime(zone, l.version))
	}
	return nth(times, s.majorityOf(len(l.zones)))
}

// majorityOf counts zones; tests replace only the majority within a zone.
func (s *State) majorityOf(zones int) int { return Majority(zones) }

func (s *State) zoneTime(zone ident.AvailabilityZone, version ident.ConfigurationVersion) time.Duration {
	at := never
	table := s.tables[zone]
	if summary, known := s.summaries[summaryKey{zone, version}]; known && summary.table >= table.Version {
		at = summary.at
	}
	times := make([]time.Duration, 0, len(table.VMs))
	for _, vm := range table.VMs {
		a := s.vms[vm]
		if vm == s.self.VM {
			a = testimony{s.self, Forever}
		}
		if a.Table > table.Version {
			return at // a newer table exists, so this one no longer speaks for the zone
		}
		if a.Zone == zone && a.Qualified && !a.Unsettled && a.Highest <= version {
			times = append(times, a.asked)
		}
	}
	return max(at, nth(times, s.majority(len(table.VMs))))
}

// nth returns the n-th largest time, or never when there are fewer.
func nth(times []time.Duration, n int) time.Duration {
	if len(times) < n {
		return never
	}
	slices.Sort(times)
	return times[len(times)-n]
}
