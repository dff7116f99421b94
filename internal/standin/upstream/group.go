package upstream

import (
	"crypto/tls"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Config describes a database group.
type Config struct {
	Name ident.GroupName
	// User and Password are the credentials of callers.
	User     string
	Password string
	// TLS, when not nil, is offered to callers that ask for it.
	TLS *tls.Config
	// Members are the upstreams; the first is the primary of term 1.
	Members []MemberConfig
	// Directory holds the databases; empty means a new temporary directory, which
	// Close removes.
	Directory string
	Log       zerolog.Logger
}

// MemberConfig describes an upstream.
type MemberConfig struct {
	Name ident.UpstreamName
	Zone ident.AvailabilityZone
	// Address and AgentAddress are the listening addresses; empty means a free port
	// on loopback.
	Address      string
	AgentAddress string
	// Slots is the number of statements that execute at once.
	Slots int
	// Connections is the number of connections that the member accepts.
	Connections int
	// ConnectDelay is the time that a new connection costs.
	ConnectDelay time.Duration
	// IdleTransaction is the time after which a caller that is silent in a write
	// transaction is disconnected. Such a transaction blocks all other writes of the
	// member, because SQLite has one writer where PostgreSQL locks rows.
	IdleTransaction time.Duration
	// ShipDelay is the time from a commit on the primary until this member receives it.
	ShipDelay time.Duration
	// Lag is the time from receiving an entry until applying it.
	Lag time.Duration
}

// Defaults of members.
const (
	DefaultSlots       = 4
	DefaultConnections = 50
	// DefaultIdleTransaction is above the time that a pooled transaction waits
	// between statements and below writerTimeout.
	DefaultIdleTransaction = 10 * time.Second
)

// Group is a running database group.
type Group struct {
	cfg       Config
	log       zerolog.Logger
	network   *Network
	members   map[ident.UpstreamName]*Member
	directory string
	temporary bool

	markersMu sync.Mutex
	markers   map[string]int
}

// Start starts all members of a group on the given network.
func Start(cfg Config, network *Network) (*Group, error) {
	g := &Group{
		cfg: cfg, log: cfg.Log, network: network, directory: cfg.Directory,
		members: map[ident.UpstreamName]*Member{}, markers: map[string]int{},
	}
	if len(cfg.Members) == 0 {
		return nil, errors.Newf("group %s has no members", cfg.Name)
	}
	if g.directory == "" {
		directory, err := os.MkdirTemp("", "rosemarywall-standin-")
		if err != nil {
			return nil, errors.Wrap(err, "create database directory")
		}
		g.directory, g.temporary = directory, true
	}
	for _, memberConfig := range cfg.Members {
		m, err := g.newMember(memberConfig)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.members[m.name] = m
	}
	for _, m := range g.members {
		if err := m.start(); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

func (g *Group) newMember(cfg MemberConfig) (*Member, error) {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Connections <= 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.IdleTransaction <= 0 {
		cfg.IdleTransaction = DefaultIdleTransaction
	}
	directory := filepath.Join(g.directory, string(g.cfg.Name)+"-"+string(cfg.Name))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, errors.Wrap(err, "create database directory")
	}
	store, err := openStore(directory)
	if err != nil {
		return nil, err
	}
	m := &Member{
		group: g, name: cfg.Name, cfg: cfg, address: cfg.Address, agentAddress: cfg.AgentAddress,
		store: store, catalog: newCatalog(), writer: semaphore.NewWeighted(1), slots: semaphore.NewWeighted(int64(cfg.Slots)),
		term: 1, role: group.RoleReplica, following: g.cfg.Members[0].Name, log: newEntryLog(),
		shipping: cfg.ShipDelay, lag: cfg.Lag, asOf: time.Now(), changed: make(chan struct{}),
		faults: map[faultTarget]*answerFault{}, sessions: map[int32]*session{}, sockets: map[*session]struct{}{},
	}
	if cfg.Name == g.cfg.Members[0].Name {
		m.role = group.RolePrimary
	}
	m.log.append(entry{point: ident.LogPoint{Term: 1, Position: 1}, committed: time.Now(), received: time.Now()})
	m.applied = m.log.last()
	return m, nil
}

// Object is the value of the platform's group object.
type Object struct {
	Term     ident.Term         `json:"term"`
	Primary  ident.UpstreamName `json:"primary"`
	State    string             `json:"state"`
	Proposer string             `json:"proposer,omitempty"`
	Writer   string             `json:"writer"`
}

// InitialObject is the value of group/<name> when the group starts.
func (g *Group) InitialObject() json.RawMessage {
	object := Object{Term: 1, Primary: g.cfg.Members[0].Name, State: "serving", Writer: "standin"}
	encoded, _ := json.Marshal(object)
	return encoded
}

// Name returns the name of the group.
func (g *Group) Name() ident.GroupName { return g.cfg.Name }

// Member returns a member, or nil.
func (g *Group) Member(name ident.UpstreamName) *Member { return g.members[name] }

// Members returns all members ordered by name.
func (g *Group) Members() []*Member {
	members := make([]*Member, 0, len(g.members))
	for _, m := range g.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].name < members[j].name })
	return members
}

// Network returns the conditions of the group's links.
func (g *Group) Network() *Network { return g.network }

// Close kills all members and removes the temporary directory.
func (g *Group) Close() {
	for _, m := range g.members {
		m.Kill()
		m.release()
		m.store.closeConns()
	}
	if g.temporary {
		_ = os.RemoveAll(g.directory)
	}
}
