package capacity

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	groupcontroller "github.com/rosemarywall/rosemarywall/internal/controller/groups"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// quietMesh is the mesh of one VM of a fleet whose other VMs say nothing.
type quietMesh struct {
	self    peer.Member
	members []peer.Member
	changed []func([]peer.Member)
}

func (m *quietMesh) Self() peer.Member                                        { return m.self }
func (m *quietMesh) Members() []peer.Member                                   { return m.members }
func (m *quietMesh) Send(context.Context, ident.VMName, peer.Kind, any) error { return nil }
func (m *quietMesh) Handle(peer.Kind, func(peer.Member, cbor.RawMessage))     {}
func (m *quietMesh) OnChange(changed func([]peer.Member))                     { m.changed = append(m.changed, changed) }
func (m *quietMesh) Piggyback(peer.Kind, func(ident.VMName) []byte, func(peer.Member, []byte)) {
}

// emptyPlatform holds no object.
type emptyPlatform struct{ objectapi.Client }

func (emptyPlatform) Get(context.Context, objectapi.Kind, string) (objectapi.Object, error) {
	return objectapi.Object{}, resultcode.New(resultcode.PlatformNotFound, "no object")
}

func (emptyPlatform) List(context.Context, objectapi.Kind) (objectapi.Changes, error) {
	return objectapi.Changes{}, nil
}

// silentAgent sends no status.
type silentAgent struct{ group.Agent }

func (silentAgent) Stream(ctx context.Context, _ func(group.Status)) error {
	<-ctx.Done()
	return ctx.Err()
}

// fixedSource is a configuration that does not change.
type fixedSource struct{ current *configuration.Configuration }

func (s fixedSource) Current() *configuration.Configuration       { return s.current }
func (s fixedSource) OnChange(func(*configuration.Configuration)) {}

// followRun is what the group controller of one VM follows without requests.
type followRun struct {
	Streams   int64
	Configure time.Duration // processor time of one change of the membership
}

// runFollowing starts the real group controller of one VM of the design fleet.
func runFollowing(conf *configuration.Configuration, vm, followAll, changes int) followRun {
	var followed atomic.Int64
	mesh := &quietMesh{members: fleetOf(DesignZones, DesignZoneVMs)[:DesignVMs]}
	mesh.self = mesh.members[vm]
	c := groupcontroller.New(groupcontroller.Options{
		Mesh: mesh, Platform: emptyPlatform{}, Configuration: fixedSource{conf}, Log: zerolog.Nop(), FollowAllLimit: followAll,
		NewAgent: func(ident.GroupName, ident.UpstreamName, string) group.Agent {
			followed.Add(1) // one agent is made for each stream
			return silentAgent{}
		},
	})
	c.Start()
	r := followRun{Streams: followed.Load()}
	if changes == 0 {
		c.Stop()
		return r
	}
	r.Configure = timePer(changes, func() {
		mesh.members = append([]peer.Member(nil), mesh.members...)
		last := &mesh.members[len(mesh.members)-1]
		last.Incarnation++
		for _, changed := range mesh.changed {
			changed(mesh.members)
		}
		time.Sleep(150 * time.Millisecond)
	})
	c.Stop()
	return r
}

// reportFollowing measures the streams of VMs without requests.
func reportFollowing(out io.Writer) error {
	random := rand.New(rand.NewPCG(9, 9))
	var streams, change []Point
	for _, databases := range []int{760, 1900, 3800, DesignDatabases} {
		conf := designConfiguration(databases)
		const sample = 60
		total, most := int64(0), int64(0)
		for range sample {
			r := runFollowing(conf, random.IntN(DesignVMs), 0, 0)
			total, most = total+r.Streams, max(most, r.Streams)
		}
		used := runFollowing(conf, 0, 0, 10).Configure
		x := float64(databases)
		streams = append(streams, Point{x, float64(total) / sample})
		change = append(change, Point{x, micros(used) / 1000})
		fmt.Fprintf(out, "%d groups, %d VMs, no requests: %.1f streams per VM (most of %d VMs: %d)\n", databases, DesignVMs, float64(total)/sample, sample, most)
	}
	Series{"groups", "standing streams", "streams per VM", "groups", streams, DesignDatabases}.write(out)
	Series{"groups", "change of membership", "ms", "groups", change, DesignDatabases}.write(out)
	all := runFollowing(designConfiguration(760), 0, 1<<30, 5)
	fmt.Fprintf(out, "760 groups, every VM follows all: %d streams per VM, %.0f ms for a change of membership\n", all.Streams, micros(all.Configure)/1000)
	return nil
}
