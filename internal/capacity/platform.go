package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
)

// fleetRun is what an installation of entry VMs on loopback called the platform.
type fleetRun struct {
	VMs, Zones, Seconds int
	// Start are the calls from the start until the first note is in force; Idle are
	// those of Seconds without an event, and Restart those of one graceful stop and
	// start of a VM above the idle rate.
	Start, Idle, Restart map[string]float64
	Note                 map[string]float64
}

// runFleet measures the platform calls of 8 VMs with the counters of every VM's
// client (platform.HTTP.Calls).
func runFleet(seconds int) (fleetRun, error) {
	cfg := fleet.Testeno()
	cfg.Seed = 1
	f, err := fleet.Start(cfg)
	if err != nil {
		return fleetRun{}, err
	}
	defer f.Close()
	r := fleetRun{VMs: len(f.Names()), Zones: len(cfg.Zones), Seconds: seconds}
	if err := applyNote(f, f.FirstNote()); err != nil {
		return r, err
	}
	// Joins of the share tables need 30 s for 8 VMs.
	time.Sleep(30 * time.Second)
	r.Start = standinCalls(f)
	r.Idle = during(f, func() error { time.Sleep(time.Duration(seconds) * time.Second); return nil }, &err)
	if err != nil {
		return r, err
	}
	const settle = 20 * time.Second
	idleFor := func(d time.Duration) float64 { return d.Seconds() / float64(seconds) }
	const notes = 5
	begin := time.Now()
	r.Note = during(f, func() error { return someNotes(f, notes) }, &err)
	subtract(r.Note, r.Idle, idleFor(time.Since(begin)), notes)
	if err != nil {
		return r, err
	}
	begin = time.Now()
	r.Restart = during(f, func() error {
		name := f.Names()[0]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := f.StopVM(ctx, name); err != nil {
			return err
		}
		err := f.StartVM(name)
		time.Sleep(settle)
		return err
	}, &err)
	subtract(r.Restart, r.Idle, idleFor(time.Since(begin)), 1)
	return r, err
}

func applyNote(f *fleet.Fleet, note string) error {
	var err error
	for range 30 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = f.ApplyNote(ctx, f.Names()[0], note)
		cancel()
		if err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.Wrap(err, "apply note")
}

func someNotes(f *fleet.Fleet, notes int) error {
	for i := range notes {
		note := fmt.Sprintf("[note]\ntitle = next\n\n[add organisation extra-%d]\nrate = 10\nburst = 10\ndatabases = deckbook-1\n", i)
		if err := applyNote(f, note); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// standinCalls are the calls that the platform has taken, by kind.
func standinCalls(f *fleet.Fleet) map[string]float64 {
	calls := map[string]float64{}
	if err := json.Unmarshal([]byte(f.Standin.Platform.Calls().String()), &calls); err != nil {
		return map[string]float64{}
	}
	return calls
}

// during returns the calls made while run runs.
func during(f *fleet.Fleet, run func() error, err *error) map[string]float64 {
	before := standinCalls(f)
	*err = run()
	after := standinCalls(f)
	for kind, n := range before {
		after[kind] -= n
	}
	return after
}

// subtract takes the idle calls off and divides by the number of events.
func subtract(calls, idle map[string]float64, part, events float64) {
	for kind := range calls {
		calls[kind] = (calls[kind] - idle[kind]*part) / events
	}
}

// Call rates as the controllers have them; the run of the role fleet checks the sum
// of the first three per watcher.
const (
	configurationWatches = 2.0        // per watcher and second: one watch of 500 ms
	tableWatches         = 1.0 / 25   // per watcher and second: one watch of 25 s
	rosterReads          = 1.0 / 5    // per watcher and second
	watchersPerZone      = 2          // of each zone
	noteReads            = 526.0      // per note at 24 zones, measured by the role configuration
	noteWrites           = 22.2       // per note at 24 zones, measured by the role configuration
	restartCalls         = 13.0       // gets and lists per restart, measured by the role fleet
	restartWrites        = 3.0        // per restart, measured by the role fleet
	wakesPerWrite        = 20.51 / 18 // watch calls per watcher and write, measured by the role fleet
	primaryWrites        = 2.0        // per change of a primary
)

// reportPlatform adds the calls of all VMs at the design size.
func reportPlatform(out io.Writer) error {
	watchers := float64(watchersPerZone * DesignZones)
	restarts := perSecond(DesignRestartsPerDay + DesignFailuresPerDay)
	reads, writes := 0.0, 0.0
	row := func(name string, r, w float64) {
		reads, writes = reads+r, writes+w
		fmt.Fprintf(out, "%-40s %8.2f reads/s %6.2f writes/s\n", name, r, w)
	}
	row("watches of configuration and tables", watchers*configurationWatches, 0)
	row("watches of share tables", watchers*tableWatches, 0)
	row("readings of the list of VMs", watchers*rosterReads, 0)
	row("notes", perSecond(DesignChangesPerDay)*noteReads, perSecond(DesignChangesPerDay)*noteWrites)
	row("restarts and failures", restarts*(restartCalls+restartWrites*watchers*wakesPerWrite), restarts*restartWrites)
	row("primary changes", perSecond(DesignPrimariesPerDay)*primaryWrites, perSecond(DesignPrimariesPerDay)*primaryWrites)
	fmt.Fprintf(out, "%-40s %8.2f reads/s %6.2f writes/s; bounds %d and %d\n", "total", reads, writes, BoundPlatformReads, BoundPlatformWrites)
	const servers = 16
	followed := float64(DesignDatabases) * servers
	fmt.Fprintf(out, "groups followed on demand: one read for each; if each of %d VMs of a group leaves and follows it once in 75 s: %.0f reads/s\n", servers, followed/75)
	return nil
}
