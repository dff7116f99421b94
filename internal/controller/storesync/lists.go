package storesync

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// followKind follows the objects of a kind over another VM of the zone, or lists them
// at the store and watches their changes.
func (f *Follower) followKind(ctx context.Context, kind objectapi.Kind, replace func([]objectapi.Object), change func(objectapi.Changes)) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		f.followRelay(ctx, kind, replace)
		version, err := f.list(ctx, kind, replace)
		if err != nil {
			clock.Sleep(ctx, retry)
			retry = f.nextRetryDelay(retry)
			continue
		}
		retry = minRetryDelay
		f.watch(ctx, kind, version, change)
	}
}

func (f *Follower) list(ctx context.Context, kind objectapi.Kind, replace func([]objectapi.Object)) (objectapi.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := f.source.Store.List(ctx, kind)
	f.recordCall(err)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyList(kind, all.Objects, replace)
	f.views[kind].replace(all.Objects, all.Version)
	return all.Version, nil
}

// applyList takes all objects of a kind; f.mu is held.
func (f *Follower) applyList(kind objectapi.Kind, objects []objectapi.Object, replace func([]objectapi.Object)) {
	if kind == f.source.UpstreamsKind && !f.loaded[kind] {
		f.firstListedAt = f.now()
	}
	f.loaded[kind] = true
	replace(objects)
	f.publish()
}

// watch follows changes until the next full list is due or the watch fails.
func (f *Follower) watch(ctx context.Context, kind objectapi.Kind, version objectapi.Version, change func(objectapi.Changes)) {
	ctx, cancel := f.relistContext(ctx, kind)
	defer cancel()
	interval := otherRelistInterval
	if f.rank() == 0 {
		interval = firstRelistInterval
	}
	relistAt := f.now() + interval
	for ctx.Err() == nil && f.now() < relistAt {
		changes, err := f.watchOnce(ctx, kind, version, min(f.watchWaitTime(), relistAt-f.now()))
		if ctx.Err() != nil {
			return
		}
		f.recordCall(err)
		if err != nil {
			f.log.Debug().Err(err).Str("kind", string(kind)).Msg("watch ended")
			if !resultcode.Is(err, resultcode.PlatformHistoryGone) {
				clock.Sleep(ctx, minRetryDelay)
			}
			return
		}
		version = max(version, changes.Version)
		if len(changes.Objects)+len(changes.Deleted) > 0 {
			f.mu.Lock()
			f.views[kind].applyChanges(changes)
			change(changes)
			f.publish()
			f.mu.Unlock()
		}
		if _, relayed := f.activeRelay(); relayed {
			return
		}
	}
}

// relistContext returns a context that ends when a full list is asked for.
func (f *Follower) relistContext(ctx context.Context, kind objectapi.Kind) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-f.relist[kind]:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// watchWaitTime is the time that a watch waits: a VM that may soon follow another one
// looks again sooner.
func (f *Follower) watchWaitTime() time.Duration {
	if _, relayed := f.relay(); relayed {
		return firstRelistInterval
	}
	return watchWait
}

func (f *Follower) watchOnce(ctx context.Context, kind objectapi.Kind, version objectapi.Version, wait time.Duration) (objectapi.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return f.source.Store.Watch(ctx, []objectapi.Kind{kind}, version, wait)
}

// replaceUpstreams takes a full list; f.mu is held.
func (f *Follower) replaceUpstreams(objects []objectapi.Object) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		f.setUpstream(o)
	}
	for name := range f.upstreams {
		if !listed[name] {
			f.markDeregistered(name)
		}
	}
	f.removeExpired()
}

// changeUpstreams takes the events of a watch; f.mu is held.
func (f *Follower) changeUpstreams(changes objectapi.Changes) {
	for _, o := range changes.Deleted {
		f.markDeregistered(o.Name)
	}
	for _, o := range changes.Objects {
		f.setUpstream(o)
	}
	f.removeExpired()
}

func (f *Follower) setUpstream(o objectapi.Object) {
	known, exists := f.upstreams[o.Name]
	_, gone := f.deregistered[o.Name]
	if exists && known.Revision >= uint64(o.Version) && !gone {
		return
	}
	delete(f.deregistered, o.Name)
	u, err := f.source.DecodeUpstream(o)
	if err != nil {
		f.log.Warn().Err(err).Str("object", o.Name).Uint64("revision", uint64(o.Version)).Msg("registration ignored")
		if exists {
			f.markDeregistered(o.Name)
		}
		return
	}
	if !exists || known.State != u.State || known.Primary != u.Primary || known.Incarnation != u.Incarnation || known.Address != u.Address {
		f.log.Info().Str("upstream", o.Name).Str("group", string(u.Group)).Bool("primary", u.Primary).
			Bool("draining", u.State == catalog.Draining).Uint64("revision", u.Revision).Msg("upstream registered")
	}
	f.upstreams[o.Name] = u
	f.extendSlowStart(u.Name, u.SlowStart)
	if u.State == catalog.Draining {
		if _, already := f.leaving[u.Name]; !already {
			f.leaving[u.Name] = f.now()
		}
	} else {
		delete(f.leaving, u.Name)
	}
}

// markDeregistered marks an upstream whose registration has gone; f.mu is held. While the store
// was away registrations may have expired although their upstreams live, so they
// count until Times.Return after its last failure.
func (f *Follower) markDeregistered(name string) {
	u, ok := f.upstreams[name]
	if _, already := f.deregistered[name]; !ok || already {
		return
	}
	now := f.now()
	f.deregistered[name] = now
	if _, already := f.leaving[u.Name]; already {
		return
	}
	leavingAt := now
	if f.lastFailureAt > 0 {
		leavingAt = max(leavingAt, f.lastFailureAt+f.times.Reregister)
	}
	f.leaving[u.Name] = leavingAt
	f.log.Info().Str("upstream", name).Str("group", string(u.Group)).Dur("counts_for_ms", leavingAt-now).Msg("upstream registration gone")
}

// deregisteredRetention is the time for which an upstream whose registration has gone is kept
// in the view, marked as leaving.
const deregisteredRetention = 15 * time.Second

// removeExpired drops upstreams that have been gone for long; f.mu is held.
func (f *Follower) removeExpired() {
	for name, at := range f.deregistered {
		if f.now() > at+deregisteredRetention {
			delete(f.leaving, ident.UpstreamName(name))
			delete(f.upstreams, name)
			delete(f.deregistered, name)
		}
	}
}

func (f *Follower) replaceEvacuations(objects []objectapi.Object) {
	listed := map[ident.AvailabilityZone]bool{}
	for _, o := range objects {
		listed[ident.AvailabilityZone(o.Name)] = true
		f.startEvacuation(o.Name)
	}
	for zone := range f.evacuated {
		if !listed[zone] {
			f.endEvacuation(zone)
		}
	}
}

func (f *Follower) changeEvacuations(changes objectapi.Changes) {
	for _, o := range changes.Objects {
		f.startEvacuation(o.Name)
	}
	for _, o := range changes.Deleted {
		f.endEvacuation(ident.AvailabilityZone(o.Name))
	}
}

func (f *Follower) startEvacuation(name string) {
	zone := ident.AvailabilityZone(name)
	if _, already := f.evacuated[zone]; !already {
		f.evacuated[zone] = f.now()
		f.log.Info().Str("zone", name).Msg("zone to be left")
	}
}

// extendSlowStart marks an upstream as cold for a time; f.mu is held.
func (f *Follower) extendSlowStart(name ident.UpstreamName, d time.Duration) {
	if d > 0 {
		f.slowStartUntil[name] = max(f.slowStartUntil[name], f.now()+d)
	}
}

// endEvacuation ends an evacuation. The zone's upstreams may have become cold meanwhile.
func (f *Follower) endEvacuation(zone ident.AvailabilityZone) {
	delete(f.evacuated, zone)
	for _, u := range f.upstreams {
		if u.Zone == zone && f.catalog != nil {
			f.extendSlowStart(u.Name, f.catalog.Groups[u.Group].SlowStartDuration)
		}
	}
	f.log.Info().Str("zone", string(zone)).Msg("zone returned")
}
