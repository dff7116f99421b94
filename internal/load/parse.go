package load

import (
	"fmt"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/inifile"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Defaults of a scenario.
const (
	defaultSessions = 6
	defaultSettle   = 3 * time.Second
	defaultLoad     = 0.3
	defaultWrites   = 0.25
	defaultScans    = 0.1
	defaultTokens   = 0.5
	defaultRoam     = 0.3
)

// Parse reads the text of a scenario. Its sections are [scenario], any number of
// [organisation NAME] with its load and sessions, and any number of [fault NAME]. The error
// lists every problem with its line.
func Parse(file string, data []byte) (Scenario, error) {
	sections, problems := inifile.Parse(file, data, resultcode.SettingsSyntax)
	p := &parser{file: file, problems: problems}
	p.scenario = Scenario{
		Name: strings.TrimSuffix(filepath.Base(file), ".ini"), Sessions: defaultSessions, Settle: defaultSettle,
		Load: defaultLoad, Writes: defaultWrites, Scans: defaultScans, Token: defaultTokens, Roam: defaultRoam,
		Organisations: map[ident.OrganisationName]OrganisationLoad{},
	}
	for _, section := range sections {
		p.section(section)
	}
	p.check()
	if len(p.problems) > 0 {
		p.problems.Sort()
		return Scenario{}, p.problems
	}
	sort.SliceStable(p.scenario.Faults, func(i, j int) bool { return p.scenario.Faults[i].At < p.scenario.Faults[j].At })
	return p.scenario, nil
}

type parser struct {
	file     string
	problems inifile.Problems
	scenario Scenario
}

func (p *parser) report(line int, code resultcode.Code, format string, args ...any) {
	p.problems = append(p.problems, inifile.Problem{File: p.file, Line: line, Code: code, Text: fmt.Sprintf(format, args...)})
}

func (p *parser) section(section inifile.Section) {
	kind, name, _ := strings.Cut(section.Name, " ")
	switch {
	case section.Name == "scenario":
		p.settings(section, p.scenarioSettings())
	case kind == "organisation" && name != "":
		o := OrganisationLoad{Load: p.scenario.Load}
		p.settings(section, map[string]func(string) bool{"load": number(&o.Load, 0, 100), "sessions": count(&o.Sessions)})
		p.scenario.Organisations[ident.OrganisationName(name)] = o
	case kind == "fault" && name != "":
		p.fault(section, name)
	default:
		p.report(section.Line, resultcode.SettingsUnknown, "unknown section [%s]", section.Name)
	}
}

func (p *parser) scenarioSettings() map[string]func(string) bool {
	s := &p.scenario
	return map[string]func(string) bool{
		"title":        text(&s.Title),
		"installation": func(v string) bool { s.Installation = v; return installations[v] != nil },
		"duration":     span(&s.Duration),
		"settle":       span(&s.Settle),
		"sessions":     count(&s.Sessions),
		"slots":        count(&s.Slots),
		"connections":  count(&s.Connections),
		"load":         number(&s.Load, 0, 100),
		"writes":       number(&s.Writes, 0, 1),
		"scans":        number(&s.Scans, 0, 1),
		"transactions": number(&s.Transactions, 0, 1),
		"token":        number(&s.Token, 0, 1),
		"roam":         number(&s.Roam, 0, 1),
		"aged":         number(&s.Aged, 0, 1),
		"baselines":    p.baselines,
	}
}

func (p *parser) baselines(value string) bool {
	for name := range strings.SplitSeq(value, ",") {
		switch b := Baseline(strings.TrimSpace(name)); b {
		case ReadsOnPrimary, StaticShares, FirstComeQueue:
			p.scenario.Baselines = append(p.scenario.Baselines, b)
		default:
			return false
		}
	}
	return true
}

func (p *parser) fault(section inifile.Section, name string) {
	f := Fault{Name: name}
	p.settings(section, map[string]func(string) bool{
		"action": func(v string) bool { f.Action = Action(v); return actions[f.Action].start != nil },
		"target": text(&f.Target),
		"value":  text(&f.Value),
		"at":     span(&f.At),
		"for":    span(&f.For),
	})
	if f.Action == "" {
		p.report(section.Line, resultcode.SettingsMissing, "fault %s has no action", name)
		return
	}
	if valid := actions[f.Action].value; valid != nil && !valid(f.Value) {
		p.report(section.Line, resultcode.SettingsInvalid, "value %q does not suit action %s", f.Value, f.Action)
	}
	p.scenario.Faults = append(p.scenario.Faults, f)
}

// settings gives the values of a section to their setters; a setter reports
// whether it accepts the value.
func (p *parser) settings(section inifile.Section, setters map[string]func(string) bool) {
	for _, setting := range section.Settings {
		set, ok := setters[setting.Name]
		switch {
		case !ok:
			p.report(setting.Line, resultcode.SettingsUnknown, "unknown setting %q", setting.Name)
		case !set(setting.Value):
			p.report(setting.Line, resultcode.SettingsInvalid, "%s: invalid value %q", setting.Name, setting.Value)
		}
	}
}

func (p *parser) check() {
	if p.scenario.Installation == "" {
		p.report(0, resultcode.SettingsMissing, "no installation")
	}
	if p.scenario.Duration <= 0 {
		p.report(0, resultcode.SettingsMissing, "no duration")
	}
}

func text(to *string) func(string) bool {
	return func(v string) bool { *to = v; return v != "" }
}

func span(to *time.Duration) func(string) bool {
	return func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d >= 0
	}
}

func count(to *int) func(string) bool {
	return func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n > 0
	}
}

func number(to *float64, low, high float64) func(string) bool {
	return func(v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		*to = n
		return err == nil && n >= low && n <= high
	}
}
