// Package placement decides which VM executes for an organisation at an upstream.
//
// The VMs in an upstream's availability zone share its connections. Each
// organisation has a home among them by rendezvous hash, so that its connections are
// used again instead of being closed for another organisation's. Without a live VM
// in the zone, the VMs of the same region and then all VMs take the zone's place.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// VM is a live VM.
type VM struct {
	Name   ident.VMName
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// Near returns the VMs that share the connections of an upstream.
func Near(vms []VM, zone ident.AvailabilityZone, region ident.Region) []VM {
	for _, match := range []func(VM) bool{
		func(v VM) bool { return v.Zone == zone },
		func(v VM) bool { return v.Region == region },
	} {
		if near := filter(vms, match); len(near) > 0 {
			return near
		}
	}
	return vms
}

func filter(vms []VM, match func(VM) bool) []VM {
	var out []VM
	for _, v := range vms {
		if match(v) {
			out = append(out, v)
		}
	}
	return out
}

// Index returns the place of a VM in a list, or -1.
func Index(vms []VM, name ident.VMName) int {
	return slices.IndexFunc(vms, func(v VM) bool { return v.Name == name })
}

// Rank orders VMs by preference for a key; the order of the others does not change
// when one leaves.
func Rank(vms []VM, key string) []VM {
	out := slices.Clone(vms)
	slices.SortStableFunc(out, func(a, b VM) int {
		return cmp.Or(cmp.Compare(weight(b.Name, key), weight(a.Name, key)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// weight is the rendezvous weight of a VM for a key.
func weight(name ident.VMName, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	// FNV changes the high bits little for names that differ in the last byte.
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}

// usableShare (of 100) is the part of an upstream's connections that the VMs use. An
// upstream keeps the connections of VMs that lost power for some seconds, so the
// rest is what they start with when they return; some also serve questions about
// the upstream's status.
const usableShare = 60

// Connections returns the number of an upstream's connections that each of the
// sharing VMs may hold.
func Connections(limit, sharing int) int {
	return max(1, limit*usableShare/100/max(1, sharing))
}

// SpareConnections returns the number of connections that a VM which does not share
// the upstream's connections may hold for a while, because those that do cannot
// reach it. live is the number of live VMs.
func SpareConnections(limit, live int) int {
	return max(1, limit*(100-usableShare)/100/max(1, live))
}
