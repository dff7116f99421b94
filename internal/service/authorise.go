package service

import (
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Authorise implements proxy.Authoriser.
func (v *VM) Authorise(database string, key catalog.KeyHash) (proxy.Grant, error) {
	state := v.follower.Snapshot()
	c := state.Catalog
	route, ok := c.Routes[database]
	_, age, _ := v.follower.Proof()
	refused := proxy.Grant{Version: c.Version, ProofAge: age}
	if c.Version == 0 || (!v.follower.Fresh() && !(ok && route.Public)) {
		return refused, resultcode.New(resultcode.ConfigurationNotFresh, "the configuration is not proved current")
	}
	if !ok {
		return refused, resultcode.New(resultcode.UnknownDatabase, "no such database")
	}
	organisation, known := c.Organisation(key)
	if !known && !route.Public {
		return refused, resultcode.New(resultcode.KeyRejected, "key is not accepted")
	}
	return proxy.Grant{
		Version: c.Version, ProofAge: age, Route: route, Organisation: organisation, Group: c.Groups[route.Group],
		IdleTransactionTimeout: c.IdleTransactionTimeout,
	}, nil
}
