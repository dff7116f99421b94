package upstream

import (
	"net"
	"strings"
	"sync"
	"time"
)

// Endpoints of links that are not members.
const (
	// Callers stands for PostgreSQL clients of any zone.
	Callers = "callers"
	// Agents stands for clients of member agents of any zone.
	Agents = "agents"
)

// CallersIn names the PostgreSQL clients of a zone as an endpoint.
func CallersIn(zone string) string { return Callers + "@" + zone }

// AgentsIn names the clients of member agents of a zone as an endpoint.
func AgentsIn(zone string) string { return Agents + "@" + zone }

// Endpoint is the name of the member in links: the group, a slash and the member.
func (m *Member) Endpoint() string { return string(m.group.cfg.Name) + "/" + string(m.name) }

// Network holds the conditions of all links. A link from Callers or Agents
// applies to every zone; both it and the link of the zone are applied.
type Network struct {
	mu      sync.Mutex
	changed chan struct{}
	cut     map[link]bool
	latency map[link]time.Duration
	// zones maps source networks of clients to zones.
	zones []sourceZone
}

type link struct{ from, to string }

type sourceZone struct {
	network *net.IPNet
	zone    string
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{changed: make(chan struct{}), cut: map[link]bool{}, latency: map[link]time.Duration{}}
}

// SetZone declares that clients whose source address is in the network, such as
// 127.0.1.0/24, are in the zone.
func (n *Network) SetZone(network *net.IPNet, zone string) {
	n.change(func() { n.zones = append(n.zones, sourceZone{network, zone}) })
}

// Cut stops or restores one direction of a link. Sockets stay open, and bytes
// are delivered after the link is restored.
func (n *Network) Cut(from, to string, cut bool) {
	n.change(func() { n.cut[link{from, to}] = cut })
}

// CutBoth stops or restores both directions of a link.
func (n *Network) CutBoth(a, b string, cut bool) {
	n.Cut(a, b, cut)
	n.Cut(b, a, cut)
}

// SetLatency sets the delay of one direction of a link.
func (n *Network) SetLatency(from, to string, latency time.Duration) {
	n.change(func() { n.latency[link{from, to}] = latency })
}

func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// conditions returns the state of the link from any of froms to any of tos, and
// a channel that is closed at the next change.
func (n *Network) conditions(froms, tos []string) (cut bool, latency time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range froms {
		for _, to := range tos {
			cut = cut || n.cut[link{from, to}]
			latency += n.latency[link{from, to}]
		}
	}
	return cut, latency, n.changed
}

// clientEndpoints returns the endpoint names of a client by its source address.
func (n *Network) clientEndpoints(class string, remote net.Addr) []string {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return []string{class}
	}
	address := net.ParseIP(strings.Trim(host, "[]"))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, source := range n.zones {
		if source.network.Contains(address) {
			return []string{class, class + "@" + source.zone}
		}
	}
	return []string{class}
}
