package storesync

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
)

// After an outage the store may come back from a copy that is some seconds old, which
// begins a new era: changes that it has acknowledged are lost, and their revisions are given
// out again. Operators and upstreams write again what they wrote. Until Times.Reregister has
// passed, this VM therefore keeps what it knows of the former era where the copy holds
// something older, and the store's contents prove nothing. Changes that a watch reports in
// the new era are certainly new and apply at once.

// observeEra records the era that a response of the store or of another VM has named, and
// the time for which the other VM does not trust it yet; f.mu must be held.
func (f *Follower) observeEra(era uint64, unsettled time.Duration) {
	restored := f.eraKnown && era > f.era
	if restored {
		unsettled = max(unsettled, f.times.Reregister)
		f.lastFailureAt = instant.At(f.now())
		f.log.Warn().Uint64("era", era).Uint64("former_era", f.era).Dur("untrusted_for_ms", unsettled).Msg("store came back from an older copy")
	}
	if era < f.era {
		return
	}
	f.era, f.eraKnown = era, true
	if unsettled <= 0 || !f.viewProofs.DistrustUntil(instant.At(f.now()+unsettled)) {
		return
	}
	if restored {
		f.requestLists()
		f.onRestore()
		time.AfterFunc(unsettled, func() { recovery.Run(f.log, "apply restored contents", f.applyRestored) })
	}
}

// observeView records the version of a list or of a relayed view; f.mu must be held.
func (f *Follower) observeView(version objectapi.Version) {
	f.observeEra(version.Era(), 0)
	if f.copyVersion.Era() < version.Era() || version < f.copyVersion {
		f.copyVersion = version
	}
}

// configurationRewriteTime is the time after the return of the store within which operators
// write a lost configuration again. It is shorter than that of the upstreams, because keys
// are refused once the last proof of the configuration is too old.
const configurationRewriteTime = time.Second

// isConfigurationTrusted reports whether a configuration that was read from the store proves
// that no later one was acknowledged; f.mu must be held.
func (f *Follower) isConfigurationTrusted(o objectapi.Object) bool {
	return !f.mayBeCopy(o) || f.viewProofs.SettledAt().Add(configurationRewriteTime-f.times.Reregister).ReachedAt(f.now())
}

// mayBeCopy reports whether an object may belong to the older copy from which the store
// came back, and the changes of the former era are not written again yet; f.mu must be held.
func (f *Follower) mayBeCopy(o objectapi.Object) bool {
	written := o.Version.Era() == f.copyVersion.Era() && o.Version > f.copyVersion
	return f.viewProofs.SettledAt().PendingAt(f.now()) && !written
}

// isOlderCopy reports whether an object may belong to the older copy and this VM knows a
// later revision of it, or a later removal; f.mu must be held.
func (f *Follower) isOlderCopy(o objectapi.Object, known objectapi.Version, removed bool) bool {
	if !f.mayBeCopy(o) || o.Version.Era() <= known.Era() {
		return false
	}
	return o.Version.Revision() < known.Revision() || removed && o.Version.Revision() == known.Revision()
}

// requestLists requests full lists of the registrations and the evacuations.
func (f *Follower) requestLists() {
	for _, c := range f.relist {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// applyRestored applies the contents of the store that the VM has kept back, once the
// changes of the former era have been written again.
func (f *Follower) applyRestored() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.viewProofs.SettledAt().PendingAt(f.now()) {
		return // a later era began
	}
	for kind, replace := range map[objectapi.Kind]func([]objectapi.Object, origin){
		f.source.UpstreamsKind: f.replaceUpstreams, f.source.EvacuationsKind: f.replaceEvacuations,
	} {
		if v := f.views[kind]; f.viewVersion[kind].Era() == f.era {
			replace(v.list(), origin{source: sourceList, version: f.viewVersion[kind]})
		}
	}
	f.publish()
}
