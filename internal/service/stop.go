package service

import (
	"reflect"
	"time"
)

// Reload compares new settings with those in use. The bounds of planned stops apply
// at once; it returns the names of the other settings that differ, which apply at
// the next start.
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

// Stop drains the VM within its grace time.
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
	// readinessPropagationTime is the time after which the platform, which asks for readiness every
	// second and acts on the second miss, sends no new callers.
	readinessPropagationTime = 2200 * time.Millisecond
	// stopReserve is left of the grace time for the end of the process.
	stopReserve      = 700 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// Close ends the VM at once.
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
