package service

import (
	"reflect"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
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

// stopOrder is the order to stop.
type stopOrder struct {
	at       time.Duration // on the process clock
	schedule shutdown.Schedule
}

const (
	// readinessPropagationTime is the time within which the platform stops sending new
	// clients. It probes readiness every second and acts on the second failure.
	readinessPropagationTime = 2200 * time.Millisecond
	// stopPollInterval is the interval at which a stopping VM checks what is outstanding.
	stopPollInterval = 25 * time.Millisecond
)

// Stop stops the VM as package shutdown describes and returns when the process can end, at
// the latest shortly before the end of the grace period.
func (v *VM) Stop() {
	order := &stopOrder{at: v.clock.Now(), schedule: shutdown.NewSchedule(time.Duration(v.gracePeriod.Load()), readinessPropagationTime)}
	v.order.Store(order)
	v.log.Info().Msg("stopping")
	v.peers.Leave()
	v.local.Drain()
	for stage := shutdown.Announced; stage != shutdown.Ended; time.Sleep(stopPollInterval) {
		next := order.schedule.StageAt(v.clock.Now()-order.at, v.outstanding())
		if next != stage {
			v.beginStopStage(order, next)
		}
		stage = next
	}
	for v.server.Clients() > 0 && v.clock.Now() < order.at+order.schedule.Exit {
		time.Sleep(stopPollInterval)
	}
	v.logCutStatements(order)
	v.passUsageOn(order)
	closed := v.server.Clients()
	v.Close()
	v.log.Info().Int("callers_cut", closed).Dur("after_ms", v.clock.Now()-order.at).Msg("stopped")
}

// beginStopStage applies a stage to the sessions of this VM's clients, and to the
// transactions that it has open for other VMs.
func (v *VM) beginStopStage(order *stopOrder, stage shutdown.Stage) {
	v.logStopStage(order, stage)
	v.server.SetStage(stage)
	if stage >= shutdown.RollingBack {
		for transaction, target := range v.remote.removeAll() {
			recovery.Go(v.log, "rollback", func() { v.local.Rollback(target, transaction) })
		}
	}
}

// outstanding returns what a stopping VM still has to complete.
func (v *VM) outstanding() shutdown.Outstanding {
	sinceStatement := v.clock.Now() - time.Duration(v.lastRemoteStatement.Load())
	return shutdown.Outstanding{
		Clients: v.server.Clients(), Statements: int(v.remoteStatements.Load()), Transactions: v.remote.count(),
		Quiet: min(v.server.SinceAccept(), sinceStatement),
	}
}

// errStopping is the error of work that a stopping VM does not begin.
var errStopping = resultcode.New(resultcode.ShuttingDown, "the VM stops; connect again")

// AdmitStatement implements proxy.Admission.
func (v *VM) AdmitStatement(timeout time.Duration) error {
	if o := v.order.Load(); o != nil && !o.schedule.AdmitsStatement(v.clock.Now()-o.at, timeout) {
		return errStopping
	}
	return nil
}

// AdmitTransaction implements proxy.Admission.
func (v *VM) AdmitTransaction(timeout time.Duration) error {
	if o := v.order.Load(); o != nil && !o.schedule.AdmitsTransaction(v.clock.Now()-o.at, timeout) {
		return errStopping
	}
	return nil
}

// logStopStage logs what is outstanding when a stage of the stop begins.
func (v *VM) logStopStage(order *stopOrder, stage shutdown.Stage) {
	v.log.Info().Stringer("stage", stage).Dur("after_ms", v.clock.Now()-order.at).Int("callers", v.server.Clients()).
		Int("statements", len(v.server.RunningStatements())).Int64("statements_for_others", v.remoteStatements.Load()).
		Int("transactions_for_others", v.remote.count()).Msg("stop stage")
}

// logCutStatements logs the statements whose clients get no response because the process
// ends. Times are relative to the order to stop.
func (v *VM) logCutStatements(order *stopOrder) {
	now := v.clock.Now()
	for _, r := range v.server.RunningStatements() {
		v.log.Warn().Str("request", r.ID).Str("database", r.Database).Str("kind", r.Kind.String()).Str("upstream", string(r.Upstream)).
			Str("via", string(r.ExecutingVM)).Dur("connected_ms", r.ConnectedAt-order.at).Dur("read_ms", r.StartedAt-order.at).
			Dur("cut_ms", now-order.at).Msg("stop cut statement")
	}
}

// Close closes the VM without draining it. It does not wait for its goroutines.
func (v *VM) Close() {
	v.cancel()
	v.server.Close()
	v.local.Drain()
	v.relay.Close()
	_ = v.ready.Close()
	_ = v.metrics.Close()
	for _, l := range v.listeners {
		_ = l.Close()
	}
}
