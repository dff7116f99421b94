package load

import (
	"embed"
	"os"
	"path"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Baseline is a variant of the system that a scenario is repeated with.
type Baseline string

// Baselines.
const (
	// ReadsOnPrimary sends all reads to the primary.
	ReadsOnPrimary Baseline = "reads_on_primary"
	// StaticShares gives every VM an equal, fixed part of each rate.
	StaticShares Baseline = "static_shares"
	// FirstComeQueue serves waiting requests in the order of their arrival.
	FirstComeQueue Baseline = "first_come_queue"
)

// Scenario is one run of an installation under load.
type Scenario struct {
	Name, Title  string
	Installation string
	// Duration is the time during which requests become due.
	Duration time.Duration
	// Settle is the pause between the undoing of the last fault and the final check.
	Settle time.Duration
	// Sessions is the number of callers of an organisation for each 100 statements/s
	// of its rate; an organisation has at least minSessions.
	Sessions int
	// Load is the offered part of each organisation's rate.
	Load float64
	// Writes, Scans and Transactions are parts of the requests; the rest are reads.
	Writes, Scans, Transactions float64
	// Roam is the probability that a request goes through another VM.
	Roam float64
	// Token is the part of the sessions that carry a session token.
	Token float64
	// Aged is the part of the token-carrying sessions that accept reads of acceptedAge.
	// Their reads must still show their own writes.
	Aged float64
	// Slots and Connections replace the upstream limits of the installation when
	// positive.
	Slots, Connections int
	Baselines          []Baseline
	// Organisations replaces Load and Sessions for single organisations.
	Organisations map[ident.OrganisationName]OrganisationLoad
	Faults        []Fault
}

const minSessions = 4

// OrganisationLoad is what one organisation offers. Sessions is the number of its
// callers; zero means those of the scenario.
type OrganisationLoad struct {
	Load     float64
	Sessions int
}

func (s Scenario) sessionsOf(o fleet.Organisation) int {
	if n := s.Organisations[o.Name].Sessions; n > 0 {
		return n
	}
	return max(minSessions, int(float64(s.Sessions)*o.Rate/100))
}

func (s Scenario) loadOf(organisation ident.OrganisationName) float64 {
	if o, ok := s.Organisations[organisation]; ok {
		return o.Load
	}
	return s.Load
}

// Fault is an entry of the timetable.
type Fault struct {
	Name   string
	Action Action
	Target string
	Value  string
	// At is the time from the start of the load; For is the time until the fault is
	// undone, zero when it stays until the end of the load.
	At, For time.Duration
}

// installations are the names that a scenario may use.
var installations = map[string]func() fleet.Config{"testeno": fleet.Testeno, "lone-star": fleet.LoneStar}

//go:embed scenarios/*.ini
var embedded embed.FS

const scenarioDirectory = "scenarios"

// Names returns the names of the embedded scenarios in alphabetical order.
func Names() []string {
	entries, err := embedded.ReadDir(scenarioDirectory)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "embedded scenarios"))
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".ini"))
	}
	sort.Strings(names)
	return names
}

// Embedded returns an embedded scenario.
func Embedded(name string) (Scenario, error) {
	data, err := embedded.ReadFile(path.Join(scenarioDirectory, name+".ini"))
	if err != nil {
		return Scenario{}, errors.Newf("no scenario %q; --list shows the names", name)
	}
	return Parse(name+".ini", data)
}

// FromFile reads a scenario from a file.
func FromFile(file string) (Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "read scenario")
	}
	return Parse(file, data)
}
