package configcontroller

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// RampDuration is the time over which a zone that returns to service admits a growing
// share of new clients, to protect its upstreams from a load surge.
const RampDuration = 5 * time.Second

// noRamp is the start of a ramp that has already ended at time 0.
const noRamp = -RampDuration

// ramp admits new clients with a probability that grows linearly from 0 to 1. It does
// not affect connected clients.
type ramp struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *ramp) admit(now, from time.Duration) error {
	elapsed := now - from
	if elapsed >= RampDuration {
		return nil
	}
	r.mu.Lock()
	admitted := time.Duration(r.random.Int64N(int64(RampDuration))) < elapsed
	r.mu.Unlock()
	if admitted {
		return nil
	}
	return resultcode.New(resultcode.ZoneOut, "the availability zone is returning to service")
}
