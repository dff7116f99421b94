package fleet

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// Key returns the key of an organisation in the first release note.
func Key(organisation ident.OrganisationName) string { return "key-of-" + string(organisation) }

// KeySection returns the section of a release note that adds a key.
func KeySection(organisation ident.OrganisationName, name, key string) string {
	hash := configuration.HashKey(key)
	return fmt.Sprintf("[add key %s/%s]\nhash = sha256:%s\n\n", organisation, name, hex.EncodeToString(hash[:]))
}

// FirstNote returns the release note that adds everything in the installation.
func (f *Fleet) FirstNote() string {
	var b strings.Builder
	b.WriteString("[note]\ntitle = first configuration\n\n")
	for _, zone := range f.cfg.Zones {
		fmt.Fprintf(&b, "[add zone %s]\nregion = %s\nstate = in\nweight = %d\n\n", zone.Name, zone.Region, zone.VMs)
	}
	databases := make([]string, 0, len(f.cfg.Databases))
	for _, database := range f.cfg.Databases {
		databases = append(databases, string(database))
		fmt.Fprintf(&b, "[add database %s]\n\n", database)
		for _, member := range f.Standin.Groups[database].Members() {
			fmt.Fprintf(&b, "[add upstream %s/%s]\nzone = %s\naddress = %s\nagent = %s\nslots = %d\nconnections = %d\n\n",
				database, member.Name(), f.zoneOf(member.Name()), member.Address(), member.AgentAddress(), f.cfg.Slots, f.cfg.Connections)
		}
	}
	for _, o := range f.cfg.Organisations {
		fmt.Fprintf(&b, "[add organisation %s]\nrate = %g\nburst = %g\nweight = %d\ndatabases = %s\n\n",
			o.Name, o.Rate, o.Burst, o.Weight, strings.Join(databases, ", "))
		b.WriteString(KeySection(o.Name, "main", Key(o.Name)))
	}
	return b.String()
}

func (f *Fleet) zoneOf(member ident.UpstreamName) ident.AvailabilityZone {
	for i, zone := range f.cfg.Zones {
		if memberName(i) == member {
			return zone.Name
		}
	}
	return ""
}

// DirectConnectionString returns the address of a member without an entry proxy.
func (f *Fleet) DirectConnectionString(m *upstream.Member, database ident.GroupName) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", upstreamUser, upstreamPassword, m.Address(), database)
}

// ConnectionString returns the address of a database through a VM, with the key of
// the organisation.
func (f *Fleet) ConnectionString(vm ident.VMName, organisation ident.OrganisationName, database ident.GroupName) string {
	running := f.VM(vm)
	if running == nil {
		return ""
	}
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", organisation, Key(organisation), running.ClientAddress(), database)
}
