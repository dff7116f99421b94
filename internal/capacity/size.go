package capacity

import "time"

// The size to design for, as docs/design.md states it.
const (
	DesignVMs             = 3700
	DesignZones           = 24
	DesignRegions         = 7
	DesignDatabases       = 7600
	DesignMembers         = 3 // members of a database group
	DesignCallers         = 20_000_000
	DesignStatements      = 7_200_000 // statements per second
	DesignChangesPerDay   = 10_000    // configuration changes
	DesignPrimariesPerDay = 9         // primary changes
	DesignFailuresPerDay  = 59        // VMs that fail
	DesignRestartsPerDay  = 1500      // VMs that restart or are replaced
	DesignZoneVMs         = (DesignVMs + DesignZones - 1) / DesignZones
	DesignOrganisations   = 300 // organisations whose callers one VM serves
)

// Bounds of one VM and of all calls to the platform together.
const (
	BoundCore           = 0.026     // of one processor core, for control
	BoundMemory         = 128 << 20 // bytes, for control
	BoundTraffic        = 6000      // bytes per second sent and received, for control
	BoundIdleCaller     = 20 << 10  // bytes per idle caller
	BoundPlatformWrites = 300       // calls per second; the platform states several hundred
	BoundPlatformReads  = 2000      // calls per second; a waiting watch counts as one
	BoundInForce        = 4 * time.Second
	BoundFailover       = 9 * time.Second
	BoundDetectionDead  = time.Second // failover gap of a dead process
)

const day = 24 * time.Hour

// CallersPerVM and StatementsPerVM are the design load of one VM.
const (
	CallersPerVM    = DesignCallers / DesignVMs
	StatementsPerVM = DesignStatements / DesignVMs
)

// perSecond converts a number per day.
func perSecond(perDay float64) float64 { return perDay / day.Seconds() }
