package storesync

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// ObserveProof takes the proof of another VM, which was asked at askedAt and answered
// with the age of its proof. A newer version is read at once from a VM of this zone,
// and from the store by the VM that reads for the zone; the others wait a while for
// the former.
func (f *Follower) ObserveProof(askedAt time.Duration, from ident.VMName, sameZone bool, version ident.ConfigurationVersion, age time.Duration) {
	_, relayed := f.relay()
	f.mu.Lock()
	newer := f.catalog == nil || version > f.catalog.Version
	if !newer && f.proved && version == f.catalog.Version && askedAt-age > f.verified {
		f.verified = askedAt - age
	}
	hurry := false
	switch {
	case !newer:
	case sameZone:
		f.newerFrom, f.readAt, hurry = from, f.now(), true
	case !relayed:
		f.readAt, hurry = f.now(), true
	case f.readAt == 0:
		f.readAt = f.now() + f.times.Apply/zoneShare
	}
	f.mu.Unlock()
	if hurry {
		select {
		case f.hurry <- struct{}{}:
		default:
		}
	}
}

// followConfiguration reads the configuration when its proof grows old or another VM
// knows a newer one.
func (f *Follower) followConfiguration(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	retry, next := firstRetry, time.Duration(0)
	for {
		switch due := f.due(); {
		case due && f.readNewer(ctx):
		case due && f.now() >= next:
			if f.readConfiguration(ctx) {
				retry = firstRetry
			} else {
				next = f.now() + retry
				retry = f.nextRetry(retry)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.hurry:
		}
	}
}

// nextRetry returns the pause after the next failed call.
func (f *Follower) nextRetry(retry time.Duration) time.Duration {
	if _, relayed := f.relay(); relayed {
		return min(2*retry, relayedRetry)
	}
	return min(2*retry, lastRetry)
}

func (f *Follower) due() bool {
	_, age, ok := f.Proof()
	f.mu.Lock()
	newer := f.readAt > 0 && f.now() >= f.readAt
	f.mu.Unlock()
	interval := f.times.Apply / pollShare
	if !ok || newer || age < interval {
		return !ok || newer
	}
	if rank := f.rank(); rank > 0 {
		interval += interval/2 + interval/4*time.Duration(min(rank, 4)-1)
	}
	return age >= interval
}

// readNewer reads the configuration from the VM of this zone that has reported a
// newer one.
func (f *Follower) readNewer(ctx context.Context) bool {
	f.mu.Lock()
	from := f.newerFrom
	f.newerFrom = ""
	f.mu.Unlock()
	if from == "" {
		return false
	}
	askedAt := f.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	view, err := f.ask(ctx, from, ViewRequest{Kind: f.source.ConfigKind})
	if err != nil || len(view.Objects) != 1 {
		f.log.Debug().Err(err).Str("peer", string(from)).Msg("configuration not relayed")
		return false
	}
	return f.takeConfiguration(view.Objects[0], askedAt-view.ProofAge)
}

// readConfiguration reads the configuration from the store.
func (f *Follower) readConfiguration(ctx context.Context) bool {
	sentAt := f.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := f.source.Store.Get(ctx, f.source.ConfigKind, f.source.ConfigName)
	f.noteCall(err)
	return err == nil && f.takeConfiguration(o, sentAt)
}

// takeConfiguration decodes a configuration that is proved to have been current at a
// time, and puts it in force.
func (f *Follower) takeConfiguration(o objectapi.Object, provedAt time.Duration) bool {
	decoded, err := f.source.DecodeCatalog(o)
	if err != nil {
		f.log.Error().Err(err).Uint64("revision", uint64(o.Version)).Msg("configuration rejected")
		return false
	}
	f.install(decoded, o, provedAt)
	return true
}

// install puts a configuration in force unless a newer one is known.
func (f *Follower) install(c *catalog.Catalog, o objectapi.Object, provedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = 0
	if f.catalog != nil && c.Version < f.catalog.Version {
		f.log.Warn().Uint64("version", uint64(c.Version)).Uint64("in_force", uint64(f.catalog.Version)).Msg("older configuration ignored")
		return
	}
	changed := f.catalog == nil || c.Version > f.catalog.Version
	f.proved, f.verified = true, max(f.verified, provedAt)
	if !changed {
		return
	}
	f.catalog = c
	f.views[f.source.ConfigKind].replace([]objectapi.Object{o}, o.Version)
	f.log.Info().Uint64("version", uint64(c.Version)).Int("routes", len(c.Routes)).Int("organisations", len(c.Organisations)).Msg("configuration in force")
	f.publish()
}
