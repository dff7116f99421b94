package standin

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	api "github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/standin/platform"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// Config names the systems to start.
type Config struct {
	// PlatformAddress is the platform's listening address; empty means a free port
	// on loopback.
	PlatformAddress string
	// ControlAddress is the listening address of the HTTP control API; empty means
	// that there is none.
	ControlAddress string
	Groups         []upstream.Config
	Zones          []ZoneSource
	Links          []Link
}

// ZoneSource declares the zone of callers by their source address.
type ZoneSource struct {
	Zone    string
	Network *net.IPNet
}

// Link is the latency of one direction of a link at start.
type Link struct {
	From, To string
	Latency  time.Duration
}

// Standin is a set of running stand-ins.
type Standin struct {
	// Platform holds the object group/<name> of every group.
	Platform *platform.Server
	Groups   map[ident.GroupName]*upstream.Group
	// Network holds the conditions of the links of all members.
	Network *upstream.Network

	control         *http.Server
	controlListener net.Listener
}

// Start starts the platform and all groups and stores the groups' objects.
func Start(cfg Config) (*Standin, error) {
	server, err := platform.Start(cfg.PlatformAddress)
	if err != nil {
		return nil, err
	}
	s := &Standin{Platform: server, Groups: map[ident.GroupName]*upstream.Group{}, Network: upstream.NewNetwork()}
	for _, zone := range cfg.Zones {
		s.Network.SetZone(zone.Network, zone.Zone)
	}
	for _, link := range cfg.Links {
		s.Network.SetLatency(link.From, link.To, link.Latency)
	}
	if err := s.startGroups(cfg.Groups); err != nil {
		s.Close()
		return nil, err
	}
	if cfg.ControlAddress != "" {
		if err := s.startControl(cfg.ControlAddress); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Standin) startGroups(configs []upstream.Config) error {
	for _, cfg := range configs {
		g, err := upstream.Start(cfg, s.Network)
		if err != nil {
			return err
		}
		s.Groups[g.Name()] = g
		s.Platform.Seed(api.KindGroup, string(g.Name()), g.InitialObject())
	}
	return nil
}

func (s *Standin) startControl(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for control")
	}
	s.controlListener = listener
	s.control = &http.Server{Handler: s.ControlHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.control.Serve(listener) }()
	return nil
}

// ControlAddress is the address of the control API, or empty.
func (s *Standin) ControlAddress() string {
	if s.controlListener == nil {
		return ""
	}
	return s.controlListener.Addr().String()
}

// Close stops everything.
func (s *Standin) Close() {
	if s.control != nil {
		_ = s.control.Close()
	}
	for _, g := range s.Groups {
		g.Close()
	}
	s.Platform.Close()
}
