// Package virtualtime runs tests in a bubble of testing/synctest.
//
// With the race detector, the timers of a bubble share one context of the detector,
// which two threads may not use at the same time. A channel timer that is due when a
// goroutine looks at it runs on that goroutine's thread, so that bubbles on several
// threads crash the detector now and then (go1.26.8). Test therefore runs a bubble on one
// thread. The detector still finds races: it judges the order of accesses by
// synchronisation and not by time.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test on one thread.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
