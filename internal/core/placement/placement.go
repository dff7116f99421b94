// Package placement decides which VMs are hubs, and which hub executes the statements
// of an organisation on an upstream.
//
// Hubs are the largest VMs of each availability zone. They hold the resources that are
// scarce or priced per holder: connections to upstreams, shares of the rates, and
// watches on the platform's store. All VMs accept clients and use the hubs. In a small
// fleet every VM is a hub.
//
// The hubs in an upstream's zone share its connections. Each organisation is assigned a
// home hub by rendezvous hashing weighted by processor capacity, so that its connections
// are reused instead of being closed to make room for another organisation's. If the
// zone has no live hub, the hubs of the same region are used, and otherwise all hubs.
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
	// Cores is the processor capacity. Zero means unknown and counts as one core.
	Cores float64
}

func (v VM) capacity() float64 {
	if v.Cores <= 0 {
		return 1
	}
	return v.Cores
}

// Nearest returns the VMs that share the connections of an upstream: those in its zone,
// otherwise those in its region, otherwise all.
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

// Index returns the index of a VM in a list, or -1.
func Index(vms []VM, name ident.VMName) int {
	return slices.IndexFunc(vms, func(v VM) bool { return v.Name == name })
}

// Rank orders VMs by preference for a key. The fraction of keys for which a VM comes
// first is proportional to its capacity. Removing a VM does not change the order of the
// others.
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

// RankOf returns the position of a VM in the order for a key. A VM that is not in the
// list ranks after all others.
func RankOf(vms []VM, key string, name ident.VMName) int {
	if i := Index(Rank(vms, key), name); i >= 0 {
		return i
	}
	return len(vms)
}

// weight returns the weight of a VM for a key in weighted rendezvous hashing: its
// capacity divided by the negative logarithm of a uniform hash.
func weight(v VM, key string) float64 {
	uniform := (float64(hash(v.Name, key)>>11) + 0.5) / (1 << 53)
	return v.capacity() / -math.Log(uniform)
}

// hash returns a hash of a key and a VM's name.
func hash(name ident.VMName, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	// FNV-1a spreads a difference in the last byte poorly to the high bits, so the
	// result is passed through a finalizer.
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}

// usableConnectionPercent is the percentage of an upstream's connections that the VMs
// use. An upstream keeps the connections of VMs that lost power for some seconds, and
// these VMs need the rest when they return. Some of the rest also serves status
// requests to the upstream.
const usableConnectionPercent = 60

// ConnectionLimit returns the number of connections to an upstream that a VM may hold:
// its share, by capacity, of the usable connections among the VMs that share them. A VM
// that is not among them may hold none.
func ConnectionLimit(limit int, sharing []VM, name ident.VMName) int {
	fraction := capacityFraction(sharing, name)
	if fraction == 0 {
		return 0
	}
	return max(1, int(float64(limit*usableConnectionPercent/100)*fraction))
}

// Share returns the part of the statements on an upstream that a VM executes, or zero if
// it is not among the VMs that share the upstream.
func Share(sharing []VM, name ident.VMName) float64 { return capacityFraction(sharing, name) }

// capacityFraction returns a VM's fraction of the total capacity of the VMs that share
// an upstream, or zero if it is not among them.
func capacityFraction(sharing []VM, name ident.VMName) float64 {
	total, own := 0.0, 0.0
	for _, v := range sharing {
		total += v.capacity()
		if v.Name == name {
			own = v.capacity()
		}
	}
	return own / max(total, math.SmallestNonzeroFloat64)
}

// minDials allows a VM to open a connection while another one waits for a busy slot.
const minDials = 2

// DialLimit returns the number of connections to an upstream that a VM may open
// concurrently: its share of the upstream's slots among the VMs that share its
// connections, but at least minDials. Opening a connection occupies a slot for some
// time.
func DialLimit(slots int, sharing []VM, name ident.VMName) int {
	return max(minDials, int(float64(slots)*capacityFraction(sharing, name)))
}

// SlotMargin is the number of statements above its slots that an upstream may have in
// flight, so that no slot is idle between a response and the next statement.
const SlotMargin = 2

// SlotShare returns the number of statements that a VM may always have in flight at an
// upstream: its share of the slots and SlotMargin among the VMs that share the upstream's
// connections, rounded up.
func SlotShare(slots int, sharing []VM, name ident.VMName) int {
	return max(1, int(math.Ceil(float64(slots+SlotMargin)*capacityFraction(sharing, name)-roundingTolerance)))
}

// SpareConnectionLimit returns the number of connections that a VM which does not share
// the upstream's connections may hold temporarily while the VMs that share them cannot
// reach the upstream. The parameter vms is the number of VMs in the fleet.
func SpareConnectionLimit(limit, vms int) int {
	return max(1, limit*(100-usableConnectionPercent)/100/max(1, vms))
}
