package settings

import (
	"fmt"
	"os"

	"github.com/rosemarywall/rosemarywall/internal/inifile"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Problem is a fault of the settings file.
type Problem = inifile.Problem

// Problems are all faults of the settings file, in the order of its lines.
type Problems = inifile.Problems

// Load reads and checks a settings file. The settings are nil when there are problems.
func Load(path string) (*Settings, Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Code: resultcode.SettingsSyntax, Text: err.Error()}}
	}
	return Parse(path, data)
}

// Parse checks the text of a settings file; path appears in the problems only.
func Parse(path string, data []byte) (*Settings, Problems) {
	sections, problems := inifile.Parse(path, data, resultcode.SettingsSyntax)
	l := loader{path: path, problems: problems, settings: &Settings{},
		sectionLine: map[string]int{}, settingLine: map[string]int{}}
	for _, section := range sections {
		l.section(section)
	}
	l.absent()
	if len(l.problems) == 0 {
		l.combinations()
	}
	if len(l.problems) > 0 {
		l.problems.Sort()
		return nil, l.problems
	}
	return l.settings, nil
}

type loader struct {
	path        string
	settings    *Settings
	problems    Problems
	sectionLine map[string]int
	settingLine map[string]int
}

func (l *loader) report(line int, code resultcode.Code, format string, args ...any) {
	l.problems = append(l.problems, Problem{File: l.path, Line: line, Code: code, Text: fmt.Sprintf(format, args...)})
}

func (l *loader) section(section inifile.Section) {
	if !knownSection(section.Name) {
		l.report(section.Line, resultcode.SettingsUnknown, "unknown section [%s]", section.Name)
		return
	}
	if first, twice := l.sectionLine[section.Name]; twice {
		l.report(section.Line, resultcode.SettingsInvalid, "section [%s] was given on line %d already", section.Name, first)
	} else {
		l.sectionLine[section.Name] = section.Line
	}
	for _, setting := range section.Settings {
		l.setting(section.Name, setting)
	}
}

func (l *loader) setting(section string, setting inifile.Setting) {
	o, ok := find(section, setting.Name)
	key := section + "." + setting.Name
	switch first, twice := l.settingLine[key]; {
	case !ok:
		l.report(setting.Line, resultcode.SettingsUnknown, "unknown setting %s in [%s]", setting.Name, section)
		return
	case twice:
		l.report(setting.Line, resultcode.SettingsInvalid, "%s was given on line %d already", setting.Name, first)
		return
	}
	l.settingLine[key] = setting.Line
	if setting.Value == "" {
		l.report(setting.Line, resultcode.SettingsInvalid, "%s is empty", setting.Name)
		return
	}
	if err := o.store(l.settings, setting.Value); err != nil {
		l.report(setting.Line, resultcode.SettingsInvalid, "%s: %s", setting.Name, err)
	}
}

// absent fills in the initial values and reports needed settings that are missing.
func (l *loader) absent() {
	for _, o := range table {
		if _, given := l.settingLine[o.section+"."+o.name]; given {
			continue
		}
		switch {
		case o.needed:
			l.report(l.sectionLine[o.section], resultcode.SettingsMissing, "[%s] needs %s", o.section, o.name)
		case o.initial != "":
			if err := o.store(l.settings, o.initial); err != nil {
				l.report(0, resultcode.SettingsInvalid, "default of %s.%s: %s", o.section, o.name, err)
			}
		}
	}
	if !l.settings.Peers.Advertise.IsValid() {
		l.settings.Peers.Advertise = l.settings.Peers.Listen
	}
}

// combinations checks rules that concern several settings.
func (l *loader) combinations() {
	callers := l.settings.Callers
	line := l.sectionLine["callers"]
	if (callers.TLSCertificate == "") != (callers.TLSKey == "") {
		l.report(line, resultcode.SettingsMissing, "tls_certificate and tls_key need each other")
	}
	if callers.TLSRequired && callers.TLSCertificate == "" {
		l.report(line, resultcode.SettingsMissing, "tls_required needs tls_certificate")
	}
	if l.settings.Peers.Advertise.Addr().IsUnspecified() {
		l.report(l.sectionLine["peers"], resultcode.SettingsMissing,
			"advertise is needed because listen names no single address")
	}
}

func knownSection(name string) bool {
	for _, o := range table {
		if o.section == name {
			return true
		}
	}
	return false
}

func find(section, name string) (option, bool) {
	for _, o := range table {
		if o.section == section && o.name == name {
			return o, true
		}
	}
	return option{}, false
}
