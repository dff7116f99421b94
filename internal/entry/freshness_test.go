package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	groupcontroller "github.com/rosemarywall/rosemarywall/internal/controller/groups"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/frontend"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/standin"
	standinupstream "github.com/rosemarywall/rosemarywall/internal/standin/upstream"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

type allowAll struct{ conf *configuration.Configuration }

func (a allowAll) Authorise(o ident.OrganisationName, d ident.GroupName, _ string) (request.Grant, error) {
	return request.Grant{Organisation: o, Database: d, Weight: 1}, nil
}
func (a allowAll) Check(request.Grant) error                               { return nil }
func (a allowAll) Take(context.Context, ident.OrganisationName, int) error { return nil }
func (a allowAll) Current() *configuration.Configuration                   { return a.conf }
func (a allowAll) OnChange(func(*configuration.Configuration))             {}

// Guards against a stale read: a client that carries no token reads through one VM
// and misses a write that was acknowledged through another VM.
func TestReadThroughAnotherVMSeesTheWrite(t *testing.T) {
	cfg := standinupstream.Config{Name: "deckbook", User: "u", Password: "p"}
	for _, m := range []string{"a", "b", "c"} {
		cfg.Members = append(cfg.Members, standinupstream.MemberConfig{Name: ident.UpstreamName(m), Zone: "z1", Slots: 2, Connections: 16, ShipDelay: time.Millisecond, Lag: 5 * time.Millisecond})
	}
	s, err := standin.Start(standin.Config{Groups: []standinupstream.Config{cfg}})
	assert.NilError(t, err)
	defer s.Close()
	conf := configuration.Empty()
	conf.Zones["z1"] = configuration.Zone{Region: "r", State: configuration.ZoneInService, Weight: 1}
	db := configuration.Database{Upstreams: map[ident.UpstreamName]configuration.Upstream{}}
	for _, m := range s.Groups["deckbook"].Members() {
		db.Upstreams[m.Name()] = configuration.Upstream{Zone: "z1", Address: m.Address(), Agent: m.AgentAddress(), Slots: 2, Connections: 16, State: configuration.UpstreamInService}
	}
	conf.Databases["deckbook"] = db
	all := allowAll{conf}
	var addrs []string
	for _, name := range []string{"vm1", "vm2"} {
		mesh, err := peer.New(peer.Config{Self: peer.Member{Name: ident.VMName(name), Zone: "z1", Address: "127.0.0.1:0", Incarnation: 1}})
		assert.NilError(t, err)
		gc := groupcontroller.New(groupcontroller.Options{Mesh: mesh, Platform: objectapi.NewHTTPClient(s.Platform.Address()), Configuration: all,
			NewAgent: func(_ ident.GroupName, _ ident.UpstreamName, a string) group.Agent { return group.NewHTTPAgent(a) }})
		mesh.Start()
		defer mesh.Close()
		gc.Start()
		defer gc.Stop()
		pools := upstream.New(upstream.Config{Credentials: upstream.Credentials{User: "u", Password: "p"}})
		fe := frontend.NewServer(frontend.Config{Authoriser: all, Limiter: all, Router: gc, Pools: pools})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs = append(addrs, l.Addr().String())
		go fe.Serve(l)
	}
	ctx := context.Background()
	c1, err := pgx.Connect(ctx, "postgres://org:key@"+addrs[0]+"/deckbook?sslmode=disable")
	assert.NilError(t, err)
	c2, err := pgx.Connect(ctx, "postgres://org:key@"+addrs[1]+"/deckbook?sslmode=disable")
	assert.NilError(t, err)
	_, err = c1.Exec(ctx, "create table t(id int, v text)")
	assert.NilError(t, err)
	for i := range 20 {
		_, err = c1.Exec(ctx, "insert into t values($1,$2)", i, "x")
		assert.NilError(t, err)
		var n int
		assert.NilError(t, c2.QueryRow(ctx, "select count(*) from t").Scan(&n))
		assert.Equal(t, n, i+1)
	}
}
