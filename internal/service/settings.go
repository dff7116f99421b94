package service

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Settings are the settings of a VM on a platform that holds its configuration.
type Settings struct {
	VM     ident.VMName
	IP     string
	Zone   ident.AvailabilityZone
	Region ident.Region
	// Regions holds the region of each availability zone.
	Regions map[ident.AvailabilityZone]ident.Region
	// Callers, Ready, Store and Duties are addresses, IP:port: where callers connect,
	// where the platform asks for readiness, the metadata store and the duty calls.
	Callers, Ready, Store, Duties string
	// RelayPort is the port for questions of other VMs.
	RelayPort uint16
	// MemoryBytes limits the process; zero means unknown.
	MemoryBytes int64
	// Cores is the processor capacity in cores of usual speed; zero means unknown.
	Cores float64
	// RegistrationInterval is the time between the reports of upstreams.
	RegistrationInterval time.Duration
	Bounds               Bounds
}

// Bounds are the times that the platform's rules set.
type Bounds struct {
	// DrainTimeout is the time after which nothing may reach an upstream that drains.
	DrainTimeout time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ApplyTimeout is the time within which a configuration must be in force.
	ApplyTimeout time.Duration
	// RevocationTimeout is the time after which a withdrawn key must not work.
	RevocationTimeout time.Duration
	// EvacuationTimeout is the time after which nothing may reach a zone to be left.
	EvacuationTimeout time.Duration
	// MinHolderInterval is the shortest time between two holders of a duty; zero sets none.
	MinHolderInterval time.Duration
	// RateWindow is the time over which rates are judged; RateExcessFraction is the
	// tolerated excess as a fraction of what the window allows, and RateExcessOperations
	// a number of operations on top.
	RateWindow                               time.Duration
	RateExcessFraction, RateExcessOperations float64
}

// AllowedExcess returns the number of operations that an organisation may get above its
// rate and burst within one window.
func (b Bounds) AllowedExcess(rate, burst float64) float64 {
	return (rate*b.RateWindow.Seconds()+burst)*b.RateExcessFraction + b.RateExcessOperations
}
