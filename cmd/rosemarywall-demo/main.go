// Command rosemarywall-demo runs the whole system in one process on loopback and
// checks its main promises. It exits with 0 only when every check passed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemarywall/rosemarywall/internal/commandline"
	"github.com/rosemarywall/rosemarywall/internal/demo"
	"github.com/rosemarywall/rosemarywall/internal/logging"
)

type options struct {
	commandline.Common
	Hold bool   `long:"hold" description:"keep serving at 127.0.0.1:6432, 6433 and 6434 after the checks"`
	Log  string `long:"log" default:"error" description:"lowest level that is logged to standard error"`
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
	if err := demo.Run(ctx, demo.Options{Out: os.Stdout, Log: log, Hold: o.Hold}); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	return 0
}
