package service

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/core/withdrawal"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// dialForStatements opens a connection for statements of clients. It sends nothing to an
// evacuated zone that is no longer usable, whatever the VM knew that has chosen the upstream
// or when a transaction began.
func (v *VM) dialForStatements(ctx context.Context, t execution.Target, organisation ident.OrganisationName) (execution.Conn, error) {
	c := &zoneConn{vm: v, target: t, guarded: true}
	if c.withdrawn() {
		return nil, execution.ErrWithdrawn
	}
	var err error
	if c.Conn, err = v.adapter.Dial(ctx, t, organisation); err != nil {
		return nil, err
	}
	return c, nil
}

// dialForTakeover opens a connection for the commands of a takeover, which decides by
// itself what it sends to an evacuated zone.
func (v *VM) dialForTakeover(ctx context.Context, t execution.Target, organisation ident.OrganisationName) (execution.Conn, error) {
	conn, err := v.adapter.Dial(ctx, t, organisation)
	if err != nil {
		return nil, err
	}
	return &zoneConn{Conn: conn, vm: v, target: t}, nil
}

// zoneConn is a connection to an upstream of a zone that may be evacuated.
type zoneConn struct {
	execution.Conn
	vm     *VM
	target execution.Target
	zone   ident.AvailabilityZone // empty until the registration of the upstream is known
	// guarded connections refuse commands once the zone is no longer usable.
	guarded bool
}

// withdrawn reports whether nothing may be sent over the connection.
func (c *zoneConn) withdrawn() bool {
	w, evacuated := c.evacuation()
	return c.guarded && evacuated && !w.Usable(c.vm.clock.Now())
}

// Exchange implements execution.Conn.
func (c *zoneConn) Exchange(ctx context.Context, commands ...statement.Command) ([]statement.Reply, error) {
	if c.withdrawn() {
		return nil, execution.ErrWithdrawn
	}
	c.report(commands...)
	return c.Conn.Exchange(ctx, commands...)
}

// Status implements execution.Conn.
func (c *zoneConn) Status(ctx context.Context, command statement.Command) (statement.Status, statement.Reply, error) {
	c.report(command)
	return c.Conn.Status(ctx, command)
}

// report logs and counts a request if the zone of the upstream is evacuated.
func (c *zoneConn) report(commands ...statement.Command) {
	w, evacuated := c.evacuation()
	if !evacuated {
		return
	}
	id := ""
	for _, command := range commands {
		if command.ID != "" {
			id = command.ID
		}
	}
	c.vm.adapter.Metrics.CountEvacuatedZoneRequest(id != "")
	c.vm.log.Info().Str("request", id).Str("upstream", string(c.target.Upstream)).Str("zone", string(c.zone)).
		Dur("known_for_ms", c.vm.clock.Now()-w.LearnedAt).Msg("statement sent to evacuated zone")
}

// evacuation returns the evacuation of the upstream's zone, if there is one.
func (c *zoneConn) evacuation() (withdrawal.Withdrawal, bool) {
	snapshot := c.vm.follower.Snapshot()
	if len(snapshot.Evacuated) == 0 {
		return withdrawal.Withdrawal{}, false
	}
	if c.zone == "" {
		c.zone, _ = snapshot.ZoneOf(c.target.Group, c.target.Upstream)
	}
	w, evacuated := snapshot.Evacuated[c.zone]
	return w, evacuated
}
