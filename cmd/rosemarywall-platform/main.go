// Command rosemarywall-platform is the entry proxy of one VM on the users'
// platform.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/commandline"
	"github.com/rosemarywall/rosemarywall/internal/logging"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/service"
	"github.com/rosemarywall/rosemarywall/platform"
)

const (
	// exitFailed is the status of a process that could not start.
	exitFailed = 1
	// gcPercent keeps the heap near what is live. Memory is scarcer than processor time:
	// at 200 a process holds twice the memory and uses hardly less time.
	gcPercent = 50
	// memoryShare (of 100) of the process's memory limit is the collector's target;
	// the rest holds stacks and buffers of the system.
	memoryShare = 60
)

type options struct {
	commandline.Common
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings file; by default the one that the platform names in its variable"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Metrics  uint16 `long:"metrics-port" value-name:"PORT" description:"port of the metrics and the state dump; none by default"`
	LogLevel string `long:"log-level" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
}

func main() { os.Exit(run(os.Args[1:])) }

// signals holds the received signals. Each kind has its own channel, because a signal that
// finds its channel full is dropped, and one that is pending says all that a second one would.
type signals struct {
	stop, reload chan os.Signal
}

func receiveSignals() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func run(arguments []string) int {
	received := receiveSignals() // before the settings are read, since SIGHUP would end the process
	var o options
	if status, done := commandline.Parse(&o, arguments); done {
		return status
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	file := platform.NewSettingsFile(o.Settings)
	settings, err := file.Load()
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
	return serve(settings, file, o, received)
}

func serve(settings service.Settings, file *platform.SettingsFile, o options, received signals) int {
	log, sink, err := logging.NewBounded(os.Stdout, o.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.StatusUsage
	}
	defer sink.Close()
	log = log.With().Str("vm", string(settings.VM)).Logger()
	adapter := platform.NewAdapter(settings)
	adapter.DroppedLogLines = sink.Overflow
	if o.Metrics > 0 {
		adapter.MetricsAddress = net.JoinHostPort(settings.IP, strconv.Itoa(int(o.Metrics)))
	}
	vm, err := service.Start(settings, adapter, log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	go func() {
		for range received.reload {
			recovery.Run(log, "reload", func() { reload(vm, file, log) })
		}
	}()
	<-received.stop
	vm.Stop()
	return 0
}

// reload reads the settings file again.
func reload(vm *service.VM, file *platform.SettingsFile, log zerolog.Logger) {
	settings, err := file.Load()
	if err != nil {
		log.Error().Err(err).Msg("settings not reloaded")
		return
	}
	log.Info().Strs("restart_needed_for", vm.Reload(settings)).Msg("settings reloaded")
}
