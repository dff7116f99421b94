package configuration

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/inifile"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// MaxNoteBytes limits the size of a release note.
const MaxNoteBytes = 512 << 10

// Action is the operation of a section of a release note.
type Action string

// Actions of a release note.
const (
	ActionAdd      Action = "add"
	ActionChange   Action = "change"
	ActionWithdraw Action = "withdraw"
)

// Kind is a kind of configured item.
type Kind string

// Kinds of configured items.
const (
	KindZone         Kind = "zone"
	KindDatabase     Kind = "database"
	KindUpstream     Kind = "upstream"
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
)

// Problem is an error in a release note with its file, line and result code.
type Problem = inifile.Problem

// Problems are all errors in a release note, ordered by line.
type Problems = inifile.Problems

// Item is one section of a release note.
type Item struct {
	Action   Action
	Kind     Kind
	Name     string
	Line     int
	Settings map[string]inifile.Setting
}

// Note is a parsed release note.
type Note struct {
	// File is used only in problems.
	File  string
	Title string
	// Base is the configuration version that the note was written for, if HasBase is
	// true.
	Base    ident.ConfigurationVersion
	HasBase bool
	Items   []Item
}

// ParseNote parses a release note. The returned note is nil if there are problems.
func ParseNote(file string, data []byte) (*Note, Problems) {
	p := parser{note: &Note{File: file}, itemLines: map[string]int{}}
	if len(data) > MaxNoteBytes {
		p.report(0, resultcode.NoteTooLarge, "the note has more than %d bytes", MaxNoteBytes)
		return nil, p.problems
	}
	sections, problems := inifile.Parse(file, data, resultcode.NoteSyntax)
	p.problems = problems
	headers := 0
	for _, section := range sections {
		if section.Name == "note" {
			headers++
			p.parseHeader(section, headers)
			continue
		}
		p.parseItem(section)
	}
	if headers == 0 {
		p.report(0, resultcode.NoteSyntax, "the note has no [note] section")
	}
	if len(p.note.Items) == 0 && len(p.problems) == 0 {
		p.report(0, resultcode.NoteEmpty, "the note has no items")
	}
	if len(p.problems) > 0 {
		p.problems.Sort()
		return nil, p.problems
	}
	return p.note, nil
}

type parser struct {
	note      *Note
	problems  Problems
	itemLines map[string]int
}

func (p *parser) report(line int, code resultcode.Code, format string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.note.File, Line: line, Code: code, Text: fmt.Sprintf(format, args...)})
}

func (p *parser) parseHeader(section inifile.Section, count int) {
	if count > 1 {
		p.report(section.Line, resultcode.NoteSyntax, "the note has more than one [note] section")
		return
	}
	for name, setting := range p.settings(section) {
		switch name {
		case "title":
			p.note.Title = setting.Value
		case "base":
			base, err := strconv.ParseUint(setting.Value, 10, 63)
			if err != nil {
				p.report(setting.Line, resultcode.NoteInvalidValue, "base: expected a configuration version")
			}
			p.note.Base, p.note.HasBase = ident.ConfigurationVersion(base), true
		default:
			p.report(setting.Line, resultcode.NoteUnknownSetting, "unknown setting %s in [note]", name)
		}
	}
	if p.note.Title == "" {
		p.report(section.Line, resultcode.NoteInvalidValue, "[note] needs a title")
	}
}

// settings returns the settings of a section by name and reports duplicates.
func (p *parser) settings(section inifile.Section) map[string]inifile.Setting {
	byName := make(map[string]inifile.Setting, len(section.Settings))
	for _, setting := range section.Settings {
		if first, duplicate := byName[setting.Name]; duplicate {
			p.report(setting.Line, resultcode.NoteSyntax, "%s was given on line %d already", setting.Name, first.Line)
			continue
		}
		byName[setting.Name] = setting
	}
	return byName
}

func (p *parser) parseItem(section inifile.Section) {
	fields := strings.Fields(section.Name)
	if len(fields) != 3 {
		p.report(section.Line, resultcode.NoteUnknownSection, "expected [add|change|withdraw <kind> <name>]")
		return
	}
	item := Item{Action: Action(fields[0]), Kind: Kind(fields[1]), Name: fields[2], Line: section.Line}
	rules, known := rulesByKind[item.Kind]
	switch {
	case item.Action != ActionAdd && item.Action != ActionChange && item.Action != ActionWithdraw:
		p.report(section.Line, resultcode.NoteUnknownSection, "unknown action %s; expected add, change or withdraw", item.Action)
		return
	case !known:
		p.report(section.Line, resultcode.NoteUnknownSection,
			"unknown kind %s; expected organisation, key, zone, database or upstream", item.Kind)
		return
	case !validName(item.Name, rules.nameParts):
		p.report(section.Line, resultcode.NoteInvalidValue, "name %q: expected %s of lower-case letters, digits, -, _ and .", item.Name, rules.nameFormat)
	}
	id := string(item.Kind) + " " + item.Name
	if first, duplicate := p.itemLines[id]; duplicate {
		p.report(section.Line, resultcode.NoteSyntax, "%s already has a section on line %d; only one section per item is allowed", id, first)
	}
	p.itemLines[id] = section.Line
	item.Settings = p.settings(section)
	p.checkSettings(item, rules)
	p.note.Items = append(p.note.Items, item)
}

func (p *parser) checkSettings(item Item, rules kindRules) {
	for name, setting := range item.Settings {
		check, known := rules.settings[name]
		switch {
		case item.Action == ActionWithdraw:
			p.report(setting.Line, resultcode.NoteUnknownSetting, "a withdrawal must not have settings")
		case !known:
			p.report(setting.Line, resultcode.NoteUnknownSetting, "unknown setting %s of kind %s", name, item.Kind)
		default:
			if err := check.parse(new(itemValues), setting.Value); err != nil {
				p.report(setting.Line, resultcode.NoteInvalidValue, "%s: %s", name, err)
			}
		}
	}
	if item.Action == ActionChange && len(item.Settings) == 0 {
		p.report(item.Line, resultcode.NoteEmpty, "the section changes nothing")
	}
	if item.Action != ActionAdd {
		return
	}
	for _, name := range sortedKeys(rules.settings) {
		if _, given := item.Settings[name]; !given && rules.settings[name].required {
			p.report(item.Line, resultcode.NoteInvalidValue, "add %s needs %s", item.Kind, name)
		}
	}
}
