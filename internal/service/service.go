// Package service runs a VM that reads its configuration, its upstreams and the other
// VMs from the metadata store of a platform.
package service

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/limits"
	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/steering"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/controller/takeover"
	"github.com/rosemarywall/rosemarywall/internal/controller/usage"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/servicemetrics"
	"github.com/rosemarywall/rosemarywall/internal/version"
)

// Store is the platform's metadata store.
type Store interface {
	storesync.Store
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
	Delete(ctx context.Context, kind objectapi.Kind, name string, ifVersion objectapi.Version) error
}

// Adapter holds the platform-specific dependencies of a VM.
type Adapter struct {
	Source   storesync.Source
	Store    Store
	Promoter takeover.Promoter
	// UsageReporter may be nil if Settings.Usage is zero.
	UsageReporter usage.Reporter
	Dial          execution.Dial
	NewCodec      proxy.NewCodec
	// NewReadinessServer returns the server for the platform's readiness probe.
	NewReadinessServer func(ready func() (bool, string)) *http.Server
	Metrics            *servicemetrics.Metrics
	// DialPeer opens a connection to another VM; nil means TCP.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// WallClock returns the time of the VM's wall clock; nil means time.Now.
	WallClock func() time.Time
	// MetricsAddress is the address on which metrics and the state dump are served. If it
	// is empty they are not served.
	MetricsAddress string
	// DroppedLogLines returns the number of log lines dropped since the start.
	DroppedLogLines func() int64
}

// maxSuccessLinesPerSecond limits the log lines for successful statements. The metrics
// count every statement.
const maxSuccessLinesPerSecond = 5

// missedRegistrationLimit is the number of missed registrations after which the platform
// considers an upstream deregistered.
const missedRegistrationLimit = 3

// reregistrationTime is the time after an outage of the store within which live upstreams
// register again. The platform documents about two seconds.
const reregistrationTime = 2500 * time.Millisecond

// formerConnectionsEnd is the time after the start within which upstreams may still count the
// connections of former processes that lost power. The platform documents 3 s.
const formerConnectionsEnd = 3500 * time.Millisecond

// VM runs the proxy and the controllers of one VM.
type VM struct {
	settings Settings
	adapter  Adapter
	log      zerolog.Logger
	// successLog is sampled, because logging every successful statement takes more than
	// 5 % of the processor time.
	successLog zerolog.Logger
	clock      *clock.Clock
	self       relay.Identity

	follower *storesync.Follower
	peers    *peers.Peers
	router   *steering.Router
	limits   *limits.Controller
	takeover *takeover.Controller
	usage    *usage.Controller // nil if usage is not reported
	local    *execution.Local
	server   *proxy.Server
	relay    *relay.Server
	ready    *http.Server
	metrics  *http.Server
	remote   remoteTransactions

	// started is closed once clients no longer wait for the start.
	started chan struct{}

	gracePeriod atomic.Int64              // time from SIGTERM to SIGKILL in nanoseconds
	order       atomic.Pointer[stopOrder] // nil before Stop
	// remoteStatements is the number of running statements of other VMs.
	remoteStatements atomic.Int64
	// lastRemoteStatement is when the last of them ended, on the process clock in nanoseconds.
	lastRemoteStatement atomic.Int64
	lastID              atomic.Uint64
	listeners           []net.Listener
	cancel              context.CancelFunc
	goroutines          sync.WaitGroup
}

// Start starts a VM. It becomes ready once it has read the configuration and the
// upstreams, see Ready.
func Start(settings Settings, adapter Adapter, log zerolog.Logger) (*VM, error) {
	v := &VM{
		settings: settings, adapter: adapter, log: log, clock: clock.NewBootTime(), remote: newRemoteTransactions(), started: make(chan struct{}),
		successLog: log.Sample(&zerolog.BurstSampler{Burst: maxSuccessLinesPerSecond, Period: time.Second}),
	}
	v.self = relay.Identity{
		Version: relay.ProtocolVersion, VM: settings.VM, Incarnation: ident.Incarnation(time.Now().UnixNano()),
		Zone: settings.Zone, Region: settings.Region, Cores: settings.Cores, Address: net.JoinHostPort(settings.IP, strconv.Itoa(int(settings.RelayPort))),
	}
	if v.adapter.DialPeer == nil {
		v.adapter.DialPeer = dialPeer
	}
	if v.adapter.WallClock == nil {
		v.adapter.WallClock = time.Now
	}
	v.gracePeriod.Store(int64(settings.Bounds.GracePeriod))
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.assemble()
	if err := v.listen(ctx); err != nil {
		v.Close()
		return nil, err
	}
	v.goRun(ctx, "follower", v.follower.Run)
	v.goRun(ctx, "peers", v.peers.Run)
	v.goroutines.Go(func() { v.awaitFirstConfiguration(ctx) })
	v.goRun(ctx, "limits", v.limits.Run)
	v.goRun(ctx, "connection limits", v.applyConnectionLimits)
	v.goRun(ctx, "takeover", v.takeover.Run)
	v.goRun(ctx, "positions", v.router.FollowPositions)
	if v.usage != nil {
		v.goRun(ctx, "usage", v.usage.Run)
	}
	log.Info().Str("callers", settings.Callers).Str("relay", v.self.Address).Str("metrics", adapter.MetricsAddress).
		Str("zone", string(settings.Zone)).Uint64("incarnation", uint64(v.self.Incarnation)).Str("build", version.Version).Msg("started")
	return v, nil
}

func (v *VM) goRun(ctx context.Context, task string, f func(context.Context)) {
	v.goroutines.Go(func() { recovery.Loop(ctx, v.log, task, f) })
}

func (v *VM) assemble() {
	s, now := v.settings, v.clock.Now
	self := placement.VM{Name: s.VM, Zone: s.Zone, Region: s.Region}
	v.local = execution.NewLocal(v.dialForStatements, now)
	v.local.LimitConnectionsUntil(formerConnectionsEnd)
	v.peers = peers.New(peers.Config{
		Self: v.self, Store: v.adapter.Store, ProbeInterval: min(s.Bounds.ApplyTimeout/probesPerApplyTimeout, maxProbeInterval), Now: now, Log: v.log, Dial: v.adapter.DialPeer,
		Relay: v.storeRelayVM, OnRejected: v.observeRejectedMessage,
		OnProbeResponse: func(sentAt time.Duration, from placement.VM, p peers.ProbeResponse) {
			v.router.ObserveRoundTrip(from.Zone, v.clock.Now()-sentAt)
			v.limits.ObservePeerVersion(sentAt, p.ShareTableVersion, p.ShareTableAge)
			v.follower.ObserveView(sentAt, p.View)
			v.observeUsageProbe(sentAt, from, p)
			if p.Proved {
				v.follower.ObserveProof(sentAt, from.Name, from.Zone == s.Zone, p.Version, p.ProofAge)
			}
		},
	})
	v.follower = storesync.New(storesync.Options{
		Source: v.adapter.Source, Now: now, Log: v.log, Rank: v.configurationRank, Relay: v.storeRelayVM, RelayPending: v.peers.Settling, RequestView: v.requestView, OnRestore: v.peers.RestoreRegistration,
		OnInvalid: v.adapter.Metrics.CountInvalidEntry,
		Times:     storesync.Times{Apply: s.Bounds.ApplyTimeout, Revoke: s.Bounds.RevocationTimeout, Drain: s.Bounds.DrainTimeout, Evacuate: s.Bounds.EvacuationTimeout, Reregister: reregistrationTime},
	})
	v.router = steering.New(steering.Config{
		Self: self, Regions: s.Regions, Snapshot: v.follower.Snapshot, Hubs: v.peers.Hubs, FleetSize: v.peers.FleetSize,
		Local:  v.local,
		Remote: func(name ident.VMName) execution.Executor { return v.peers.Executor(name) },
		Now:    now,
		OnPrimaryResult: func(t execution.Target, writes bool, result execution.Result) {
			v.takeover.ObservePrimary(t, writes, result)
		},
		OnReplicaResult: func(t execution.Target, result execution.Result) { v.takeover.ObserveReplica(t, result) },
		Relay:           v.storeRelayVM, RequestPositions: v.requestPositions, Seed: uint64(v.self.Incarnation), Log: v.log,
	})
	v.takeover = takeover.New(takeover.Config{
		Self: s.VM, Zone: s.Zone, Store: v.adapter.Store, Promoter: v.adapter.Promoter, Dial: v.dialForTakeover,
		Snapshot: v.follower.Snapshot, RegistrationsComplete: v.follower.RegistrationsComplete, Hubs: v.peers.Hubs,
		MinHolderInterval: s.Bounds.MinHolderInterval, MissingPrimaryDelay: missedRegistrationLimit * s.RegistrationInterval, Confirm: v.confirmUnresponsive, UnreachableInZone: v.unreachableInZone, Notify: v.notifySuspicion, Now: now, Log: v.log, UniqueID: v.newUniqueID,
	})
	v.limits = limits.New(limits.Config{
		Self: v.self, Peers: v.peers, Store: v.adapter.Store, Snapshot: v.follower.Snapshot,
		Holders: v.peers.RateHolders,
		Address: v.peers.Address, ProbeVMs: v.peers.SetExtraProbeTargets, NewWriterID: v.newUniqueID, AllowedExcess: s.Bounds.AllowedExcess, Now: now, Log: v.log,
		FirstTransferID: uint64(v.self.Incarnation) >> 8,
	})
	v.assembleUsage()
	v.server = proxy.NewServer(&proxy.Services{
		Admission: v, Authoriser: v, Limiter: v.limits, Router: v.router, Now: now, NewTransactionID: v.newUniqueID, Started: v.started,
	}, v.adapter.NewCodec, v.log, v.observeStatement)
	v.relay = relay.NewServer(v, v.log)
	v.relay.OnRejected = v.observeRejectedMessage
	v.ready = v.adapter.NewReadinessServer(v.Ready)
	v.metrics = v.newMetricsServer()
}

const (
	// probesPerApplyTimeout divides Bounds.ApplyTimeout to give the probe interval, so
	// that a configuration spreads within a fraction of that time.
	probesPerApplyTimeout = 6
	// maxProbeInterval limits the probe interval, so that a failed VM is detected quickly
	// also if Bounds.ApplyTimeout is long.
	maxProbeInterval = time.Second
)

// configurationRank returns the rank of this VM, by hash, among the hubs that read the
// configuration.
func (v *VM) configurationRank() int {
	return placement.RankOf(v.peers.Hubs(), "configuration", v.settings.VM)
}

// newUniqueID returns an identifier that is unique across all VMs and their incarnations.
func (v *VM) newUniqueID() string {
	return fmt.Sprintf("%s-%d-%d", v.self.VM, v.self.Incarnation, v.lastID.Add(1))
}

func (v *VM) listen(ctx context.Context) error {
	for _, l := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{v.settings.Callers, v.server.Serve}, {v.settings.Ready, v.ready.Serve}, {v.self.Address, v.relay.Serve},
		{v.adapter.MetricsAddress, v.metrics.Serve},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			return resultcode.Wrap(err, resultcode.SettingsInvalid, "cannot listen on %s", l.address)
		}
		v.listeners = append(v.listeners, listener)
		v.goroutines.Go(func() {
			err := l.serve(listener)
			if err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				v.log.Error().Err(err).Str("address", l.address).Msg("listener failed")
			}
		})
	}
	return nil
}

func (v *VM) stopping() bool { return v.order.Load() != nil }

// Ready reports whether the VM accepts new clients, and if not, the reason.
func (v *VM) Ready() (bool, string) {
	if v.stopping() {
		return false, "stopping"
	}
	if v.peers.Joining() {
		return false, "waiting for other VMs to register"
	}
	return v.follower.Ready()
}

// limitInterval is the interval at which connection limits are applied.
const limitInterval = 2 * time.Second

// applyConnectionLimits periodically closes the connections to upstreams that are no
// longer registered, and those above the limit of an upstream.
func (v *VM) applyConnectionLimits(ctx context.Context) {
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			v.local.ApplyLimits(v.connectionLimit)
		}
	}
}

// connectionLimit returns the number of connections that this VM may open to an upstream.
// The result is false if the upstream is not registered at that address.
func (v *VM) connectionLimit(t execution.Target) (int, bool) {
	state := v.follower.Snapshot()
	for _, u := range state.Upstreams[t.Group] {
		if u.Name == t.Upstream && u.Address == t.Address {
			// Only the hubs nearest to the upstream keep idle connections to it.
			nearest := placement.Nearest(v.peers.Hubs(), u.Zone, v.settings.Regions[u.Zone])
			return placement.ConnectionLimit(state.Catalog.Groups[t.Group].MaxConnections, nearest, v.settings.VM), true
		}
	}
	return 0, false
}

// peerDialTimeout limits the opening of a TCP connection to another VM.
const peerDialTimeout = time.Second

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: peerDialTimeout}
	return d.DialContext(ctx, "tcp4", address)
}
