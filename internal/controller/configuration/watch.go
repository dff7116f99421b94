package configcontroller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// watchTimeout is the maximum duration of a watch. A watch is a platform reading
	// dated by its start, so it must be well below freshness.MaxStaleness.
	watchTimeout = 500 * time.Millisecond
	// directReadAge is the age of the newest reading above which a VM that is not a
	// watcher reads the platform itself, at most once per directReadInterval. With this
	// limit, 3,700 VMs that have lost their watchers make 370 readings per second.
	directReadAge      = 2 * time.Second
	directReadInterval = 10 * time.Second
)

// watchedKinds are the object kinds of the watch. Group objects are included because
// each open watch counts as a call.
var watchedKinds = []objectapi.Kind{objectapi.KindConfiguration, objectapi.KindZoneAck, objectapi.KindShareTable, objectapi.KindGroup}

// Names of the objects of kind configuration.
const (
	nameCurrent  = "current"
	nameProposal = "proposal"
	notePrefix   = "note-"
)

// currentValue is the accepted configuration.
type currentValue struct {
	objectapi.WriterTag
	Version ident.ConfigurationVersion `json:"version"`
	Data    []byte                     `json:"data"` // configuration.Encode
}

// proposalValue is the newest proposal. It remains stored after its acceptance.
type proposalValue struct {
	objectapi.WriterTag
	Version  ident.ConfigurationVersion `json:"version"`
	Attempt  uint64                     `json:"attempt"`
	Acceptor ident.VMName               `json:"acceptor"`
	Note     []byte                     `json:"note"`
	Digest   []byte                     `json:"digest"`
}

// zoneAck is the acknowledgement of a zone.
type zoneAck struct {
	objectapi.WriterTag
	ballot
	Table uint64 `json:"table"` // version of the share table in which the majority was counted
}

// watch follows the platform's state while this VM is a watcher. Other VMs read it at
// startup and, at limited rate, when their newest reading is old.
func (c *Controller) watch(ctx context.Context) {
	retry := c.writer.BackOff()
	var after objectapi.Version
	var lastDirect time.Duration
	complete := false // the state includes all changes up to after
	for first := true; ctx.Err() == nil; first = false {
		_, watcher := c.watcherRank()
		var err error
		switch {
		case watcher && complete:
			after, err = c.watchOnce(ctx, after)
		case watcher || first || c.directReadDue(lastDirect):
			lastDirect = c.clock.Now()
			after, err = c.readPlatform(ctx)
		default:
			complete = false
			c.setWatching(false)
			sleep(ctx, gossipInterval)
			continue
		}
		complete = watcher && err == nil
		c.setWatching(complete)
		if err != nil && ctx.Err() == nil {
			c.vars.Add("platform_failures", 1)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		c.signalAcknowledger()
	}
}

func (c *Controller) setWatching(watching bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = watching
}

func (c *Controller) directReadDue(last time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	return now-c.state.LastReading().At > directReadAge && now-last > directReadInterval
}

// readPlatform reads the complete state once. It returns the store version from which
// a watch can continue without missing a change.
func (c *Controller) readPlatform(ctx context.Context) (objectapi.Version, error) {
	at := c.clock.Now()
	var objects []objectapi.Object
	versions := make([]objectapi.Version, 0, 2)
	for _, name := range []string{nameProposal, nameCurrent} {
		object, err := c.platform.Get(ctx, objectapi.KindConfiguration, name)
		if err != nil && !resultcode.Is(err, resultcode.PlatformNotFound) {
			return 0, err
		}
		if err == nil {
			objects = append(objects, object)
		}
		versions = append(versions, object.Version) // zero when the object does not exist
	}
	for _, kind := range []objectapi.Kind{objectapi.KindShareTable, objectapi.KindZoneAck} {
		listed, err := c.platform.List(ctx, kind)
		if err != nil {
			return 0, err
		}
		objects = append(objects, listed.Objects...)
	}
	return slices.Min(versions), c.applyObjects(objects, at)
}

// watchOnce waits for changes after a store version. It returns the version from which
// to continue.
func (c *Controller) watchOnce(ctx context.Context, after objectapi.Version) (objectapi.Version, error) {
	at := c.clock.Now()
	changes, err := c.platform.Watch(ctx, watchedKinds, after, watchTimeout)
	if err != nil {
		return 0, err
	}
	for _, object := range changes.Objects {
		if object.Kind == objectapi.KindGroup && c.onGroup != nil {
			c.onGroup(object)
		}
	}
	return max(after, changes.Version), c.applyObjects(changes.Objects, at)
}

// applyObjects applies the objects returned by a platform call that started at the
// given time.
func (c *Controller) applyObjects(objects []objectapi.Object, at time.Duration) error {
	var failed error
	var out outgoingNotice
	c.update(func() {
		before := c.knownVersions()
		for _, object := range objects {
			failed = errors.CombineErrors(failed, c.applyObject(object))
		}
		if failed == nil {
			c.state.RecordReading(freshness.Reading{Accepted: c.state.Version(), Proposal: c.proposal.Version, At: at})
		}
		out = c.noticeSince(before)
	})
	c.broadcast(out, true)
	return failed
}

func (c *Controller) applyObject(object objectapi.Object) error {
	switch {
	case object.Kind == objectapi.KindConfiguration && object.Name == nameCurrent:
		var v currentValue
		if err := decode(object, &v); err != nil {
			return err
		}
		c.acceptVersion(v.Version, v.Data)
		if c.state.Version() < v.Version {
			return resultcode.New(resultcode.PlatformBadRequest, "configuration %d cannot be decoded", v.Version)
		}
	case object.Kind == objectapi.KindConfiguration && object.Name == nameProposal:
		var v proposalValue
		if err := decode(object, &v); err != nil {
			return err
		}
		c.learnProposal(proposal{ballot{v.Version, v.Attempt}, v.Note, v.Digest, v.Acceptor})
	case object.Kind == objectapi.KindZoneAck:
		var v zoneAck
		if err := decode(object, &v); err != nil {
			return err
		}
		c.zoneAcks[ident.AvailabilityZone(object.Name)] = v
	case object.Kind == objectapi.KindShareTable:
		vms, err := c.shareTable(object.Value)
		if err != nil {
			return resultcode.Wrap(err, resultcode.PlatformBadRequest, "share table of %s", object.Name)
		}
		c.state.SetTable(ident.AvailabilityZone(object.Name), freshness.Table{Version: uint64(object.Version), VMs: vms})
	}
	return nil
}

func decode(object objectapi.Object, into any) error {
	if err := json.Unmarshal(object.Value, into); err != nil {
		return resultcode.Wrap(err, resultcode.PlatformBadRequest, "%s/%s", object.Kind, object.Name)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
