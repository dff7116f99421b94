package capacity

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
)

// Command selects the roles to measure.
type Command struct {
	Roles []string `long:"role" description:"role to measure: sizes, wire, detector, piggyback, shares, configuration, groups, following, contacts, pools, platform, fleet; all when absent"`
}

// part is a role's measurement.
type part struct {
	name string
	run  func(io.Writer) error
}

// Run measures the selected roles and prints the figures of docs/CAPACITY.md.
func (c Command) Run(out io.Writer) error {
	parts := []part{
		{"sizes", func(out io.Writer) error { _, err := io.WriteString(out, SizeTable()); return err }},
		{"wire", reportWire}, {"detector", reportDetector}, {"piggyback", reportPiggyback},
		{"shares", reportShares}, {"configuration", reportConfiguration}, {"groups", reportGroups}, {"following", reportFollowing}, {"contacts", reportContacts},
		{"pools", reportPools}, {"platform", reportPlatform}, {"fleet", reportFleet},
	}
	for _, role := range c.Roles {
		if !slices.ContainsFunc(parts, func(p part) bool { return p.name == role }) {
			return errors.Newf("unknown role %q", role)
		}
	}
	for _, p := range parts {
		if len(c.Roles) > 0 && !slices.Contains(c.Roles, p.name) {
			continue
		}
		fmt.Fprintf(out, "== %s\n", p.name)
		if err := p.run(out); err != nil {
			return errors.Wrap(err, p.name)
		}
	}
	return nil
}

// micros formats a time as microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func reportWire(out io.Writer) error {
	h, err := measureHandshake(200)
	fmt.Fprintf(out, "overhead per message: %d bytes of WebSocket header, %d of TLS record\n", webSocketMin, tlsRecord)
	fmt.Fprintf(out, "opening a connection: %.0f bytes, %.0f us of processor time, both sides together\n", h.Bytes, micros(h.Processor))
	return err
}

func reportDetector(out io.Writer) error {
	var messages, bytes, processor []Point
	for _, perZone := range []int{8, 38, 77, DesignZoneVMs} {
		r, err := runDetectors(3, perZone, 0, versionsPayload())
		if err != nil {
			return err
		}
		x := float64(perZone)
		messages, bytes = append(messages, Point{x, r.Messages}), append(bytes, Point{x, r.Bytes})
		processor = append(processor, Point{x, micros(r.Processor)})
		fmt.Fprintf(out, "3 zones of %d VMs: %.2f messages and %.0f bytes sent per VM and second, death seen after %.1f s by the first and %.1f s by the last VM, %d suspicions, %d false deaths in %d s\n",
			perZone, r.Messages, r.Bytes, r.Detected.Seconds(), r.Spread.Seconds(), r.Suspicions, r.FalseDeaths, r.RunSeconds)
	}
	Series{"detector", "messages sent", "1/s per VM", "VMs a zone", messages, DesignZoneVMs}.write(out)
	Series{"detector", "bytes sent", "bytes/s per VM", "VMs a zone", bytes, DesignZoneVMs}.write(out)
	Series{"detector", "processor time", "us per VM and second", "VMs a zone", processor, DesignZoneVMs}.write(out)
	for _, loss := range []float64{0.01, 0.05} {
		r, err := runDetectors(3, 77, loss, versionsPayload())
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "3 zones of 77 VMs, %.0f%% of messages lost: %d suspicions, %d false deaths in %d s, %.0f bytes per VM and second\n",
			100*loss, r.Suspicions, r.FalseDeaths, r.RunSeconds, r.Bytes)
	}
	return reportView(out)
}

// reportView measures what the membership view of a fleet costs one VM.
func reportView(out io.Writer) error {
	var memory, list, rank []Point
	for _, vms := range []int{370, 1110, 2220, DesignVMs} {
		d, held := heapOf(func() *detector.Detector { return viewOf(vms) })
		x := float64(vms)
		memory = append(memory, Point{x, held})
		list = append(list, Point{x, micros(timePer(200, func() { d.Members() }))})
		members := d.Members()
		rank = append(rank, Point{x, micros(timePer(200, func() { detector.Watchers(members, zoneName(0), 2) }))})
	}
	Series{"detector", "memory of the view", "bytes", "VMs", memory, DesignVMs}.write(out)
	Series{"detector", "listing of the view", "us", "VMs", list, DesignVMs}.write(out)
	Series{"detector", "ranking of watchers", "us", "VMs", rank, DesignVMs}.write(out)
	return nil
}

func reportShares(out io.Writer) error {
	var memory, tick []Point
	for _, organisations := range []int{100, 300, 600, 1000} {
		r, err := runEscrow(4, organisations, 4, 0.5)
		if err != nil {
			return err
		}
		memory = append(memory, Point{float64(organisations), r.Memory})
		tick = append(tick, Point{float64(organisations), micros(tickTime(organisations)) * float64(time.Second/shareTick)})
	}
	Series{"shares", "memory of buckets", "bytes per VM", "organisations", memory, DesignOrganisations}.write(out)
	Series{"shares", "steps of an idle escrow", "us per second", "organisations", tick, DesignOrganisations}.write(out)
	for _, organisations := range []int{8, 300, 1000} {
		fmt.Fprintf(out, "admission with %d organisations: %.3f us\n", organisations, micros(takeTime(organisations)))
	}
	for _, load := range []struct {
		name    string
		servers int
		part    float64
	}{
		{"every VM serves every organisation, at half its rate", DesignZoneVMs, 0.5},
		{"77 VMs serve an organisation, at half its rate", 77, 0.5},
		{"16 VMs serve an organisation, at half its rate", 16, 0.5},
	} {
		if err := reportSkew(out, load.name, load.servers, load.part); err != nil {
			return err
		}
	}
	return nil
}

// reportSkew measures zones of growing size under one distribution of load.
func reportSkew(out io.Writer, name string, servers int, part float64) error {
	var lease, transfer, messages, processor []Point
	fmt.Fprintf(out, "-- %s\n", name)
	for _, vms := range []int{40, 77, DesignZoneVMs} {
		r, err := runEscrow(vms, DesignOrganisations, servers, part)
		if err != nil {
			return err
		}
		x := float64(vms)
		lease, transfer = append(lease, Point{x, r.LeaseBytes}), append(transfer, Point{x, r.TransferBytes})
		messages = append(messages, Point{x, r.TransferMessages})
		processor = append(processor, Point{x, 100 * r.Processor.Seconds()})
		fmt.Fprintf(out, "zone of %d VMs, %d organisations: %.2f lease messages/s, %.1f transfer messages/s per VM, %d of %d requests refused, table of %d bytes\n",
			vms, DesignOrganisations, r.LeaseMessages, r.TransferMessages, r.Refused, r.Requests, r.TableBytes)
	}
	Series{"shares", "bytes of leases sent", "bytes/s per VM", "VMs a zone", lease, DesignZoneVMs}.write(out)
	Series{"shares", "transfer messages sent", "1/s per VM", "VMs a zone", messages, DesignZoneVMs}.write(out)
	Series{"shares", "bytes of transfers sent", "bytes/s per VM", "VMs a zone", transfer, DesignZoneVMs}.write(out)
	Series{"shares", "processor time with load", "% of a core", "VMs a zone", processor, DesignZoneVMs}.write(out)
	return nil
}
