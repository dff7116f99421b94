package storesync

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/core/withdrawal"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Sources of a change in the log; a change that was read from another VM has its name.
const (
	sourceStore = "store"
	sourceList  = "list"
	sourceWatch = "watch"
)

// origin tells where a list or a change was read, and the store version of the response.
type origin struct {
	source  string
	version objectapi.Version
}

func (o origin) addTo(line *zerolog.Event) *zerolog.Event {
	return line.Str("source", o.source).Uint64("view_version", uint64(o.version))
}

// followKind follows the objects of a kind through the relay, or else lists and watches
// them at the store.
func (f *Follower) followKind(ctx context.Context, kind objectapi.Kind, replace func([]objectapi.Object, origin), change func(objectapi.Changes)) {
	retry := time.Duration(0)
	calls := rate.NewLimiter(rate.Every(watchInterval), watchBurst)
	for ctx.Err() == nil {
		f.followRelay(ctx, kind, replace)
		version, err := f.list(ctx, kind, replace)
		if err != nil {
			f.endBypass()
			retry = f.nextRetryDelay(retry)
			f.awaitRetry(ctx, kind, retry)
			continue
		}
		retry = 0
		f.watch(ctx, kind, version, calls, change)
	}
}

// awaitRetry waits before the next attempt to list a kind, or until a list is requested
// because another VM knows more.
func (f *Follower) awaitRetry(ctx context.Context, kind objectapi.Kind, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.relist[kind]:
	case <-time.After(delay):
	}
}

// list reads all objects of a kind from the store and returns their version.
func (f *Follower) list(ctx context.Context, kind objectapi.Kind, replace func([]objectapi.Object, origin)) (objectapi.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := f.now()
	all, err := f.source.Store.List(ctx, kind)
	f.recordCall(err)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeView(all.Version)
	f.applyList(kind, all.Objects, origin{source: sourceList, version: all.Version}, replace)
	f.views[kind].replace(f.withoutInvalid(kind, all.Objects), all.Version)
	f.reportUnnamed(kind, all.Unnamed)
	f.viewProofs.Prove(kind, instant.At(sentAt))
	return all.Version, nil
}

// applyList applies a full list of the objects of a kind; f.mu must be held.
func (f *Follower) applyList(kind objectapi.Kind, objects []objectapi.Object, from origin, replace func([]objectapi.Object, origin)) {
	if kind == f.source.UpstreamsKind && !f.loaded[kind] {
		f.firstListedAt = instant.At(f.now())
	}
	f.loaded[kind] = true
	f.viewVersion[kind] = from.version
	replace(objects, from)
	f.publish()
}

// watch applies changes until the next full list is due, the watch fails or a relay
// becomes available. calls limits the watches of the kind.
func (f *Follower) watch(ctx context.Context, kind objectapi.Kind, version objectapi.Version, calls *rate.Limiter, change func(objectapi.Changes)) {
	ctx, cancel := f.relistContext(ctx, kind)
	defer cancel()
	interval := otherRelistInterval
	if f.rank() == 0 {
		interval = firstRelistInterval
	}
	relistAt := f.now() + interval
	for ctx.Err() == nil && f.now() < relistAt {
		if calls.Wait(ctx) != nil {
			return
		}
		changes, err := f.watchOnce(ctx, kind, version, min(f.watchWaitTime(), relistAt-f.now()))
		if ctx.Err() != nil {
			return
		}
		f.recordCall(err)
		if err != nil {
			f.log.Debug().Err(err).Str("kind", string(kind)).Msg("watch failed")
			if !resultcode.Is(err, resultcode.PlatformHistoryGone) {
				clock.Sleep(ctx, minRetryDelay)
			}
			return
		}
		version = max(version, changes.Version)
		if len(changes.Objects)+len(changes.Deleted) > 0 {
			f.applyChanges(kind, changes, change)
		}
		if _, relayed := f.activeRelay(); relayed {
			return
		}
	}
}

// applyChanges applies the events of a watch, unless a newer view has been applied.
func (f *Follower) applyChanges(kind objectapi.Kind, changes objectapi.Changes, change func(objectapi.Changes)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes.Version < f.viewVersion[kind] {
		return
	}
	f.viewVersion[kind] = changes.Version
	change(changes)
	for _, o := range changes.Objects {
		if f.isInvalid(kind, o) {
			changes.Deleted = append(changes.Deleted, o)
		}
	}
	changes.Objects = f.withoutInvalid(kind, changes.Objects)
	f.views[kind].applyChanges(changes)
	f.publish()
}

// isInvalid reports whether an object is a registration that names no upstream. Other VMs
// treat it as if there were none; f.mu must be held.
func (f *Follower) isInvalid(kind objectapi.Kind, o objectapi.Object) bool {
	version, ok := f.invalid[o.Name]
	return ok && kind == f.source.UpstreamsKind && version == o.Version
}

// withoutInvalid returns the objects without invalid registrations; f.mu must be held.
func (f *Follower) withoutInvalid(kind objectapi.Kind, objects []objectapi.Object) []objectapi.Object {
	return slices.DeleteFunc(slices.Clone(objects), func(o objectapi.Object) bool { return f.isInvalid(kind, o) })
}

// reportUnnamed logs the number of entries of a list whose name cannot be read when it
// changes; f.mu must be held.
func (f *Follower) reportUnnamed(kind objectapi.Kind, n int) {
	if n > f.unnamed[kind] {
		f.log.Warn().Str("kind", string(kind)).Int("entries", n).Msg("entries without a readable name ignored")
		for range n - f.unnamed[kind] {
			f.onInvalid()
		}
	}
	f.unnamed[kind] = n
}

// relistContext returns a context that ends when a full list is requested.
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

// watchWaitTime returns the time that a watch blocks. It is shorter if a relay is known,
// so that the VM soon returns to the relay.
func (f *Follower) watchWaitTime() time.Duration {
	if _, relayed := f.relay(); relayed {
		return relayBypassTime
	}
	return watchWait
}

func (f *Follower) watchOnce(ctx context.Context, kind objectapi.Kind, version objectapi.Version, wait time.Duration) (objectapi.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return f.source.Store.Watch(ctx, []objectapi.Kind{kind}, version, wait)
}

// replaceUpstreams applies a full list of the upstreams; f.mu must be held.
func (f *Follower) replaceUpstreams(objects []objectapi.Object, _ origin) {
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
	maps.DeleteFunc(f.invalid, func(name string, _ objectapi.Version) bool { return !listed[name] })
	f.removeExpired()
}

// changeUpstreams applies the events of a watch; f.mu must be held.
func (f *Follower) changeUpstreams(changes objectapi.Changes) {
	for _, o := range changes.Deleted {
		delete(f.invalid, o.Name)
		f.markDeregistered(o.Name)
	}
	for _, o := range changes.Objects {
		f.setUpstream(o)
	}
	f.removeExpired()
}

// setUpstream applies a registration. An invalid one counts as removed; f.mu must be held.
func (f *Follower) setUpstream(o objectapi.Object) {
	known, exists := f.upstreams[o.Name]
	_, deregistered := f.deregistered[o.Name]
	if exists && known.Revision >= uint64(o.Version) && !deregistered {
		return
	}
	if exists && f.isOlderCopy(o, objectapi.Version(known.Revision), deregistered) {
		return
	}
	if f.isInvalid(f.source.UpstreamsKind, o) {
		return
	}
	u, err := f.source.DecodeUpstream(o)
	if err != nil {
		f.invalid[o.Name] = o.Version
		f.onInvalid()
		f.log.Warn().Err(err).Str("object", o.Name).Uint64("revision", uint64(o.Version)).Msg("invalid upstream registration ignored")
		f.markDeregistered(o.Name)
		return
	}
	delete(f.invalid, o.Name)
	delete(f.deregistered, o.Name)
	if !exists || known.State != u.State || known.Primary != u.Primary || known.Incarnation != u.Incarnation || known.Address != u.Address {
		f.log.Info().Str("upstream", o.Name).Str("group", string(u.Group)).Bool("primary", u.Primary).
			Bool("draining", u.State == catalog.Draining).Uint64("revision", u.Revision).Msg("upstream registered")
	}
	f.upstreams[o.Name] = u
	f.extendSlowStart(u.Name, u.SlowStart)
	if u.State == catalog.Draining {
		if _, already := f.leaving[u.Name]; !already {
			f.leaving[u.Name] = f.newWithdrawal(f.source.UpstreamsKind, f.times.Drain)
		}
	} else {
		delete(f.leaving, u.Name)
	}
}

// markDeregistered marks an upstream whose registration was removed; f.mu must be held.
// During an outage of the store, registrations of live upstreams may expire, so the
// upstream is considered leaving only after Times.Reregister since the last failed call.
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
	w := f.newWithdrawal(f.source.UpstreamsKind, f.times.Drain)
	if sinceFailure, failed := f.lastFailureAt.Age(now); failed {
		w = w.NotBefore(now - sinceFailure + f.times.Reregister)
	}
	f.leaving[u.Name] = w
	f.log.Info().Str("upstream", name).Str("group", string(u.Group)).Dur("counts_for_ms", w.LearnedAt-now).Msg("upstream deregistered")
}

// deregisteredRetention is the time for which an upstream whose registration was removed
// remains in the view, marked as leaving.
const deregisteredRetention = 15 * time.Second

// removeExpired removes upstreams that were deregistered more than deregisteredRetention
// ago; f.mu must be held.
func (f *Follower) removeExpired() {
	for name, at := range f.deregistered {
		if f.now() > at+deregisteredRetention {
			delete(f.leaving, ident.UpstreamName(name))
			delete(f.upstreams, name)
			delete(f.deregistered, name)
		}
	}
}

// replaceEvacuations applies a full list of the evacuations; f.mu must be held.
func (f *Follower) replaceEvacuations(objects []objectapi.Object, from origin) {
	listed := map[ident.AvailabilityZone]bool{}
	for _, o := range objects {
		listed[ident.AvailabilityZone(o.Name)] = true
		f.startEvacuation(o, from)
	}
	for zone := range f.evacuated {
		if !listed[zone] && !f.viewProofs.SettledAt().PendingAt(f.now()) {
			f.endEvacuation(zone, from)
		}
	}
}

// changeEvacuations applies the events of a watch; f.mu must be held.
func (f *Follower) changeEvacuations(changes objectapi.Changes) {
	from := origin{source: sourceWatch, version: changes.Version}
	for _, o := range changes.Objects {
		f.startEvacuation(o, from)
	}
	for _, o := range changes.Deleted {
		f.endEvacuation(ident.AvailabilityZone(o.Name), from)
	}
}

func (f *Follower) startEvacuation(o objectapi.Object, from origin) {
	zone := ident.AvailabilityZone(o.Name)
	if _, already := f.evacuated[zone]; !already {
		w := f.newWithdrawal(f.source.EvacuationsKind, f.times.Evacuate)
		f.evacuated[zone] = w
		from.addTo(f.log.Info()).Str("zone", o.Name).Uint64("revision", uint64(o.Version)).
			Dur("usable_for_ms", max(0, w.UsableUntil-w.LearnedAt)).Msg("zone evacuation started")
	}
}

// newWithdrawal returns the withdrawal that this VM learns of now from objects of a kind;
// f.mu must be held.
func (f *Follower) newWithdrawal(kind objectapi.Kind, bound time.Duration) withdrawal.Withdrawal {
	return withdrawal.New(f.now(), f.viewProofs.ProvedAt(kind), bound)
}

// extendSlowStart extends the slow start of an upstream to at least d from now; f.mu must
// be held.
func (f *Follower) extendSlowStart(name ident.UpstreamName, d time.Duration) {
	if d > 0 {
		f.slowStartUntil[name] = max(f.slowStartUntil[name], f.now()+d)
	}
}

// endEvacuation ends an evacuation and begins the slow start of the zone's upstreams,
// since they may respond slowly again after the evacuation; f.mu must be held.
func (f *Follower) endEvacuation(zone ident.AvailabilityZone, from origin) {
	delete(f.evacuated, zone)
	for _, u := range f.upstreams {
		if u.Zone == zone && f.catalog != nil {
			f.extendSlowStart(u.Name, f.catalog.Groups[u.Group].SlowStartDuration)
		}
	}
	from.addTo(f.log.Info()).Str("zone", string(zone)).Msg("zone evacuation ended")
}
