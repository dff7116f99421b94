// Package service assembles a VM that finds its configuration, its upstreams and
// the other VMs in a platform's store.
package service

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/following"
	"github.com/rosemarywall/rosemarywall/internal/controller/limits"
	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/steering"
	"github.com/rosemarywall/rosemarywall/internal/controller/takeover"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/servicemetrics"
	"github.com/rosemarywall/rosemarywall/internal/version"
)

// Store is the platform's metadata store.
type Store interface {
	following.Store
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
	Delete(ctx context.Context, kind objectapi.Kind, name string, ifVersion objectapi.Version) error
}

// Adapter connects a VM with its platform.
type Adapter struct {
	Source   following.Source
	Store    Store
	Promoter takeover.Promoter
	Dial     execution.Dial
	NewCodec proxy.NewCodec
	// NewReady returns the server of the platform's ready probe.
	NewReady func(ready func() (bool, string)) *http.Server
	Metrics  *servicemetrics.Metrics
	// MetricsAddress serves the metrics and the state dump; empty serves none.
	MetricsAddress string
	// LogOverflow returns the number of log lines that were dropped.
	LogOverflow func() int64
}

// successesPerSecond bounds the log lines of successful statements; the metrics
// count all of them.
const successesPerSecond = 5

// missedRegistrations is the number of registrations after which the platform takes
// an upstream for gone.
const missedRegistrations = 3

// returnTime is the time after an outage of the store within which upstreams that
// live have registered again; the platform states about two seconds.
const returnTime = 2500 * time.Millisecond

// VM is a running VM.
type VM struct {
	settings Settings
	adapter  Adapter
	log      zerolog.Logger
	// successLog samples, because the lines of all successes cost more than a
	// twentieth of the processor time.
	successLog zerolog.Logger
	clock      *clock.Clock
	self       relay.Identity

	follower *following.Follower
	peers    *peers.Peers
	router   *steering.Router
	limits   *limits.Controller
	takeover *takeover.Controller
	local    *execution.Local
	server   *proxy.Server
	relay    *relay.Server
	ready    *http.Server
	metrics  *http.Server
	remote   remoteTransactions

	grace        atomic.Int64 // time from SIGTERM to SIGKILL, in ns
	leaving      atomic.Bool
	transactions atomic.Uint64
	listeners    []net.Listener
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// Start starts a VM. It is ready once the configuration and the upstreams are known.
func Start(settings Settings, adapter Adapter, log zerolog.Logger) (*VM, error) {
	v := &VM{
		settings: settings, adapter: adapter, log: log, clock: clock.NewBoot(), remote: newRemoteTransactions(),
		successLog: log.Sample(&zerolog.BurstSampler{Burst: successesPerSecond, Period: time.Second}),
	}
	v.self = relay.Identity{
		Version: relay.ProtocolVersion, VM: settings.VM, Incarnation: ident.Incarnation(time.Now().UnixNano()),
		Zone: settings.Zone, Region: settings.Region, Address: net.JoinHostPort(settings.IP, strconv.Itoa(int(settings.FirstPort))),
	}
	v.grace.Store(int64(settings.Bounds.Grace))
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.assemble()
	if err := v.listen(ctx); err != nil {
		v.Close()
		return nil, err
	}
	v.run(ctx, "store", v.follower.Run)
	v.run(ctx, "peers", v.peers.Run)
	v.run(ctx, "limits", v.limits.Run)
	v.run(ctx, "pools", v.keepPools)
	v.run(ctx, "takeover", v.takeover.Run)
	log.Info().Str("callers", settings.Callers).Str("relay", v.self.Address).Str("metrics", adapter.MetricsAddress).
		Str("zone", string(settings.Zone)).Uint64("incarnation", uint64(v.self.Incarnation)).Str("build", version.Version).Msg("started")
	return v, nil
}

func (v *VM) run(ctx context.Context, _ string, f func(context.Context)) {
	v.running.Go(func() { f(ctx) })
}

func (v *VM) assemble() {
	s, now := v.settings, v.clock.Now
	place := placement.VM{Name: s.VM, Zone: s.Zone, Region: s.Region}
	v.local = execution.NewLocal(v.adapter.Dial, now)
	v.peers = peers.New(peers.Config{
		Self: v.self, Store: v.adapter.Store, ProbeInterval: s.Bounds.Apply / probeShare, Now: now, Log: v.log, Dial: dialPeer,
		OnPulse: func(askedAt time.Duration, _ ident.VMName, p peers.Pulse) {
			v.limits.Hint(askedAt, p.PartsVersion, p.PartsAge)
			v.follower.RelayedDigest(p.Digest)
			if p.Proved {
				v.follower.Relayed(askedAt, p.Version, p.ProofAge)
			}
		},
		OnChange: func() {},
	})
	v.follower = following.New(following.Options{
		Source: v.adapter.Source, Now: now, Log: v.log, Rank: v.rank,
		Times: following.Times{Apply: s.Bounds.Apply, Revoke: s.Bounds.Revoke, Return: returnTime},
	})
	v.router = steering.New(steering.Config{
		Self: place, Regions: s.Regions, State: v.follower.State, Live: v.peers.Live, Local: v.local,
		Remote: func(name ident.VMName) execution.Executor { return v.peers.Remote(name) },
		Now:    now, Drain: s.Bounds.Drain, Evacuate: s.Bounds.Evacuate,
		OnPrimary: func(t execution.Target, writes bool, result execution.Result) { v.takeover.Observe(t, writes, result) },
		OnReplica: func(t execution.Target, result execution.Result) { v.takeover.ObserveReplica(t, result) },
	})
	v.takeover = takeover.New(takeover.Config{
		Self: s.VM, Zone: s.Zone, Store: v.adapter.Store, Promoter: v.adapter.Promoter, Dial: v.adapter.Dial,
		State: v.follower.State, Settled: v.follower.Settled, Live: v.peers.Live,
		HolderTime: s.Bounds.Lease, MissingFor: missedRegistrations * s.RegistrationInterval, Confirm: v.confirmSilent, Now: now, Log: v.log, Unique: v.unique,
	})
	v.limits = limits.New(limits.Config{
		Self: v.self, Peers: v.peers, Store: v.adapter.Store, State: v.follower.State, Live: v.peers.Live,
		Address: v.peers.Address, Unique: v.unique, Excess: s.Bounds.Excess, Now: now, Log: v.log,
		FirstID: uint64(v.self.Incarnation) >> 8,
	})
	v.server = proxy.NewServer(&proxy.Services{
		Authoriser: v, Limiter: v.limits, Router: v.router, Now: now, NewTransaction: v.unique,
	}, v.adapter.NewCodec, v.log, v.observe)
	v.relay = relay.NewServer(v)
	v.ready = v.adapter.NewReady(v.Ready)
	v.metrics = v.newMetricsServer()
}

// probeShare is the part of the time to apply a configuration between two probes of
// a VM, so that a change spreads within a fraction of the bound.
const probeShare = 6

// rank returns this VM's place among the live ones in an order by hash.
func (v *VM) rank() int {
	for i, vm := range placement.Rank(v.peers.Live(), "configuration") {
		if vm.Name == v.settings.VM {
			return i
		}
	}
	return 0
}

// unique returns a text that no other life of any VM has used.
func (v *VM) unique() string {
	return fmt.Sprintf("%s-%d-%d", v.self.VM, v.self.Incarnation, v.transactions.Add(1))
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
		v.running.Go(func() {
			err := l.serve(listener)
			if err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				v.log.Error().Err(err).Str("address", l.address).Msg("listener failed")
			}
		})
	}
	return nil
}

// Ready reports whether new callers are welcome, and why not.
func (v *VM) Ready() (bool, string) {
	if v.leaving.Load() {
		return false, "stopping"
	}
	return v.follower.Ready()
}

// Authorise implements proxy.Authoriser.
func (v *VM) Authorise(database string, key catalog.KeyHash) (proxy.Grant, error) {
	state := v.follower.State()
	c := state.Catalog
	route, ok := c.Routes[database]
	_, age, _ := v.follower.Proof()
	refused := proxy.Grant{Version: c.Version, ProofAge: age}
	if c.Version == 0 || (!v.follower.Fresh() && !(ok && route.Public)) {
		return refused, resultcode.New(resultcode.ConfigurationNotFresh, "the configuration is not proved current")
	}
	if !ok {
		return refused, resultcode.New(resultcode.UnknownDatabase, "no such database")
	}
	organisation, known := c.Organisation(key)
	if !known && !route.Public {
		return refused, resultcode.New(resultcode.KeyRejected, "key is not accepted")
	}
	return proxy.Grant{
		Version: c.Version, ProofAge: age, Route: route, Organisation: organisation, Group: c.Groups[route.Group],
		IdleTransaction: c.IdleTransaction,
	}, nil
}

// poolInterval is the time between looks at connections of upstreams that have gone.
const poolInterval = 2 * time.Second

// keepPools closes the connections to upstreams that are not in use any more.
func (v *VM) keepPools(ctx context.Context) {
	ticker := time.NewTicker(poolInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			v.local.Retain(v.limitOf)
		}
	}
}

// limitOf returns the connections that this VM may keep to an upstream.
func (v *VM) limitOf(t execution.Target) (int, bool) {
	state := v.follower.State()
	for _, u := range state.Upstreams[t.Group] {
		if u.Name == t.Upstream && u.Address == t.Address {
			near := placement.Near(v.peers.Live(), u.Zone, v.settings.Regions[u.Zone])
			if !slices.ContainsFunc(near, func(vm placement.VM) bool { return vm.Name == v.settings.VM }) {
				return 0, true // idle connections are those of the VMs near the upstream
			}
			return placement.Connections(state.Catalog.Groups[t.Group].MaxConnections, len(near)), true
		}
	}
	return 0, false
}

// Answer implements relay.Handler.
func (v *VM) Answer(ctx context.Context, from relay.Caller, kind relay.Kind, body cbor.RawMessage) any {
	switch kind {
	case peers.KindProbe:
		v.peers.Meet(from.Identity)
		return v.pulse()
	case peers.KindExecute:
		var r execution.Request
		if v.decode(from, body, &r) {
			return v.executeFor(ctx, from, r)
		}
	case peers.KindAbandon:
		var a peers.AbandonRequest
		if v.decode(from, body, &a) {
			v.remote.ended(from.Connection, a.Transaction)
			v.local.Abandon(a.Target, a.Transaction)
			return true
		}
	case peers.KindReach:
		var target execution.Target
		if v.decode(from, body, &target) {
			return v.takeover.Reachable(ctx, target)
		}
	case peers.KindBorrow:
		var ask shares.AskMessage
		if v.decode(from, body, &ask) {
			return v.limits.Lend(from.Identity, ask)
		}
	}
	return nil
}

func (v *VM) decode(from relay.Caller, body cbor.RawMessage, into any) bool {
	err := relay.Decode(body, into)
	if err != nil {
		v.log.Warn().Err(err).Str("peer", string(from.VM)).Msg("message of a peer ignored")
	}
	return err == nil
}

func (v *VM) pulse() peers.Pulse {
	version, age, proved := v.follower.Proof()
	table, tableAge := v.limits.Reading()
	return peers.Pulse{Version: version, ProofAge: age, Proved: proved, Leaving: v.leaving.Load(),
		Incarnation: v.self.Incarnation, PartsVersion: table, PartsAge: tableAge, Digest: v.follower.Digest()}
}

// executeFor executes a statement for another VM.
func (v *VM) executeFor(ctx context.Context, from relay.Caller, r execution.Request) execution.Result {
	if r.Mode != execution.Continue && v.leaving.Load() {
		return execution.Result{Outcome: execution.NotRun, Reason: execution.Stopping}
	}
	if r.Mode == execution.Open {
		v.remote.opened(from.Connection, r.Transaction, r.Target)
	}
	result := v.local.Execute(ctx, r)
	v.executed(from.VM, r, result)
	if r.Transaction != "" && !result.Open {
		v.remote.ended(from.Connection, r.Transaction)
	}
	return result
}

const (
	// confirmers is the number of VMs that are asked whether they reach a primary.
	confirmers = 3
	// confirmTimeout bounds their answers; a VM that does not answer confirms nothing
	// and denies nothing.
	confirmTimeout = 800 * time.Millisecond
)

// confirmSilent asks other VMs, those of other zones first, and reports whether none
// of them reaches the upstream.
func (v *VM) confirmSilent(ctx context.Context, target execution.Target) bool {
	var others []placement.VM
	for _, vm := range placement.Rank(v.peers.Live(), string(target.Upstream)) {
		if vm.Zone != v.settings.Zone {
			others = append(others, vm)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answers := make(chan bool, confirmers)
	asked := others[:min(confirmers, len(others))]
	for _, vm := range asked {
		go func() {
			var reached bool
			err := v.peers.Ask(ctx, vm.Name, peers.KindReach, target, &reached)
			answers <- err == nil && reached
		}()
	}
	silent := true
	for range asked {
		if <-answers {
			silent = false
		}
	}
	return silent
}

// Closed implements relay.Handler: the transactions that a VM has opened here are
// rolled back when its connection ends.
func (v *VM) Closed(from relay.Caller) {
	for transaction, target := range v.remote.close(from.Connection) {
		v.local.Abandon(target, transaction)
	}
}

// Reload compares new settings with those in use. The bounds of planned stops apply
// at once; it returns the names of the other settings that differ, which apply at
// the next start.
func (v *VM) Reload(s Settings) (restartNeeded []string) {
	v.grace.Store(int64(s.Bounds.Grace))
	applied := s
	applied.Bounds.Grace = v.settings.Bounds.Grace
	old, changed := reflect.ValueOf(v.settings), reflect.ValueOf(applied)
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), changed.Field(i).Interface()) {
			restartNeeded = append(restartNeeded, old.Type().Field(i).Name)
		}
	}
	return restartNeeded
}

// Stop drains the VM within its grace time.
func (v *VM) Stop() {
	v.leaving.Store(true)
	v.log.Info().Msg("stopping")
	v.peers.Leave()
	v.local.Retire()
	grace := time.Duration(v.grace.Load())
	time.Sleep(min(rotationTime, grace/3))
	v.server.Stop()
	time.Sleep(max(0, grace/2-min(rotationTime, grace/3)))
	v.server.Force()
	deadline := time.Now().Add(grace/2 - stopReserve)
	for v.server.Callers() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
	cut := v.server.Callers()
	v.Close()
	v.log.Info().Int("callers_cut", cut).Msg("stopped")
}

const (
	// rotationTime is the time after which the platform, which asks for readiness every
	// second and acts on the second miss, sends no new callers.
	rotationTime = 2200 * time.Millisecond
	// stopReserve is left of the grace time for the end of the process.
	stopReserve = 700 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
)

// Close ends the VM at once.
func (v *VM) Close() {
	v.cancel()
	v.local.Retire()
	v.relay.Close()
	_ = v.ready.Close()
	_ = v.metrics.Close()
	for _, l := range v.listeners {
		_ = l.Close()
	}
}

// peerDialTimeout bounds the opening of a connection to another VM.
const peerDialTimeout = time.Second

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: peerDialTimeout}
	return d.DialContext(ctx, "tcp4", address)
}
