package service

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/core/shareunits"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/httpserver"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/servicemetrics"
)

// slowThresholdDivisor divides the latency target to give the duration above which a
// statement is logged as slow. The target covers an operation of several statements.
const slowThresholdDivisor = 2

// codeOK is the metric label and log value of the code of a successful statement.
const codeOK = "ok"

// observeStatement logs and counts a completed statement or a refused client. Log lines
// contain neither keys nor data.
func (v *VM) observeStatement(r proxy.Record) {
	a, t := r.Response, r.Response.Trace
	code := codeOK
	if a.Err != nil {
		code = resultcode.Of(a.Err).String()
	}
	v.adapter.Metrics.ObserveStatement(code, t.Attempts, r.Duration)
	if t.Attempts > 0 && a.Err == nil {
		v.adapter.Metrics.CountUpstreamStatement(t.Primary)
	}
	if reason := framing.ReasonOf(a.Err); reason != "" {
		side := servicemetrics.FromClient
		if code == resultcode.AnswerIncomplete.String() {
			side = servicemetrics.ToClient
		}
		v.adapter.Metrics.CountRejectedMessage(side, reason)
		v.log.Warn().Uint64("connection", r.Connection).Str("database", r.Database).Bool("startup", r.Startup).
			Str("side", string(side)).Str("reason", string(reason)).Stringer("state", a.State).Msg("message rejected")
	}
	switch {
	case r.Startup:
		addTrace(v.log.Warn().Err(a.Err), r).Str("code", code).Msg("caller refused")
	case a.Err != nil:
		addTrace(v.log.Warn().Err(a.Err), r).Str("code", code).Msg("statement refused")
	case t.LatencyTarget > 0 && r.Duration > t.LatencyTarget/slowThresholdDivisor:
		addTrace(v.log.Warn(), r).Str("code", code).Msg("statement slow")
	case t.Attempts > 0: // without an attempt the session responded by itself; not logged
		addTrace(v.successLog.Info(), r).Str("code", code).Msg("statement answered")
	}
}

// observeRejectedMessage logs and counts a message between VMs that was invalid, or that was not
// sent because it would have been.
func (v *VM) observeRejectedMessage(peer ident.VMName, sent bool, err error) {
	side := servicemetrics.FromVM
	if sent {
		side = servicemetrics.ToVM
	}
	reason := framing.ReasonOf(err)
	v.adapter.Metrics.CountRejectedMessage(side, reason)
	v.log.Warn().Err(err).Str("peer", string(peer)).Str("side", string(side)).Str("reason", string(reason)).Msg("message rejected")
}

// addTrace adds the trace of the statement: the routing decision with its inputs, and the
// last result.
func addTrace(line *zerolog.Event, r proxy.Record) *zerolog.Event {
	t := r.Response.Trace
	line = line.Str("request", r.ID).Uint64("connection", r.Connection).Str("database", r.Database).Str("organisation", string(t.Organisation)).
		Str("kind", r.Kind.String()).Uint64("version", uint64(t.Version)).Dur("proof_age_ms", t.ProofAge).
		Dur("took_ms", r.Duration).Dur("target_ms", t.LatencyTarget).Int("attempts", t.Attempts)
	if t.Attempts == 0 {
		return line
	}
	return line.Str("group", string(t.Group)).Str("upstream", string(t.Upstream)).Bool("primary", t.Primary).
		Str("via", string(t.ExecutingVM)).Stringer("min_position", t.MinPosition).Stringer("position", t.LastResult.Position).
		Str("reason", t.LastResult.Reason.String()).Str("upstream_code", t.LastResult.Code.String())
}

// logFailedExecution logs a statement that this VM executed for another one without
// success. The requesting VM logs successful statements.
func (v *VM) logFailedExecution(from ident.VMName, r execution.Request, result execution.Result) {
	if result.Outcome == execution.Done {
		return
	}
	v.log.Warn().Str("request", r.ID).Str("peer", string(from)).Str("upstream", string(r.Target.Upstream)).
		Str("outcome", result.Outcome.String()).Str("reason", result.Reason.String()).
		Str("upstream_code", result.Code.String()).Str("detail", result.Detail).Msg("statement not executed")
}

// newMetricsServer returns the HTTP server of the metrics and the state dump.
func (v *VM) newMetricsServer() *http.Server {
	v.adapter.Metrics.RegisterGauges(servicemetrics.GaugeSources{
		Clients: v.server.Clients, AlivePeers: v.peers.AliveCount, UpstreamConnections: v.local.Connections,
		ProofAge: func() (time.Duration, bool) { _, age, ok := v.follower.Proof(); return age, ok },
		Version:  func() uint64 { return uint64(v.follower.Snapshot().Catalog.Version) },
		RateShare: func() float64 {
			own, _ := v.limits.ShareUnits()
			return float64(own) / shareunits.Total
		},
		DroppedLogLines: v.adapter.DroppedLogLines, Panics: recovery.Panics, Usage: v.usageStats(),
		Admission: v.local.AdmissionCounts,
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", v.adapter.Metrics.Handler())
	mux.HandleFunc("GET /debug/state", v.serveState)
	return httpserver.New(mux, metricsHeaderTimeout)
}

// metricsHeaderTimeout limits the reading of a request header by the metrics server.
const metricsHeaderTimeout = 2 * time.Second

// Dump is the state of a VM as shown to operators. It contains no keys.
type Dump struct {
	VM        string            `json:"vm"`
	Ready     bool              `json:"ready"`
	Reason    string            `json:"reason,omitempty"`
	Version   uint64            `json:"version"`
	ProofAge  time.Duration     `json:"proof_age_ns"`
	Hubs      []string          `json:"hubs"`
	Upstreams catalog.Upstreams `json:"upstreams"`
	// View tells when the upstreams and the evacuated zones were last proved current.
	View storesync.ViewProof `json:"view"`
	// EvacuatedZones holds the evacuated zones in order.
	EvacuatedZones []ident.AvailabilityZone `json:"evacuated_zones"`
	ShareUnits     shareunits.Table         `json:"rate_parts"`
	RateShare      float64                  `json:"rate_share"`
	// Buckets holds the token bucket of each organisation.
	Buckets          map[ident.OrganisationName]shares.BucketState `json:"rates"`
	Clients          int                                           `json:"callers"`
	OpenTransactions int                                           `json:"open_transactions"`
}

// State returns a dump of the current state.
func (v *VM) State() Dump {
	ready, reason := v.Ready()
	version, age, _ := v.follower.Proof()
	d := Dump{
		VM: string(v.settings.VM), Ready: ready, Reason: reason, Version: uint64(version), ProofAge: age,
		Upstreams: v.follower.Snapshot().Upstreams, Clients: v.server.Clients(), OpenTransactions: v.local.Transactions(),
	}
	d.View = v.follower.ViewProof()
	d.EvacuatedZones = slices.Sorted(maps.Keys(v.follower.Snapshot().Evacuated))
	for _, vm := range v.peers.Hubs() {
		d.Hubs = append(d.Hubs, string(vm.Name))
	}
	d.ShareUnits, d.Buckets = v.limits.Table(), v.limits.BucketStates()
	own, _ := v.limits.ShareUnits()
	d.RateShare = float64(own) / shareunits.Total
	return d
}

func (v *VM) serveState(w http.ResponseWriter, _ *http.Request) {
	if err := httpserver.WriteJSON(w, v.State()); err != nil {
		v.log.Warn().Err(err).Msg("cannot write state dump")
	}
}
