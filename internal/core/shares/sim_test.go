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

// mutation is a deliberate fault of the protocol that the properties must catch.
type mutation uint8

const (
	none mutation = iota
	creditTwice
	reclaimAtOnce
	freshBurst
	ignoreVersions
	reclaimListed
)

// simVM is one VM of the simulation.
type simVM struct {
	member  detector.Member
	node    *Node
	started time.Duration
	paused  time.Duration // until
	life    int           // events of earlier lives are dropped
	version ident.ConfigurationVersion
	filled  bool
	listed  bool                  // by the platform
	deaf    bool                  // learns of no configuration
	falsely map[ident.VMName]bool // VMs that this one takes for dead
}

// storedTable is a zone's object at the platform.
type storedTable struct {
	table   Table
	version uint64
}

// sim runs VMs, messages and the platform on virtual time.
type sim struct {
	eventqueue.Queue
	rng      *rand.Rand
	lag      *rand.Rand // of the platform's list
	vms      []*simVM
	tables   map[ident.AvailabilityZone]storedTable
	version  uint64 // of the store
	mutation mutation

	config   *configuration.Configuration
	accepted time.Duration
	// Faults.
	loss, duplicate  float64
	delay, jitter    time.Duration
	cut              map[[2]ident.VMName]bool
	offPlatform      map[ident.VMName]bool
	outage           bool // of the platform
	loseAnswers      float64
	noTransfers      bool
	messages         int
	model            reference
	violation        string
	busyFor, idleFor time.Duration
	busy             int // VM with most of the load
}

// reference admits at most rate*w + burst in every window w: it is a bucket that
// is full at the start.
type reference struct {
	rate, burst, level float64
	at                 time.Duration
}

func (r *reference) advance(now time.Duration) {
	r.level = min(r.burst, r.level+r.rate*(now-r.at).Seconds())
	r.at = now
}

func newSim(seed uint64, zones []int, rate, burst float64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 99)), lag: rand.New(rand.NewPCG(seed, 98)), tables: map[ident.AvailabilityZone]storedTable{},
		cut: map[[2]ident.VMName]bool{}, offPlatform: map[ident.VMName]bool{},
		delay: time.Millisecond, jitter: time.Millisecond,
	}
	s.config = &configuration.Configuration{
		Version:       1,
		Organisations: map[ident.OrganisationName]configuration.Organisation{acme: {Rate: rate, Burst: burst}},
		Zones:         map[ident.AvailabilityZone]configuration.Zone{},
	}
	s.model = reference{rate: rate, burst: burst, level: burst}
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

// on runs an event of a VM; while the VM is paused it waits, after a restart it is
// dropped.
func (s *sim) on(vm *simVM, when time.Duration, run func()) {
	life := vm.life
	var attempt func()
	attempt = func() {
		switch {
		case vm.life != life:
		case vm.paused > s.Now:
			s.Schedule(vm.paused, attempt)
		default:
			run()
		}
	}
	s.Schedule(when, attempt)
}

func (s *sim) run(until time.Duration) { s.Run(until, func() bool { return s.violation != "" }) }

// start gives a VM a new life. Its clock starts at zero.
func (s *sim) start(vm *simVM) {
	vm.life++
	s.list(vm, true)
	vm.member.Incarnation++
	vm.started, vm.paused, vm.filled = s.Now, 0, false
	vm.falsely = map[ident.VMName]bool{}
	vm.node = NewNode(0, vm.member, rand.New(rand.NewPCG(s.rng.Uint64(), 5)))
	vm.version = s.config.Version
	vm.node.SetConfiguration(0, s.config)
	s.on(vm, s.Now+time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), func() { s.tick(vm) })
	s.on(vm, s.Now+time.Second, func() { s.readList(vm) })
}

func (vm *simVM) clock(s *sim) time.Duration { return s.Now - vm.started }

func (s *sim) tick(vm *simVM) {
	now := vm.clock(s)
	var view []detector.Member
	for _, other := range s.vms {
		m := other.member
		if vm.falsely[m.Name] || other.paused > s.Now+2*time.Second || s.cut[[2]ident.VMName{vm.member.Name, m.Name}] {
			m.State = detector.Dead
		}
		view = append(view, m)
	}
	vm.node.SetMembers(now, view)
	if s.mutation == reclaimAtOnce {
		for key := range vm.node.ledger.granted {
			vm.node.ledger.granted[key] = -time.Hour
		}
	}
	actions, asks := vm.node.Tick(now)
	s.fill(vm)
	s.act(vm, actions)
	s.sendAsks(vm, asks)
	s.checkParts()
	s.checkTokens()
	s.on(vm, s.Now+20*time.Millisecond, func() { s.tick(vm) })
}

// fill applies the mutation of a fresh VM that starts with a full burst.
func (s *sim) fill(vm *simVM) {
	b, ok := vm.node.Bucket(acme)
	if s.mutation == freshBurst && ok && !vm.filled && b.burst > 0 {
		b.tokens, vm.filled = b.burst, true
	}
}

func (s *sim) sendAsks(vm *simVM, asks []OutgoingRequest) {
	for _, a := range asks {
		if s.noTransfers {
			continue
		}
		s.send(vm, a.To, func(to *simVM) {
			answer := to.node.HandleBorrowRequest(to.clock(s), vm.member.Name, vm.member.Incarnation, a.Request)
			if s.mutation == ignoreVersions {
				answer.ConfigurationVersion = 1 << 30
			}
			if len(answer.Grants) > 0 {
				s.send(to, vm.member.Name, func(back *simVM) { s.grant(back, to.member.Name, answer) })
			}
		})
	}
}

func (s *sim) grant(vm *simVM, from ident.VMName, g BorrowResponse) {
	now := vm.clock(s)
	credited := vm.node.HandleBorrowResponse(now, from, g)
	if s.mutation == creditTwice && len(credited) == 0 {
		b, _ := vm.node.Bucket(acme)
		b.credits = append(b.credits, &credit{lender: from, amount: g.Grants[0].Amount, until: now + LoanValidity/2})
	}
}

// send delivers a message with the faults in force. Incarnations are part of the
// authenticated connection, so a message never reaches another life.
func (s *sim) send(from *simVM, to ident.VMName, receive func(*simVM)) {
	s.messages++
	for _, vm := range s.vms {
		if vm.member.Name != to || s.cut[[2]ident.VMName{from.member.Name, to}] || s.rng.Float64() < s.loss {
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
			s.on(vm, s.Now+delay, func() { receive(vm) })
		}
	}
}

// act carries out the actions of a ledger.
func (s *sim) act(vm *simVM, a Actions) {
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
	if a.Read && s.reaches(vm) {
		s.Schedule(s.Now+s.latency(), func() { s.answer(vm, start) })
	}
	if a.Write != nil && s.reaches(vm) {
		write := *a.Write
		s.Schedule(s.Now+s.latency(), func() {
			if stored := s.tables[vm.member.Zone]; stored.version == write.BaseVersion {
				s.version++
				s.tables[vm.member.Zone] = storedTable{write.Table.clone(), s.version}
				s.publish(vm)
			}
			if s.rng.Float64() >= s.loseAnswers {
				s.answer(vm, start)
			}
		})
	}
}

// publish sends the stored table to the VMs of the zone.
func (s *sim) publish(from *simVM) {
	stored := s.tables[from.member.Zone]
	for _, other := range s.vms {
		if other != from && other.member.Zone == from.member.Zone {
			s.send(from, other.member.Name, func(to *simVM) {
				to.node.WithLedger(to.clock(s), func(l *Ledger) { l.ObserveTable(to.clock(s), -1, stored.table.clone(), stored.version) })
			})
		}
	}
}

// latency of the platform is milliseconds, rarely seconds.
func (s *sim) latency() time.Duration {
	if s.loseAnswers > 0 && s.rng.IntN(10) == 0 {
		return time.Duration(s.rng.Int64N(int64(4 * time.Second)))
	}
	return 2 * time.Millisecond
}

// answer returns the current table to a VM.
func (s *sim) answer(vm *simVM, start time.Duration) {
	stored := s.tables[vm.member.Zone]
	table := stored.table.clone()
	s.on(vm, s.Now+time.Millisecond, func() {
		vm.node.WithLedger(vm.clock(s), func(l *Ledger) { l.ObserveTable(vm.clock(s), start, table, stored.version) })
	})
}

// serves reports whether a VM takes requests: it runs and its configuration is
// fresh.
func (s *sim) serves(vm *simVM) bool {
	return vm.paused <= s.Now && (vm.version == s.config.Version || s.Now-s.accepted <= MaxStaleness)
}

// take lets a VM admit one request.
func (s *sim) take(vm *simVM) bool {
	b, ok := vm.node.Bucket(acme)
	if !ok || !b.Take(vm.clock(s), 1) {
		return false
	}
	s.model.advance(s.Now)
	s.model.level--
	if s.model.level < -1e-6 && s.violation == "" {
		s.violation = fmt.Sprintf("at %s the fleet admitted %.3f more than rate and burst allow", s.Now, -s.model.level)
	}
	return true
}

// checkTokens compares the tokens that the fleet could spend at once with those
// that the reference has left.
func (s *sim) checkTokens() {
	sum := 0.0
	for _, vm := range s.vms {
		if b, ok := vm.node.Bucket(acme); ok && s.serves(vm) {
			level := b.State(vm.clock(s))
			sum += level.Tokens + level.Borrowed
		}
	}
	s.model.advance(s.Now)
	if sum > s.model.level+1e-6 && s.violation == "" {
		s.violation = fmt.Sprintf("at %s the fleet holds %.3f tokens more than rate and burst allow", s.Now, sum-s.model.level)
	}
}

// checkParts compares the parts in use in each zone with the total.
func (s *sim) checkParts() {
	used := map[ident.AvailabilityZone]uint64{}
	for _, vm := range s.vms {
		if vm.paused <= s.Now {
			parts, _ := vm.node.ledger.ShareUnits(vm.clock(s))
			used[vm.member.Zone] += uint64(parts)
		}
	}
	for zone, sum := range used {
		if sum > TotalShareUnits && s.violation == "" {
			s.violation = fmt.Sprintf("at %s zone %s uses %d parts", s.Now, zone, sum)
		}
	}
}

// accept puts a configuration into force. Each VM learns of it within the
// freshness time, or when it resumes.
func (s *sim) accept(change func(*configuration.Configuration)) {
	next := *s.config
	next.Version++
	next.Organisations = map[ident.OrganisationName]configuration.Organisation{acme: s.config.Organisations[acme]}
	next.Zones = map[ident.AvailabilityZone]configuration.Zone{}
	for name, zone := range s.config.Zones {
		next.Zones[name] = zone
	}
	change(&next)
	s.config, s.accepted = &next, s.Now
	o := next.Organisations[acme]
	s.model.advance(s.Now)
	s.model.rate, s.model.burst = max(s.model.rate, o.Rate), max(s.model.burst, o.Burst)
	s.Schedule(s.Now+MaxStaleness+LoanValidity, func() {
		if s.config.Version == next.Version {
			s.model.advance(s.Now)
			s.model.rate, s.model.burst = o.Rate, o.Burst
			s.model.advance(s.Now)
		}
	})
	for _, vm := range s.vms {
		s.on(vm, s.Now+time.Duration(s.rng.Int64N(int64(MaxStaleness))), func() {
			if vm.version < next.Version && !vm.deaf {
				vm.version = next.Version
				vm.node.SetConfiguration(vm.clock(s), &next)
			}
		})
	}
}
