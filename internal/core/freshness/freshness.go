package freshness

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// MaxStaleness is the longest time for which a version may remain in use after a
// higher one was accepted.
const MaxStaleness = 3 * time.Second

// Forever is a deadline that never passes.
const Forever = time.Duration(math.MaxInt64 / 4)

// never is the time of an event that has not happened. Adding MaxStaleness to it
// neither overflows nor reaches a valid time.
const never = time.Duration(math.MinInt64 / 4)

// Table lists the VMs of an availability zone. A majority of them attests for the zone.
type Table struct {
	// Version orders the tables of a zone. Zero means that the VMs come from the
	// membership view.
	Version uint64
	VMs     []ident.VMName
}

// Majority returns the smallest number of members that is a majority of n.
func Majority(n int) int { return n/2 + 1 }

// Reading is the result of reading the platform's state.
type Reading struct {
	Accepted ident.ConfigurationVersion
	// Proposal is the highest proposed version, at least Accepted.
	Proposal ident.ConfigurationVersion
	// At is a lower bound of the time of the reading on this VM's clock.
	At time.Duration
}

// Attestation is the statement of a VM about itself in a response. Its fields are
// encoded under their names.
type Attestation struct {
	VM          ident.VMName
	Zone        ident.AvailabilityZone
	Incarnation ident.Incarnation
	// Qualified is false after a restart until the VM knows every proposal that it
	// may have acknowledged before.
	Qualified bool
	// Unsettled is true while the VM waits for the platform's response to its own new
	// proposal. During this time the proposal may exist although the VM does not
	// know it.
	Unsettled bool
	// Highest is the highest proposed or accepted version that the VM knows.
	Highest ident.ConfigurationVersion
	// Table is the version of the VM's share table of its own zone.
	Table uint64
}

// ZoneSummary states that a majority of the VMs of a zone knew of no version above
// Version, at the time Age before the response. Its fields are encoded under their
// names.
type ZoneSummary struct {
	Zone    ident.AvailabilityZone
	Version ident.ConfigurationVersion
	Table   uint64
	Age     time.Duration
}

// configuration is a configuration for which freshness is proved.
type configuration struct {
	version ident.ConfigurationVersion
	zones   []ident.AvailabilityZone
}

type datedAttestation struct {
	Attestation
	sentAt time.Duration
}

type summaryKey struct {
	zone    ident.AvailabilityZone
	version ident.ConfigurationVersion
}

type datedSummary struct {
	table uint64
	at    time.Duration
}

// State tracks the proofs of freshness of one VM. It is not safe for concurrent use.
type State struct {
	self            Attestation
	accepted        configuration
	pending         configuration // the proposal after accepted; equals accepted if there is none
	reading         Reading
	attestations    map[ident.VMName]datedAttestation
	summaries       map[summaryKey]datedSummary
	tables          map[ident.AvailabilityZone]Table
	requalification requalification
	// Tests replace these functions to check that a wrong rule is detected.
	vmMajority      func(int) int
	unsafeToQualify func(map[ident.VMName]bool) bool
}

// New returns the state of a VM that starts at time 0. It is unqualified, also in a
// fleet that starts for the first time, where the first reading qualifies it.
func New(vm ident.VMName, zone ident.AvailabilityZone, incarnation ident.Incarnation) *State {
	s := &State{
		self:         Attestation{VM: vm, Zone: zone, Incarnation: incarnation},
		reading:      Reading{At: never},
		attestations: map[ident.VMName]datedAttestation{},
		summaries:    map[summaryKey]datedSummary{},
		tables:       map[ident.AvailabilityZone]Table{},
		vmMajority:   Majority,
	}
	s.unsafeToQualify = s.containsQuorum
	s.requalification.reset()
	return s
}

// Version returns the accepted version that is in force.
func (s *State) Version() ident.ConfigurationVersion { return s.accepted.version }

// Pending returns the version of the pending proposal that is enforced together with
// the accepted version. It equals Version if there is none.
func (s *State) Pending() ident.ConfigurationVersion { return s.pending.version }

// Highest returns the highest known version, proposed or accepted.
func (s *State) Highest() ident.ConfigurationVersion { return s.self.Highest }

// Qualified reports whether this VM's attestations count.
func (s *State) Qualified() bool { return s.self.Qualified }

// Adopt puts an accepted version with its zones into force. It ignores lower versions.
func (s *State) Adopt(version ident.ConfigurationVersion, zones []ident.AvailabilityZone) {
	if version < s.accepted.version {
		return
	}
	s.accepted = configuration{version, slices.Clone(zones)}
	if s.pending.version <= version {
		s.pending = s.accepted
	}
	s.Learn(version)
}

// SetPending records a proposal whose content this VM knows. Only the direct
// successor of the accepted version becomes the pending proposal.
func (s *State) SetPending(version ident.ConfigurationVersion, zones []ident.AvailabilityZone) {
	if version == s.accepted.version+1 {
		s.pending = configuration{version, slices.Clone(zones)}
	}
	s.Learn(version)
}

// Learn records that a version was proposed or accepted.
func (s *State) Learn(version ident.ConfigurationVersion) {
	s.self.Highest = max(s.self.Highest, version)
}

// SetUnsettled records that the call that writes this VM's new proposal to the
// platform has started or ended. The VM becomes the proposal's acceptor only if the
// call succeeded; otherwise it must increment the attempt.
func (s *State) SetUnsettled(unsettled bool) { s.self.Unsettled = unsettled }

// RecordReading records a direct or relayed reading of the platform. For a relayed
// reading, At is the time of the request minus the age in the response.
func (s *State) RecordReading(r Reading) {
	s.Learn(max(r.Accepted, r.Proposal))
	if r.At > 0 {
		s.self.Qualified = true
	}
	if r.At > s.reading.At {
		s.reading = r
	}
}

// LastReading returns the newest reading. Its At is far in the past if there is none.
func (s *State) LastReading() Reading { return s.reading }

// SetTable sets the share table of a zone; it ignores older versions. A VM that the
// table lists several times counts once.
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

// RecordAttestation records an attestation received in response to a request that was
// sent at the given time.
func (s *State) RecordAttestation(a Attestation, sentAt time.Duration) {
	s.Learn(a.Highest)
	if old, known := s.attestations[a.VM]; !known || sentAt >= old.sentAt {
		s.attestations[a.VM] = datedAttestation{a, sentAt}
	}
	s.requalify(a, sentAt)
}

// RecordZoneSummary records a zone summary received in response to a request that was
// sent at the given time.
func (s *State) RecordZoneSummary(summary ZoneSummary, sentAt time.Duration) {
	key := summaryKey{summary.Zone, summary.Version}
	at := sentAt - summary.Age
	if old, known := s.summaries[key]; !known || at > old.at {
		s.summaries[key] = datedSummary{summary.Table, at}
	}
	maps.DeleteFunc(s.summaries, func(k summaryKey, _ datedSummary) bool { return k.version < s.accepted.version })
}

// Attestation returns this VM's own attestation.
func (s *State) Attestation() Attestation { return s.self }

// ZoneSummaries returns the summaries that this VM can give for a version.
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
// accepted version together with the pending proposal, are proved to be current.
// The second is never earlier than the first.
func (s *State) FreshUntil() (accepted, pending time.Duration) {
	accepted = s.freshUntil(s.accepted)
	return accepted, max(accepted, s.freshUntil(s.pending))
}

// Fresh reports whether the configuration is proved to be current, and if not, the
// reason. If it is current only together with the pending proposal, the caller must
// permit only what both configurations allow.
func (s *State) Fresh(now time.Duration) (bool, string) {
	if _, pending := s.FreshUntil(); now < pending {
		return true, ""
	}
	switch {
	case s.reading.Accepted > s.accepted.version:
		return false, "a newer version was accepted but has not been received"
	case s.self.Highest > s.pending.version:
		return false, "the outcome of a newer proposal is unknown"
	}
	return false, "neither the platform nor a majority of zones responded within the limit"
}

func (s *State) freshUntil(c configuration) time.Duration {
	at := s.quorumTime(c)
	if s.reading.Accepted <= c.version {
		at = max(at, s.reading.At)
	}
	if at >= Forever {
		return Forever
	}
	return at + MaxStaleness
}

// quorumTime returns the latest time at which a majority of zones knew of no version
// above that of c.
func (s *State) quorumTime(c configuration) time.Duration {
	times := make([]time.Duration, 0, len(c.zones))
	for _, zone := range c.zones {
		times = append(times, s.zoneTime(zone, c.version))
	}
	return nthLargest(times, s.zoneMajority(len(c.zones)))
}

// zoneMajority is separate from vmMajority, which tests replace.
func (s *State) zoneMajority(zones int) int { return Majority(zones) }

// zoneTime returns the latest time at which a majority of the VMs of a zone knew of
// no version above the given one.
func (s *State) zoneTime(zone ident.AvailabilityZone, version ident.ConfigurationVersion) time.Duration {
	at := never
	table := s.tables[zone]
	if summary, known := s.summaries[summaryKey{zone, version}]; known && summary.table >= table.Version {
		at = summary.at
	}
	times := make([]time.Duration, 0, len(table.VMs))
	for _, vm := range table.VMs {
		a := s.attestations[vm]
		if vm == s.self.VM {
			a = datedAttestation{s.self, Forever}
		}
		if a.Table > table.Version {
			return at // a newer table exists, so a majority of this one proves nothing
		}
		if a.Zone == zone && a.Qualified && !a.Unsettled && a.Highest <= version {
			times = append(times, a.sentAt)
		}
	}
	return max(at, nthLargest(times, s.vmMajority(len(table.VMs))))
}

// nthLargest returns the n-th largest time, or never if there are fewer than n.
func nthLargest(times []time.Duration, n int) time.Duration {
	if len(times) < n {
		return never
	}
	slices.Sort(times)
	return times[len(times)-n]
}
