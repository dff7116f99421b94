package servicemetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// UsageStats are the figures of the usage reports. They are zero where none are made.
type UsageStats struct {
	// Reported to Skipped are numbers of windows: accepted in time, sent again, accepted
	// late, due without being accepted, and never sent.
	Reported, Repeated, LateWindows, Missed, Skipped uint64
	// Counted and Lost are requests that this VM executed, and those of them that are in no
	// report. Received are requests of all VMs that arrived at this one before their window
	// was recorded.
	Counted, Lost, Received uint64
	// Outstanding is the number of counted requests that are not known to be recorded.
	Outstanding uint64
	// Generation is the fencing token of this VM, or zero if it is not the reporter.
	Generation uint64
	// ClockError is the difference of the VM's wall clock from the estimated true time.
	ClockError time.Duration
}

// registerUsage registers the metrics of the usage reports. stats is called whenever the
// metrics are scraped; nil stands for zero values.
func (m *Metrics) registerUsage(stats func() UsageStats) {
	if stats == nil {
		stats = func() UsageStats { return UsageStats{} }
	}
	counter := func(name, help, result string, value func(UsageStats) uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: prometheus.Labels{"result": result}},
			func() float64 { return float64(value(stats())) }))
	}
	for result, value := range map[string]func(UsageStats) uint64{
		"reported": func(s UsageStats) uint64 { return s.Reported },
		"repeated": func(s UsageStats) uint64 { return s.Repeated },
		"late":     func(s UsageStats) uint64 { return s.LateWindows },
		"missed":   func(s UsageStats) uint64 { return s.Missed },
		"skipped":  func(s UsageStats) uint64 { return s.Skipped },
	} {
		counter("rosemarywall_usage_windows_total", "Windows of usage reports, by result.", result, value)
	}
	for result, value := range map[string]func(UsageStats) uint64{
		"counted":  func(s UsageStats) uint64 { return s.Counted },
		"lost":     func(s UsageStats) uint64 { return s.Lost },
		"received": func(s UsageStats) uint64 { return s.Received },
	} {
		counter("rosemarywall_usage_requests_total", "Requests counted for usage reports, by result.", result, value)
	}
	gauge := func(name, help string, value func(UsageStats) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(stats()) }))
	}
	gauge("rosemarywall_usage_requests_outstanding", "Counted requests that are not known to be recorded.", func(s UsageStats) float64 { return float64(s.Outstanding) })
	gauge("rosemarywall_usage_generation", "Fencing token of this VM as the reporter; 0 if it is not.", func(s UsageStats) float64 { return float64(s.Generation) })
	gauge("rosemarywall_wall_clock_error_seconds", "Difference of the wall clock from that of the fleet.", func(s UsageStats) float64 { return s.ClockError.Seconds() })
}
