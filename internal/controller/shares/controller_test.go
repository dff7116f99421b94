package sharecontroller

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// sendLoad sends requests of acme to one VM at a steady rate and counts refusals.
func sendLoad(t *testing.T, c *Controller, perSecond int, d time.Duration) int {
	pause := time.Second / time.Duration(perSecond)
	var refused atomic.Int64
	var wg sync.WaitGroup
	for range int(d / pause) {
		time.Sleep(pause)
		wg.Go(func() {
			if err := c.Take(context.Background(), "acme", 1); err != nil {
				assert.Check(t, resultcode.Is(err, resultcode.RateExceeded), "%v", err)
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	return int(refused.Load())
}

// Guards against share units that new VMs do not get, tokens that a busy VM cannot
// borrow from idle ones, a rate that is exceeded, and share units that are lost when
// VMs leave or die.
func TestFleetSharesOneRate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t)
		defer fleet.stopAll()
		fleet.start("vm-1", "a")
		busy := fleet.start("vm-2", "a")
		fleet.start("vm-3", "b")
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, fleet.shareUnits("a"), map[ident.VMName]uint32{"vm-1": shares.TotalShareUnits / 2, "vm-2": shares.TotalShareUnits / 2})
		assert.Equal(t, fleet.shareUnits("b")["vm-3"], uint32(shares.TotalShareUnits))
		assert.Equal(t, sendLoad(t, busy, 900, 5*time.Second), 0)
		admitted := 10000 - sendLoad(t, busy, 2000, 5*time.Second)
		assert.Assert(t, admitted >= 4500 && admitted <= 6000+50, "admitted %d", admitted)
		assert.ErrorContains(t, busy.Take(context.Background(), "other", 1), "RW1008")

		assert.NilError(t, busy.Leave(context.Background()))
		fleet.network.set("vm-2", peer.Leaving)
		assert.DeepEqual(t, fleet.shareUnits("a"), map[ident.VMName]uint32{"vm-1": shares.TotalShareUnits, "vm-2": 0})
		fleet.stops["vm-3"]()
		fleet.network.set("vm-3", peer.Dead)
		late := fleet.start("vm-4", "b")
		time.Sleep(time.Second)
		late.SetListedVMs([]ident.VMName{"vm-3"})
		time.Sleep(shares.LeaseDuration + shares.GuardInterval + 8*time.Second)
		assert.DeepEqual(t, fleet.shareUnits("b"), map[ident.VMName]uint32{"vm-3": shares.TotalShareUnits})
		late.SetListedVMs(nil)
		time.Sleep(shares.LeaseDuration + shares.GuardInterval + 8*time.Second)
		assert.DeepEqual(t, fleet.shareUnits("a"), map[ident.VMName]uint32{"vm-1": shares.TotalShareUnits})
		assert.DeepEqual(t, fleet.shareUnits("b"), map[ident.VMName]uint32{"vm-4": shares.TotalShareUnits})
		assert.Equal(t, sendLoad(t, fleet.controllers["vm-1"], 900, 3*time.Second), 0)
	})
}

// Guards against a write that is treated as failed, or stored a second time, when its
// response is lost.
func TestWriteWithLostResponseIsReadBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t)
		defer fleet.stopAll()
		fleet.platform.loseResponses = 5
		first, second := fleet.start("vm-1", "a"), fleet.start("vm-2", "a")
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, fleet.shareUnits("a"), map[ident.VMName]uint32{"vm-1": shares.TotalShareUnits / 2, "vm-2": shares.TotalShareUnits / 2})
		assert.Assert(t, first.counters.tableUnknown.Value()+second.counters.tableUnknown.Value() > 0)
		assert.Equal(t, first.Dump().Table.Rows[0].ShareUnits, uint32(shares.TotalShareUnits/2))
	})
}

// Guards against a platform outage that interrupts service, and against tables that do
// not reach VMs that cannot read the platform.
func TestPlatformOutageDoesNotInterruptService(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t)
		defer fleet.stopAll()
		fleet.start("vm-1", "a")
		fleet.start("vm-2", "a")
		time.Sleep(20 * time.Second)
		fleet.platform.mu.Lock()
		fleet.platform.down = true
		fleet.platform.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, sendLoad(t, fleet.controllers["vm-2"], 400, 5*time.Second), 0)
		late := fleet.start("vm-3", "b")
		assert.Equal(t, len(late.Tables()), 0)
		late.handleVersions(fleet.network.meshes["vm-1"].self, fleet.controllers["vm-1"].versions())
		time.Sleep(time.Second)
		assert.Equal(t, len(late.Tables()["a"].Rows), 2)
		assert.Assert(t, sendLoad(t, late, 100, 5*time.Second) <= 10)
	})
}

// Guards against a zone out of service that keeps tokens for demand that it does not
// serve.
func TestZoneOutOfServiceLendsAllTokens(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t)
		defer fleet.stopAll()
		out := fleet.start("vm-1", "a")
		busy := fleet.start("vm-3", "b")
		time.Sleep(10 * time.Second)
		fleet.source.set(testConfiguration(2, configuration.ZoneOutOfService))
		time.Sleep(shares.MaxStaleness + shares.GuardInterval + time.Second)
		stop := make(chan struct{})
		go func() {
			// In a zone in service this demand would make the VM keep its tokens.
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					b, _ := out.node.Bucket("acme")
					b.RecordDemand(out.clock.Now(), 1)
				}
			}
		}()
		refused := sendLoad(t, busy, 900, 5*time.Second)
		close(stop)
		assert.Assert(t, refused <= 4, "refused %d", refused)
		assert.Assert(t, out.Dump().ZoneOut)
	})
}
