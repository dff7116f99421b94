// Package servicemetrics provides the Prometheus metrics of internal/service.
// docs/metrics.md lists them.
package servicemetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rosemarywall/rosemarywall/internal/core/admission"
	"github.com/rosemarywall/rosemarywall/internal/framing"
)

// latencyBuckets are the upper bounds of the latency buckets in seconds. They range from
// a round trip within a zone to the longest timeout of a client.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// Metrics holds the metrics of one VM.
type Metrics struct {
	registry           *prometheus.Registry
	statements         *prometheus.CounterVec
	latency            *prometheus.HistogramVec
	attempts           prometheus.Counter
	upstreamStatements *prometheus.CounterVec
	platformCalls      *prometheus.CounterVec
	upstreamConnects   *prometheus.CounterVec
	evacuatedZone      *prometheus.CounterVec
	invalidEntries     prometheus.Counter
	rejectedMessages   *prometheus.CounterVec
}

// GaugeSources holds the functions that return the values of the gauges.
type GaugeSources struct {
	Clients, AlivePeers func() int
	UpstreamConnections func() int
	ProofAge            func() (time.Duration, bool)
	Version             func() uint64
	RateShare           func() float64
	DroppedLogLines     func() int64
	Panics              func() int64
	// Usage may be nil if usage is not reported.
	Usage func() UsageStats
	// Admission returns the decisions on statements that had to wait.
	Admission func() admission.Counts
}

// New returns Metrics with all counters and histograms but no gauges, see RegisterGauges.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rosemarywall_statements_total",
			Help: "Answered statements by result code; ok is success."}, []string{"code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rosemarywall_statement_seconds",
			Help: "Time from reading a statement to writing its answer, by outcome.", Buckets: latencyBuckets}, []string{"outcome"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "rosemarywall_statement_attempts_total",
			Help: "Attempts at upstreams, retries included."}),
		upstreamStatements: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rosemarywall_upstream_statements_total",
			Help: "Statements answered by an upstream, by its role."}, []string{"role"}),
		platformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rosemarywall_platform_calls_total",
			Help: "Calls of the platform by operation."}, []string{"operation"}),
		upstreamConnects: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rosemarywall_upstream_connects_total",
			Help: "Connections opened to upstreams, by result."}, []string{"result"}),
		evacuatedZone: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rosemarywall_evacuated_zone_requests_total",
			Help: "Requests sent to upstreams in evacuated zones, of clients or of the VM itself."}, []string{"origin"}),
		invalidEntries: prometheus.NewCounter(prometheus.CounterOpts{Name: "rosemarywall_invalid_entries_total",
			Help: "Registrations, and entries without a readable name, that were ignored, once for each change."}),
		rejectedMessages: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rosemarywall_rejected_messages_total",
			Help: "Messages with invalid boundaries that were not handled or not written, by the side that they came from or went to."},
			[]string{"side", "reason"}),
	}
	for _, origin := range []string{originClient, originVM} {
		m.evacuatedZone.WithLabelValues(origin)
	}
	m.rejectedMessages.WithLabelValues(string(FromClient), string(framing.LineFeed))
	m.registry.MustRegister(m.statements, m.latency, m.attempts, m.upstreamStatements, m.platformCalls, m.upstreamConnects, m.evacuatedZone, m.invalidEntries, m.rejectedMessages)
	return m
}

// RegisterGauges registers the gauges and the counter of dropped log lines. Their sources
// are read whenever the metrics are scraped.
func (m *Metrics) RegisterGauges(s GaugeSources) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("rosemarywall_callers", "Connected callers.", func() float64 { return float64(s.Clients()) })
	gauge("rosemarywall_peers_alive", "Other VMs that answer probes.", func() float64 { return float64(s.AlivePeers()) })
	gauge("rosemarywall_upstream_connections", "Open connections to upstreams.", func() float64 { return float64(s.UpstreamConnections()) })
	gauge("rosemarywall_configuration_version", "Version of the configuration in force.", func() float64 { return float64(s.Version()) })
	gauge("rosemarywall_configuration_proof_age_seconds", "Age of the newest proof that the configuration is current; -1 without one.", func() float64 {
		age, ok := s.ProofAge()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	gauge("rosemarywall_rate_share", "Share of every organisation's rate that this VM holds, 0 to 1.", s.RateShare)
	counter := func(name, help string, value func(admission.Counts) uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value(s.Admission())) }))
	}
	counter("rosemarywall_admission_refused_total", "Statements refused on arrival because they would have expired in the queue.",
		func(c admission.Counts) uint64 { return c.Refused })
	counter("rosemarywall_admission_refused_servable_total", "Statements refused on arrival that would have started in time.",
		func(c admission.Counts) uint64 { return c.RefusedServable })
	counter("rosemarywall_admission_expired_total", "Admitted statements that got no slot or connection in time.",
		func(c admission.Counts) uint64 { return c.Expired })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "rosemarywall_log_lines_dropped_total",
		Help: "Log lines that found the queue full."}, func() float64 { return float64(s.DroppedLogLines()) }))
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "rosemarywall_panics_total",
		Help: "Sessions, requests and background tasks that failed by a panic."}, func() float64 { return float64(s.Panics()) }))
	m.registerUsage(s.Usage)
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveStatement records a completed statement. code is "ok" or a result code.
func (m *Metrics) ObserveStatement(code string, attempts int, duration time.Duration) {
	m.statements.WithLabelValues(code).Inc()
	outcome := "refused"
	if code == "ok" {
		outcome = "ok"
	}
	m.latency.WithLabelValues(outcome).Observe(duration.Seconds())
	m.attempts.Add(float64(attempts))
}

// CountUpstreamStatement counts a statement that an upstream executed.
func (m *Metrics) CountUpstreamStatement(primary bool) {
	role := "replica"
	if primary {
		role = "primary"
	}
	m.upstreamStatements.WithLabelValues(role).Inc()
}

// CountPlatformCall counts a call to the platform.
func (m *Metrics) CountPlatformCall(operation string) {
	m.platformCalls.WithLabelValues(operation).Inc()
}

// CountInvalidEntry counts an entry of the store that is ignored.
func (m *Metrics) CountInvalidEntry() { m.invalidEntries.Inc() }

// Side is the sender or the receiver of a message.
type Side string

// Sides of messages.
const (
	FromClient   Side = "from_client"
	FromUpstream Side = "from_upstream"
	ToUpstream   Side = "to_upstream"
	ToClient     Side = "to_client"
	FromVM       Side = "from_vm"
	ToVM         Side = "to_vm"
)

// CountRejectedMessage counts a message with invalid boundaries.
func (m *Metrics) CountRejectedMessage(side Side, reason framing.Reason) {
	m.rejectedMessages.WithLabelValues(string(side), string(reason)).Inc()
}

// Values of the label origin.
const (
	originClient = "client"
	originVM     = "vm"
)

// CountEvacuatedZoneRequest counts a request of a client or of the VM itself that was sent
// to an upstream in an evacuated zone.
func (m *Metrics) CountEvacuatedZoneRequest(ofClient bool) {
	origin := originVM
	if ofClient {
		origin = originClient
	}
	m.evacuatedZone.WithLabelValues(origin).Inc()
}

// CountUpstreamConnect counts an attempt to open a connection to an upstream.
func (m *Metrics) CountUpstreamConnect(err error) {
	result := "opened"
	if err != nil {
		result = "failed"
	}
	m.upstreamConnects.WithLabelValues(result).Inc()
}
