package capacity

import (
	"fmt"
	"strings"
	"time"
)

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
)

const day = 24 * time.Hour

// CallersPerVM and StatementsPerVM are the design load of one VM.
const (
	CallersPerVM    = DesignCallers / DesignVMs
	StatementsPerVM = DesignStatements / DesignVMs
)

// SizeTable is the table of sizes and bounds in docs/CAPACITY.md.
func SizeTable() string {
	var b strings.Builder
	b.WriteString("| size or bound | value |\n|---|---|\n")
	row := func(name, form string, value any) { fmt.Fprintf(&b, "| %s | "+form+" |\n", name, value) }
	row("VMs", "%d", DesignVMs)
	row("zones", "%d", DesignZones)
	row("regions", "%d", DesignRegions)
	row("VMs a zone", "%d", DesignZoneVMs)
	row("databases", "%d", DesignDatabases)
	row("members of a database", "%d", DesignMembers)
	row("caller connections", "%d", DesignCallers)
	row("callers a VM", "%d", CallersPerVM)
	row("statements per second", "%d", DesignStatements)
	row("statements per second and VM", "%d", StatementsPerVM)
	row("organisations served by a VM", "%d", DesignOrganisations)
	row("configuration changes a day", "%d", DesignChangesPerDay)
	row("primary changes a day", "%d", DesignPrimariesPerDay)
	row("VM failures a day", "%d", DesignFailuresPerDay)
	row("VM restarts a day", "%d", DesignRestartsPerDay)
	row("bound: processor for control per VM", "%g%% of a core", BoundCore*100)
	row("bound: memory for control per VM", "%d MiB", BoundMemory>>20)
	row("bound: traffic for control per VM, sent and received", "%d bytes/s", BoundTraffic)
	row("bound: memory per idle caller", "%d bytes", BoundIdleCaller)
	row("bound: platform writes", "%d/s", BoundPlatformWrites)
	row("bound: platform reads", "%d/s", BoundPlatformReads)
	row("bound: a note is in force", "%v", BoundInForce)
	row("bound: primary change", "%v", BoundFailover)
	return b.String()
}

// perSecond converts a number per day.
func perSecond(perDay float64) float64 { return perDay / day.Seconds() }
