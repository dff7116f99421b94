package configuration

import (
	"fmt"
	"net/netip"

	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// checkNames returns a framing.Error with the place of the first name or address of a
// configuration that no note can have set. Such a name could end a field of a message to an
// upstream. The configuration is not used without the entry, because its digest covers all.
func checkNames(c *Configuration) error {
	for _, name := range sortedKeys(c.Organisations) {
		place := fmt.Sprintf("organisations[%q]", name)
		err := checkName(place, name)
		for _, database := range c.Organisations[name].Databases {
			err = first(err, checkName(place+".databases", database))
		}
		keys := c.Organisations[name].Keys
		for _, key := range sortedKeys(keys) {
			err = first(err, checkName(place+".keys", key))
			if parsed := ""; parseHash(&parsed, "sha256:"+keys[key]) != nil || parsed != keys[key] {
				err = first(err, framing.New(framing.Field, "%s.keys[%q] is not a hash", place, key))
			}
		}
		if err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(c.Zones) {
		place := fmt.Sprintf("zones[%q]", name)
		if err := first(checkName(place, name), checkName(place+".region", c.Zones[name].Region)); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(c.Databases) {
		place := fmt.Sprintf("databases[%q]", name)
		err := checkName(place, name)
		upstreams := c.Databases[name].Upstreams
		for _, upstream := range sortedKeys(upstreams) {
			err = first(err, checkUpstream(fmt.Sprintf("%s.upstreams[%q]", place, upstream), upstream, upstreams[upstream]))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func checkUpstream(place string, name ident.UpstreamName, u Upstream) error {
	err := first(checkName(place, name), checkName(place+".zone", u.Zone))
	return first(err, checkAddress(place+".address", u.Address), checkAddress(place+".agent", u.Agent))
}

func checkAddress(place, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return framing.New(framing.Field, "%s is not IP:port", place)
	}
	return nil
}

func checkName[T ~string](place string, name T) error {
	if !namePattern.MatchString(string(name)) {
		return framing.New(framing.Field, "%s: %q is no valid name", place, name)
	}
	return nil
}

// first returns the first error that is not nil.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
