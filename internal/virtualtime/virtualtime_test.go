package virtualtime

import (
	"context"
	"sync"
	"testing"
	"time"
)

// Guards against crashes of the race detector by timers that are due at once in several
// goroutines. With synctest.Test alone each of eight runs crashed.
func TestTimersThatAreDueAtOnce(t *testing.T) {
	Test(t, func(t *testing.T) {
		var ends sync.WaitGroup
		for range 8 {
			ends.Go(func() {
				for range 2000 {
					<-time.After(0)
				}
			})
		}
		ends.Go(func() {
			for range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				<-ctx.Done()
				cancel()
			}
		})
		ends.Wait()
	})
}
