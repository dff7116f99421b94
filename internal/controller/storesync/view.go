package storesync

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Each store call is priced, and each event ends the watches of all VMs that wait for it.
// In each zone one VM, the relay, therefore follows the store, and the others wait for
// changes there with long polling. A VM whose relay fails, or whose view differs from that
// of other VMs, reads the store itself.

const (
	// maxViewWait is the maximum time that a ViewRequest waits for a change.
	maxViewWait = 10 * time.Second
	// viewLoadWait is the time for which a ViewRequest waits while the VM that receives it
	// has just started and has not read the store yet.
	viewLoadWait = 300 * time.Millisecond
	// viewTransitAllowance is added to maxViewWait to cover the network round trip.
	viewTransitAllowance = 500 * time.Millisecond
)

// ViewRequest requests the objects of a kind from a VM that follows the store.
type ViewRequest struct {
	Kind objectapi.Kind `cbor:"1,keyasint"`
	// After is the version that the requester has. The response is delayed until another
	// version is available or Wait has passed.
	After objectapi.Version `cbor:"2,keyasint,omitempty"`
	Wait  time.Duration     `cbor:"3,keyasint,omitempty"`
}

// ViewResponse is the response to a ViewRequest.
type ViewResponse struct {
	// Authoritative is set if the VM follows the store. Otherwise the other fields are not
	// valid.
	Authoritative bool `cbor:"1,keyasint,omitempty"`
	// Version is the version of the objects in the responding VM's view.
	Version objectapi.Version `cbor:"2,keyasint,omitempty"`
	// Unchanged is set if Version equals the request's After; Objects is then empty.
	Unchanged bool               `cbor:"3,keyasint,omitempty"`
	Objects   []objectapi.Object `cbor:"4,keyasint,omitempty"`
	// Proved is set if the objects were proved current, ProofAge before the response. If not,
	// ProofAge is unprovedAge, for VMs of earlier versions that do not know Proved.
	ProofAge time.Duration `cbor:"5,keyasint,omitempty"`
	Proved   bool          `cbor:"6,keyasint,omitempty"`
}

// unprovedAge is an age at which no proof is valid.
const unprovedAge = 24 * time.Hour

// provedAt returns the time at which the objects of a response to a request sent at sentAt
// were proved current.
func (r ViewResponse) provedAt(sentAt time.Duration) instant.Instant {
	if !r.Proved {
		return instant.Never
	}
	return instant.Reported(sentAt, r.ProofAge)
}

// kindView holds the objects of a kind as received from the store or from another VM.
type kindView struct {
	objects map[string]objectapi.Object
	version objectapi.Version
	changed chan struct{} // closed at the next change
	// relayed is set if the latest objects were received from another VM. They are not
	// served to others.
	relayed bool
}

func newKindView() *kindView {
	return &kindView{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// list returns the objects.
func (v *kindView) list() []objectapi.Object { return slices.Collect(maps.Values(v.objects)) }

func byName(objects []objectapi.Object) map[string]objectapi.Object {
	out := make(map[string]objectapi.Object, len(objects))
	for _, o := range objects {
		out[o.Name] = o
	}
	return out
}

// replace applies a full list from the store.
func (v *kindView) replace(objects []objectapi.Object, version objectapi.Version) {
	next := byName(objects)
	same := !v.relayed && maps.EqualFunc(v.objects, next, func(a, b objectapi.Object) bool { return a.Version == b.Version })
	v.objects, v.relayed = next, false
	if !same || v.version == 0 { // otherwise waiting requests keep waiting
		v.advance(version)
	}
}

// applyChanges applies one or more events of a watch.
func (v *kindView) applyChanges(c objectapi.Changes) {
	for _, o := range c.Deleted {
		delete(v.objects, o.Name)
	}
	for _, o := range c.Objects {
		v.objects[o.Name] = o
	}
	v.advance(c.Version)
}

// advance increases the version after a change.
func (v *kindView) advance(version objectapi.Version) {
	v.version = max(v.version+1, version)
	v.notifyWaiters()
}

// notifyWaiters wakes the requests that wait for a change.
func (v *kindView) notifyWaiters() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// ServeView handles a ViewRequest of another VM. The response is not authoritative if this
// VM does not follow the store itself or its last store call failed.
func (f *Follower) ServeView(ctx context.Context, r ViewRequest) ViewResponse {
	wait := time.NewTimer(min(r.Wait, maxViewWait))
	defer wait.Stop()
	if !f.awaitLoad(ctx, r) {
		return ViewResponse{}
	}
	for {
		f.mu.Lock()
		v := f.views[r.Kind]
		if !f.canServe(r.Kind, v) {
			f.mu.Unlock()
			return ViewResponse{}
		}
		response := ViewResponse{Authoritative: true, Version: v.version, ProofAge: unprovedAge}
		if age, proved := f.viewProofTime(r.Kind).Age(f.now()); proved {
			response.Proved, response.ProofAge = true, age
		}
		changed := v.changed
		if v.version != r.After {
			response.Objects = v.list()
		}
		f.mu.Unlock()
		if response.Version != r.After || r.Wait == 0 {
			return response
		}
		response.Unchanged = true
		select {
		case <-changed:
		case <-wait.C:
			return response
		case <-ctx.Done():
			return ViewResponse{}
		}
	}
}

// viewProofTime returns the time at which the view of a kind was proved current; f.mu must
// be held.
func (f *Follower) viewProofTime(kind objectapi.Kind) instant.Instant {
	if kind == f.source.ConfigKind {
		return f.configuration.ProvedAt()
	}
	return f.viewProofs.ProvedAt(kind)
}

// awaitLoad waits up to viewLoadWait until the first read of a kind has ended, and reports
// whether the kind is known.
func (f *Follower) awaitLoad(ctx context.Context, r ViewRequest) bool {
	timer := time.NewTimer(min(r.Wait, viewLoadWait))
	defer timer.Stop()
	for {
		f.mu.Lock()
		v, known := f.views[r.Kind]
		loading := known && f.storeAvailable && !f.hasLoaded(r.Kind)
		var changed chan struct{}
		if loading {
			changed = v.changed
		}
		f.mu.Unlock()
		if !loading {
			return known
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
}

// hasLoaded reports whether a kind has been read; f.mu must be held.
func (f *Follower) hasLoaded(kind objectapi.Kind) bool {
	if kind == f.source.ConfigKind {
		return f.configuration.ProvedAt().Known()
	}
	return f.loaded[kind]
}

// canServe reports whether this VM's view of a kind may be served to other VMs; f.mu must
// be held.
func (f *Follower) canServe(kind objectapi.Kind, v *kindView) bool {
	if kind == f.source.ConfigKind {
		return f.configuration.ProvedAt().Known()
	}
	return f.hasLoaded(kind) && f.storeAvailable && !v.relayed
}

var errNotAuthoritative = errors.New("peer does not follow the store")

// activeRelay returns the relay, unless it is bypassed.
func (f *Follower) activeRelay() (ident.VMName, bool) {
	f.mu.Lock()
	enabled := f.now() >= f.bypassRelayUntil
	f.mu.Unlock()
	from, ok := f.relay()
	return from, ok && enabled
}

// bypassRelay makes this VM read the store itself for relayBypassTime.
func (f *Follower) bypassRelay() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bypassRelayUntil = f.now() + relayBypassTime
}

// endBypass makes this VM ask its relay again before it reads the store. After an outage of
// the store for all VMs most of them then need no call of their own.
func (f *Follower) endBypass() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bypassRelayUntil = 0
}

// followRelay follows a kind through the relay until a request fails, the relay changes or
// a full list is requested.
func (f *Follower) followRelay(ctx context.Context, kind objectapi.Kind, replace func([]objectapi.Object, origin)) {
	from, ok := f.activeRelay()
	relist, cancel := f.relistContext(ctx, kind)
	defer cancel()
	var version objectapi.Version
	for ok && relist.Err() == nil {
		sentAt := f.now()
		view, err := f.requestFromRelay(relist, from, ViewRequest{Kind: kind, After: version, Wait: maxViewWait})
		if err != nil {
			f.log.Debug().Err(err).Str("peer", string(from)).Str("kind", string(kind)).Msg("reading view from relay failed")
			f.bypassRelay()
			return
		}
		f.recordRelayAvailable()
		if !view.Unchanged {
			f.applyView(kind, view, origin{source: string(from), version: view.Version}, replace)
			version = view.Version
		}
		f.proveRelayedView(kind, view.Version, view.provedAt(sentAt))
		var current ident.VMName
		current, ok = f.activeRelay()
		ok = ok && current == from
	}
}

func (f *Follower) requestFromRelay(ctx context.Context, from ident.VMName, r ViewRequest) (ViewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, maxViewWait+viewTransitAllowance)
	defer cancel()
	view, err := f.requestView(ctx, from, r)
	if err == nil && !view.Authoritative {
		err = errNotAuthoritative
	}
	return view, err
}

// applyView applies the view of a relay. It is ignored if this VM knows a newer one: the
// relay may have lost its watch, and this VM may have read the store itself.
func (f *Follower) applyView(kind objectapi.Kind, view ViewResponse, from origin, replace func([]objectapi.Object, origin)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if view.Version < f.viewVersion[kind] {
		f.log.Debug().Str("peer", from.source).Str("kind", string(kind)).Uint64("view_version", uint64(view.Version)).
			Uint64("known_version", uint64(f.viewVersion[kind])).Msg("older view ignored")
		return
	}
	f.observeView(view.Version)
	f.applyList(kind, view.Objects, from, replace)
	f.views[kind].objects, f.views[kind].relayed = byName(view.Objects), true
	f.views[kind].notifyWaiters()
}

// proveRelayedView records the proof of a relay's view if it is the one that this VM has.
func (f *Follower) proveRelayedView(kind objectapi.Kind, version objectapi.Version, at instant.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == f.viewVersion[kind] {
		f.viewProofs.Prove(kind, at)
	}
}
