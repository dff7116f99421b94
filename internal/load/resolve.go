package load

import (
	"fmt"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// resolve replaces the names database-N, zone-N and organisation-N (from 1) by those
// of an installation, so that a scenario suits every installation. What follows the
// number, such as the VM or the role, stays.
func (s Scenario) resolve(cfg fleet.Config) Scenario {
	names := map[string]string{}
	for i, d := range cfg.Databases {
		names[fmt.Sprintf("database-%d", i+1)] = string(d)
	}
	for i, z := range cfg.Zones {
		names[fmt.Sprintf("zone-%d", i+1)] = string(z.Name)
	}
	for i, o := range cfg.Organisations {
		names[fmt.Sprintf("organisation-%d", i+1)] = string(o.Name)
	}
	resolved := func(target string) string {
		for symbol, name := range names {
			if rest, ok := strings.CutPrefix(target, symbol); ok {
				return name + rest
			}
		}
		return target
	}
	s.Faults = append([]Fault(nil), s.Faults...)
	for i := range s.Faults {
		s.Faults[i].Target = resolved(s.Faults[i].Target)
	}
	organisations := map[ident.OrganisationName]OrganisationLoad{}
	for name, load := range s.Organisations {
		organisations[ident.OrganisationName(resolved(string(name)))] = load
	}
	s.Organisations = organisations
	return s
}
