package configcontroller

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// RampDuration is the time over which a zone that returns to service takes new
// callers at a growing share, so that its upstreams see no load surge.
const RampDuration = 5 * time.Second

// notReturning is the start of a ramp that ended before any time that is asked for.
const notReturning = -RampDuration

// ramp admits new callers with a probability that grows from 0 to 1. Connected
// callers are not paced.
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
