package platform

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	api "github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

func start(t *testing.T) (*Server, *api.HTTPClient) {
	t.Helper()
	server, err := Start("")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	client := api.NewHTTPClient(server.Address(), api.WithTimeout(10*time.Second))
	t.Cleanup(client.CloseIdle)
	return server, client
}

func expect(t *testing.T, err error, code resultcode.Code) {
	t.Helper()
	assert.Equal(t, resultcode.Of(err), code, "%v", err)
}

// Conditional updates must have one winner, and versions come from one counter.
func TestConditionalUpdates(t *testing.T) {
	_, client := start(t)
	ctx := t.Context()
	_, err := client.Get(ctx, api.KindGroup, "orders")
	expect(t, err, resultcode.PlatformNotFound)
	first, err := client.Put(ctx, api.KindGroup, "orders", map[string]int{"term": 1}, 0)
	assert.NilError(t, err)
	current, err := client.Put(ctx, api.KindGroup, "orders", map[string]int{"term": 2}, 0)
	expect(t, err, resultcode.PlatformConflict)
	assert.Equal(t, string(current.Value), `{"term":1}`)
	other, err := client.Put(ctx, api.KindShareTable, "zone", 1, 0)
	assert.NilError(t, err)
	assert.Assert(t, other.Version > first.Version)
	expect(t, client.Delete(ctx, api.KindGroup, "orders", other.Version), resultcode.PlatformConflict)
	assert.NilError(t, client.Delete(ctx, api.KindGroup, "orders", first.Version))
	expect(t, client.Delete(ctx, api.KindGroup, "orders", first.Version), resultcode.PlatformNotFound)
	_, err = client.Put(ctx, api.KindGroup, "big", strings.Repeat("x", api.MaxValueBytes), 0)
	expect(t, err, resultcode.PlatformTooLarge)
	changes, err := client.List(ctx, api.KindShareTable)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Objects), 1)
}

// A watch must answer at once for older changes, wake on a new change of its
// kinds only, report deletions, and end without change at its timeout.
func TestWatch(t *testing.T) {
	server, client := start(t)
	ctx := t.Context()
	kinds := []api.Kind{api.KindConfiguration, api.KindGroup}
	object, err := client.Put(ctx, api.KindGroup, "orders", 1, 0)
	assert.NilError(t, err)
	changes, err := client.Watch(ctx, kinds, 0, time.Hour)
	assert.NilError(t, err)
	assert.Equal(t, changes.Objects[0].Name, "orders")
	answers := make(chan api.Changes)
	go func() {
		changes, err := client.Watch(context.Background(), kinds, changes.Version, time.Hour)
		if err != nil {
			t.Error(err)
		}
		answers <- changes
	}()
	server.Seed(api.KindZoneAck, "zone", []byte("1"))
	assert.NilError(t, client.Delete(ctx, api.KindGroup, "orders", object.Version))
	changes = <-answers
	assert.Equal(t, len(changes.Objects), 0)
	assert.Equal(t, changes.Deleted[0].Name, "orders")
	changes, err = client.Watch(ctx, kinds, changes.Version, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Objects)+len(changes.Deleted), 0)
	assert.Equal(t, client.Calls().Get("watch").String(), "3")
	assert.Equal(t, server.Calls().Get("watch").String(), "3")
}

// An outage must fail calls and waiting watches; quotas must refuse.
func TestOutageAndQuota(t *testing.T) {
	server, client := start(t)
	failed := make(chan error)
	go func() {
		_, err := client.Watch(context.Background(), []api.Kind{api.KindGroup}, 0, time.Hour)
		failed <- err
	}()
	server.SetOutage(true)
	expect(t, <-failed, resultcode.PlatformDown)
	_, err := client.VMs(t.Context())
	expect(t, err, resultcode.PlatformDown)
	server.SetOutage(false)
	server.SetQuota(1, 1)
	_, err = client.VMs(t.Context())
	assert.NilError(t, err)
	_, err = client.List(t.Context(), api.KindGroup)
	expect(t, err, resultcode.PlatformQuota)
}

// A slow or cut-off platform must look like a lost answer to the cut zone only.
func TestSlowAndCut(t *testing.T) {
	server, client := start(t)
	inZone := api.NewHTTPClient(server.Address(), api.WithZone("ruse-a"), api.WithTimeout(20*time.Millisecond))
	server.CutZone("ruse-a", true)
	_, err := inZone.Put(t.Context(), api.KindZoneAck, "ruse-a", 1, 0)
	expect(t, err, resultcode.PlatformDown)
	_, err = client.Get(t.Context(), api.KindZoneAck, "ruse-a")
	expect(t, err, resultcode.PlatformNotFound)
	server.CutZone("ruse-a", false)
	_, err = api.NewHTTPClient(server.Address(), api.WithZone("ruse-a"), api.WithTimeout(10*time.Second)).VMs(t.Context())
	assert.NilError(t, err)
	server.SetSlow(time.Hour)
	_, err = inZone.VMs(t.Context())
	expect(t, err, resultcode.PlatformDown)
}

// The list of VMs must lag behind announcements and removals, and drop VMs that
// are silent.
func TestVMListLags(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		list := newVMList(time.Now)
		list.setLag(2*time.Second, 10*time.Second)
		announce := func(state api.VMState) { list.record("vm-1", &api.VM{Name: "vm-1", State: state}) }
		after := func(d time.Duration) string {
			time.Sleep(d)
			states := ""
			for _, vm := range list.list() {
				states += string(vm.Name) + " " + string(vm.State)
			}
			return states
		}
		announce(api.VMLive)
		assert.Equal(t, after(time.Second), "")
		assert.Equal(t, after(time.Second), "vm-1 live")
		announce(api.VMLeaving)
		assert.Equal(t, after(time.Second), "vm-1 live")
		assert.Equal(t, after(time.Second), "vm-1 leaving")
		list.record("vm-1", nil)
		assert.Equal(t, after(time.Second), "vm-1 leaving")
		assert.Equal(t, after(time.Second), "")
		announce(api.VMLive)
		assert.Equal(t, after(11*time.Second), "vm-1 live")
		assert.Equal(t, after(2*time.Second), "")
	})
}

// Announcements must reach the list by the API.
func TestAnnounce(t *testing.T) {
	server, client := start(t)
	server.SetVMList(0, time.Hour)
	vm := api.VM{Name: "vm-1", Zone: "ruse-a", Address: "127.0.0.1:7000", State: api.VMLive}
	assert.NilError(t, client.Announce(t.Context(), vm))
	vms, err := client.VMs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []api.VM{vm})
}
