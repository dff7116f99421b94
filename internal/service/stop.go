package service

import (
	"reflect"
	"time"
)

// Reload applies Bounds.GracePeriod of the new settings. It returns the names of the
// fields with other changes, which apply only after a restart.
func (v *VM) Reload(s Settings) (restartNeeded []string) {
	v.gracePeriod.Store(int64(s.Bounds.GracePeriod))
	applied := s
	applied.Bounds.GracePeriod = v.settings.Bounds.GracePeriod
	old, changed := reflect.ValueOf(v.settings), reflect.ValueOf(applied)
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), changed.Field(i).Interface()) {
			restartNeeded = append(restartNeeded, old.Type().Field(i).Name)
		}
	}
	return restartNeeded
}

// Stop drains and closes the VM within its grace period: it reports not ready, closes
// idle sessions once the platform has had time to notice, has open transactions rolled
// back in the second half of the grace period, and then calls Close.
func (v *VM) Stop() {
	ordered := v.clock.Now()
	v.stopping.Store(true)
	v.log.Info().Msg("stopping")
	v.peers.Leave()
	v.local.Drain()
	grace := time.Duration(v.gracePeriod.Load())
	time.Sleep(min(readinessPropagationTime, grace/3))
	v.logStopStage(ordered, "closing")
	v.server.Stop()
	time.Sleep(max(0, grace/2-min(readinessPropagationTime, grace/3)))
	v.logStopStage(ordered, "rolling_back")
	v.server.ForceStop()
	deadline := time.Now().Add(grace/2 - stopReserve)
	for v.server.Clients() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
	v.logStopStage(ordered, "ended")
	closed := v.server.Clients()
	v.logCutStatements(ordered)
	v.Close()
	v.log.Info().Int("callers_cut", closed).Dur("after_ms", v.clock.Now()-ordered).Msg("stopped")
}

// logStopStage logs what is outstanding when a stage of the stop begins.
func (v *VM) logStopStage(ordered time.Duration, stage string) {
	v.log.Info().Str("stage", stage).Dur("after_ms", v.clock.Now()-ordered).Int("callers", v.server.Clients()).
		Int("statements", len(v.server.RunningStatements())).Int("open_transactions", v.local.Transactions()).Msg("stop stage")
}

// logCutStatements logs the statements whose clients get no response because the process
// ends. Times are relative to the order to stop.
func (v *VM) logCutStatements(ordered time.Duration) {
	now := v.clock.Now()
	for _, r := range v.server.RunningStatements() {
		v.log.Warn().Str("request", r.ID).Str("database", r.Database).Str("kind", r.Kind.String()).Str("upstream", string(r.Upstream)).
			Str("via", string(r.ExecutingVM)).Dur("connected_ms", r.ConnectedAt-ordered).Dur("read_ms", r.StartedAt-ordered).
			Dur("cut_ms", now-ordered).Msg("stop cut statement")
	}
}

const (
	// readinessPropagationTime is the time within which the platform stops sending new
	// clients. It probes readiness every second and acts on the second failure.
	readinessPropagationTime = 2200 * time.Millisecond
	// stopReserve is the part of the grace period that is left for the process to exit.
	stopReserve      = 700 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// Close closes the VM without draining it. It does not wait for its goroutines.
func (v *VM) Close() {
	v.cancel()
	v.local.Drain()
	v.relay.Close()
	_ = v.ready.Close()
	_ = v.metrics.Close()
	for _, l := range v.listeners {
		_ = l.Close()
	}
}
