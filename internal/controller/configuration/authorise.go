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

// tenant is an organisation as requests need it.
type tenant struct {
	weight    int
	hashes    [][32]byte
	databases map[ident.GroupName]bool
}

// view is a configuration indexed for requests. It is never changed.
type view struct {
	configuration *configuration.Configuration
	tenants       map[ident.OrganisationName]tenant
	zoneOut       bool // the zone of this VM is taken out of service
}

func newView(c *configuration.Configuration, zone ident.AvailabilityZone) *view {
	v := &view{configuration: c, tenants: make(map[ident.OrganisationName]tenant, len(c.Organisations))}
	v.zoneOut = c.Zones[zone].State == configuration.ZoneOutOfService
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
		v.tenants[name] = t
	}
	return v
}

// has compares every key in constant time, so that the time of the comparison
// says nothing about a stored hash.
func (t tenant) has(hash [32]byte) bool {
	found := 0
	for i := range t.hashes {
		found |= subtle.ConstantTimeCompare(t.hashes[i][:], hash[:])
	}
	return found == 1
}

// snapshot is what requests are decided by. It is replaced as a whole.
type snapshot struct {
	accepted *view
	held     *view // the pending proposal, or nil
	// acceptedUntil and heldUntil are the times until which the accepted
	// configuration alone, or together with the held one, is proved to be current.
	acceptedUntil, heldUntil time.Duration
	// rampFrom is the time at which the zone returned to service.
	rampFrom time.Duration
}

// decide applies one rule to the accepted configuration and, when only both
// together are proved to be current, to the held one as well.
func (s *snapshot) decide(now time.Duration, rule func(*view) error) error {
	if err := rule(s.accepted); err != nil {
		return err
	}
	if now >= s.acceptedUntil && s.held != nil {
		return rule(s.held)
	}
	return nil
}

func (s *snapshot) fresh(now time.Duration) error {
	if now < s.heldUntil {
		return nil
	}
	return resultcode.New(resultcode.ConfigurationNotFresh, "configuration version %d is not proved to be current",
		s.accepted.configuration.Version)
}

func (v *view) checkZone() error {
	if v.zoneOut {
		return resultcode.New(resultcode.ZoneOut, "the availability zone is out of service")
	}
	return nil
}

// checkNew decides about a new caller. Unknown organisations and wrong keys get
// the same answer.
func (v *view) checkNew(organisation ident.OrganisationName, database ident.GroupName, hash [32]byte, open bool) error {
	t, known := v.tenants[organisation]
	if !known || !open && !t.has(hash) {
		return resultcode.New(resultcode.KeyRejected, "the key was rejected")
	}
	switch d, exists := v.configuration.Databases[database]; {
	case !exists:
		return resultcode.New(resultcode.UnknownDatabase, "database %q does not exist", database)
	case open && !d.Open || !open && !t.databases[database]:
		return resultcode.New(resultcode.DatabaseNotAllowed, "the organisation may not use database %q", database)
	}
	return v.checkZone()
}

func (v *view) checkConnected(grant *request.Grant) error {
	t, known := v.tenants[grant.Organisation]
	if !known || !grant.Open && !t.has(grant.KeyHash) {
		return resultcode.New(resultcode.KeyWithdrawn, "the key was withdrawn")
	}
	database, exists := v.configuration.Databases[grant.Database]
	if !exists || grant.Open && !database.Open || !grant.Open && !t.databases[grant.Database] {
		return resultcode.New(resultcode.DatabaseNotAllowed, "the organisation may not use database %q", grant.Database)
	}
	return nil
}

// Authorise checks the key of a new caller. While the zone returns to service,
// some new callers are refused with ZoneOut.
func (c *Controller) Authorise(organisation ident.OrganisationName, database ident.GroupName, key string) (request.Grant, error) {
	now, s := c.clock.Now(), c.snapshot.Load()
	open := s.accepted.configuration.Databases[database].Open
	hash := configuration.HashKey(key)
	if open {
		hash = [32]byte{}
	}
	err := s.decide(now, func(v *view) error { return v.checkNew(organisation, database, hash, open) })
	if err == nil && !open {
		err = s.fresh(now)
	}
	if err == nil {
		err = c.ramp.admit(now, s.rampFrom)
	}
	if err != nil {
		return request.Grant{}, err
	}
	return request.Grant{Organisation: organisation, Database: database, KeyHash: hash, Open: open,
		Weight: s.accepted.tenants[organisation].weight}, nil
}

// Check repeats the decision for a connected caller. It takes no lock. ZoneOut comes
// last, so that a caller of Check that lets running transactions finish in a zone
// that leaves overlooks no other refusal.
func (c *Controller) Check(grant request.Grant) error {
	now, s := c.clock.Now(), c.snapshot.Load()
	if err := s.accepted.checkConnected(&grant); err != nil {
		return err
	}
	if now < s.acceptedUntil || grant.Open {
		return s.accepted.checkZone()
	}
	if s.held != nil {
		if err := s.held.checkConnected(&grant); err != nil {
			return err
		}
	}
	if err := s.fresh(now); err != nil {
		return err
	}
	return s.decide(now, (*view).checkZone)
}

// Ready reports whether this VM welcomes new callers, and the reason when not.
func (c *Controller) Ready() (bool, string) {
	now, s := c.clock.Now(), c.snapshot.Load()
	err := s.decide(now, (*view).checkZone)
	if err == nil {
		err = s.fresh(now)
	}
	if err != nil {
		return false, err.Error()
	}
	return true, ""
}
