// Command rosemarywall is the entry proxy: it accepts PostgreSQL callers on one VM
// and serves them from the database groups of the accepted configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarywall/rosemarywall/internal/entry"
	"github.com/rosemarywall/rosemarywall/internal/logging"
	"github.com/rosemarywall/rosemarywall/internal/settings"
	"github.com/rosemarywall/rosemarywall/internal/version"
)

// Exit statuses of the process.
const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"INI settings of this process"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.ParseArgs(arguments); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Version {
		fmt.Println("rosemarywall", version.Version)
		return 0
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "rosemarywall: --settings is required")
		return exitSettings
	}
	loaded, problems := settings.Load(o.Settings)
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(os.Stderr, problem)
		}
		return exitSettings
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
		return exitSettings
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
		log.Error().Err(err).Msg("stop cut requests at the deadline")
		return exitFailed
	}
	return 0
}
