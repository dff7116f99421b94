package standin

import (
	"github.com/rosemarywall/rosemarywall/internal/ident"
	api "github.com/rosemarywall/rosemarywall/internal/platform"
	"github.com/rosemarywall/rosemarywall/internal/standin/platform"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// Config names the systems to start.
type Config struct {
	// PlatformAddress is the platform's listening address; empty means a free port
	// on loopback.
	PlatformAddress string
	Groups          []upstream.Config
}

// Standin is a set of running stand-ins.
type Standin struct {
	// Platform holds the object group/<name> of every group.
	Platform *platform.Server
	Groups   map[ident.GroupName]*upstream.Group
	// Network holds the conditions of the links of all members. Links are named by
	// member, so members of different groups need different names to be told apart.
	Network *upstream.Network
}

// Start starts the platform and all groups and stores the groups' objects.
func Start(cfg Config) (*Standin, error) {
	server, err := platform.Start(cfg.PlatformAddress)
	if err != nil {
		return nil, err
	}
	s := &Standin{Platform: server, Groups: map[ident.GroupName]*upstream.Group{}, Network: upstream.NewNetwork()}
	for _, groupConfig := range cfg.Groups {
		g, err := upstream.Start(groupConfig, s.Network)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Groups[g.Name()] = g
		server.Seed(api.KindGroup, string(g.Name()), g.InitialObject())
	}
	return s, nil
}

// Close stops everything.
func (s *Standin) Close() {
	for _, g := range s.Groups {
		g.Close()
	}
	s.Platform.Close()
}
