package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// CallerAddresses are the addresses of the entry proxies in hold mode.
var CallerAddresses = []string{"127.0.0.1:6432", "127.0.0.1:6433", "127.0.0.1:6434"}

const (
	stepDeadline    = 30 * time.Second
	startDeadline   = 15 * time.Second
	tenant          = ident.OrganisationName("print-shop-north")
	limitedTenant   = ident.OrganisationName("designer-one")
	fleetSeed       = 1
	drainDeadline   = 30 * time.Second
	pollingInterval = 20 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Out io.Writer
	Log zerolog.Logger
	// Hold keeps serving after the checks until ctx ends.
	Hold bool
}

type demo struct {
	options Options
	fleet   *fleet.Fleet
	config  fleet.Config
	vms     []ident.VMName // one of each zone
}

// step is one promise that is shown and checked; the text says what was seen.
type step struct {
	name string
	run  func(context.Context) (seen string, err error)
}

// Run starts the system and checks every step. The error names the first check
// that failed.
func Run(ctx context.Context, options Options) error {
	d := &demo{options: options, config: fleet.Testeno()}
	for i := range d.config.Zones {
		d.config.Zones[i].VMs = 1
	}
	d.config.Seed, d.config.Log = fleetSeed, options.Log
	if options.Hold {
		d.config.CallerAddresses = CallerAddresses
	}
	var err error
	if d.fleet, err = fleet.Start(d.config); err != nil {
		return err
	}
	defer d.fleet.Close()
	for _, zone := range d.config.Zones {
		d.vms = append(d.vms, d.fleet.InZone(zone.Name)...)
	}
	for _, s := range d.steps() {
		stepContext, cancel := context.WithTimeout(ctx, stepDeadline)
		seen, err := s.run(stepContext)
		cancel()
		if err != nil {
			d.say("FAILED  %s: %v", s.name, err)
			return errors.Wrap(err, s.name)
		}
		d.say("checked %s: %s", s.name, seen)
	}
	if options.Hold {
		return d.hold(ctx)
	}
	return nil
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.options.Out, format+"\n", args...)
}

func (d *demo) steps() []step {
	return []step{
		{"release note", d.applyFirstNote},
		{"session consistency", d.readThroughAnotherProxy},
		{"primary failure", d.failPrimary},
		{"withdrawn key", d.withdrawKey},
		{"rate", d.exceedRate},
		{"zone out and back", d.takeZoneOut},
	}
}

// hold serves until ctx ends, then drains every VM.
func (d *demo) hold(ctx context.Context) error {
	for i, o := range d.config.Organisations {
		vm := d.vms[i%len(d.vms)]
		d.say("%-17s %s", o.Name, d.fleet.ConnectionString(vm, o.Name, d.config.Databases[i%len(d.config.Databases)]))
	}
	for _, vm := range d.vms {
		d.say("administration address of %s: %s", vm, d.fleet.VM(vm).AdminAddress())
	}
	d.say("serving; press Ctrl-C to drain and end")
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), drainDeadline)
	defer cancel()
	for _, vm := range d.vms {
		if err := d.fleet.StopVM(drain, vm); err != nil {
			return err
		}
	}
	d.say("drained")
	return nil
}

func (d *demo) connect(ctx context.Context, vm int, organisation ident.OrganisationName) (*pgx.Conn, error) {
	return pgx.Connect(ctx, d.fleet.ConnectionString(d.vms[vm], organisation, d.config.Databases[0]))
}

// sqlState returns the SQLSTATE of a refusal, or the empty string.
func sqlState(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// poll calls done until it reports true or ctx ends.
func poll(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollingInterval):
		}
	}
	return nil
}
