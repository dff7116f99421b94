// Command rosemarywall-platform is the entry proxy of one VM on the users'
// platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/commandline"
	"github.com/rosemarywall/rosemarywall/internal/controller/following"
	"github.com/rosemarywall/rosemarywall/internal/logging"
	"github.com/rosemarywall/rosemarywall/internal/service"
	"github.com/rosemarywall/rosemarywall/platform"
)

const (
	// exitFailed is the status of a process that could not start.
	exitFailed = 1
	// gcPercent lets the heap grow to three times what is live before a collection.
	gcPercent = 200
	// memoryShare (of 100) of the process's memory limit is the collector's target;
	// the rest holds stacks and buffers of the system.
	memoryShare = 60
	// unacknowledged is the time after which bytes that an upstream does not
	// acknowledge end the connection.
	unacknowledged = 1500 * time.Millisecond
)

type options struct {
	commandline.Common
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings file; by default the one that the platform names in its variable"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	if status, done := commandline.Parse(&o, arguments); done {
		return status
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.StatusUsage
	}
	if o.Check {
		fmt.Println(o.Settings + ": settings are valid")
		return 0
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes * memoryShare / 100)
	}
	return serve(settings, o.LogLevel)
}

func serve(settings service.Settings, level string) int {
	log, err := logging.New(os.Stdout, level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.StatusUsage
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	vm, err := service.Start(settings, newAdapter(settings), log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	<-signals
	vm.Stop()
	return 0
}

func newAdapter(settings service.Settings) service.Adapter {
	store := platform.NewStore(settings.Store, nil)
	return service.Adapter{
		Store: store,
		Source: following.Source{
			Store: store, ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName,
			UpstreamsKind: platform.UpstreamsKind, EvacuationsKind: platform.EvacuationsKind,
			DecodeCatalog: platform.DecodeCatalog, DecodeUpstream: platform.DecodeUpstream,
		},
		Promoter: platform.NewDuties(settings.Duties, nil),
		Dial:     platform.Dialer{Unacknowledged: unacknowledged}.Dial,
		NewCodec: platform.NewCodec, NewReady: platform.NewReadyServer,
	}
}
