package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Command holds the options of the load tool, as tags of go-flags describe them.
type Command struct {
	Scenario     string `long:"scenario" description:"name of an embedded scenario"`
	File         string `long:"file" description:"scenario file"`
	List         bool   `long:"list" description:"list the embedded scenarios"`
	Installation string `long:"installation" description:"testeno or lone-star, instead of the scenario's own"`
	Seed         uint64 `long:"seed" default:"1" description:"seed of the offered load"`
	JSON         bool   `long:"json" description:"print one JSON object"`
	NoBaselines  bool   `long:"no-baselines" description:"leave out the runs of the baselines"`
	Plot         string `long:"plot" description:"directory for plots in SVG"`
	Direct       bool   `long:"direct" description:"compare one proxy with a direct connection"`
	Records      string `long:"records" description:"file for the records of all requests, one JSON object a line"`
	Dump         string `long:"dump" description:"file for the state dumps at the end of the load"`
}

// Run carries out the options. broken says that a promise was broken.
func (c Command) Run(ctx context.Context, out io.Writer, log zerolog.Logger) (broken bool, err error) {
	if c.List {
		return false, list(out)
	}
	if c.Direct {
		return false, c.direct(ctx, out, log)
	}
	scenario, err := c.scenario()
	if err != nil {
		return false, err
	}
	if c.Installation != "" {
		if installations[c.Installation] == nil {
			return false, errors.Newf("no installation %q", c.Installation)
		}
		scenario.Installation = c.Installation
	}
	report, err := c.report(ctx, scenario, log)
	if err != nil {
		return false, err
	}
	if c.Dump != "" {
		if err := writeDumps(c.Dump, report.Result); err != nil {
			return false, err
		}
	}
	if c.Records != "" {
		if err := writeRecords(c.Records, report.Result); err != nil {
			return false, err
		}
	}
	if c.Plot != "" {
		if err := WritePlots(c.Plot, "svg", report.Result); err != nil {
			return false, err
		}
	}
	if c.JSON {
		return report.Broken(), report.WriteJSON(out)
	}
	return report.Broken(), report.WriteText(out)
}

func list(out io.Writer) error {
	for _, name := range Names() {
		scenario, err := Embedded(name)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%-24s %-10s %4s  %s\n", name, scenario.Installation, scenario.Duration, scenario.Title); err != nil {
			return err
		}
	}
	return nil
}

func (c Command) scenario() (Scenario, error) {
	switch {
	case c.Scenario != "" && c.File != "":
		return Scenario{}, errors.New("--scenario and --file exclude each other")
	case c.File != "":
		return FromFile(c.File)
	case c.Scenario != "":
		return Embedded(c.Scenario)
	}
	return Scenario{}, errors.New("one of --scenario, --file, --list is needed")
}

// report runs the scenario and then each of its baselines with the same seed.
func (c Command) report(ctx context.Context, scenario Scenario, log zerolog.Logger) (*Report, error) {
	report := &Report{}
	var err error
	if report.Result, err = Run(ctx, scenario, Options{Seed: c.Seed, Log: log}); err != nil {
		return nil, err
	}
	if c.NoBaselines {
		return report, nil
	}
	for _, baseline := range scenario.Baselines {
		result, err := Run(ctx, scenario, Options{Seed: c.Seed, Baseline: baseline, Log: log})
		if err != nil {
			return nil, errors.Wrapf(err, "baseline %s", baseline)
		}
		report.Baselines = append(report.Baselines, result)
	}
	return report, nil
}

func writeDumps(file string, result *Result) error {
	encoded, err := json.MarshalIndent(result.Dumps, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode state dumps")
	}
	return errors.Wrap(os.WriteFile(file, encoded, 0o600), "write state dumps")
}

func writeRecords(file string, result *Result) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create file of records")
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	encoder := json.NewEncoder(f)
	for i := range result.History.Records {
		if err := encoder.Encode(&result.History.Records[i]); err != nil {
			return errors.Wrap(err, "write records")
		}
	}
	return nil
}
