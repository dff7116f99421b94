package configuration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two configurations.
type Change struct {
	Action Action `json:"action"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	// Settings lists the changed settings as "name: old -> new". It is empty unless
	// the action is ActionChange.
	Settings []string `json:"settings,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name)
	if len(c.Settings) > 0 {
		text += " (" + strings.Join(c.Settings, ", ") + ")"
	}
	return text
}

// Diff returns the changes between two configurations, ordered by kind and name.
// It does not compare version numbers.
func Diff(from, to *Configuration) []Change {
	before, after := changedItems(from, to), changedItems(to, from)
	var changes []Change
	for id, old := range before {
		new, exists := after[id]
		if !exists {
			changes = append(changes, Change{Action: ActionWithdraw, Kind: id.kind, Name: id.name})
		} else if settings := diffSettings(old, new); len(settings) > 0 {
			changes = append(changes, Change{Action: ActionChange, Kind: id.kind, Name: id.name, Settings: settings})
		}
	}
	for id := range after {
		if _, existed := before[id]; !existed {
			changes = append(changes, Change{Action: ActionAdd, Kind: id.kind, Name: id.name})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return changes
}

type itemID struct {
	kind Kind
	name string
}

// changedItems returns the items of c that are missing from other or differ there,
// each with its own settings as text and without its children. Items are compared
// before they are encoded, so that the cost of a small change does not grow to that
// of encoding the whole configuration.
func changedItems(c, other *Configuration) map[itemID]map[string]string {
	items := map[itemID]map[string]string{}
	add := func(kind Kind, name string, item any) { items[itemID{kind, name}] = settingsAsText(item) }
	for name, zone := range c.Zones {
		if o, ok := other.Zones[name]; !ok || o != zone {
			add(KindZone, string(name), zone)
		}
	}
	for name, database := range c.Databases {
		o, ok := other.Databases[name]
		if !ok || o.Open != database.Open {
			add(KindDatabase, string(name), database)
		}
		for upstream, value := range database.Upstreams {
			if u, ok := o.Upstreams[upstream]; !ok || u != value {
				add(KindUpstream, string(name)+"/"+string(upstream), value)
			}
		}
	}
	for name, organisation := range c.Organisations {
		o, ok := other.Organisations[name]
		if !ok || !sameSettings(o, organisation) {
			add(KindOrganisation, string(name), organisation)
		}
		for key, hash := range organisation.Keys {
			if h, ok := o.Keys[key]; !ok || h != hash {
				items[itemID{KindKey, string(name) + "/" + key}] = map[string]string{"hash": hash}
			}
		}
	}
	return items
}

// sameSettings compares two organisations without their keys.
func sameSettings(a, b Organisation) bool {
	a.Keys, b.Keys = nil, nil
	return reflect.DeepEqual(a, b)
}

func settingsAsText(item any) map[string]string {
	encoded, _ := json.Marshal(item)
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(encoded, &fields)
	delete(fields, "upstreams")
	delete(fields, "keys")
	text := make(map[string]string, len(fields))
	for name, value := range fields {
		text[name] = string(value)
	}
	return text
}

func diffSettings(old, new map[string]string) []string {
	var lines []string
	for _, name := range sortedKeys(new) {
		if old[name] != new[name] {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, old[name], new[name]))
		}
	}
	return lines
}
