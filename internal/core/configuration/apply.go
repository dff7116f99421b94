package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Empty returns the configuration before the first note: version 0, no items.
func Empty() *Configuration {
	return &Configuration{
		Organisations: map[ident.OrganisationName]Organisation{},
		Zones:         map[ident.AvailabilityZone]Zone{},
		Databases:     map[ident.GroupName]Database{},
	}
}

// Apply returns the configuration that the note makes of current, with the next
// version, and what it changes. The note applies as a whole or not at all; the
// configuration is nil when there are problems.
func Apply(current *Configuration, note *Note) (*Configuration, []Change, Problems) {
	a := applier{note: note, next: clone(current), withdrawn: map[string]int{}, line: map[string]int{}}
	a.next.Version = current.Version + 1
	if note.HasBase && note.Base != current.Version {
		a.report(0, resultcode.NoteConflict, "the note was written for version %d; version %d is current", note.Base, current.Version)
		return nil, nil, a.problems
	}
	for _, item := range applyOrder(note.Items) {
		a.line[string(item.Kind)+" "+item.Name] = item.Line
		a.item(item)
	}
	if len(a.problems) == 0 {
		a.references()
	}
	changes := Diff(current, a.next)
	if len(a.problems) == 0 && len(changes) == 0 {
		a.report(0, resultcode.NoteEmpty, "the note changes nothing")
	}
	if len(a.problems) == 0 && len(Encode(a.next)) > MaxEncodedBytes {
		a.report(0, resultcode.NoteTooLarge, "the configuration would exceed %d bytes", MaxEncodedBytes)
	}
	if len(a.problems) > 0 {
		a.problems.Sort()
		return nil, nil, a.problems
	}
	return a.next, changes, nil
}

// applyOrder puts withdrawals first, parts before their parents, and then the
// other items, parents before their parts, so that the order in the note is free.
func applyOrder(items []Item) []Item {
	order := []Kind{KindZone, KindDatabase, KindUpstream, KindOrganisation, KindKey}
	rank := func(item Item) int {
		i := slices.Index(order, item.Kind)
		if item.Action == ActionWithdraw {
			return -i - 1
		}
		return i
	}
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(x, y Item) int { return cmp.Compare(rank(x), rank(y)) })
	return sorted
}

type applier struct {
	note      *Note
	next      *Configuration
	problems  Problems
	withdrawn map[string]int // line of each withdrawn item
	line      map[string]int // line of each item
}

func (a *applier) report(line int, code resultcode.Code, format string, args ...any) {
	a.problems = append(a.problems, Problem{File: a.note.File, Line: line, Code: code, Text: fmt.Sprintf(format, args...)})
}

func (a *applier) item(item Item) {
	parent, name, _ := strings.Cut(item.Name, "/")
	var s slot
	switch item.Kind {
	case KindZone:
		s = slotOf(a.next.Zones, ident.AvailabilityZone(parent), func(v *values) *Zone { return &v.zone })
	case KindDatabase:
		s = slotOf(a.next.Databases, ident.GroupName(parent), func(v *values) *Database { return &v.database })
	case KindOrganisation:
		s = slotOf(a.next.Organisations, ident.OrganisationName(parent), func(v *values) *Organisation { return &v.organisation })
	case KindUpstream:
		database, ok := a.next.Databases[ident.GroupName(parent)]
		if !ok {
			a.report(item.Line, resultcode.NoteReference, "there is no database %s", parent)
			return
		}
		s = slotOf(database.Upstreams, ident.UpstreamName(name), func(v *values) *Upstream { return &v.upstream })
	case KindKey:
		organisation, ok := a.next.Organisations[ident.OrganisationName(parent)]
		if !ok {
			a.report(item.Line, resultcode.NoteReference, "there is no organisation %s", parent)
			return
		}
		s = slotOf(organisation.Keys, name, func(v *values) *string { return &v.hash })
	}
	a.change(item, s)
}

// slot is the place of one item in a configuration.
type slot struct {
	exists bool
	load   func(*values)
	store  func(*values)
	remove func()
}

func slotOf[K comparable, V any](items map[K]V, key K, field func(*values) *V) slot {
	old, exists := items[key]
	return slot{
		exists: exists,
		load:   func(v *values) { *field(v) = old },
		store:  func(v *values) { items[key] = *field(v) },
		remove: func() { delete(items, key) },
	}
}

func (a *applier) change(item Item, s slot) {
	switch {
	case item.Action == ActionAdd && s.exists:
		a.report(item.Line, resultcode.NoteAlreadyExists, "%s %s exists already", item.Kind, item.Name)
		return
	case item.Action != ActionAdd && !s.exists:
		a.report(item.Line, resultcode.NoteNotFound, "there is no %s %s", item.Kind, item.Name)
		return
	case item.Action == ActionWithdraw:
		s.remove()
		a.withdrawn[string(item.Kind)+" "+item.Name] = item.Line
		return
	}
	v := defaults()
	if item.Action == ActionChange {
		s.load(&v)
	}
	for name, setting := range item.Settings {
		if err := kinds[item.Kind].settings[name].parse(&v, setting.Value); err != nil {
			a.report(setting.Line, resultcode.NoteInvalidValue, "%s: %s", name, err)
		}
	}
	s.store(&v)
}

// references checks that every named database and zone exists. The problem names
// the line that adds the reference, or else the line that withdraws its target.
func (a *applier) references() {
	for _, name := range sortedKeys(a.next.Organisations) {
		for _, database := range a.next.Organisations[name].Databases {
			if _, ok := a.next.Databases[database]; !ok {
				a.dangling("organisation "+string(name), "database "+string(database))
			}
		}
	}
	for _, name := range sortedKeys(a.next.Databases) {
		upstreams := a.next.Databases[name].Upstreams
		for _, upstream := range sortedKeys(upstreams) {
			zone := upstreams[upstream].Zone
			if _, ok := a.next.Zones[zone]; !ok {
				a.dangling("upstream "+string(name)+"/"+string(upstream), "zone "+string(zone))
			}
		}
	}
}

func (a *applier) dangling(from, to string) {
	line, given := a.line[from]
	if !given {
		line = a.withdrawn[to]
	}
	a.report(line, resultcode.NoteReference, "%s refers to %s, which does not exist", from, to)
}

func clone(c *Configuration) *Configuration {
	next := &Configuration{
		Version:       c.Version,
		Organisations: cloneMap(c.Organisations),
		Zones:         cloneMap(c.Zones),
		Databases:     cloneMap(c.Databases),
	}
	for name, organisation := range next.Organisations {
		organisation.Keys = cloneMap(organisation.Keys)
		next.Organisations[name] = organisation
	}
	for name, database := range next.Databases {
		database.Upstreams = cloneMap(database.Upstreams)
		next.Databases[name] = database
	}
	return next
}

// cloneMap returns a copy that can be written to, also when m is nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
