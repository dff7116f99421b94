package service

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
)

const (
	// startupWait is the time after the start of the process for which clients wait for the
	// first configuration and registrations instead of being refused. These arrive within
	// 0.6 s, also when all VMs of a large fleet start at once, and clients give up after 2 s.
	startupWait = time.Second
	// startupPollInterval is the interval at which a starting VM checks whether they arrived.
	startupPollInterval = 5 * time.Millisecond
)

// awaitFirstConfiguration ends the wait of clients once this VM can serve them, or after
// startupWait.
func (v *VM) awaitFirstConfiguration(ctx context.Context) {
	defer close(v.started)
	waitForStart(ctx, v.clock.Now, v.follower.Ready)
}

// waitForStart returns when ready reports true, startupWait after the start of the process
// or when ctx is done. After a loss of all VMs every client reconnects at once, and a client
// that is refused uses up one of its few attempts.
func waitForStart(ctx context.Context, now func() time.Duration, ready func() (bool, string)) {
	for now() < startupWait {
		if ok, _ := ready(); ok || !clock.Sleep(ctx, startupPollInterval) {
			return
		}
	}
}
