package configcontroller

import (
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// tenant is an organisation, prepared for the checks of requests.
type tenant struct {
	weight    int
	hashes    [][32]byte
	databases map[ident.GroupName]bool
}

// policy is a configuration, indexed for the checks of requests. It is immutable.
type policy struct {
	configuration *configuration.Configuration
	tenants       map[ident.OrganisationName]tenant
	zoneOut       bool // the zone of this VM is taken out of service
}

func newPolicy(c *configuration.Configuration, zone ident.AvailabilityZone) *policy {
	p := &policy{configuration: c, tenants: make(map[ident.OrganisationName]tenant, len(c.Organisations))}
	p.zoneOut = c.Zones[zone].State == configuration.ZoneOutOfService
	for name, organisation := range c.Organisations {
		t := tenant{weight: organisation.Weight, databases: make(map[ident.GroupName]bool, len(organisation.Databases))}
		for _, database := range organisation.Databases {
			t.databases[database] = true
		}
		for _, text := range organisation.Keys {
			var hash [32]byte
			if n, err := hex.Decode(hash[:], []byte(text)); err == nil && n == len(hash) {
				t.hashes = append(t.hashes, hash)
			}
		}
		p.tenants[name] = t
	}
	return p
}

// hasKey compares the hash with that of every key in constant time, so that timing
// reveals nothing about the stored hashes.
func (t tenant) hasKey(hash [32]byte) bool {
	found := 0
	for i := range t.hashes {
		found |= subtle.ConstantTimeCompare(t.hashes[i][:], hash[:])
	}
	return found == 1
}

// snapshot is the immutable state that requests are checked against. It is replaced
// atomically.
type snapshot struct {
	accepted *policy
	pending  *policy // the pending proposal, or nil
	// acceptedUntil and pendingUntil are the times until which the accepted
	// configuration alone, or together with the pending one, is proved to be current.
	acceptedUntil, pendingUntil time.Duration
	// rampStart is the time at which the zone returned to service.
	rampStart time.Duration
}

// evaluate applies a rule to the accepted configuration. If only the accepted and the
// pending configuration together are proved to be current, both must satisfy it.
func (s *snapshot) evaluate(now time.Duration, rule func(*policy) error) error {
	if err := rule(s.accepted); err != nil {
		return err
	}
	if now >= s.acceptedUntil && s.pending != nil {
		return rule(s.pending)
	}
	return nil
}

func (s *snapshot) checkFresh(now time.Duration) error {
	if now < s.pendingUntil {
		return nil
	}
	return resultcode.New(resultcode.ConfigurationNotFresh, "configuration version %d is not proved to be current",
		s.accepted.configuration.Version)
}

func (p *policy) checkZone() error {
	if p.zoneOut {
		return resultcode.New(resultcode.ZoneOut, "the availability zone is out of service")
	}
	return nil
}

// checkNewClient checks the access of a new client. Unknown organisations and wrong
// keys give the same error.
func (p *policy) checkNewClient(organisation ident.OrganisationName, database ident.GroupName, hash [32]byte, open bool) error {
	t, known := p.tenants[organisation]
	if !known || !open && !t.hasKey(hash) {
		return resultcode.New(resultcode.KeyRejected, "the key was rejected")
	}
	switch d, exists := p.configuration.Databases[database]; {
	case !exists:
		return resultcode.New(resultcode.UnknownDatabase, "database %q does not exist", database)
	case open && !d.Open || !open && !t.databases[database]:
		return resultcode.New(resultcode.DatabaseNotAllowed, "the organisation may not use database %q", database)
	}
	return p.checkZone()
}

func (p *policy) checkConnectedClient(grant *request.Grant) error {
	t, known := p.tenants[grant.Organisation]
	if !known || !grant.Open && !t.hasKey(grant.KeyHash) {
		return resultcode.New(resultcode.KeyWithdrawn, "the key was withdrawn")
	}
	database, exists := p.configuration.Databases[grant.Database]
	if !exists || grant.Open && !database.Open || !grant.Open && !t.databases[grant.Database] {
		return resultcode.New(resultcode.DatabaseNotAllowed, "the organisation may not use database %q", grant.Database)
	}
	return nil
}

// Authorise checks the key of a new client. While the zone returns to service, it
// rejects some new clients with ZoneOut.
func (c *Controller) Authorise(organisation ident.OrganisationName, database ident.GroupName, key string) (request.Grant, error) {
	now, s := c.clock.Now(), c.snapshot.Load()
	open := s.accepted.configuration.Databases[database].Open
	hash := configuration.HashKey(key)
	if open {
		hash = [32]byte{}
	}
	err := s.evaluate(now, func(p *policy) error { return p.checkNewClient(organisation, database, hash, open) })
	if err == nil && !open {
		err = s.checkFresh(now)
	}
	if err == nil {
		err = c.ramp.admit(now, s.rampStart)
	}
	if err != nil {
		return request.Grant{}, err
	}
	return request.Grant{Organisation: organisation, Database: database, KeyHash: hash, Open: open,
		Weight: s.accepted.tenants[organisation].weight}, nil
}

// Check repeats the checks for a connected client. It takes no lock. ZoneOut is
// checked last: code that lets running transactions finish in a zone that leaves
// service may ignore ZoneOut without missing another error.
func (c *Controller) Check(grant request.Grant) error {
	now, s := c.clock.Now(), c.snapshot.Load()
	if err := s.accepted.checkConnectedClient(&grant); err != nil {
		return err
	}
	if now < s.acceptedUntil || grant.Open {
		return s.accepted.checkZone()
	}
	if s.pending != nil {
		if err := s.pending.checkConnectedClient(&grant); err != nil {
			return err
		}
	}
	if err := s.checkFresh(now); err != nil {
		return err
	}
	return s.evaluate(now, (*policy).checkZone)
}

// Ready reports whether this VM accepts new clients, and if not, the reason.
func (c *Controller) Ready() (bool, string) {
	now, s := c.clock.Now(), c.snapshot.Load()
	err := s.evaluate(now, (*policy).checkZone)
	if err == nil {
		err = s.checkFresh(now)
	}
	if err != nil {
		return false, err.Error()
	}
	return true, ""
}
