package configcontroller

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// ackPollInterval is the interval at which zone acknowledgements are read. It is
	// also the delay between retries of writes.
	ackPollInterval    = 50 * time.Millisecond
	maxProposeAttempts = 4
)

// storedState is the state on the platform that a proposal is based on.
type storedState struct {
	current         *configuration.Configuration
	currentVersion  objectapi.Version
	proposal        proposalValue
	proposalVersion objectapi.Version
}

func (c *Controller) readStored(ctx context.Context) (storedState, error) {
	s := storedState{current: configuration.Empty()}
	// The proposal must be read first. If the current version, which is read later, has
	// reached it, nothing was pending.
	if err := c.get(ctx, nameProposal, &s.proposal, &s.proposalVersion); err != nil {
		return s, err
	}
	var value currentValue
	if err := c.get(ctx, nameCurrent, &value, &s.currentVersion); err != nil {
		return s, err
	}
	if s.currentVersion > 0 {
		current, err := configuration.Decode(value.Data)
		if err != nil {
			return s, resultcode.Wrap(err, resultcode.PlatformBadRequest, "configuration %d", value.Version)
		}
		s.current = current
	}
	return s, nil
}

// get reads an object of kind configuration. version stays zero if it does not exist.
func (c *Controller) get(ctx context.Context, name string, into any, version *objectapi.Version) error {
	object, err := c.platform.Get(ctx, objectapi.KindConfiguration, name)
	if resultcode.Is(err, resultcode.PlatformNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	*version = object.Version
	return decode(object, into)
}

// pending reports whether the proposal has not been accepted yet.
func (s storedState) pending() bool { return s.proposal.Version > s.current.Version }

// pendingChanges returns the changes of the pending proposal.
func (s storedState) pendingChanges() []configuration.Change {
	next, err := applyNote(s.current, s.proposal.Note)
	if err != nil {
		return nil
	}
	return configuration.Diff(s.current, next)
}

// propose writes the proposal and makes this VM its acceptor. A VM that is not an
// eligible acceptor writes attempt 0, whose acknowledgements nobody counts, so that a
// watcher takes the proposal over without delay.
func (c *Controller) propose(ctx context.Context, s storedState, next *configuration.Configuration, note []byte) error {
	self := c.mesh.Self()
	value := proposalValue{Version: next.Version, Acceptor: self.Name, Note: note, Digest: configuration.Digest(next)}
	value.SetWriter(c.writer.NewID())
	// During the call the proposal may exist although this VM does not know it.
	c.update(func() {
		c.state.SetUnsettled(true)
		if c.isEligibleAcceptor(self) || len(s.current.Zones) == 0 {
			value.Attempt = 1
		}
	})
	err := c.putProposal(ctx, value, s.proposalVersion)
	c.update(func() {
		c.state.SetUnsettled(false)
		if err == nil {
			c.recordProposal(value)
		}
	})
	return err
}

// recordProposal records a proposal that is stored on the platform. The caller holds
// c.mu.
func (c *Controller) recordProposal(v proposalValue) {
	c.learnProposal(proposal{ballot{v.Version, v.Attempt}, v.Note, v.Digest, v.Acceptor})
}

// putProposal writes a proposal. If the response is lost, it reads the proposal back.
// A proposal found in this way has been visible for an unknown time, so this VM
// increments the attempt before it counts acknowledgements.
func (c *Controller) putProposal(ctx context.Context, value proposalValue, ifVersion objectapi.Version) error {
	_, err := c.platform.Put(ctx, objectapi.KindConfiguration, nameProposal, value, ifVersion)
	for try := 1; resultcode.Is(err, resultcode.PlatformDown) && try < maxProposeAttempts && ctx.Err() == nil; try++ {
		sleep(ctx, ackPollInterval)
		var found proposalValue
		var version objectapi.Version
		switch read := c.get(ctx, nameProposal, &found, &version); {
		case read != nil:
			continue
		case found.Writer == value.Writer:
			return c.raiseOwnAttempt(ctx, found, version)
		case version != ifVersion:
			return conflictError(found)
		}
		_, err = c.platform.Put(ctx, objectapi.KindConfiguration, nameProposal, value, ifVersion)
	}
	if !resultcode.Is(err, resultcode.PlatformConflict) {
		return err
	}
	var found proposalValue
	var version objectapi.Version
	if read := c.get(ctx, nameProposal, &found, &version); read != nil {
		return read
	}
	if found.Writer == value.Writer {
		return c.raiseOwnAttempt(ctx, found, version)
	}
	return conflictError(found)
}

// raiseOwnAttempt increments the attempt of this VM's own proposal. If that fails, the
// proposal stays pending.
func (c *Controller) raiseOwnAttempt(ctx context.Context, v proposalValue, ifVersion objectapi.Version) error {
	err := c.raiseAttempt(ctx, v, ifVersion)
	if err != nil && !resultcode.Is(err, resultcode.NoteNotAccepted) {
		return resultcode.Wrap(err, resultcode.NoteNotAccepted, "version %d is proposed, but this VM cannot complete it", v.Version)
	}
	return err
}

func conflictError(winner proposalValue) error {
	return resultcode.New(resultcode.NoteConflict, "another note became version %d first, through %s", winner.Version, winner.Acceptor)
}

// raiseAttempt makes this VM the acceptor of an existing proposal by incrementing the
// attempt. An acceptor must know its proposal before the new attempt is stored, so it
// is recorded first.
func (c *Controller) raiseAttempt(ctx context.Context, v proposalValue, ifVersion objectapi.Version) error {
	c.update(func() { c.recordProposal(v) })
	v.Attempt, v.Acceptor = v.Attempt+1, c.mesh.Self().Name
	v.SetWriter(c.writer.NewID())
	_, err := c.platform.Put(ctx, objectapi.KindConfiguration, nameProposal, v, ifVersion)
	for try := 1; err != nil && try < maxProposeAttempts && ctx.Err() == nil; try++ {
		var found proposalValue
		var version objectapi.Version
		switch read := c.get(ctx, nameProposal, &found, &version); {
		case read != nil:
		case found.Writer == v.Writer:
			err = nil
			continue
		case version != ifVersion:
			return resultcode.New(resultcode.NoteNotAccepted, "%s has taken over the proposal of version %d", found.Acceptor, found.Version)
		}
		sleep(ctx, ackPollInterval)
		_, err = c.platform.Put(ctx, objectapi.KindConfiguration, nameProposal, v, ifVersion)
	}
	if err == nil {
		c.update(func() { c.recordProposal(v) })
	}
	return err
}

// completeProposal takes over the pending proposal and accepts it if enough zones
// acknowledge it before ctx is done. The caller holds applySemaphore.
func (c *Controller) completeProposal(ctx context.Context) (ident.ConfigurationVersion, error) {
	s, err := c.readStored(ctx)
	if err != nil {
		return 0, err
	}
	if !s.pending() {
		c.update(func() { c.acceptVersion(s.current.Version, configuration.Encode(s.current)) })
		return s.current.Version, nil
	}
	next, err := applyNote(s.current, s.proposal.Note)
	if err != nil {
		return 0, err
	}
	if err := c.raiseAttempt(ctx, s.proposal, s.proposalVersion); err != nil {
		return 0, err
	}
	return next.Version, c.acceptProposal(ctx, s, next)
}

// acceptProposal notifies other VMs of the proposal of which this VM is the acceptor,
// waits for the acknowledgements of a majority of zones and accepts it.
func (c *Controller) acceptProposal(ctx context.Context, s storedState, next *configuration.Configuration) error {
	c.mu.Lock()
	own := c.proposal
	n := outgoingNotice{notice{c.state.Version(), own.ballot}, true}
	c.mu.Unlock()
	c.broadcast(n, true)
	c.sendRequests(false, c.otherWatchersOfZone("")...)
	if err := c.awaitAcknowledgements(ctx, own.ballot, zonesOf(s.current)); err != nil {
		return err
	}
	value := currentValue{Version: next.Version, Data: configuration.Encode(next)}
	value.SetWriter(c.writer.NewID())
	if err := c.putCurrent(ctx, value, s.currentVersion); err != nil {
		return err
	}
	c.update(func() { c.acceptVersion(next.Version, value.Data) })
	c.broadcast(outgoingNotice{notice{next.Version, own.ballot}, true}, true)
	c.writeHistory(ctx, s.current, next, own.note)
	return nil
}

// putCurrent writes the accepted version. If the write fails but the current version
// has reached it, the version was accepted, because a proposal is never replaced.
func (c *Controller) putCurrent(ctx context.Context, value currentValue, ifVersion objectapi.Version) error {
	for {
		_, err := c.platform.Put(ctx, objectapi.KindConfiguration, nameCurrent, value, ifVersion)
		if err == nil {
			return nil
		}
		var found currentValue
		var version objectapi.Version
		if c.get(ctx, nameCurrent, &found, &version) == nil && found.Version >= value.Version {
			return nil
		}
		if sleep(ctx, ackPollInterval); ctx.Err() != nil {
			return resultcode.Wrap(err, resultcode.NoteNotAccepted,
				"version %d was acknowledged, but it is unknown whether it was accepted", value.Version)
		}
	}
}

// awaitAcknowledgements waits until a majority of the zones has acknowledged the
// ballot or the version has been accepted.
func (c *Controller) awaitAcknowledgements(ctx context.Context, b ballot, zones []ident.AvailabilityZone) error {
	var last error
	count := 0
	for {
		// The configuration before the first note has no zones. Another VM may have
		// accepted the version.
		if len(zones) == 0 || c.Current().Version >= b.Version {
			return nil
		}
		var listed objectapi.Changes
		if listed, last = c.platform.List(ctx, objectapi.KindZoneAck); last == nil {
			if count = c.countAcknowledgements(listed.Objects, b, zones); count >= freshness.Majority(len(zones)) {
				return nil
			}
		}
		if sleep(ctx, ackPollInterval); ctx.Err() != nil {
			return resultcode.Wrap(last, resultcode.NoteNotAccepted,
				"%d of %d zones acknowledged version %d in time; it stays pending and is accepted as soon as a majority does",
				count, len(zones), b.Version)
		}
	}
}

func (c *Controller) countAcknowledgements(objects []objectapi.Object, b ballot, zones []ident.AvailabilityZone) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, zone := range zones {
		for _, object := range objects {
			var ack zoneAck
			if object.Name == string(zone) && decode(object, &ack) == nil &&
				ack.ballot == b && ack.Table >= c.state.Table(zone).Version {
				count++
			}
		}
	}
	return count
}
