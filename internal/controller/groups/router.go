package groupcontroller

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

func (c *Controller) group(name ident.GroupName) *groupState { return (*c.groups.Load())[name] }

// targetOf returns member i as a target of the data plane.
func (c *Controller) targetOf(v *routing.View, i int) request.Target {
	m := &v.Members[i]
	return request.Target{
		Group: v.Group, Upstream: m.Upstream, Zone: m.Zone, Address: m.Address, Term: v.Term,
		Slots: m.Slots, ConnectionLimit: max(1, m.Connections/int(c.liveVMs.Load())),
		Primary:     i == v.Primary,
		StatusStale: c.options.Now()-v.Observations[i].ReceivedAt > StatusStaleAfter,
	}
}

// Primary implements request.Router.
func (c *Controller) Primary(ctx context.Context, database ident.GroupName) (request.Target, error) {
	g := c.groupForRequest(database)
	if g == nil {
		return request.Target{}, resultcode.New(resultcode.NoPrimary, "group %s is not configured", database)
	}
	return c.waitForPrimary(ctx, g, ident.LogPoint{})
}

// waitForPrimary waits for a primary that accepts new requests and has every
// acknowledged entry up to minPosition.
func (c *Controller) waitForPrimary(ctx context.Context, g *groupState, minPosition ident.LogPoint) (request.Target, error) {
	v := g.view.Load()
	if i, ok := v.WritePrimaryAt(minPosition); ok {
		return c.targetOf(v, i), nil
	}
	c.metrics.primaryWaits.Add(1)
	var target request.Target
	err := g.wait(ctx, func(v *routing.View) bool {
		i, ok := v.WritePrimaryAt(minPosition)
		if ok {
			target = c.targetOf(v, i)
		}
		return ok
	})
	if err != nil {
		return request.Target{}, resultcode.Wrap(err, resultcode.NoPrimary, "group %s has no reachable primary", g.name)
	}
	return target, nil
}

// Read implements request.Router.
func (c *Controller) Read(ctx context.Context, database ident.GroupName, requirement request.ReadRequirement) (request.Target, error) {
	g := c.groupForRequest(database)
	if g == nil {
		return request.Target{}, resultcode.New(resultcode.NoUpstream, "group %s is not configured", database)
	}
	if requirement.MaxAge > 0 {
		replica := routing.Requirement{MinApplied: requirement.MinLogPoint, MaxAge: requirement.MaxAge}
		if t, ok := c.selectReplica(g.view.Load(), replica); ok {
			c.metrics.readsByAge.Add(1)
			return t, nil
		}
		// Without a read index the primary may be a former one, and the age of its state
		// has no known bound.
		requirement.Strict = true
	}
	minPosition, err := c.minReadPosition(ctx, g, requirement)
	if err != nil {
		return request.Target{}, resultcode.Wrap(err, resultcode.NoUpstream, "group %s cannot prove a position", database)
	}
	return c.selectForRead(ctx, g, minPosition)
}

// minReadPosition returns the log position that a read must see.
func (c *Controller) minReadPosition(ctx context.Context, g *groupState, requirement request.ReadRequirement) (ident.LogPoint, error) {
	if !requirement.Strict && requirement.MinLogPoint.Term <= g.view.Load().Term {
		return requirement.MinLogPoint, nil
	}
	index, err := g.readIndexer.readIndex(ctx)
	if err != nil {
		return ident.LogPoint{}, err
	}
	return routing.StrictReadPoint(requirement.MinLogPoint, index), nil
}

// selectForRead selects a replica that has applied minPosition, waiting up to
// ReplicaWait for one. After that it waits for either the primary or a replica until ctx
// ends.
func (c *Controller) selectForRead(ctx context.Context, g *groupState, minPosition ident.LogPoint) (request.Target, error) {
	requirement := routing.Requirement{MinApplied: minPosition}
	if t, ok := c.selectReplica(g.view.Load(), requirement); ok {
		c.metrics.readsReplica.Add(1)
		return t, nil
	}
	var target request.Target
	found := func(v *routing.View) (ok bool) {
		target, ok = c.selectReplica(v, requirement)
		return ok
	}
	replicaCtx, cancel := context.WithTimeout(ctx, c.options.ReplicaWait)
	defer cancel()
	if g.wait(replicaCtx, found) == nil {
		c.metrics.readsWaited.Add(1)
		return target, nil
	}
	err := g.wait(ctx, func(v *routing.View) bool {
		if i, ok := v.ReadPrimaryAt(minPosition); ok {
			target = c.targetOf(v, i)
			return true
		}
		return found(v)
	})
	if err != nil {
		return request.Target{}, resultcode.Wrap(err, resultcode.NoUpstream, "no upstream of group %s is known to have applied %s", g.name, minPosition)
	}
	c.metrics.readsPrimary.Add(1)
	return target, nil
}

// PrimaryFor implements route.PrimaryReader, which the route filter finds by a type
// assertion. It returns the primary once it is proved to satisfy the requirement. A
// transaction that reads before it writes uses it, because a former primary rejects
// writes but not reads. The error carries NoPrimary.
func (c *Controller) PrimaryFor(ctx context.Context, database ident.GroupName, requirement request.ReadRequirement) (request.Target, error) {
	g := c.group(database)
	if g == nil {
		return request.Target{}, resultcode.New(resultcode.NoPrimary, "group %s is not configured", database)
	}
	requirement.Strict = requirement.Strict || requirement.MaxAge > 0
	minPosition, err := c.minReadPosition(ctx, g, requirement)
	if err != nil {
		return request.Target{}, resultcode.Wrap(err, resultcode.NoPrimary, "group %s cannot prove a position", database)
	}
	return c.waitForPrimary(ctx, g, minPosition)
}

func (c *Controller) selectReplica(v *routing.View, requirement routing.Requirement) (request.Target, bool) {
	var now time.Duration
	if requirement.MaxAge > 0 {
		now = c.options.Now()
	}
	i := v.SelectReplica(requirement, *c.location.Load(), c.options.OutstandingRequests, c.rotation.Add(1), now)
	if i < 0 {
		return request.Target{}, false
	}
	return c.targetOf(v, i), true
}

// Confirm implements request.Router.
func (c *Controller) Confirm(ctx context.Context, target request.Target, point ident.LogPoint) error {
	g := c.groupForRequest(target.Group)
	if g == nil {
		return resultcode.New(resultcode.OutcomeUnknown, "group %s is not configured", target.Group)
	}
	if g.view.Load().Confirms(target.Upstream, target.Term, point) {
		return nil
	}
	c.metrics.confirmsWaited.Add(1)
	confirmed := false
	err := g.wait(ctx, func(v *routing.View) bool {
		confirmed = v.Confirms(target.Upstream, target.Term, point)
		return confirmed || v.Term > target.Term
	})
	if err != nil {
		return resultcode.Wrap(err, resultcode.OutcomeUnknown, "replicas of group %s did not confirm %s", g.name, point)
	}
	if !confirmed {
		return resultcode.New(resultcode.OutcomeUnknown, "group %s moved past term %d before %s was confirmed", g.name, target.Term, point)
	}
	return nil
}

// Transaction implements request.Router. In terms after the first it returns the final
// state of a transaction only after a replica has an entry of the primary's term. Until
// then a later primary could start from a log that contains the transaction, so that
// "aborted" would not be final.
func (c *Controller) Transaction(ctx context.Context, database ident.GroupName, id string) (group.TransactionState, error) {
	for {
		target, err := c.Primary(ctx, database)
		if err != nil {
			return group.TransactionUnknown, err
		}
		state, err := c.requestTransactionState(ctx, target, id)
		if err == nil && state != group.TransactionInProgress && target.Term > 1 {
			err = c.Confirm(ctx, target, ident.LogPoint{Term: target.Term})
		}
		if err == nil {
			return state, nil
		}
		if ctx.Err() != nil {
			return group.TransactionUnknown, resultcode.Wrap(err, resultcode.OutcomeUnknown, "state of transaction %s could not be determined", id)
		}
		select { // limits the rate of requests to a failing primary
		case <-ctx.Done():
		case <-time.After(ReconnectDelay):
		}
	}
}

func (c *Controller) requestTransactionState(ctx context.Context, target request.Target, id string) (group.TransactionState, error) {
	g := c.groupForRequest(target.Group)
	if g == nil {
		return group.TransactionUnknown, errUnresponsive
	}
	agent := g.agent(target.Upstream)
	if agent == nil {
		return group.TransactionUnknown, errUnresponsive
	}
	return agent.Transaction(ctx, id)
}

// PrimaryPoint implements forward.PointSource, which the forward filter finds by a type
// assertion. It requests the point of the last log entry from the primary. It is at or
// past every commit that the primary has acknowledged before the call.
func (c *Controller) PrimaryPoint(ctx context.Context, database ident.GroupName) (request.Target, ident.LogPoint, error) {
	target, err := c.Primary(ctx, database)
	if err != nil {
		return request.Target{}, ident.LogPoint{}, err
	}
	agent := c.group(database).agent(target.Upstream)
	if agent == nil {
		return request.Target{}, ident.LogPoint{}, errUnresponsive
	}
	status, err := agent.Status(ctx)
	if err != nil {
		return request.Target{}, ident.LogPoint{}, err
	}
	if status.Upstream != target.Upstream || status.Term != target.Term {
		return request.Target{}, ident.LogPoint{}, resultcode.New(resultcode.NoPrimary, "primary of group %s is changing", database)
	}
	return target, status.Received, nil
}

// ReportFailure implements request.Router. The upstream is not selected until its next
// status arrives.
func (c *Controller) ReportFailure(target request.Target, err error) {
	g := c.groupForRequest(target.Group)
	if g == nil {
		return
	}
	c.metrics.failuresReported.Add(1)
	g.updateMember(target.Upstream, (*routing.View).WithFailure)
	if connectionRefused(err) {
		g.promoter.handleRefused(target.Upstream)
	}
}
