package storesync

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Each call of the store is priced, and each event ends the watches of all VMs that
// wait for it. In each zone one VM follows the store; the others wait for changes
// there with a standing question. A VM that cannot follow in this way, or whose view
// differs from that of others, turns to the store itself.

const (
	// viewWait is the time that a question for changes waits for one.
	viewWait = 10 * time.Second
	// viewTimeout is added to it for the way there and back.
	viewTimeout = 500 * time.Millisecond
)

// ViewRequest asks a VM for the objects of a kind that it follows at the store.
type ViewRequest struct {
	Kind objectapi.Kind `cbor:"1,keyasint"`
	// After is the version that the asker knows; the answer comes when a newer one is
	// known, or unchanged after Wait.
	After objectapi.Version `cbor:"2,keyasint,omitempty"`
	Wait  time.Duration     `cbor:"3,keyasint,omitempty"`
}

// ViewResponse answers a ViewRequest.
type ViewResponse struct {
	// Authoritative says that the VM follows the store; without it the rest is void.
	Authoritative bool `cbor:"1,keyasint,omitempty"`
	// Version is the store's version of the objects.
	Version objectapi.Version `cbor:"2,keyasint,omitempty"`
	// Unchanged says that Objects are those of the request's After.
	Unchanged bool               `cbor:"3,keyasint,omitempty"`
	Objects   []objectapi.Object `cbor:"4,keyasint,omitempty"`
	// ProofAge is the age of the proof of a configuration.
	ProofAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// storeView holds the objects of a kind as the store gave them.
type storeView struct {
	objects map[string]objectapi.Object
	version objectapi.Version
	changed chan struct{} // closed at the next change
	// relayed says that they came from another VM.
	relayed bool
}

func newStoreView() *storeView {
	return &storeView{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// replace takes a full list of the store.
func (v *storeView) replace(objects []objectapi.Object, version objectapi.Version) {
	next := make(map[string]objectapi.Object, len(objects))
	for _, o := range objects {
		next[o.Name] = o
	}
	same := maps.EqualFunc(v.objects, next, func(a, b objectapi.Object) bool { return a.Version == b.Version })
	v.objects, v.relayed = next, false
	if !same { // those who wait for a change go on waiting
		v.advance(version)
	}
}

// change takes the events of a watch, of which there is at least one.
func (v *storeView) change(c objectapi.Changes) {
	for _, o := range c.Deleted {
		delete(v.objects, o.Name)
	}
	for _, o := range c.Objects {
		v.objects[o.Name] = o
	}
	v.advance(c.Version)
}

// advance sets the version after a change.
func (v *storeView) advance(version objectapi.Version) {
	v.version = max(v.version+1, version)
	v.wake()
}

// wake lets those who wait for a change look again.
func (v *storeView) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// ServeView answers another VM. A VM that does not follow the store itself, or whose last
// call of it failed, says so.
func (f *Follower) ServeView(ctx context.Context, r ViewRequest) ViewResponse {
	wait := time.NewTimer(min(r.Wait, viewWait))
	defer wait.Stop()
	for {
		f.mu.Lock()
		v, known := f.views[r.Kind]
		if !known || !f.follows(r.Kind, v) {
			f.mu.Unlock()
			return ViewResponse{}
		}
		answer := ViewResponse{Authoritative: true, Version: v.version, ProofAge: f.now() - f.verified}
		changed := v.changed
		if v.version != r.After {
			answer.Objects = slices.Collect(maps.Values(v.objects))
		}
		f.mu.Unlock()
		if answer.Version != r.After || r.Wait == 0 {
			return answer
		}
		answer.Unchanged = true
		select {
		case <-changed:
		case <-wait.C:
			return answer
		case <-ctx.Done():
			return ViewResponse{}
		}
	}
}

// follows reports whether this VM's view of a kind may be relayed; f.mu is held.
func (f *Follower) follows(kind objectapi.Kind, v *storeView) bool {
	if kind == f.source.ConfigKind {
		return f.proved
	}
	return f.loaded[kind] && f.available && !v.relayed
}

var errNotFollowed = errors.New("the other VM does not follow the store")

// relayed returns the VM to follow, unless it has failed a short while ago.
func (f *Follower) relayed() (ident.VMName, bool) {
	f.mu.Lock()
	trusted := f.now() >= f.mistrustUntil
	f.mu.Unlock()
	from, ok := f.relay()
	return from, ok && trusted
}

// mistrust turns this VM to the store for a while.
func (f *Follower) mistrust() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mistrustUntil = f.now() + firstRelist
}

// followRelay follows a kind over another VM until that fails, or until another VM's
// view differs.
func (f *Follower) followRelay(ctx context.Context, kind objectapi.Kind, replace func([]objectapi.Object)) {
	from, ok := f.relayed()
	relist, cancel := f.untilRelist(ctx, kind)
	defer cancel()
	var version objectapi.Version
	for ok && relist.Err() == nil {
		view, err := f.askRelay(relist, from, ViewRequest{Kind: kind, After: version, Wait: viewWait})
		if err != nil {
			f.log.Debug().Err(err).Str("peer", string(from)).Str("kind", string(kind)).Msg("view not relayed")
			f.mistrust()
			return
		}
		if !view.Unchanged {
			f.takeView(kind, view, replace)
			version = view.Version
		}
		var now ident.VMName
		now, ok = f.relayed()
		ok = ok && now == from
	}
}

func (f *Follower) askRelay(ctx context.Context, from ident.VMName, r ViewRequest) (ViewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, viewWait+viewTimeout)
	defer cancel()
	view, err := f.ask(ctx, from, r)
	if err == nil && !view.Authoritative {
		err = errNotFollowed
	}
	return view, err
}

func (f *Follower) takeView(kind objectapi.Kind, view ViewResponse, replace func([]objectapi.Object)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeList(kind, view.Objects, replace)
	f.views[kind].relayed = true
}
