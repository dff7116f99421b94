package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	configcontroller "github.com/rosemarywall/rosemarywall/internal/controller/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	standin "github.com/rosemarywall/rosemarywall/internal/standin/platform"
)

// designConfiguration has the given databases in the zones of the design and as
// many organisations as an eighth of them.
func designConfiguration(databases int) *configuration.Configuration {
	random := rand.New(rand.NewPCG(5, 5))
	c := configuration.Empty()
	c.Version = 1
	for z := range DesignZones {
		c.Zones[zoneName(z)] = configuration.Zone{
			Region: ident.Region(fmt.Sprintf("region-%d", z%DesignRegions)), State: configuration.ZoneInService, Weight: DesignZoneVMs,
		}
	}
	for i := range databases {
		name := ident.GroupName(fmt.Sprintf("database-%05d", i))
		d := configuration.Database{Upstreams: map[ident.UpstreamName]configuration.Upstream{}}
		for k := range DesignMembers {
			host := fmt.Sprintf("10.%d.%d.%d", 100+random.IntN(100), random.IntN(250), random.IntN(250))
			d.Upstreams[ident.UpstreamName(fmt.Sprint("member-", k))] = configuration.Upstream{
				Zone: zoneName((i + 7*k) % DesignZones), Address: host + ":5432", Agent: host + ":7400",
				Slots: 2, Connections: 16, State: configuration.UpstreamInService,
			}
		}
		c.Databases[name] = d
		if i%8 == 0 {
			o := configuration.Organisation{Rate: 1000, Burst: 2000, Weight: 1, Keys: map[string]string{}}
			o.Databases = []ident.GroupName{name}
			o.Keys["main"] = fmt.Sprintf("%064x", configuration.HashKey(string(name)))
			c.Organisations[organisationName(i/8)] = o
		}
	}
	return c
}

// configurationCost is what one configuration of a size costs.
type configurationCost struct {
	Encoded, Memory                    float64 // bytes
	Encode, Decode, Apply, DigestTimes time.Duration
}

func measureConfiguration(databases int) (configurationCost, error) {
	c, held := heapOf(func() *configuration.Configuration { return designConfiguration(databases) })
	var encoded []byte
	r := configurationCost{Memory: held}
	r.Encode = timePer(3, func() { encoded = configuration.Encode(c) })
	r.Encoded = float64(len(encoded))
	var err error
	r.Decode = timePer(3, func() { _, err = configuration.Decode(encoded) })
	if err != nil {
		return r, err
	}
	r.DigestTimes = timePer(3, func() { configuration.Digest(c) })
	note, problems := configuration.ParseNote("note", []byte("[note]\ntitle = t\n\n[change upstream database-00000/member-0]\nstate = leaving\n"))
	if len(problems) > 0 {
		return r, errors.Newf("note: %v", problems)
	}
	r.Apply = timePer(3, func() { _, _, problems = configuration.Apply(c, note) })
	if len(problems) > 0 {
		return r, errors.Newf("apply: %v", problems)
	}
	return r, nil
}

// memoryMesh connects controllers in memory, with latency and counters.
type memoryMesh struct {
	*meshNetwork
	self    peer.Member
	handle  map[peer.Kind]func(peer.Member, cbor.RawMessage)
	mailbox chan func()
	traffic atomic.Int64 // bytes sent and received
}

type meshNetwork struct {
	members  []peer.Member
	meshes   map[ident.VMName]*memoryMesh
	messages atomic.Int64
	bytes    atomic.Int64
	mu       sync.Mutex
	links    map[[2]ident.VMName]bool // pairs that have sent in this measurement
}

func newMeshNetwork(zones, perZone int) *meshNetwork {
	n := &meshNetwork{members: fleetOf(zones, perZone), meshes: map[ident.VMName]*memoryMesh{}, links: map[[2]ident.VMName]bool{}}
	for _, m := range n.members {
		n.meshes[m.Name] = &memoryMesh{
			meshNetwork: n, self: m, handle: map[peer.Kind]func(peer.Member, cbor.RawMessage){}, mailbox: make(chan func(), 4096),
		}
	}
	return n
}

// run delivers messages one at a time per VM until ctx ends.
func (m *memoryMesh) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case deliver := <-m.mailbox:
			deliver()
		}
	}
}

func (m *memoryMesh) Self() peer.Member { return m.self }

func (m *memoryMesh) Members() []peer.Member { return slices.Clone(m.members) }

func (m *memoryMesh) Send(_ context.Context, to ident.VMName, kind peer.Kind, body any) error {
	size, err := messageBytes(m.self, kind, body)
	if err != nil {
		return err
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	m.messages.Add(1)
	m.bytes.Add(int64(size))
	m.traffic.Add(int64(size))
	m.meshes[to].traffic.Add(int64(size))
	m.mu.Lock()
	m.links[[2]ident.VMName{m.self.Name, to}] = true
	m.mu.Unlock()
	other := m.meshes[to]
	receive := other.handle[kind]
	if receive == nil {
		return nil
	}
	delay := insideZone
	if other.self.Zone != m.self.Zone {
		delay = betweenZones
	}
	time.AfterFunc(delay, func() { other.mailbox <- func() { receive(m.self, raw) } })
	return nil
}

func (m *memoryMesh) Handle(kind peer.Kind, receive func(peer.Member, cbor.RawMessage)) {
	m.handle[kind] = receive
}

func (m *memoryMesh) Piggyback(peer.Kind, func(ident.VMName) []byte, func(peer.Member, []byte)) {}

func (m *memoryMesh) OnChange(func([]peer.Member)) {}

// configurationRun is what a fleet of configuration controllers showed.
type configurationRun struct {
	VMs                   int
	Messages, Bytes       float64 // per VM and second without notes
	Busiest               float64 // bytes per second sent and received by the busiest VM
	Links                 float64 // VMs to which a VM sent within the run of idleSeconds
	NoteMessages          float64 // per VM and note, above the idle traffic
	NoteBytes             float64
	InForce               time.Duration // worst of the notes
	Processor             time.Duration // per VM and second, this run's mesh and stand-in included
	ReadsIdle, WritesIdle float64       // platform calls per second of the whole fleet
	ReadsNote, WritesNote float64       // platform calls per note, above the idle rate
	notes                 int
}

// settleSeconds let the questions of the start, which go to every VM, come to an end.
const settleSeconds = 12

const idleSeconds = 10

// runConfiguration runs the real controllers in real time with in-memory links and
// a platform stand-in on loopback.
func runConfiguration(zones, perZone, notes int) (configurationRun, error) {
	r := configurationRun{VMs: zones * perZone, notes: notes}
	server, err := standin.Start("127.0.0.1:0")
	if err != nil {
		return r, err
	}
	defer server.Close()
	network := newMeshNetwork(zones, perZone)
	if err := seedTables(server, network, zones); err != nil {
		return r, err
	}
	fleet := newConfigurationFleet(network, server)
	defer fleet.stop()
	if err := fleet.note(firstNote(zones)); err != nil {
		return r, err
	}
	time.Sleep(settleSeconds * time.Second)
	before, start := fleet.counts(), processorTime()
	network.mu.Lock()
	clear(network.links)
	for _, m := range network.meshes {
		m.traffic.Store(0)
	}
	network.mu.Unlock()
	time.Sleep(idleSeconds * time.Second)
	idle := fleet.counts().minus(before)
	per := float64(r.VMs * idleSeconds)
	r.Processor = time.Duration(float64(processorTime()-start) / per)
	r.Messages, r.Bytes = idle.messages/per, idle.bytes/per
	r.ReadsIdle, r.WritesIdle = idle.reads/idleSeconds, idle.writes/idleSeconds
	for _, m := range network.meshes {
		r.Busiest = max(r.Busiest, float64(m.traffic.Load())/idleSeconds)
	}
	network.mu.Lock()
	r.Links = float64(len(network.links)) / float64(r.VMs)
	network.mu.Unlock()
	return r, fleet.measureNotes(&r, idle)
}

func firstNote(zones int) string {
	text := "[note]\ntitle = first\n\n"
	for z := range zones {
		text += fmt.Sprintf("[add zone %s]\nregion = region-%d\n\n", zoneName(z), z%DesignRegions)
	}
	return text
}

func seedTables(server *standin.Server, network *meshNetwork, zones int) error {
	for z := range zones {
		var members []detector.Member
		for _, m := range network.members {
			if m.Zone == zoneName(z) {
				members = append(members, m)
			}
		}
		raw, err := json.Marshal(equalTable(members))
		if err != nil {
			return err
		}
		server.Seed(objectapi.KindShareTable, string(zoneName(z)), raw)
	}
	return nil
}

// configurationFleet is a set of running controllers.
type configurationFleet struct {
	network *meshNetwork
	server  *standin.Server
	vms     []*configcontroller.Controller
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newConfigurationFleet(network *meshNetwork, server *standin.Server) *configurationFleet {
	f := &configurationFleet{network: network, server: server}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i, m := range network.members {
		mesh := network.meshes[m.Name]
		c := configcontroller.New(configcontroller.Options{
			Mesh: mesh, Platform: objectapi.NewHTTPClient(server.Address(), objectapi.WithTimeout(5*time.Second)), Clock: clock.New(),
			Writer: objectapi.NewWriter(string(m.Name), uint64(i)), Seed: uint64(i), ShareTable: tableVMs, Log: zerolog.Nop(),
		})
		f.vms = append(f.vms, c)
	}
	for i, m := range network.members {
		f.running.Go(func() { network.meshes[m.Name].run(ctx) })
		f.running.Go(func() { _ = f.vms[i].Run(ctx) })
	}
	return f
}

func tableVMs(raw json.RawMessage) ([]ident.VMName, error) {
	var table shares.Table
	err := json.Unmarshal(raw, &table)
	var names []ident.VMName
	for _, row := range table.Rows {
		names = append(names, row.VM)
	}
	return names, err
}

func (f *configurationFleet) stop() {
	f.cancel()
	f.running.Wait()
}

// note applies a release note at the first VM, repeatedly while the fleet starts.
func (f *configurationFleet) note(text string) error {
	var result configcontroller.Result
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		result = f.vms[0].Apply(ctx, "note", []byte(text))
		cancel()
		if result.Accepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.Newf("note not accepted: %+v", result)
}

// awaitAll waits until every VM has the version in force.
func (f *configurationFleet) awaitAll(version ident.ConfigurationVersion) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		missing := 0
		for _, vm := range f.vms {
			if vm.Current().Version < version {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return errors.New("a note is not in force everywhere after 20 s")
}

// fleetCounts are totals of a fleet.
type fleetCounts struct{ messages, bytes, reads, writes float64 }

func (c fleetCounts) minus(d fleetCounts) fleetCounts {
	return fleetCounts{c.messages - d.messages, c.bytes - d.bytes, c.reads - d.reads, c.writes - d.writes}
}

func (f *configurationFleet) counts() fleetCounts {
	reads, writes := platformCalls(f.server.Calls().String())
	return fleetCounts{float64(f.network.messages.Load()), float64(f.network.bytes.Load()), reads, writes}
}

// platformCalls adds the counters of calls by kind.
func platformCalls(counters string) (reads, writes float64) {
	var calls map[string]float64
	if json.Unmarshal([]byte(counters), &calls) != nil {
		return 0, 0
	}
	for kind, n := range calls {
		switch objectapi.CallKind(kind) {
		case objectapi.CallPut, objectapi.CallDelete, objectapi.CallAnnounce:
			writes += n
		default:
			reads += n
		}
	}
	return reads, writes
}

// measureNotes applies notes and takes the idle traffic off.
func (f *configurationFleet) measureNotes(r *configurationRun, idle fleetCounts) error {
	before, begin := f.counts(), time.Now()
	for i := range r.notes {
		started := time.Now()
		text := fmt.Sprintf("[note]\ntitle = next\n\n[add organisation organisation-%d]\nrate = 10\nburst = 10\ndatabases = shared\n", i)
		if i == 0 {
			text = "[note]\ntitle = database\n\n[add database shared]\n"
		}
		if err := f.note(text); err != nil {
			return err
		}
		if err := f.awaitAll(ident.ConfigurationVersion(i + 2)); err != nil {
			return err
		}
		r.InForce = max(r.InForce, time.Since(started))
	}
	seconds := time.Since(begin).Seconds()
	all := f.counts().minus(before)
	above := func(total, idle float64) float64 { return (total - idle/idleSeconds*seconds) / float64(r.notes) }
	r.NoteMessages = above(all.messages, idle.messages) / float64(r.VMs)
	r.NoteBytes = above(all.bytes, idle.bytes) / float64(r.VMs)
	r.ReadsNote, r.WritesNote = above(all.reads, idle.reads), above(all.writes, idle.writes)
	return nil
}
