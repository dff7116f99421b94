// Command rosemarywall-standin runs stand-ins of the platform and of database
// groups, for tests and demonstrations.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/logging"
	"github.com/rosemarywall/rosemarywall/internal/standin"
	"github.com/rosemarywall/rosemarywall/internal/version"
)

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"INI file that names the platform and the groups" default:"standin.ini"`
	Level    string `long:"log-level" description:"least level of logged events" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if opts.Version {
		fmt.Println("rosemarywall-standin", version.Version)
		return
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	cfg, problems := standin.LoadSettings(opts.Settings)
	if len(problems) > 0 {
		return problems
	}
	if opts.Check {
		fmt.Println(opts.Settings, "is valid")
		return nil
	}
	log, err := logging.New(os.Stderr, opts.Level)
	if err != nil {
		return err
	}
	for i := range cfg.Groups {
		cfg.Groups[i].Log = log
	}
	s, err := standin.Start(cfg)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer s.Close()
	logAddresses(log, s)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	log.Info().Str("signal", (<-stop).String()).Msg("stopping")
	return nil
}

func logAddresses(log zerolog.Logger, s *standin.Standin) {
	state := s.State()
	log.Info().Str("address", state.Platform).Str("control", s.ControlAddress()).Msg("platform serves")
	names := make([]string, 0, len(state.Upstreams))
	for name := range state.Upstreams {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		upstream := state.Upstreams[name]
		log.Info().Str("upstream", name).Str("address", upstream.Address).Str("agent", upstream.Agent).Msg("upstream serves")
	}
}
