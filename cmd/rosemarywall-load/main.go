// Command rosemarywall-load runs scenarios of load and faults against an in-process
// installation and judges the required properties. It exits with 1 when a promise
// was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarywall/rosemarywall/internal/load"
	"github.com/rosemarywall/rosemarywall/internal/logging"
	"github.com/rosemarywall/rosemarywall/internal/version"
)

type options struct {
	load.Command
	Log     string `long:"log" default:"fatal" description:"lowest level that the VMs log to standard error"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag).Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if o.Version {
		fmt.Println("rosemarywall-load", version.Version)
		return 0
	}
	log, err := logging.New(os.Stderr, o.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	broken, err := o.Run(ctx, os.Stdout, log)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rosemarywall-load:", err)
		return 2
	case broken:
		return 1
	}
	return 0
}
