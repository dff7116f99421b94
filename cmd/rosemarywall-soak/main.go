// Command rosemarywall-soak plays randomized faults against processes of
// rosemarywall-platform on this machine and checks the product's promises.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/commandline"
	"github.com/rosemarywall/rosemarywall/internal/soak"
)

// statusBroken is the exit status after a broken promise.
const statusBroken = 1

type options struct {
	commandline.Common
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Length    time.Duration `long:"length" default:"10s" description:"time for which faults begin"`
	VMs       int           `long:"vms" default:"6" description:"number of processes, in three zones"`
	Recovery  time.Duration `long:"recovery" description:"time within which every VM must serve after the last fault; 12s by default"`
	Stops     bool          `long:"stops" description:"play planned work, with the grace time of the deployments, instead of faults"`
	Program   string        `long:"program" default:"target/rosemarywall-platform" value-name:"FILE" description:"program to run"`
	Directory string        `long:"directory" value-name:"DIR" description:"settings and logs; a temporary directory by default"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	if status, done := commandline.Parse(&o, arguments); done {
		return status
	}
	if o.Directory == "" {
		directory, err := os.MkdirTemp("", "rosemarywall-soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return commandline.StatusUsage
		}
		o.Directory = directory
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status := 0
	for seed := o.Seed; seed < o.Seed+o.Seeds && ctx.Err() == nil; seed++ {
		status = max(status, play(ctx, o, seed))
	}
	fmt.Println("logs:", o.Directory)
	return status
}

func play(ctx context.Context, o options, seed uint64) int {
	directory, err := soak.NewDirectory(o.Directory, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.StatusUsage
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Length: o.Length, VMs: o.VMs, Program: o.Program, Directory: directory, Recovery: cmp.Or(o.Recovery, soak.DefaultRecovery),
		Stops: o.Stops,
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		return statusBroken
	}
	fmt.Printf("seed %d: %d faults, %d reads, %d writes, %d violations\n", seed, report.Faults, report.Reads, report.Writes, len(report.Violations))
	fmt.Printf("  planned stops: %d requests, %d cut, excused %v\n", report.Stops.AroundStops, report.Stops.Cut, report.Stops.Excused)
	odd := report.Odd
	fmt.Printf("  odd bytes: %d statements executed, %d of them large, %d answered across SIGTERM, %d messages rejected, %d broken off\n",
		odd.Executed, odd.Large, odd.Interrupted, odd.Rejected, odd.Halves)
	u := report.Usage
	fmt.Printf("  usage: %d windows, %d missed, %d late, %d wrong, %d of %d statements reported\n", u.Windows, u.Missed, u.Late, u.Wrong, u.Reported, u.Begun)
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	if len(report.Violations) > 0 {
		return statusBroken
	}
	return 0
}
