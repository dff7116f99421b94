package peers

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// Lists of the registrations at the store grow with the square of the fleet. Only hubs
// therefore read them; the other VMs request the members from the hub that follows the
// store for their zone.

// MembersRequest requests the VMs that a hub knows.
type MembersRequest struct {
	// Digest identifies the VMs that the requester knows.
	Digest uint64 `cbor:"1,keyasint,omitempty"`
}

// MembersResponse is the response to a MembersRequest.
type MembersResponse struct {
	// Hub is set if the responding VM is a hub. Otherwise the other fields are not valid.
	Hub bool `cbor:"1,keyasint,omitempty"`
	// Unchanged is set if the requester knows the same VMs; Members is then empty.
	Unchanged bool             `cbor:"2,keyasint,omitempty"`
	Members   []relay.Identity `cbor:"3,keyasint,omitempty"`
}

// ServeMembers handles a MembersRequest.
func (p *Peers) ServeMembers(r MembersRequest) MembersResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.joining || placement.Index(p.hubs, p.cfg.Self.VM) < 0 {
		return MembersResponse{}
	}
	if r.Digest == p.membersDigest() {
		return MembersResponse{Hub: true, Unchanged: true}
	}
	response := MembersResponse{Hub: true, Members: []relay.Identity{p.cfg.Self}}
	for _, q := range p.peers {
		response.Members = append(response.Members, q.identity)
	}
	return response
}

// requestMembers updates the other VMs from the relay. It returns false if this VM has to
// read the registrations itself.
func (p *Peers) requestMembers(ctx context.Context) bool {
	from, ok := p.membersRelay()
	if !ok {
		return false
	}
	p.mu.Lock()
	request := MembersRequest{Digest: p.membersDigest()}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var response MembersResponse
	if err := p.Call(ctx, from, KindMembers, request, &response); err != nil || !response.Hub {
		p.cfg.Log.Debug().Err(err).Str("peer", string(from)).Msg("reading members from peer failed")
		return false
	}
	if !response.Unchanged {
		p.applyMembers(response.Members)
	}
	return true
}

// membersRelay returns the hub from which to request the members, unless a read of the
// registrations is due.
func (p *Peers) membersRelay() (ident.VMName, bool) {
	p.mu.Lock()
	mustList := !p.registered || p.cfg.Now() >= p.listedAt+memberRelistInterval || placement.Index(p.hubs, p.cfg.Self.VM) >= 0
	p.mu.Unlock()
	if mustList || p.cfg.Relay == nil {
		return "", false
	}
	return p.cfg.Relay()
}

// nextRead returns the time until the next read of the registrations or of the members of
// a hub.
func (p *Peers) nextRead() time.Duration {
	if _, ok := p.membersRelay(); ok {
		return membersInterval
	}
	return relistInterval
}

// applyMembers adds the VMs of a hub's response, and removes the dead ones that are not
// in it.
func (p *Peers) applyMembers(members []relay.Identity) {
	listed := map[ident.VMName]bool{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		if m.VM == p.cfg.Self.VM || m.Address == "" {
			continue
		}
		listed[m.VM] = true
		if q := p.peers[m.VM]; q == nil || q.identity.Incarnation <= m.Incarnation {
			p.addPeer(m)
		}
	}
	p.removeUnlisted(listed)
	p.updateHubs()
}

// removeUnlisted removes the dead VMs that are not listed; p.mu must be held.
func (p *Peers) removeUnlisted(listed map[ident.VMName]bool) {
	for name, q := range p.peers {
		if !listed[name] && q.dead {
			p.removePeer(q)
		}
	}
}

// membersDigest returns a value that is equal on VMs that know the same VMs, including
// themselves; p.mu must be held.
func (p *Peers) membersDigest() uint64 {
	sum := memberHash(p.cfg.Self) // a sum does not depend on the order of the members
	for _, q := range p.peers {
		sum += memberHash(q.identity)
	}
	return sum
}

func memberHash(i relay.Identity) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.VM))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(i.Address))
	return h.Sum64()
}
