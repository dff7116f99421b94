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

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/core/proof"
	"github.com/rosemarywall/rosemarywall/internal/core/withdrawal"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Store reads objects of the platform's store.
type Store interface {
	Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error)
	List(ctx context.Context, kind objectapi.Kind) (objectapi.Changes, error)
	Watch(ctx context.Context, kinds []objectapi.Kind, after objectapi.Version, timeout time.Duration) (objectapi.Changes, error)
}

// Source specifies the objects to follow and how to decode them.
type Source struct {
	Store           Store
	ConfigKind      objectapi.Kind
	ConfigName      string
	UpstreamsKind   objectapi.Kind
	EvacuationsKind objectapi.Kind
	DecodeCatalog   func(objectapi.Object) (*catalog.Catalog, error)
	DecodeUpstream  func(objectapi.Object) (catalog.Upstream, error)
}

// Times holds the time bounds that the follower must meet.
type Times struct {
	// Apply is the time within which an accepted configuration must be in force.
	Apply time.Duration
	// Revoke is the time after which a revoked key must be rejected.
	Revoke time.Duration
	// Drain and Evacuate are the times after which nothing may reach an upstream that leaves,
	// or an evacuated zone.
	Drain, Evacuate time.Duration
	// Reregister is the time after an outage of the store within which live upstreams
	// register again.
	Reregister time.Duration
}

const (
	// pollDivisor divides Times.Apply to give the interval at which the first VM reads
	// the configuration. The others learn of a change with their next probe and then read
	// it themselves, so that three such intervals stay within Times.Apply.
	pollDivisor = 3
	// zoneWaitDivisor divides Times.Apply to give the time for which a VM waits for a
	// newer configuration from its own zone before it reads the store. One probe is sent
	// in that time.
	zoneWaitDivisor = 6
	// freshPercent is the percentage of Times.Revoke for which a proof of the
	// configuration is valid. The rest covers the time between the check of a key and the
	// sending of the statement.
	freshPercent = 90
	// callTimeout limits a store call. The store responds within milliseconds, or within
	// some hundred milliseconds when it is slow.
	callTimeout = 800 * time.Millisecond
	// watchWait is the maximum time that a watch blocks at the store.
	watchWait = 20 * time.Second
	// watchInterval and watchBurst limit the calls of a watch, which each event ends. Single
	// events, such as a new primary, arrive without delay, and those of many upstreams that
	// register together share calls.
	watchInterval = 200 * time.Millisecond
	watchBurst    = 5
	// firstRelistInterval and otherRelistInterval are the intervals between full lists in
	// addition to the watch, for the first VM and for the others. They are needed because
	// the store may lose a watch without notice. Each list also proves that nothing else is
	// withdrawn, and the digest of the first VM passes this on to the others.
	firstRelistInterval = 2 * time.Second
	otherRelistInterval = 20 * time.Second
	// relayBypassTime is the time for which a VM reads the store itself after its relay has
	// failed.
	relayBypassTime = 4 * time.Second
	// digestMismatchLimit is the time for which the digest of a VM with a newer proof must
	// differ before this VM lists all objects again. Changes reach all watches within a
	// fraction of it.
	digestMismatchLimit = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// minRelayedRetryDelay and maxRelayedRetryDelay bound it for a VM that has a relay, of
	// which a large fleet has hundreds.
	minRelayedRetryDelay = 750 * time.Millisecond
	maxRelayedRetryDelay = 1500 * time.Millisecond
	// pollResolution is the interval at which the need to poll is checked.
	pollResolution = 50 * time.Millisecond
	// relayPendingResolution is the interval at which RelayPending is called. All VMs may
	// be restarting, and clients wait.
	relayPendingResolution = 5 * time.Millisecond
)

// Snapshot is an immutable view of the store's contents.
type Snapshot struct {
	Catalog   *catalog.Catalog
	Upstreams catalog.Upstreams
	// Leaving holds the upstreams that are draining or whose registration was removed.
	Leaving map[ident.UpstreamName]withdrawal.Withdrawal
	// Deregistered holds the upstreams whose registration was removed, with the time at
	// which this VM learned of it.
	Deregistered map[ident.UpstreamName]time.Duration
	// SlowStartUntil holds the end of the slow start of upstreams that have started, or
	// whose zone evacuation has ended, recently.
	SlowStartUntil map[ident.UpstreamName]time.Duration
	// Era is the newest known era of the store.
	Era uint64
	// Evacuated holds the evacuated zones.
	Evacuated map[ident.AvailabilityZone]withdrawal.Withdrawal

	digest uint64
}

// IsPrimary reports whether an upstream claims to be the primary of its group.
func (s *Snapshot) IsPrimary(group ident.GroupName, name ident.UpstreamName) bool {
	return slices.ContainsFunc(s.Upstreams[group], func(u catalog.Upstream) bool { return u.Name == name && u.Primary })
}

// ZoneOf returns the availability zone of an upstream. The result is false if the upstream
// is not registered.
func (s *Snapshot) ZoneOf(group ident.GroupName, name ident.UpstreamName) (ident.AvailabilityZone, bool) {
	i := slices.IndexFunc(s.Upstreams[group], func(u catalog.Upstream) bool { return u.Name == name })
	if i < 0 {
		return "", false
	}
	return s.Upstreams[group][i].Zone, true
}

// Follower maintains a Snapshot of the store's contents. It is safe for concurrent use.
type Follower struct {
	source Source
	times  Times
	now    func() time.Duration
	log    zerolog.Logger
	rank   func() int
	relay  func() (ident.VMName, bool)
	// relayPending reports whether it is not known yet whether there is a relay.
	relayPending func() bool
	requestView  func(context.Context, ident.VMName, ViewRequest) (ViewResponse, error)
	onRestore    func()
	onInvalid    func()

	state      atomic.Pointer[Snapshot]
	configWake chan struct{}
	// relist requests a full list of a kind.
	relist map[objectapi.Kind]chan struct{}

	mu            sync.Mutex
	catalog       *catalog.Catalog // nil until a configuration was read
	configuration proof.Configuration
	upstreams     map[string]catalog.Upstream
	// invalid holds the versions of the registrations that name no upstream.
	invalid map[string]objectapi.Version
	// unnamed holds the number of entries without a readable name in the last list of a kind.
	unnamed        map[objectapi.Kind]int
	deregistered   map[string]time.Duration // removal times of upstream registrations
	leaving        map[ident.UpstreamName]withdrawal.Withdrawal
	evacuated      map[ident.AvailabilityZone]withdrawal.Withdrawal
	slowStartUntil map[ident.UpstreamName]time.Duration
	loaded         map[objectapi.Kind]bool
	// era is the newest era of the store; eraKnown is set once there was a response.
	era      uint64
	eraKnown bool
	// copyVersion is the earliest version of the era that this VM has seen. What is newer was
	// written after the store came back.
	copyVersion objectapi.Version
	// viewVersion holds the store version up to which the view of a kind is complete.
	viewVersion map[objectapi.Kind]objectapi.Version
	// viewProofs holds the proofs of the views of the registrations and the evacuations.
	viewProofs proof.Views
	// views are the views served to other VMs; see view.go.
	views map[objectapi.Kind]*kindView
	// readNewerAt is the time at which to read a newer configuration that another VM has
	// reported. newerFrom is that VM if it is in this zone.
	readNewerAt instant.Instant
	newerFrom   ident.VMName
	// bypassRelayUntil is the time until which this VM reads the store itself although it
	// has a relay.
	bypassRelayUntil time.Duration
	firstListedAt    instant.Instant // time of the first list of the upstreams
	lastFailureAt    instant.Instant // time of the last failed store call, or of the first response after it
	mismatchSince    instant.Instant // start of a digest mismatch
	mismatchProof    instant.Instant // time of the proof of the digest that differed
	storeAvailable   bool
}

// Options holds the dependencies and settings of a Follower.
type Options struct {
	Source Source
	Times  Times
	// Now returns the time since process start.
	Now func() time.Duration
	Log zerolog.Logger
	// Rank returns this VM's position in the order of the VMs that read the configuration,
	// zero for the first.
	Rank func() int
	// Relay returns the VM of this zone that follows the store for the others. The result
	// is false if this VM does so itself, or if no such VM is known. A nil Relay means that
	// there are no other VMs.
	Relay func() (ident.VMName, bool)
	// RelayPending reports whether this VM has just started and does not know yet whether
	// there is a relay. Store calls wait until it returns false. A nil RelayPending is one
	// that always does.
	RelayPending func() bool
	// OnRestore is called, if not nil, when the store has come back from an older copy.
	OnRestore func()
	// OnInvalid is called, if not nil, for each entry that names nothing to use, once for each
	// change of the entry.
	OnInvalid func()
	// RequestView requests the view of a VM.
	RequestView func(ctx context.Context, vm ident.VMName, request ViewRequest) (ViewResponse, error)
}

// New returns a Follower with an empty snapshot.
func New(o Options) *Follower {
	f := &Follower{
		source: o.Source, times: o.Times, now: o.Now, log: o.Log, rank: o.Rank,
		configWake: make(chan struct{}, 1), upstreams: map[string]catalog.Upstream{}, deregistered: map[string]time.Duration{},
		invalid: map[string]objectapi.Version{}, unnamed: map[objectapi.Kind]int{},
		leaving: map[ident.UpstreamName]withdrawal.Withdrawal{}, evacuated: map[ident.AvailabilityZone]withdrawal.Withdrawal{},
		slowStartUntil: map[ident.UpstreamName]time.Duration{},
		loaded:         map[objectapi.Kind]bool{}, viewVersion: map[objectapi.Kind]objectapi.Version{},
		viewProofs: proof.NewViews(), storeAvailable: true, relay: o.Relay, relayPending: o.RelayPending, requestView: o.RequestView, onRestore: o.OnRestore, onInvalid: o.OnInvalid,
		views: map[objectapi.Kind]*kindView{
			o.Source.ConfigKind: newKindView(), o.Source.UpstreamsKind: newKindView(), o.Source.EvacuationsKind: newKindView(),
		},
		relist: map[objectapi.Kind]chan struct{}{
			o.Source.UpstreamsKind: make(chan struct{}, 1), o.Source.EvacuationsKind: make(chan struct{}, 1),
		},
	}
	if f.relay == nil {
		f.relay = func() (ident.VMName, bool) { return "", false }
	}
	if f.onRestore == nil {
		f.onRestore = func() {}
	}
	if f.onInvalid == nil {
		f.onInvalid = func() {}
	}
	if f.relayPending == nil {
		f.relayPending = func() bool { return false }
	}
	f.state.Store(&Snapshot{Catalog: &catalog.Catalog{}, Upstreams: catalog.Upstreams{}})
	return f
}

// Snapshot returns the current snapshot, which must not be modified.
func (f *Follower) Snapshot() *Snapshot { return f.state.Load() }

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for f.relayPending() && clock.Sleep(ctx, relayPendingResolution) {
	}
	var wg sync.WaitGroup
	follow := func(task string, run func(context.Context)) {
		wg.Go(func() { recovery.Loop(ctx, f.log, task, run) })
	}
	follow("follow configuration", f.followConfiguration)
	follow("follow upstreams", func(ctx context.Context) {
		f.followKind(ctx, f.source.UpstreamsKind, f.replaceUpstreams, f.changeUpstreams)
	})
	follow("follow evacuations", func(ctx context.Context) {
		f.followKind(ctx, f.source.EvacuationsKind, f.replaceEvacuations, f.changeEvacuations)
	})
	wg.Wait()
}

// Proof returns the version of the configuration in force and the age of its proof. The
// result is false if there is none yet.
func (f *Follower) Proof() (ident.ConfigurationVersion, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.configuration.ProvedAt().Age(f.now())
	if !ok {
		return 0, 0, false
	}
	return f.configuration.Version(), age, true
}

// Fresh reports whether the proof of the configuration is recent enough to accept keys.
func (f *Follower) Fresh() bool {
	_, age, ok := f.Proof()
	return ok && age < f.times.Revoke*freshPercent/100
}

// RegistrationsComplete reports whether the registrations include all live upstreams.
// During an outage of the store, registrations of live upstreams may expire, and a VM that
// has just started does not know whether there was an outage.
func (f *Follower) RegistrationsComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded[f.source.UpstreamsKind] && f.storeAvailable && instant.Latest(f.firstListedAt, f.lastFailureAt).Add(f.times.Reregister).ReachedAt(f.now())
}

// Ready reports whether the VM can serve clients, and otherwise the reason.
func (f *Follower) Ready() (bool, string) {
	f.mu.Lock()
	loaded := f.loaded[f.source.UpstreamsKind] && f.loaded[f.source.EvacuationsKind]
	f.mu.Unlock()
	switch {
	case !loaded:
		return false, "upstreams have not been loaded"
	case !f.Fresh():
		return false, "configuration is not proved current"
	}
	return true, ""
}

// ViewProof describes a view of the registrations and the zone evacuations.
type ViewProof struct {
	// Digest is equal on VMs that know the same registrations and evacuations.
	Digest uint64 `cbor:"1,keyasint,omitempty" json:"digest"`
	// Proved is set if the view has been proved current, and Age is the time since then.
	Proved bool          `cbor:"2,keyasint,omitempty" json:"proved"`
	Age    time.Duration `cbor:"3,keyasint,omitempty" json:"age_ns"`
	// Era is the era of the store that the VM knows, and Unsettled the time for which it does
	// not trust the store's contents yet.
	Era       uint64        `cbor:"4,keyasint,omitempty" json:"era"`
	Unsettled time.Duration `cbor:"5,keyasint,omitempty" json:"unsettled_ns"`
}

// ViewProof returns the digest of this VM's view and the age of its proof.
func (f *Follower) ViewProof() ViewProof {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, proved := f.viewProvedAt().Age(f.now())
	return ViewProof{Digest: f.state.Load().digest, Proved: proved, Age: age, Era: f.era, Unsettled: f.viewProofs.Unsettled(f.now())}
}

// viewProvedAt returns the time at which the views of both kinds were last proved current;
// f.mu must be held.
func (f *Follower) viewProvedAt() instant.Instant {
	return f.viewProofs.ProvedAt(f.source.UpstreamsKind, f.source.EvacuationsKind)
}

// digest computes the digest of the current view. It is called once per snapshot, because
// probes compare the digest many times per second; f.mu must be held.
func (f *Follower) digest() uint64 {
	sum := uint64(0) // a sum does not depend on the order of the entries
	for name, u := range f.upstreams {
		if _, deregistered := f.deregistered[name]; !deregistered {
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

// ObserveView records the view of another VM, which responded to a request sent at sentAt.
// An equal view proves this VM's own. If a view with a newer proof differs for
// digestMismatchLimit, this VM has lost a watch and lists all objects at the store.
func (f *Follower) ObserveView(sentAt time.Duration, v ViewProof) {
	provedAt := instant.Reported(sentAt, v.Age)
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.Era > 0 { // zero also stands for a VM that does not know it yet
		f.observeEra(v.Era, v.Unsettled)
	}
	if !v.Proved {
		return
	}
	same := v.Digest == f.state.Load().digest
	if same {
		f.viewProofs.Prove(f.source.UpstreamsKind, provedAt)
		f.viewProofs.Prove(f.source.EvacuationsKind, provedAt)
	}
	own := f.viewProvedAt()
	if !f.mismatchProof.After(own) {
		f.mismatchSince = instant.Never
	}
	switch {
	case same, !provedAt.After(own), v.Era < f.era:
	case !f.mismatchSince.Known():
		f.mismatchSince, f.mismatchProof = instant.At(f.now()), provedAt
	case f.mismatchSince.Add(digestMismatchLimit).ReachedAt(f.now()):
		f.mismatchSince, f.bypassRelayUntil = instant.Never, f.now()+relayBypassTime
		f.requestLists()
	}
}

// publish builds and stores a new snapshot; f.mu must be held.
func (f *Follower) publish() {
	s := &Snapshot{Era: f.era, Catalog: f.catalog, Upstreams: catalog.Upstreams{}, Leaving: maps.Clone(f.leaving),
		Deregistered: map[ident.UpstreamName]time.Duration{}, Evacuated: maps.Clone(f.evacuated),
		SlowStartUntil: map[ident.UpstreamName]time.Duration{}, digest: f.digest()}
	if s.Catalog == nil {
		s.Catalog = &catalog.Catalog{}
	}
	for _, u := range f.upstreams {
		s.Upstreams[u.Group] = append(s.Upstreams[u.Group], u)
	}
	s.Upstreams.Sort()
	for name, until := range f.slowStartUntil {
		if until > f.now() {
			s.SlowStartUntil[name] = until
		} else {
			delete(f.slowStartUntil, name)
		}
	}
	for name, at := range f.deregistered {
		s.Deregistered[ident.UpstreamName(name)] = at
	}
	f.state.Store(s)
}

// recordCall records whether a store call succeeded, and logs changes of the store's
// availability.
func (f *Follower) recordCall(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := err != nil && !resultcode.Is(err, resultcode.PlatformNotFound) && !resultcode.Is(err, resultcode.PlatformHistoryGone)
	if failed {
		f.lastFailureAt = instant.At(f.now())
	}
	if failed == f.storeAvailable {
		f.setStoreAvailable(!failed)
		if failed {
			f.log.Warn().Err(err).Str("dependency", "store").Msg("dependency lost")
		} else {
			f.log.Info().Str("dependency", "store").Msg("dependency regained")
		}
	}
}

// setStoreAvailable records that the store stopped or began to respond. An outage ended at
// an unknown time before the first response after it; f.mu must be held.
func (f *Follower) setStoreAvailable(available bool) {
	f.storeAvailable, f.lastFailureAt = available, instant.At(f.now())
	for _, v := range f.views {
		v.notifyWaiters()
	}
}

// recordRelayAvailable records a view of a relay that reaches the store.
func (f *Follower) recordRelayAvailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.storeAvailable {
		f.setStoreAvailable(true)
		f.log.Info().Str("dependency", "store").Msg("dependency regained through the relay")
	}
}
