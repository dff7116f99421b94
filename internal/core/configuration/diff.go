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
	// Settings lists the altered settings as "name: old -> new"; empty unless the
	// action is "change".
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

// Diff lists what changes from one configuration to the other, ordered by kind
// and name. Versions are not compared.
func Diff(from, to *Configuration) []Change {
	before, after := flatten(from, to), flatten(to, from)
	var changes []Change
	for id, old := range before {
		now, still := after[id]
		if !still {
			changes = append(changes, Change{Action: ActionWithdraw, Kind: id.kind, Name: id.name})
		} else if settings := settingsDiff(old, now); len(settings) > 0 {
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

// flatten lists every item of c that other does not have in the same state, with
// its own settings as text, without its parts. Comparing the items first keeps the
// cost of a note that changes little below that of encoding the configuration.
func flatten(c, other *Configuration) map[itemID]map[string]string {
	items := map[itemID]map[string]string{}
	add := func(kind Kind, name string, item any) { items[itemID{kind, name}] = settingsText(item) }
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

// sameSettings compares all settings of an organisation but its keys.
func sameSettings(a, b Organisation) bool {
	a.Keys, b.Keys = nil, nil
	return reflect.DeepEqual(a, b)
}

func settingsText(item any) map[string]string {
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

func settingsDiff(old, now map[string]string) []string {
	var lines []string
	for _, name := range sortedKeys(now) {
		if old[name] != now[name] {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, old[name], now[name]))
		}
	}
	return lines
}
