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
	// watchTime is the waiting time of a watch. A watch that ends without a change is
	// a platform reading dated by its start, so it must be well below F.
	watchTime = 500 * time.Millisecond
	// directAfter is the age of the newest reading at which a VM that is no watcher
	// reads the platform itself, at most once in directInterval: 3,700 VMs that have
	// lost their watchers make 370 readings a second.
	directAfter    = 2 * time.Second
	directInterval = 10 * time.Second
)

// watchedKinds are the kinds of one watch. Group objects share it, because every
// waiting watch counts as a call.
var watchedKinds = []objectapi.Kind{objectapi.KindConfiguration, objectapi.KindZoneAck, objectapi.KindShareTable, objectapi.KindGroup}

// Names of the objects of kind configuration.
const (
	nameCurrent  = "current"
	nameProposal = "proposal"
	notePrefix   = "note-"
)

// currentValue is the accepted configuration.
type currentValue struct {
	objectapi.Signature
	Version ident.ConfigurationVersion `json:"version"`
	Data    []byte                     `json:"data"` // configuration.Encode
}

// proposalValue is the newest proposal; it stays after its acceptance.
type proposalValue struct {
	objectapi.Signature
	Version  ident.ConfigurationVersion `json:"version"`
	Attempt  uint64                     `json:"attempt"`
	Acceptor ident.VMName               `json:"acceptor"`
	Note     []byte                     `json:"note"`
	Digest   []byte                     `json:"digest"`
}

// zoneAck is the acknowledgement of a zone.
type zoneAck struct {
	objectapi.Signature
	ballot
	Table uint64 `json:"table"` // version of the share table that gave the majority
}

// watch follows the platform while this VM is a watcher. Every VM reads it once at its start.
func (c *Controller) watch(ctx context.Context) {
	retry := c.writer.BackOff()
	var after objectapi.Version
	var lastDirect time.Duration
	complete := false // the state holds everything up to after
	for first := true; ctx.Err() == nil; first = false {
		_, watcher := c.rank()
		var err error
		switch {
		case watcher && complete:
			after, err = c.watchOnce(ctx, after)
		case watcher || first || c.directDue(lastDirect):
			lastDirect = c.clock.Now()
			after, err = c.readPlatform(ctx)
		default:
			complete = false
			c.setWatching(false)
			pause(ctx, exchangeInterval)
			continue
		}
		complete = watcher && err == nil
		c.setWatching(complete)
		if err != nil && ctx.Err() == nil {
			c.vars.Add("platform_failures", 1)
			pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		c.wakeAcknowledger()
	}
}

func (c *Controller) setWatching(watching bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = watching
}

func (c *Controller) directDue(last time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	return now-c.core.LastReading().At > directAfter && now-last > directInterval
}

// readPlatform reads everything once. It returns the store version after which
// a watch misses nothing.
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
	return slices.Min(versions), c.takeObjects(objects, at)
}

// watchOnce waits for changes after a store version and returns the next one.
func (c *Controller) watchOnce(ctx context.Context, after objectapi.Version) (objectapi.Version, error) {
	at := c.clock.Now()
	changes, err := c.platform.Watch(ctx, watchedKinds, after, watchTime)
	if err != nil {
		return 0, err
	}
	for _, object := range changes.Objects {
		if object.Kind == objectapi.KindGroup && c.onGroup != nil {
			c.onGroup(object)
		}
	}
	return max(after, changes.Version), c.takeObjects(changes.Objects, at)
}

// takeObjects applies what the platform showed to a call that began at the given time.
func (c *Controller) takeObjects(objects []objectapi.Object, at time.Duration) error {
	var failed error
	var news news
	c.locked(func() {
		before := c.knowledge()
		for _, object := range objects {
			failed = errors.CombineErrors(failed, c.takeObject(object))
		}
		if failed == nil {
			c.core.RecordReading(freshness.Reading{Accepted: c.core.Version(), Proposal: c.known.Version, At: at})
		}
		news = c.newsSince(before)
	})
	c.fanOut(news, true)
	return failed
}

func (c *Controller) takeObject(object objectapi.Object) error {
	switch {
	case object.Kind == objectapi.KindConfiguration && object.Name == nameCurrent:
		var v currentValue
		if err := decode(object, &v); err != nil {
			return err
		}
		c.accept(v.Version, v.Data)
		if c.core.Version() < v.Version {
			return resultcode.New(resultcode.PlatformBadRequest, "configuration %d cannot be decoded", v.Version)
		}
	case object.Kind == objectapi.KindConfiguration && object.Name == nameProposal:
		var v proposalValue
		if err := decode(object, &v); err != nil {
			return err
		}
		c.learn(proposal{ballot{v.Version, v.Attempt}, v.Note, v.Digest, v.Acceptor})
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
		c.core.SetTable(ident.AvailabilityZone(object.Name), freshness.Table{Version: uint64(object.Version), VMs: vms})
	}
	return nil
}

func decode(object objectapi.Object, into any) error {
	if err := json.Unmarshal(object.Value, into); err != nil {
		return resultcode.Wrap(err, resultcode.PlatformBadRequest, "%s/%s", object.Kind, object.Name)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
