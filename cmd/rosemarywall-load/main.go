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

	"github.com/rosemarywall/rosemarywall/internal/commandline"
	"github.com/rosemarywall/rosemarywall/internal/load"
	"github.com/rosemarywall/rosemarywall/internal/logging"
)

type options struct {
	commandline.Common
	load.Command
	Log string `long:"log" default:"fatal" description:"lowest level that the VMs log to standard error"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if status, done := commandline.Parse(&o, os.Args[1:]); done {
		return status
	}
	log, err := logging.New(os.Stderr, o.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.StatusUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	broken, err := o.Run(ctx, os.Stdout, log)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rosemarywall-load:", err)
		return commandline.StatusUsage
	case broken:
		return 1
	}
	return 0
}
