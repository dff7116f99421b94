package service

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/core/withdrawal"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// dialUpstream opens a connection that reports each request to an evacuated zone.
func (v *VM) dialUpstream(ctx context.Context, t execution.Target, organisation ident.OrganisationName) (execution.Conn, error) {
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
}

// Exchange implements execution.Conn.
func (c *zoneConn) Exchange(ctx context.Context, commands ...statement.Command) ([]statement.Reply, error) {
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
