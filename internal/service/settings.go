package service

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Settings holds the settings of a VM on a platform that stores its configuration. The
// names of the fields appear in the log, see VM.Reload.
type Settings struct {
	VM     ident.VMName
	IP     string
	Zone   ident.AvailabilityZone
	Region ident.Region
	// Regions holds the region of each availability zone.
	Regions map[ident.AvailabilityZone]ident.Region
	// Callers, Ready, Store and Duties are addresses of the form IP:port: the listener
	// for clients, the listener for the platform's readiness probe, the metadata store,
	// and the platform's interface for promotions.
	Callers, Ready, Store, Duties string
	// RelayPort is the port for requests of other VMs.
	RelayPort uint16
	// MemoryBytes is the memory limit of the process; zero means unknown.
	MemoryBytes int64
	// Cores is the processor capacity in cores of normal speed; zero means unknown.
	Cores float64
	// RegistrationInterval is the interval at which upstreams register.
	RegistrationInterval time.Duration
	Bounds               Bounds
	Usage                UsageSettings
}

// UsageSettings holds the settings of the usage reports. The zero value turns them off.
type UsageSettings struct {
	// Window is the length of a window, and Late the time after its end by which the
	// platform must have its report.
	Window, Late time.Duration
	// Error is the relative error that the platform tolerates in a report.
	Error float64
}

// Bounds holds the limits that the platform's rules set.
type Bounds struct {
	// DrainTimeout is the time after which no traffic may reach a draining upstream.
	DrainTimeout time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ApplyTimeout is the time within which an accepted configuration must be in force.
	ApplyTimeout time.Duration
	// RevocationTimeout is the time after which a revoked key must be rejected.
	RevocationTimeout time.Duration
	// EvacuationTimeout is the time after which no traffic may reach a zone that is
	// being evacuated.
	EvacuationTimeout time.Duration
	// MinHolderInterval is the shortest time between two holders of a group; zero sets no
	// limit.
	MinHolderInterval time.Duration
	// RateWindow is the period over which the platform checks rates. The tolerated excess
	// is RateExcessFraction of the operations allowed in it plus RateExcessOperations.
	RateWindow                               time.Duration
	RateExcessFraction, RateExcessOperations float64
}

// AllowedExcess returns the number of operations by which an organisation may exceed its
// rate and burst within one RateWindow.
func (b Bounds) AllowedExcess(rate, burst float64) float64 {
	return (rate*b.RateWindow.Seconds()+burst)*b.RateExcessFraction + b.RateExcessOperations
}
