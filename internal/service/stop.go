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
	v.stopping.Store(true)
	v.log.Info().Msg("stopping")
	v.peers.Leave()
	v.local.Drain()
	grace := time.Duration(v.gracePeriod.Load())
	time.Sleep(min(readinessPropagationTime, grace/3))
	v.server.Stop()
	time.Sleep(max(0, grace/2-min(readinessPropagationTime, grace/3)))
	v.server.ForceStop()
	deadline := time.Now().Add(grace/2 - stopReserve)
	for v.server.Clients() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
	closed := v.server.Clients()
	v.Close()
	v.log.Info().Int("callers_cut", closed).Msg("stopped")
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
