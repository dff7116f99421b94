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

// Empty returns the configuration that precedes the first note: version 0 with no items.
func Empty() *Configuration {
	return &Configuration{
		Organisations: map[ident.OrganisationName]Organisation{},
		Zones:         map[ident.AvailabilityZone]Zone{},
		Databases:     map[ident.GroupName]Database{},
	}
}

// Apply returns the configuration that results from applying the note to current,
// with the next version number, and the list of changes. A note is applied
// atomically: if there are problems, the returned configuration is nil.
func Apply(current *Configuration, note *Note) (*Configuration, []Change, Problems) {
	a := applier{note: note, next: clone(current), withdrawnLines: map[string]int{}, itemLines: map[string]int{}}
	a.next.Version = current.Version + 1
	if note.HasBase && note.Base != current.Version {
		a.report(0, resultcode.NoteConflict, "the note was written for version %d; version %d is current", note.Base, current.Version)
		return nil, nil, a.problems
	}
	for _, item := range applyOrder(note.Items) {
		a.itemLines[string(item.Kind)+" "+item.Name] = item.Line
		a.applyItem(item)
	}
	if len(a.problems) == 0 {
		a.checkReferences()
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

// applyOrder sorts withdrawals first, children before parents, followed by all
// other items, parents before children. Sections of a note may be in any order.
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
	note           *Note
	next           *Configuration
	problems       Problems
	withdrawnLines map[string]int // by kind and name
	itemLines      map[string]int // by kind and name
}

func (a *applier) report(line int, code resultcode.Code, format string, args ...any) {
	a.problems = append(a.problems, Problem{File: a.note.File, Line: line, Code: code, Text: fmt.Sprintf(format, args...)})
}

func (a *applier) applyItem(item Item) {
	parent, name, _ := strings.Cut(item.Name, "/")
	var s itemAccessor
	switch item.Kind {
	case KindZone:
		s = newItemAccessor(a.next.Zones, ident.AvailabilityZone(parent), func(v *itemValues) *Zone { return &v.zone })
	case KindDatabase:
		s = newItemAccessor(a.next.Databases, ident.GroupName(parent), func(v *itemValues) *Database { return &v.database })
	case KindOrganisation:
		s = newItemAccessor(a.next.Organisations, ident.OrganisationName(parent), func(v *itemValues) *Organisation { return &v.organisation })
	case KindUpstream:
		database, ok := a.next.Databases[ident.GroupName(parent)]
		if !ok {
			a.report(item.Line, resultcode.NoteReference, "there is no database %s", parent)
			return
		}
		s = newItemAccessor(database.Upstreams, ident.UpstreamName(name), func(v *itemValues) *Upstream { return &v.upstream })
	case KindKey:
		organisation, ok := a.next.Organisations[ident.OrganisationName(parent)]
		if !ok {
			a.report(item.Line, resultcode.NoteReference, "there is no organisation %s", parent)
			return
		}
		s = newItemAccessor(organisation.Keys, name, func(v *itemValues) *string { return &v.hash })
	}
	a.update(item, s)
}

// itemAccessor reads and writes one item of a configuration.
type itemAccessor struct {
	exists bool
	load   func(*itemValues)
	store  func(*itemValues)
	remove func()
}

func newItemAccessor[K comparable, V any](items map[K]V, key K, field func(*itemValues) *V) itemAccessor {
	old, exists := items[key]
	return itemAccessor{
		exists: exists,
		load:   func(v *itemValues) { *field(v) = old },
		store:  func(v *itemValues) { items[key] = *field(v) },
		remove: func() { delete(items, key) },
	}
}

func (a *applier) update(item Item, s itemAccessor) {
	switch {
	case item.Action == ActionAdd && s.exists:
		a.report(item.Line, resultcode.NoteAlreadyExists, "%s %s exists already", item.Kind, item.Name)
		return
	case item.Action != ActionAdd && !s.exists:
		a.report(item.Line, resultcode.NoteNotFound, "there is no %s %s", item.Kind, item.Name)
		return
	case item.Action == ActionWithdraw:
		s.remove()
		a.withdrawnLines[string(item.Kind)+" "+item.Name] = item.Line
		return
	}
	v := defaultValues()
	if item.Action == ActionChange {
		s.load(&v)
	}
	for name, setting := range item.Settings {
		if err := rulesByKind[item.Kind].settings[name].parse(&v, setting.Value); err != nil {
			a.report(setting.Line, resultcode.NoteInvalidValue, "%s: %s", name, err)
		}
	}
	s.store(&v)
}

// checkReferences reports references to databases and zones that do not exist. A
// problem has the line of the referring item if the note contains it, otherwise the
// line that withdraws the target.
func (a *applier) checkReferences() {
	for _, name := range sortedKeys(a.next.Organisations) {
		for _, database := range a.next.Organisations[name].Databases {
			if _, ok := a.next.Databases[database]; !ok {
				a.reportDangling("organisation "+string(name), "database "+string(database))
			}
		}
	}
	for _, name := range sortedKeys(a.next.Databases) {
		upstreams := a.next.Databases[name].Upstreams
		for _, upstream := range sortedKeys(upstreams) {
			zone := upstreams[upstream].Zone
			if _, ok := a.next.Zones[zone]; !ok {
				a.reportDangling("upstream "+string(name)+"/"+string(upstream), "zone "+string(zone))
			}
		}
	}
}

func (a *applier) reportDangling(from, to string) {
	line, given := a.itemLines[from]
	if !given {
		line = a.withdrawnLines[to]
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

// cloneMap returns a copy of m that is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
