package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	KillVM        Kind = "kill-vm"
	StopVM        Kind = "stop-vm" // SIGTERM, and SIGKILL after the grace time
	PauseVM       Kind = "pause-vm"
	KillAll       Kind = "kill-all"
	StoreDown     Kind = "store-down"
	StoreLoses    Kind = "store-loses" // answers of writes
	StoreForgets  Kind = "store-forgets"
	CutStore      Kind = "cut-store" // of one VM
	CutUpstream   Kind = "cut-upstream"
	CrashUpstream Kind = "crash-upstream"
	CrashPrimary  Kind = "crash-primary"
	DeafReplica   Kind = "deaf-replica"
	LagReplica    Kind = "lag-replica"
	LoseAnswers   Kind = "lose-answers"
	LosePromotion Kind = "lose-promotion"
	Reconfigure   Kind = "reconfigure"
	WithdrawKey   Kind = "withdraw-key"
	// RestoreStore brings the store back from an older copy, and Evacuate requests that a
	// zone is left until the end of the run.
	RestoreStore Kind = "restore-store"
	Evacuate     Kind = "evacuate"
	// OddEntry leaves an entry of another writer among those of the members or the
	// evacuations, also in place of a member's.
	OddEntry Kind = "odd-entry"
	// RestartInOutage withdraws a key, takes the store away and kills a VM several times
	// meanwhile, the last time right before the store returns.
	RestartInOutage Kind = "restart-in-outage"
)

var kinds = []Kind{
	KillVM, StopVM, PauseVM, KillAll, StoreDown, StoreLoses, StoreForgets, CutStore, CutUpstream, CrashUpstream,
	CrashPrimary, DeafReplica, LagReplica, LoseAnswers, LosePromotion, Reconfigure, WithdrawKey,
}

// rareKinds have a random source of their own, so that they leave the other faults of a
// seed as they are.
var rareKinds = []Kind{RestoreStore, Evacuate}

// storeKinds and outageKinds have one each, too.
var (
	storeKinds  = []Kind{OddEntry}
	outageKinds = []Kind{RestartInOutage}
)

// Fault is one planned fault.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target picks the VM or the upstream; the runner takes it modulo their number.
	Target int
	// Mode is what a cut does.
	Mode Mode
}

const (
	// firstFault leaves the fleet time to start.
	firstFault = time.Second
	// longest bounds a fault, so that several end within a short run.
	longest = 3 * time.Second
	// seriesShare is the part of the faults that are followed by another one of the same
	// kind and target.
	seriesShare = 0.3
	// rareInterval is the mean time between two faults of a rare kind.
	rareInterval = 8 * time.Second
	// stopStream is the random stream of plannedStops, which no other plan or client uses.
	stopStream = 1 << 20
	// outageStream is that of outageKinds. Their long outages excuse many requests around
	// planned stops, so only the seeds outageSeed modulo outageEvery have them.
	outageStream            = stopStream + 1
	outageEvery, outageSeed = 3, 1
)

// NewPlan returns the faults of a seed for a run, in order. On average one begins in
// each second; a series may repeat one while it lasts.
func NewPlan(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var plan []Fault
	for at := firstFault; at < length; at += between(rng, 300*time.Millisecond, 1700*time.Millisecond) {
		f := Fault{
			At: at, For: between(rng, 200*time.Millisecond, longest), Kind: kinds[rng.IntN(len(kinds))],
			Target: rng.IntN(1 << 16), Mode: modes[rng.IntN(len(modes))],
		}
		plan = append(plan, f)
		for next := f; rng.Float64() < seriesShare; {
			next.At += between(rng, 50*time.Millisecond, 800*time.Millisecond)
			plan = append(plan, next)
		}
	}
	plan = append(plan, rareFaults(rand.NewPCG(seed, 2), rareKinds, length)...)
	plan = append(plan, rareFaults(rand.NewPCG(seed, 3), storeKinds, length)...)
	if seed%outageEvery == outageSeed {
		plan = append(plan, rareFaults(rand.NewPCG(seed, outageStream), outageKinds, length)...)
	}
	plan = append(plan, rareFaults(rand.NewPCG(seed, usageStream), usageKinds, length)...)
	plan = append(plan, plannedStops(seed, length)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// rareFaults returns the faults of kinds that come every rareInterval.
func rareFaults(source rand.Source, kinds []Kind, length time.Duration) []Fault {
	rng := rand.New(source)
	var plan []Fault
	for _, kind := range kinds {
		for at := between(rng, firstFault, rareInterval); at < length; at += between(rng, rareInterval/2, 3*rareInterval/2) {
			plan = append(plan, Fault{At: at, For: between(rng, 200*time.Millisecond, longest/2), Kind: kind, Target: rng.IntN(1 << 16)})
		}
	}
	return plan
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}
