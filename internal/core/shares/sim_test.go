package shares

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/core/eventqueue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const acme ident.OrganisationName = "acme"

// mutation is a deliberate protocol fault that the properties must detect.
type mutation uint8

const (
	noMutation mutation = iota
	creditLateOrRepeated
	reclaimImmediately
	startWithFullBurst
	ignoreConfigurationVersion
	reclaimListedVMs
)

// simVM is one VM of the simulation.
type simVM struct {
	member               detector.Member
	node                 *Node
	startedAt            time.Duration
	pausedUntil          time.Duration
	incarnation          int // events of earlier incarnations are dropped; also counts removals
	version              ident.ConfigurationVersion
	filled               bool
	listed               bool                  // in the platform's list
	configurationBlocked bool                  // does not receive configurations
	falselySuspected     map[ident.VMName]bool // running VMs that this one sees as dead
}

// storedTable is a zone's object in the platform's store.
type storedTable struct {
	table   Table
	version uint64
}

// sim simulates VMs, messages and the platform on virtual time.
type sim struct {
	eventqueue.Queue
	rng      *rand.Rand
	listRng  *rand.Rand // for the delay of the platform's list
	vms      []*simVM
	tables   map[ident.AvailabilityZone]storedTable
	version  uint64 // of the store
	mutation mutation

	config     *configuration.Configuration
	acceptedAt time.Duration
	// Faults.
	loss, duplicate     float64
	delay, jitter       time.Duration
	blocked             map[[2]ident.VMName]bool
	platformUnreachable map[ident.VMName]bool
	platformOutage      bool
	responseLoss        float64
	transfersDisabled   bool
	messages            int
	reference           referenceBucket
	violation           string
	busyFor, idleFor    time.Duration
	busyVM              int // index of the VM with most of the load
}

// referenceBucket is a token bucket that is full at the start, so that it admits at
// most rate*w + burst in every window w.
type referenceBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Duration
}

func (r *referenceBucket) advance(now time.Duration) {
	r.tokens = min(r.burst, r.tokens+r.rate*(now-r.updatedAt).Seconds())
	r.updatedAt = now
}

func newSim(seed uint64, zones []int, rate, burst float64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 99)), listRng: rand.New(rand.NewPCG(seed, 98)), tables: map[ident.AvailabilityZone]storedTable{},
		blocked: map[[2]ident.VMName]bool{}, platformUnreachable: map[ident.VMName]bool{},
		delay: time.Millisecond, jitter: time.Millisecond,
	}
	s.config = &configuration.Configuration{
		Version:       1,
		Organisations: map[ident.OrganisationName]configuration.Organisation{acme: {Rate: rate, Burst: burst}},
		Zones:         map[ident.AvailabilityZone]configuration.Zone{},
	}
	s.reference = referenceBucket{rate: rate, burst: burst, tokens: burst}
	for z, count := range zones {
		zone := ident.AvailabilityZone(fmt.Sprint("zone-", z))
		s.config.Zones[zone] = configuration.Zone{Weight: count, State: configuration.ZoneInService}
		for i := range count {
			s.vms = append(s.vms, &simVM{member: detector.Member{Name: ident.VMName(fmt.Sprintf("vm-%d-%d", z, i)), Zone: zone}})
		}
	}
	for _, vm := range s.vms {
		s.start(vm)
	}
	return s
}

// schedule adds an event of a VM. The event is delayed while the VM is paused and
// dropped after a restart.
func (s *sim) schedule(vm *simVM, when time.Duration, run func()) {
	incarnation := vm.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case vm.incarnation != incarnation:
		case vm.pausedUntil > s.Now:
			s.Schedule(vm.pausedUntil, attempt)
		default:
			run()
		}
	}
	s.Schedule(when, attempt)
}

func (s *sim) run(until time.Duration) { s.Run(until, func() bool { return s.violation != "" }) }

// start starts a new incarnation of a VM. Its clock starts at zero.
func (s *sim) start(vm *simVM) {
	vm.incarnation++
	s.setListed(vm, true)
	vm.member.Incarnation++
	vm.startedAt, vm.pausedUntil, vm.filled = s.Now, 0, false
	vm.falselySuspected = map[ident.VMName]bool{}
	vm.node = NewNode(0, vm.member, rand.New(rand.NewPCG(s.rng.Uint64(), 5)))
	vm.version = s.config.Version
	vm.node.SetConfiguration(0, s.config)
	s.schedule(vm, s.Now+time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), func() { s.tick(vm) })
	s.schedule(vm, s.Now+time.Second, func() { s.readList(vm) })
}

func (vm *simVM) clock(s *sim) time.Duration { return s.Now - vm.startedAt }

func (s *sim) tick(vm *simVM) {
	now := vm.clock(s)
	var view []detector.Member
	for _, other := range s.vms {
		m := other.member
		if vm.falselySuspected[m.Name] || other.pausedUntil > s.Now+2*time.Second || s.blocked[[2]ident.VMName{vm.member.Name, m.Name}] {
			m.State = detector.Dead
		}
		view = append(view, m)
	}
	vm.node.SetMembers(now, view)
	if s.mutation == reclaimImmediately {
		for key := range vm.node.ledger.grantedAt {
			vm.node.ledger.grantedAt[key] = -time.Hour
		}
	}
	actions, requests := vm.node.Tick(now)
	s.fillNewBucket(vm)
	s.performActions(vm, actions)
	s.sendBorrowRequests(vm, requests)
	s.checkShareUnits()
	s.checkTokens()
	s.schedule(vm, s.Now+20*time.Millisecond, func() { s.tick(vm) })
}

// fillNewBucket applies the mutation startWithFullBurst.
func (s *sim) fillNewBucket(vm *simVM) {
	b, ok := vm.node.Bucket(acme)
	if s.mutation == startWithFullBurst && ok && !vm.filled && b.burst > 0 {
		b.tokens, vm.filled = b.burst, true
	}
}

func (s *sim) sendBorrowRequests(vm *simVM, requests []OutgoingRequest) {
	for _, request := range requests {
		if s.transfersDisabled {
			continue
		}
		s.send(vm, request.To, func(to *simVM) {
			response := to.node.HandleBorrowRequest(to.clock(s), vm.member.Name, vm.member.Incarnation, request.Request)
			if s.mutation == ignoreConfigurationVersion {
				response.ConfigurationVersion = 1 << 30
			}
			if len(response.Grants) > 0 {
				s.send(to, vm.member.Name, func(back *simVM) { s.credit(back, to.member.Name, response) })
			}
		})
	}
}

func (s *sim) credit(vm *simVM, from ident.VMName, g BorrowResponse) {
	now := vm.clock(s)
	credited := vm.node.HandleBorrowResponse(now, from, g)
	if s.mutation == creditLateOrRepeated && len(credited) == 0 {
		b, _ := vm.node.Bucket(acme)
		b.credits = append(b.credits, &credit{lender: from, amount: g.Grants[0].Amount, expiresAt: now + LoanValidity/2})
	}
}

// send delivers a message subject to the present faults. Incarnations are part of the
// authenticated connection, so a message never reaches another incarnation.
func (s *sim) send(from *simVM, to ident.VMName, receive func(*simVM)) {
	s.messages++
	for _, vm := range s.vms {
		if vm.member.Name != to || s.blocked[[2]ident.VMName{from.member.Name, to}] || s.rng.Float64() < s.loss {
			continue
		}
		copies := 1
		if s.rng.Float64() < s.duplicate {
			copies = 2
		}
		for range copies {
			delay := s.delay + time.Duration(s.rng.Int64N(int64(s.jitter)+1))
			if from.member.Zone != vm.member.Zone {
				delay *= 3
			}
			s.schedule(vm, s.Now+delay, func() { receive(vm) })
		}
	}
}

// performActions performs the actions of a ledger.
func (s *sim) performActions(vm *simVM, a Actions) {
	start, name := vm.clock(s), vm.member.Name
	if a.LeaseRequest != nil {
		incarnation := vm.member.Incarnation
		s.send(vm, a.Lessor, func(to *simVM) {
			grant, ok := to.node.ledger.HandleLeaseRequest(to.clock(s), name, incarnation, *a.LeaseRequest)
			if ok {
				s.send(to, name, func(back *simVM) {
					back.node.WithLedger(back.clock(s), func(l *Ledger) { l.HandleLeaseGrant(back.clock(s), to.member.Name, grant) })
				})
			}
		})
	}
	if a.Read && s.reachesPlatform(vm) {
		s.Schedule(s.Now+s.latency(), func() { s.respondWithTable(vm, start) })
	}
	if a.Write != nil && s.reachesPlatform(vm) {
		write := *a.Write
		s.Schedule(s.Now+s.latency(), func() {
			if stored := s.tables[vm.member.Zone]; stored.version == write.BaseVersion {
				s.version++
				s.tables[vm.member.Zone] = storedTable{write.Table.clone(), s.version}
				s.sendTable(vm)
			}
			if s.rng.Float64() >= s.responseLoss {
				s.respondWithTable(vm, start)
			}
		})
	}
}

// sendTable sends the stored table to the VMs of the zone.
func (s *sim) sendTable(from *simVM) {
	stored := s.tables[from.member.Zone]
	for _, other := range s.vms {
		if other != from && other.member.Zone == from.member.Zone {
			s.send(from, other.member.Name, func(to *simVM) {
				to.node.WithLedger(to.clock(s), func(l *Ledger) { l.ObserveTable(to.clock(s), -1, stored.table.clone(), stored.version) })
			})
		}
	}
}

// latency returns the delay of a platform call: 2 ms, or up to 4 s for one in ten
// calls while responses are lost.
func (s *sim) latency() time.Duration {
	if s.responseLoss > 0 && s.rng.IntN(10) == 0 {
		return time.Duration(s.rng.Int64N(int64(4 * time.Second)))
	}
	return 2 * time.Millisecond
}

// respondWithTable delivers the current table to a VM.
func (s *sim) respondWithTable(vm *simVM, start time.Duration) {
	stored := s.tables[vm.member.Zone]
	table := stored.table.clone()
	s.schedule(vm, s.Now+time.Millisecond, func() {
		vm.node.WithLedger(vm.clock(s), func(l *Ledger) { l.ObserveTable(vm.clock(s), start, table, stored.version) })
	})
}

// serves reports whether a VM accepts requests: it runs and its configuration is
// current or stale for at most MaxStaleness.
func (s *sim) serves(vm *simVM) bool {
	return vm.pausedUntil <= s.Now && (vm.version == s.config.Version || s.Now-s.acceptedAt <= MaxStaleness)
}

// take admits one request at a VM, if it has a token.
func (s *sim) take(vm *simVM) bool {
	b, ok := vm.node.Bucket(acme)
	if !ok || !b.Take(vm.clock(s), 1) {
		return false
	}
	s.reference.advance(s.Now)
	s.reference.tokens--
	if s.reference.tokens < -1e-6 && s.violation == "" {
		s.violation = fmt.Sprintf("at %s the fleet admitted %.3f more than rate and burst allow", s.Now, -s.reference.tokens)
	}
	return true
}

// checkTokens checks that the tokens of all VMs together do not exceed those of the
// reference bucket.
func (s *sim) checkTokens() {
	sum := 0.0
	for _, vm := range s.vms {
		if b, ok := vm.node.Bucket(acme); ok && s.serves(vm) {
			level := b.State(vm.clock(s))
			sum += level.Tokens + level.Borrowed
		}
	}
	s.reference.advance(s.Now)
	if sum > s.reference.tokens+1e-6 && s.violation == "" {
		s.violation = fmt.Sprintf("at %s the fleet holds %.3f tokens more than rate and burst allow", s.Now, sum-s.reference.tokens)
	}
}

// checkShareUnits checks that the share units in use in each zone do not exceed
// TotalShareUnits.
func (s *sim) checkShareUnits() {
	used := map[ident.AvailabilityZone]uint64{}
	for _, vm := range s.vms {
		if vm.pausedUntil <= s.Now {
			units, _ := vm.node.ledger.ShareUnits(vm.clock(s))
			used[vm.member.Zone] += uint64(units)
		}
	}
	for zone, sum := range used {
		if sum > TotalShareUnits && s.violation == "" {
			s.violation = fmt.Sprintf("at %s zone %s uses %d share units", s.Now, zone, sum)
		}
	}
}

// acceptConfiguration puts a configuration into force. Each VM receives it within
// MaxStaleness, or when it resumes after a pause.
func (s *sim) acceptConfiguration(change func(*configuration.Configuration)) {
	next := *s.config
	next.Version++
	next.Organisations = map[ident.OrganisationName]configuration.Organisation{acme: s.config.Organisations[acme]}
	next.Zones = map[ident.AvailabilityZone]configuration.Zone{}
	for name, zone := range s.config.Zones {
		next.Zones[name] = zone
	}
	change(&next)
	s.config, s.acceptedAt = &next, s.Now
	o := next.Organisations[acme]
	s.reference.advance(s.Now)
	s.reference.rate, s.reference.burst = max(s.reference.rate, o.Rate), max(s.reference.burst, o.Burst)
	s.Schedule(s.Now+MaxStaleness+LoanValidity, func() {
		if s.config.Version == next.Version {
			s.reference.advance(s.Now)
			s.reference.rate, s.reference.burst = o.Rate, o.Burst
			s.reference.advance(s.Now)
		}
	})
	for _, vm := range s.vms {
		s.schedule(vm, s.Now+time.Duration(s.rng.Int64N(int64(MaxStaleness))), func() {
			if vm.version < next.Version && !vm.configurationBlocked {
				vm.version = next.Version
				vm.node.SetConfiguration(vm.clock(s), &next)
			}
		})
	}
}
