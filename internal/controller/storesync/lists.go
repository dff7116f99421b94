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
	retry := firstRetry
	for ctx.Err() == nil {
		f.followRelay(ctx, kind, replace)
		version, err := f.list(ctx, kind, replace)
		if err != nil {
			clock.Sleep(ctx, retry)
			retry = f.nextRetry(retry)
			continue
		}
		retry = firstRetry
		f.watch(ctx, kind, version, change)
	}
}

func (f *Follower) list(ctx context.Context, kind objectapi.Kind, replace func([]objectapi.Object)) (objectapi.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := f.source.Store.List(ctx, kind)
	f.noteCall(err)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeList(kind, all.Objects, replace)
	f.views[kind].replace(all.Objects, all.Version)
	return all.Version, nil
}

// takeList takes all objects of a kind; f.mu is held.
func (f *Follower) takeList(kind objectapi.Kind, objects []objectapi.Object, replace func([]objectapi.Object)) {
	if kind == f.source.UpstreamsKind && !f.loaded[kind] {
		f.listedAt = f.now()
	}
	f.loaded[kind] = true
	replace(objects)
	f.publish()
}

// watch follows changes until the next full list is due or the watch fails.
func (f *Follower) watch(ctx context.Context, kind objectapi.Kind, version objectapi.Version, change func(objectapi.Changes)) {
	ctx, cancel := f.untilRelist(ctx, kind)
	defer cancel()
	interval := otherRelist
	if f.rank() == 0 {
		interval = firstRelist
	}
	until := f.now() + interval
	for ctx.Err() == nil && f.now() < until {
		changes, err := f.watchOnce(ctx, kind, version, min(f.watchFor(), until-f.now()))
		if ctx.Err() != nil {
			return
		}
		f.noteCall(err)
		if err != nil {
			f.log.Debug().Err(err).Str("kind", string(kind)).Msg("watch ended")
			if !resultcode.Is(err, resultcode.PlatformHistoryGone) {
				clock.Sleep(ctx, firstRetry)
			}
			return
		}
		version = max(version, changes.Version)
		if len(changes.Objects)+len(changes.Deleted) > 0 {
			f.mu.Lock()
			f.views[kind].change(changes)
			change(changes)
			f.publish()
			f.mu.Unlock()
		}
		if _, relayed := f.relayed(); relayed {
			return
		}
	}
}

// untilRelist returns a context that ends when a full list is asked for.
func (f *Follower) untilRelist(ctx context.Context, kind objectapi.Kind) (context.Context, context.CancelFunc) {
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

// watchFor is the time that a watch waits: a VM that may soon follow another one
// looks again sooner.
func (f *Follower) watchFor() time.Duration {
	if _, relay := f.relay(); relay {
		return firstRelist
	}
	return watchTime
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
			f.lapse(name)
		}
	}
	f.forget()
}

// changeUpstreams takes the events of a watch; f.mu is held.
func (f *Follower) changeUpstreams(changes objectapi.Changes) {
	for _, o := range changes.Deleted {
		f.lapse(o.Name)
	}
	for _, o := range changes.Objects {
		f.setUpstream(o)
	}
	f.forget()
}

func (f *Follower) setUpstream(o objectapi.Object) {
	known, exists := f.upstreams[o.Name]
	_, gone := f.gone[o.Name]
	if exists && known.Revision >= uint64(o.Version) && !gone {
		return
	}
	delete(f.gone, o.Name)
	u, err := f.source.DecodeUpstream(o)
	if err != nil {
		f.log.Warn().Err(err).Str("object", o.Name).Uint64("revision", uint64(o.Version)).Msg("registration ignored")
		if exists {
			f.lapse(o.Name)
		}
		return
	}
	if !exists || known.State != u.State || known.Primary != u.Primary || known.Incarnation != u.Incarnation || known.Address != u.Address {
		f.log.Info().Str("upstream", o.Name).Str("group", string(u.Group)).Bool("primary", u.Primary).
			Bool("draining", u.State == catalog.Draining).Uint64("revision", u.Revision).Msg("upstream registered")
	}
	f.upstreams[o.Name] = u
	f.chill(u.Name, u.SlowStart)
	if u.State == catalog.Draining {
		if _, already := f.leaving[u.Name]; !already {
			f.leaving[u.Name] = f.now()
		}
	} else {
		delete(f.leaving, u.Name)
	}
}

// lapse marks an upstream whose registration has gone; f.mu is held. While the store
// was away registrations may have expired although their upstreams live, so they
// count until Times.Return after its last failure.
func (f *Follower) lapse(name string) {
	u, ok := f.upstreams[name]
	if _, already := f.gone[name]; !ok || already {
		return
	}
	now := f.now()
	f.gone[name] = now
	if _, already := f.leaving[u.Name]; already {
		return
	}
	at := now
	if f.lostSince > 0 {
		at = max(at, f.lostSince+f.times.Reregister)
	}
	f.leaving[u.Name] = at
	f.log.Info().Str("upstream", name).Str("group", string(u.Group)).Dur("counts_for_ms", at-now).Msg("upstream registration gone")
}

// forgetAfter is the time for which an upstream whose registration has gone is kept
// in the view, marked as leaving.
const forgetAfter = 15 * time.Second

// forget drops upstreams that have been gone for long; f.mu is held.
func (f *Follower) forget() {
	for name, at := range f.gone {
		if f.now() > at+forgetAfter {
			delete(f.leaving, ident.UpstreamName(name))
			delete(f.upstreams, name)
			delete(f.gone, name)
		}
	}
}

func (f *Follower) replaceEvacuations(objects []objectapi.Object) {
	listed := map[ident.AvailabilityZone]bool{}
	for _, o := range objects {
		listed[ident.AvailabilityZone(o.Name)] = true
		f.evacuate(o.Name)
	}
	for zone := range f.evacuated {
		if !listed[zone] {
			f.returned(zone)
		}
	}
}

func (f *Follower) changeEvacuations(changes objectapi.Changes) {
	for _, o := range changes.Objects {
		f.evacuate(o.Name)
	}
	for _, o := range changes.Deleted {
		f.returned(ident.AvailabilityZone(o.Name))
	}
}

func (f *Follower) evacuate(name string) {
	zone := ident.AvailabilityZone(name)
	if _, already := f.evacuated[zone]; !already {
		f.evacuated[zone] = f.now()
		f.log.Info().Str("zone", name).Msg("zone to be left")
	}
}

// chill marks an upstream as cold for a time; f.mu is held.
func (f *Follower) chill(name ident.UpstreamName, d time.Duration) {
	if d > 0 {
		f.cold[name] = max(f.cold[name], f.now()+d)
	}
}

// returned ends an evacuation. The zone's upstreams may have become cold meanwhile.
func (f *Follower) returned(zone ident.AvailabilityZone) {
	delete(f.evacuated, zone)
	for _, u := range f.upstreams {
		if u.Zone == zone && f.catalog != nil {
			f.chill(u.Name, f.catalog.Groups[u.Group].SlowStartDuration)
		}
	}
	f.log.Info().Str("zone", string(zone)).Msg("zone returned")
}
