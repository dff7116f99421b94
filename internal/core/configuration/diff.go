package configuration

import (
	"cmp"
	"encoding/json"
	"fmt"
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
	before, after := flatten(from), flatten(to)
	var changes []Change
	for id, old := range before {
		now, still := after[id]
		if !still {
			changes = append(changes, Change{Action: Withdraw, Kind: id.kind, Name: id.name})
		} else if settings := settingsDiff(old, now); len(settings) > 0 {
			changes = append(changes, Change{Action: Alter, Kind: id.kind, Name: id.name, Settings: settings})
		}
	}
	for id := range after {
		if _, existed := before[id]; !existed {
			changes = append(changes, Change{Action: Add, Kind: id.kind, Name: id.name})
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

// flatten lists every item with its own settings as text, without its parts.
func flatten(c *Configuration) map[itemID]map[string]string {
	items := map[itemID]map[string]string{}
	for name, zone := range c.Zones {
		items[itemID{KindZone, string(name)}] = settingsText(zone)
	}
	for name, database := range c.Databases {
		items[itemID{KindDatabase, string(name)}] = settingsText(database)
		for upstream, value := range database.Upstreams {
			items[itemID{KindUpstream, string(name) + "/" + string(upstream)}] = settingsText(value)
		}
	}
	for name, organisation := range c.Organisations {
		items[itemID{KindOrganisation, string(name)}] = settingsText(organisation)
		for key, hash := range organisation.Keys {
			items[itemID{KindKey, string(name) + "/" + key}] = map[string]string{"hash": hash}
		}
	}
	return items
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
