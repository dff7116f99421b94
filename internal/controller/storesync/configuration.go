package storesync

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// ObserveProof records the proof of another VM, which responded to a request sent at
// sentAt with the version of its configuration and the age of its proof. If a VM of this
// zone reports a newer version, it is read from that VM immediately. If a VM of another
// zone does, the VM that follows the store for this zone reads it from the store, and the
// others wait up to Times.Apply/zoneWaitDivisor for a VM of their zone to report it.
func (f *Follower) ObserveProof(sentAt time.Duration, from ident.VMName, sameZone bool, version ident.ConfigurationVersion, age time.Duration) {
	_, relayed := f.relay()
	f.mu.Lock()
	newer := version > f.configuration.Version()
	f.configuration.Observe(version, instant.Reported(sentAt, age))
	readNow := false
	switch {
	case !newer:
	case sameZone:
		f.newerFrom, f.readNewerAt, readNow = from, instant.At(f.now()), true
	case !relayed:
		f.readNewerAt, readNow = instant.At(f.now()), true
	case !f.readNewerAt.Known():
		f.readNewerAt = instant.At(f.now() + f.times.Apply/zoneWaitDivisor)
	}
	f.mu.Unlock()
	if readNow {
		select {
		case f.configWake <- struct{}{}:
		default:
		}
	}
}

// followConfiguration reads the configuration whenever its proof becomes old or another
// VM reports a newer version.
func (f *Follower) followConfiguration(ctx context.Context) {
	if from, ok := f.relay(); ok {
		f.mu.Lock()
		f.newerFrom = from
		f.mu.Unlock()
	}
	ticker := time.NewTicker(pollResolution)
	defer ticker.Stop()
	retry, next := time.Duration(0), time.Duration(0)
	for {
		switch due := f.readDue(); {
		case due && f.readNewer(ctx):
		case due && f.now() >= next:
			if f.readConfiguration(ctx) {
				retry = 0
			} else {
				retry = f.nextRetryDelay(retry)
				next = f.now() + retry
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.configWake:
		}
	}
}

// nextRetryDelay returns the delay after a failed call; last is that after the call before, or
// zero if that succeeded.
func (f *Follower) nextRetryDelay(last time.Duration) time.Duration {
	if _, relayed := f.relay(); relayed {
		return min(max(2*last, minRelayedRetryDelay), maxRelayedRetryDelay)
	}
	return min(max(2*last, minRetryDelay), maxRetryDelay)
}

// readDue reports whether the configuration must be read now. Later VMs in the hash order
// wait for an older proof, so that the first one usually reads on behalf of all.
func (f *Follower) readDue() bool {
	_, age, ok := f.Proof()
	f.mu.Lock()
	newer := f.readNewerAt.ReachedAt(f.now())
	f.mu.Unlock()
	interval := f.times.Apply / pollDivisor
	if !ok || newer || age < interval {
		return !ok || newer
	}
	if rank := f.rank(); rank > 0 {
		interval += interval/2 + interval/4*time.Duration(min(rank, 4)-1)
	}
	return age >= interval
}

// readNewer reads the configuration from the VM of this zone that has reported a newer
// version, if any.
func (f *Follower) readNewer(ctx context.Context) bool {
	f.mu.Lock()
	from := f.newerFrom
	f.newerFrom = ""
	f.mu.Unlock()
	if from == "" {
		return false
	}
	sentAt := f.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	view, err := f.requestView(ctx, from, ViewRequest{Kind: f.source.ConfigKind, Wait: viewLoadWait})
	if err != nil || len(view.Objects) != 1 {
		f.log.Debug().Err(err).Str("peer", string(from)).Msg("reading configuration from peer failed")
		return false
	}
	return f.applyConfiguration(view.Objects[0], view.provedAt(sentAt), string(from))
}

// readConfiguration reads the configuration from the store.
func (f *Follower) readConfiguration(ctx context.Context) bool {
	sentAt := f.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := f.source.Store.Get(ctx, f.source.ConfigKind, f.source.ConfigName)
	f.recordCall(err)
	if err != nil {
		return false
	}
	f.mu.Lock()
	f.observeEra(o.Version.Era(), 0)
	provedAt := instant.Never
	if f.isConfigurationTrusted(o) {
		provedAt = instant.At(sentAt)
	}
	f.mu.Unlock()
	return f.applyConfiguration(o, provedAt, sourceStore)
}

// applyConfiguration decodes a configuration, puts it in force and reports whether it is
// current. provedAt is the time as of which the read proves it current, Never if it proves
// nothing; source says where it was read.
func (f *Follower) applyConfiguration(o objectapi.Object, provedAt instant.Instant, source string) bool {
	decoded, err := f.source.DecodeCatalog(o)
	if err != nil {
		f.log.Error().Err(err).Uint64("revision", uint64(o.Version)).Msg("configuration rejected")
		return false
	}
	return f.installCatalog(decoded, o, provedAt, source)
}

// installCatalog puts a configuration in force unless a newer one is known, and reports
// whether it is the current one.
func (f *Follower) installCatalog(c *catalog.Catalog, o objectapi.Object, provedAt instant.Instant, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readNewerAt = instant.Never
	older, changed := f.configuration.Install(c.Version, provedAt)
	if older {
		f.log.Warn().Uint64("version", uint64(c.Version)).Uint64("in_force", uint64(f.configuration.Version())).Msg("older configuration ignored")
		return false
	}
	if !changed && f.catalog != nil {
		return provedAt.Known()
	}
	f.catalog = c
	f.views[f.source.ConfigKind].replace([]objectapi.Object{o}, o.Version)
	line := f.log.Info().Uint64("version", uint64(c.Version)).Int("routes", len(c.Routes)).Int("organisations", len(c.Organisations)).Str("source", source)
	if age, proved := provedAt.Age(f.now()); proved {
		line.Dur("proof_age_ms", age)
	}
	line.Msg("configuration in force")
	for _, err := range c.Rejected {
		f.onInvalid()
		f.log.Error().Err(err).Uint64("version", uint64(c.Version)).Msg("entry of the configuration rejected")
	}
	f.publish()
	return provedAt.Known()
}
