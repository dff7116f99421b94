// Package placement decides which VMs are hubs, and which hub executes for an
// organisation at an upstream.
//
// Hubs are the largest VMs of each availability zone. They hold what is scarce or
// priced for each holder: connections to upstreams, parts of the rates, and watches
// at the platform's store. All VMs accept callers and use the hubs; a fleet that is
// small enough consists of hubs only.
//
// The hubs in an upstream's zone share its connections. Each organisation has a home
// among them by rendezvous hash, weighted by processor capacity, so that its
// connections are used again instead of being closed for another organisation's.
// Without a live hub in the zone, the hubs of the same region and then all hubs take
// the zone's place.
package placement

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// VM is a VM of the fleet.
type VM struct {
	Name   ident.VMName
	Zone   ident.AvailabilityZone
	Region ident.Region
	// Cores is the processor capacity; zero means unknown and counts as one core.
	Cores float64
}

func (v VM) capacity() float64 {
	if v.Cores <= 0 {
		return 1
	}
	return v.Cores
}

// Nearest returns the VMs that share the connections of an upstream.
func Nearest(vms []VM, zone ident.AvailabilityZone, region ident.Region) []VM {
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

// Rank orders VMs by preference for a key; a VM comes first for a share of the keys
// that is proportional to its capacity. The order of the others does not change when
// one leaves.
func Rank(vms []VM, key string) []VM {
	type weighted struct {
		VM
		weight float64
	}
	list := make([]weighted, len(vms))
	for i, v := range vms {
		list[i] = weighted{v, weight(v, key)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	out := make([]VM, len(list))
	for i, w := range list {
		out[i] = w.VM
	}
	return out
}

// RankOf returns the place of a VM in the order for a key; a VM that is not in the
// list comes after all others.
func RankOf(vms []VM, key string, name ident.VMName) int {
	if i := Index(Rank(vms, key), name); i >= 0 {
		return i
	}
	return len(vms)
}

// weight is the weight of a VM for a key in weighted rendezvous hashing: capacity
// over the negative logarithm of a uniform hash.
func weight(v VM, key string) float64 {
	uniform := (float64(hash(v.Name, key)>>11) + 0.5) / (1 << 53)
	return v.capacity() / -math.Log(uniform)
}

// hash mixes a key with a VM's name.
func hash(name ident.VMName, key string) uint64 {
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

// ConnectionLimit returns the number of an upstream's connections that a VM may hold: its
// part of the usable ones by capacity among the VMs that share them. A VM that is not
// among them may hold none.
func ConnectionLimit(limit int, sharing []VM, name ident.VMName) int {
	part := share(sharing, name)
	if part == 0 {
		return 0
	}
	return max(1, int(float64(limit*usableShare/100)*part))
}

// share returns a VM's part of the capacity of those that share an upstream; zero for
// one that is not among them.
func share(sharing []VM, name ident.VMName) float64 {
	total, own := 0.0, 0.0
	for _, v := range sharing {
		total += v.capacity()
		if v.Name == name {
			own = v.capacity()
		}
	}
	return own / max(total, math.SmallestNonzeroFloat64)
}

// minOpenings lets a VM open a connection while another one waits for a busy slot.
const minOpenings = 2

// DialLimit returns the number of connections to an upstream that a VM may open at the
// same time: its part of the upstream's slots among the VMs that share its connections,
// and at least minOpenings. Each takes a slot for some time.
func DialLimit(slots int, sharing []VM, name ident.VMName) int {
	return max(minOpenings, int(float64(slots)*share(sharing, name)))
}

// SpareConnectionLimit returns the number of connections that a VM which does not share
// the upstream's connections may hold for a while, because those that do cannot
// reach it. vms is the number of VMs in the fleet.
func SpareConnectionLimit(limit, vms int) int {
	return max(1, limit*(100-usableShare)/100/max(1, vms))
}
