package storesync

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Store reads the platform's objects.
type Store interface {
	Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error)
	List(ctx context.Context, kind objectapi.Kind) (objectapi.Changes, error)
	Watch(ctx context.Context, kinds []objectapi.Kind, after objectapi.Version, timeout time.Duration) (objectapi.Changes, error)
}

// Source names the objects to follow and decodes them.
type Source struct {
	Store           Store
	ConfigKind      objectapi.Kind
	ConfigName      string
	UpstreamsKind   objectapi.Kind
	EvacuationsKind objectapi.Kind
	DecodeCatalog   func(objectapi.Object) (*catalog.Catalog, error)
	DecodeUpstream  func(objectapi.Object) (catalog.Upstream, error)
}

// Times are the bounds that the follower works to.
type Times struct {
	// Apply is the time within which an accepted configuration must be in force.
	Apply time.Duration
	// Revoke is the time after which a withdrawn key must not work.
	Revoke time.Duration
	// Reregister is the time after an outage of the store within which upstreams that live
	// have registered again.
	Reregister time.Duration
}

const (
	// pollShare is the part of Times.Apply after which the first VM reads the
	// configuration again. The others learn of a change with their next probe and read
	// it themselves, so that three such parts stay within the bound.
	pollShare = 3
	// zoneShare is the part of Times.Apply for which a VM waits for a newer configuration
	// from its own zone before it asks the store. Probes come once in such a part.
	zoneShare = 6
	// freshShare (of 100) is the part of Times.Revoke for which a proof of the
	// configuration counts. The rest covers the time between check and send.
	freshShare = 90
	// callTimeout bounds a call of the store, which answers within milliseconds; a
	// slow store takes some hundred.
	callTimeout = 800 * time.Millisecond
	// watchTime is the time that a watch waits at the store.
	watchTime = 20 * time.Second
	// firstRelist and otherRelist are the times between full lists beside the watch, for
	// the first VM and for the others. A watch may have been lost without notice; the
	// others learn of that from the first one's digest.
	firstRelist = 4 * time.Second
	otherRelist = 20 * time.Second
	// differsFor is the time for which another VM's digest must differ before this VM
	// lists again. Changes reach all watches within a fraction of it.
	differsFor = 700 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call. A VM to which another
	// one relays what the store says pauses up to relayedRetry.
	firstRetry   = 150 * time.Millisecond
	lastRetry    = time.Second
	relayedRetry = 3 * time.Second
	// tick is the resolution of the polling decisions.
	tick = 50 * time.Millisecond
)

// Snapshot is one immutable view.
type Snapshot struct {
	Catalog   *catalog.Catalog
	Upstreams catalog.Upstreams
	// Leaving holds the time (process clock) from which an upstream counts as leaving,
	// because it drains or has gone.
	Leaving map[ident.UpstreamName]time.Duration
	// Deregistered holds the upstreams whose registration went away, and when.
	Deregistered map[ident.UpstreamName]time.Duration
	// SlowStartUntil holds the time until which an upstream is cold after its start or after
	// its zone has returned.
	SlowStartUntil map[ident.UpstreamName]time.Duration
	// Evacuated holds the zones to leave with the time at which this VM learned it.
	Evacuated map[ident.AvailabilityZone]time.Duration

	digest uint64
}

// IsPrimary reports whether an upstream claims to be the primary of its group.
func (s *Snapshot) IsPrimary(group ident.GroupName, name ident.UpstreamName) bool {
	return slices.ContainsFunc(s.Upstreams[group], func(u catalog.Upstream) bool { return u.Name == name && u.Primary })
}

// Follower follows the store.
type Follower struct {
	source Source
	times  Times
	now    func() time.Duration
	log    zerolog.Logger
	rank   func() int
	relay  func() (ident.VMName, bool)
	ask    func(context.Context, ident.VMName, ViewRequest) (ViewResponse, error)

	state atomic.Pointer[Snapshot]
	hurry chan struct{}
	// relist asks for a full list of all kinds.
	relist map[objectapi.Kind]chan struct{}

	mu        sync.Mutex
	catalog   *catalog.Catalog
	verified  time.Duration
	proved    bool
	upstreams map[string]catalog.Upstream
	gone      map[string]time.Duration // registrations that went away, and when
	leaving   map[ident.UpstreamName]time.Duration
	evacuated map[ident.AvailabilityZone]time.Duration
	cold      map[ident.UpstreamName]time.Duration
	loaded    map[objectapi.Kind]bool
	// views are what other VMs may be told; see view.go.
	views map[objectapi.Kind]*storeView
	// readAt is the time of the next reading of a newer configuration that another VM
	// has reported; zero without one. newerFrom is that VM if it stands in this zone.
	readAt    time.Duration
	newerFrom ident.VMName
	// mistrustUntil is the time until which this VM turns to the store itself.
	mistrustUntil time.Duration
	listedAt      time.Duration // first list of the upstreams
	lostSince     time.Duration // last failed call of the store
	differs       time.Duration // since when digests of other VMs differ; zero while they agree
	available     bool
}

// Options connect a Follower.
type Options struct {
	Source Source
	Times  Times
	// Now is the time since process start.
	Now func() time.Duration
	Log zerolog.Logger
	// Rank returns this VM's place among the VMs that may read the configuration.
	Rank func() int
	// Relay returns the VM of this zone that follows the store for the others; false when
	// this VM does, or when none is known. Nil means that there are no other VMs.
	Relay func() (ident.VMName, bool)
	// RequestView asks a VM for its view.
	RequestView func(ctx context.Context, vm ident.VMName, request ViewRequest) (ViewResponse, error)
}

// New returns a follower that knows nothing yet.
func New(o Options) *Follower {
	f := &Follower{
		source: o.Source, times: o.Times, now: o.Now, log: o.Log, rank: o.Rank,
		hurry: make(chan struct{}, 1), upstreams: map[string]catalog.Upstream{}, gone: map[string]time.Duration{},
		leaving: map[ident.UpstreamName]time.Duration{}, evacuated: map[ident.AvailabilityZone]time.Duration{},
		cold:   map[ident.UpstreamName]time.Duration{},
		loaded: map[objectapi.Kind]bool{}, available: true, relay: o.Relay, ask: o.RequestView,
		views: map[objectapi.Kind]*storeView{
			o.Source.ConfigKind: newStoreView(), o.Source.UpstreamsKind: newStoreView(), o.Source.EvacuationsKind: newStoreView(),
		},
		relist: map[objectapi.Kind]chan struct{}{
			o.Source.UpstreamsKind: make(chan struct{}, 1), o.Source.EvacuationsKind: make(chan struct{}, 1),
		},
	}
	if f.relay == nil {
		f.relay = func() (ident.VMName, bool) { return "", false }
	}
	f.state.Store(&Snapshot{Catalog: &catalog.Catalog{}, Upstreams: catalog.Upstreams{}})
	return f
}

// Snapshot returns the present view; it is never changed.
func (f *Follower) Snapshot() *Snapshot { return f.state.Load() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.followConfiguration(ctx) })
	wg.Go(func() { f.followKind(ctx, f.source.UpstreamsKind, f.replaceUpstreams, f.changeUpstreams) })
	wg.Go(func() { f.followKind(ctx, f.source.EvacuationsKind, f.replaceEvacuations, f.changeEvacuations) })
	wg.Wait()
}

// Proof returns the version in force and the age of its proof; false without one.
func (f *Follower) Proof() (ident.ConfigurationVersion, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.proved {
		return 0, 0, false
	}
	return f.catalog.Version, f.now() - f.verified, true
}

// Fresh reports whether the configuration is proved recently enough to honour keys.
func (f *Follower) Fresh() bool {
	_, age, ok := f.Proof()
	return ok && age < f.times.Revoke*freshShare/100
}

// RegistrationsComplete reports whether the registrations can be trusted to be complete: while the
// store was away those of living upstreams may have expired, and a VM that has just
// started does not know whether it was.
func (f *Follower) RegistrationsComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded[f.source.UpstreamsKind] && f.now() >= max(f.listedAt, f.lostSince)+f.times.Reregister
}

// Ready reports whether the VM can serve, and why not.
func (f *Follower) Ready() (bool, string) {
	f.mu.Lock()
	loaded := f.loaded[f.source.UpstreamsKind] && f.loaded[f.source.EvacuationsKind]
	f.mu.Unlock()
	switch {
	case !loaded:
		return false, "upstreams are not known"
	case !f.Fresh():
		return false, "configuration is not proved current"
	}
	return true, ""
}

// Digest returns a value that two VMs share while they know the same registrations
// and zones to be left.
func (f *Follower) Digest() uint64 { return f.state.Load().digest }

// digest is computed once for each view, because probes compare it many times a second;
// f.mu is held.
func (f *Follower) digest() uint64 {
	sum := uint64(0) // a sum, because the order of the entries does not matter
	for name, u := range f.upstreams {
		if _, gone := f.gone[name]; !gone {
			sum += hash(name, u.Revision)
		}
	}
	for zone := range f.evacuated {
		sum += hash(string(zone), 0)
	}
	return sum
}

func hash(name string, revision uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(name), revision))
	return h.Sum64()
}

// ObserveDigest takes the digest of another VM. One that differs for a while means
// that a watch has been lost, here or there.
func (f *Follower) ObserveDigest(digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case digest == f.state.Load().digest:
		f.differs = 0
	case f.differs == 0:
		f.differs = f.now()
	case f.now() >= f.differs+differsFor:
		f.differs, f.mistrustUntil = 0, f.now()+firstRelist
		for _, c := range f.relist {
			select {
			case c <- struct{}{}:
			default:
			}
		}
	}
}

// publish builds the view; f.mu is held.
func (f *Follower) publish() {
	s := &Snapshot{Catalog: f.catalog, Upstreams: catalog.Upstreams{}, Leaving: maps.Clone(f.leaving),
		Deregistered: map[ident.UpstreamName]time.Duration{}, Evacuated: maps.Clone(f.evacuated),
		SlowStartUntil: map[ident.UpstreamName]time.Duration{}, digest: f.digest()}
	if s.Catalog == nil {
		s.Catalog = &catalog.Catalog{}
	}
	for _, u := range f.upstreams {
		s.Upstreams[u.Group] = append(s.Upstreams[u.Group], u)
	}
	s.Upstreams.Sort()
	for name, until := range f.cold {
		if until > f.now() {
			s.SlowStartUntil[name] = until
		} else {
			delete(f.cold, name)
		}
	}
	for name, at := range f.gone {
		s.Deregistered[ident.UpstreamName(name)] = at
	}
	f.state.Store(s)
}

// noteCall records whether the store answers, and logs when that changes.
func (f *Follower) noteCall(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := err != nil && !resultcode.Is(err, resultcode.PlatformNotFound) && !resultcode.Is(err, resultcode.PlatformHistoryGone)
	if lost {
		f.lostSince = f.now()
	}
	if lost == f.available {
		f.available = !lost
		for _, v := range f.views {
			v.wake()
		}
		if lost {
			f.log.Warn().Err(err).Str("dependency", "store").Msg("dependency lost")
		} else {
			f.log.Info().Str("dependency", "store").Msg("dependency regained")
		}
	}
}
