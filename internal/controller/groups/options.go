package groupcontroller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/request"
)

// Timeouts and intervals.
const (
	// DefaultReplicaWait is how long a read waits for a replica to reach the required
	// position before it may use the primary.
	DefaultReplicaWait = 5 * time.Millisecond
	// ReadIndexTimeout is the timeout of one read-index round. It covers a round trip
	// between regions (24 ms) with one retransmission.
	ReadIndexTimeout = 300 * time.Millisecond
	// MaxStreamGap is the longest accepted pause between two status lines of a stream.
	// Agents send a line at least every 100 ms. After a longer gap, lines may have been
	// buffered and their age is unknown, so the stream is reopened.
	MaxStreamGap = 500 * time.Millisecond
	// StatusStaleAfter is the age above which the last status of a member counts as
	// stale. Agents send a line every 100 ms, so at least two were lost or late.
	StatusStaleAfter = 250 * time.Millisecond
	// ReconnectDelay is the delay before a broken stream is reopened. It is short enough
	// for two consecutive refused connections to prove that a process is dead within
	// the 1 s target.
	ReconnectDelay = 50 * time.Millisecond
)

// AgentFactory creates the client of one member agent, given its group, upstream and
// address.
type AgentFactory func(ident.GroupName, ident.UpstreamName, string) group.Agent

// Options are the dependencies and settings of a Controller.
type Options struct {
	Mesh          peer.Mesh
	Platform      objectapi.Client
	Configuration request.ConfigurationSource
	NewAgent      AgentFactory
	// OutstandingRequests returns the number of requests from this VM that are in
	// progress on an upstream. If nil, equal replicas are used in rotation.
	OutstandingRequests routing.OutstandingRequests
	// OnPrimaryReplaced, if not nil, is called when a primary was replaced while it did
	// not respond, with the term of its successor.
	OnPrimaryReplaced func(ident.GroupName, ident.UpstreamName, ident.Term)
	// Now returns the time since process start; nil means a new clock.Clock.
	Now func() time.Duration
	// ReplicaWait is how long a read waits for a replica; zero means DefaultReplicaWait.
	ReplicaWait time.Duration
	// FollowAllLimit is the number of groups up to which every VM follows all groups;
	// zero means DefaultFollowAllLimit.
	FollowAllLimit int
	Log            zerolog.Logger
}

// Controller follows the groups of the configuration. It implements
// request.Router.
type Controller struct {
	options  Options
	self     peer.Member
	groups   atomic.Pointer[map[ident.GroupName]*groupState]
	location atomic.Pointer[routing.Location]
	liveVMs  atomic.Int64
	rotation atomic.Uint64
	metrics  metrics

	rankingMu     sync.Mutex // guards rankedMembers and ranking
	rankedMembers []peer.Member
	ranking       followerRanking

	configMu sync.Mutex
	started  bool
	stopped  bool
	ctx      context.Context
	cancel   context.CancelFunc

	spawnMu sync.Mutex // orders spawn and Stop
	closed  bool
	tasks   sync.WaitGroup
}

var _ request.Router = (*Controller)(nil)

// New returns a controller. It registers message handlers with the mesh and must
// therefore be called before the mesh starts.
func New(options Options) *Controller {
	if options.Now == nil {
		options.Now = clock.New().Now
	}
	if options.ReplicaWait == 0 {
		options.ReplicaWait = DefaultReplicaWait
	}
	if options.FollowAllLimit == 0 {
		options.FollowAllLimit = DefaultFollowAllLimit
	}
	c := &Controller{options: options, self: options.Mesh.Self()}
	c.groups.Store(&map[ident.GroupName]*groupState{})
	c.location.Store(&routing.Location{Zone: c.self.Zone})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	options.Mesh.OnChange(c.meshChanged)
	c.handleMessages()
	return c
}

// Start starts following the groups of the configuration.
func (c *Controller) Start() {
	c.meshChanged(c.options.Mesh.Members())
	c.options.Configuration.OnChange(c.configure)
	c.configMu.Lock()
	c.started = true
	c.configMu.Unlock()
	c.configure(c.options.Configuration.Current())
	c.spawn(func() { c.listObjects(c.ctx) })
	c.spawn(func() { c.sweepIdle(c.ctx) })
}

// spawn runs a function in a goroutine that Stop waits for. After Stop it does nothing.
func (c *Controller) spawn(run func()) {
	c.spawnMu.Lock()
	defer c.spawnMu.Unlock()
	if !c.closed {
		c.tasks.Go(run)
	}
}

// Stop ends all streams and goroutines and waits for them.
func (c *Controller) Stop() {
	c.configMu.Lock()
	c.stopped = true
	for _, g := range *c.groups.Load() {
		g.stop()
	}
	c.configMu.Unlock()
	c.cancel()
	c.spawnMu.Lock()
	c.closed = true
	c.spawnMu.Unlock()
	c.tasks.Wait()
}

func (c *Controller) meshChanged(members []peer.Member) {
	live := 0
	for _, m := range members {
		if m.State != peer.Dead {
			live++
		}
	}
	c.liveVMs.Store(int64(max(1, live)))
	if c.onDemand(c.options.Configuration.Current()) {
		c.spawn(c.updateFollowed) // the mesh may hold its lock during this call
		return
	}
	for _, g := range *c.groups.Load() {
		g.promoter.configure(g.view.Load().Members)
	}
}

// updateFollowed applies a change of the mesh members while groups are followed on
// demand.
func (c *Controller) updateFollowed() {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	conf := c.options.Configuration.Current()
	if !c.started || c.stopped || !c.onDemand(conf) {
		return
	}
	for _, g := range *c.groups.Load() {
		g.promoter.configure(g.view.Load().Members)
	}
	c.followPermanent(conf)
}

// configure applies a configuration: it follows new groups, stops following removed
// ones and replaces changed members.
func (c *Controller) configure(conf *configuration.Configuration) {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	if !c.started || c.stopped {
		return
	}
	c.location.Store(&routing.Location{Zone: c.self.Zone, Region: conf.Zones[c.self.Zone].Region})
	old := *c.groups.Load()
	next := make(map[ident.GroupName]*groupState, len(old))
	all := !c.onDemand(conf)
	for name, database := range conf.Databases {
		g, ok := old[name]
		switch {
		case ok:
			g.configure(membersOf(conf, database))
		case all:
			g = c.startGroup(name, membersOf(conf, database))
		default:
			continue
		}
		next[name] = g
	}
	c.groups.Store(&next)
	if !all {
		c.followPermanent(conf)
	}
	for name, g := range old {
		if _, ok := next[name]; !ok {
			g.stop()
		}
	}
}
