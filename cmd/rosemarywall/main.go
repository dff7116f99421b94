// Command rosemarywall is the entry proxy: it accepts PostgreSQL callers on one VM
// and serves them from the database groups of the accepted configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemarywall/rosemarywall/internal/commandline"
	"github.com/rosemarywall/rosemarywall/internal/entry"
	"github.com/rosemarywall/rosemarywall/internal/logging"
	"github.com/rosemarywall/rosemarywall/internal/settings"
)

// exitFailed is the status of a process that could not start or that cut requests.
const exitFailed = 1

type options struct {
	commandline.Common
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"INI settings of this process"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	if status, done := commandline.Parse(&o, arguments); done {
		return status
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "rosemarywall: --settings is required")
		return commandline.StatusUsage
	}
	loaded, problems := settings.Load(o.Settings)
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(os.Stderr, problem)
		}
		return commandline.StatusUsage
	}
	if o.Check {
		fmt.Println(o.Settings + ": settings are valid")
		return 0
	}
	return serve(loaded)
}

// serve runs the entry proxy until SIGTERM or SIGINT, then drains it.
func serve(loaded *settings.Settings) int {
	log, err := logging.New(os.Stderr, loaded.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.StatusUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	vm, err := entry.Start(entry.Config{Settings: loaded, Log: log})
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), loaded.Shutdown.DrainDeadline)
	defer cancel()
	if err := vm.Stop(drain); err != nil {
		log.Error().Err(err).Msg("stop did not complete all requests")
		return exitFailed
	}
	return 0
}
