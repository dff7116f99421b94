package capacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

func reportConfiguration(out io.Writer) error {
	if err := reportSizes(out); err != nil {
		return err
	}
	var messages, bytes, force, noteBytes, reads, busiest []Point
	for _, size := range []struct{ zones, perZone, notes int }{{6, 8, 5}, {12, 8, 5}, {24, 8, 5}} {
		r, err := runConfiguration(size.zones, size.perZone, size.notes)
		if err != nil {
			return err
		}
		x := float64(size.zones)
		messages, bytes = append(messages, Point{x, r.Messages}), append(bytes, Point{x, r.Bytes})
		force, reads = append(force, Point{x, r.InForce.Seconds() * 1000}), append(reads, Point{x, r.ReadsNote})
		noteBytes = append(noteBytes, Point{x, r.NoteBytes})
		reportRun(out, fmt.Sprintf("%d zones of %d VMs", size.zones, size.perZone), r)
	}
	Series{"configuration", "messages sent", "1/s per VM", "zones", messages, DesignZones}.write(out)
	Series{"configuration", "bytes sent", "bytes/s per VM", "zones", bytes, DesignZones}.write(out)
	Series{"configuration", "bytes per note", "bytes per VM", "zones", noteBytes, DesignZones}.write(out)
	Series{"configuration", "time to be in force", "ms", "zones", force, DesignZones}.write(out)
	Series{"configuration", "platform reads per note", "calls", "zones", reads, DesignZones}.write(out)
	messages, bytes, force = nil, nil, nil
	for _, perZone := range []int{38, 77, DesignZoneVMs} {
		r, err := runConfiguration(1, perZone, 5)
		if err != nil {
			return err
		}
		x := float64(perZone)
		messages, bytes = append(messages, Point{x, r.Messages}), append(bytes, Point{x, r.Bytes})
		force, busiest = append(force, Point{x, r.InForce.Seconds() * 1000}), append(busiest, Point{x, r.Busiest})
		reportRun(out, fmt.Sprintf("one zone of %d VMs", perZone), r)
	}
	Series{"configuration", "messages sent", "1/s per VM", "VMs a zone", messages, DesignZoneVMs}.write(out)
	Series{"configuration", "bytes sent", "bytes/s per VM", "VMs a zone", bytes, DesignZoneVMs}.write(out)
	Series{"configuration", "time to be in force", "ms", "VMs a zone", force, DesignZoneVMs}.write(out)
	Series{"configuration", "busiest VM", "bytes/s sent and received", "VMs a zone", busiest, DesignZoneVMs}.write(out)
	return nil
}

func reportRun(out io.Writer, name string, r configurationRun) {
	fmt.Fprintf(out, "%s: %.2f messages and %.0f bytes sent per VM and second, %.0f bytes sent and received by the busiest VM, to %.1f VMs in %d s; per note %.2f messages and %.0f bytes per VM, %.0f ms to be in force, %.0f reads and %.1f writes; platform %.1f reads/s and %.1f writes/s without notes\n",
		name, r.Messages, r.Bytes, r.Busiest, r.Links, idleSeconds, r.NoteMessages, r.NoteBytes, r.InForce.Seconds()*1000, r.ReadsNote, r.WritesNote, r.ReadsIdle, r.WritesIdle)
}

// reportSizes measures the configuration itself.
func reportSizes(out io.Writer) error {
	var encoded, memory, encode, decode, apply, digest []Point
	for _, databases := range []int{760, 1900, 3800, DesignDatabases} {
		c, err := measureConfiguration(databases)
		if err != nil {
			return err
		}
		x := float64(databases)
		encoded, memory = append(encoded, Point{x, c.Encoded}), append(memory, Point{x, c.Memory})
		encode, decode = append(encode, Point{x, micros(c.Encode) / 1000}), append(decode, Point{x, micros(c.Decode) / 1000})
		apply, digest = append(apply, Point{x, micros(c.Apply) / 1000}), append(digest, Point{x, micros(c.DigestTimes) / 1000})
	}
	Series{"configuration", "encoded", "bytes", "databases", encoded, DesignDatabases}.write(out)
	Series{"configuration", "in memory", "bytes", "databases", memory, DesignDatabases}.write(out)
	Series{"configuration", "encoding", "ms", "databases", encode, DesignDatabases}.write(out)
	Series{"configuration", "decoding", "ms", "databases", decode, DesignDatabases}.write(out)
	Series{"configuration", "applying a note", "ms", "databases", apply, DesignDatabases}.write(out)
	Series{"configuration", "digest", "ms", "databases", digest, DesignDatabases}.write(out)
	return nil
}

func reportGroups(out io.Writer) error {
	c, err := measureGroup()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a status line: %d bytes, %.1f us; a step of the promotion: %.2f us; a change of the membership: %.0f us; %.0f bytes of memory per group\n",
		c.LineBytes, micros(c.Line), micros(c.Tick), micros(c.Configure), c.Memory)
	for _, groups := range []int{3, 9, 16, 33, 76, 760, DesignDatabases} {
		n := float64(groups)
		fmt.Fprintf(out, "%d groups followed: %d streams, %.1f KB/s, %.2f%% of a core, %.1f MB\n",
			groups, groups*DesignMembers, n*DesignMembers*c.StreamTraffic/1000, 100*n*c.GroupProcessor, n*c.Memory/1e6)
	}
	return nil
}

// reportPools calculates the connections to one upstream.
func reportPools(out io.Writer) error {
	for _, limit := range []int{16, 55} {
		for _, vms := range []int{8, limit, 154, DesignVMs} {
			perVM := max(1, limit/vms)
			fmt.Fprintf(out, "%d connections, %d VMs that use the upstream: %d per VM, %d in total, %.1f times the limit\n",
				limit, vms, perVM, perVM*vms, float64(perVM*vms)/float64(limit))
		}
	}
	groups := float64(DesignDatabases)
	for _, servers := range []float64{8, 16, 55} {
		perVM := groups * servers / DesignVMs
		fmt.Fprintf(out, "%.0f VMs serve a group: a VM serves %.1f groups, holds %.0f connections or more to %.0f upstreams\n",
			servers, perVM, perVM*DesignMembers, perVM*DesignMembers)
	}
	return nil
}

func reportFleet(out io.Writer) error {
	r, err := runFleet(60)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d VMs in %d zones\n", r.VMs, r.Zones)
	printCalls(out, "from the start until the share tables are settled", r.Start, 1)
	printCalls(out, "per second without events", r.Idle, float64(r.Seconds))
	printCalls(out, "per note", r.Note, 1)
	printCalls(out, "per graceful restart of a VM", r.Restart, 1)
	watchers := 2 * float64(r.Zones)
	reads := (r.Idle["watch"] + r.Idle["get"] + r.Idle["list"] + r.Idle["vms"]) / float64(r.Seconds)
	fmt.Fprintf(out, "reads per watcher and second: %.2f; at %d watchers: %.0f\n", reads/watchers, 2*DesignZones, reads/watchers*2*DesignZones)
	return nil
}

func printCalls(out io.Writer, name string, calls map[string]float64, by float64) {
	fmt.Fprintf(out, "%s:", name)
	for _, kind := range slices.Sorted(maps.Keys(calls)) {
		fmt.Fprintf(out, " %s %.2f", kind, calls[kind]/by)
	}
	fmt.Fprintln(out)
}
