package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// Values of the small deployment.
const (
	usualGraceS  = 6
	usualApplyMS = 3000
	usualRAMMB   = 284
	// statementTime is the work of a member for one statement.
	statementTime = 9 * time.Millisecond
	// routeTimeout limits one statement, and timeLimit the wait of a requester.
	routeTimeout = 800 * time.Millisecond
	timeLimit    = 4 * time.Second
	maxConns     = 16
)

const tenants = 8

func tenantName(n int) string { return fmt.Sprintf("tenant-%d", n) }
func tenantKey(n int) string  { return fmt.Sprintf("key-of-tenant-%d", n) }

// fleet is the system under test with its stand-ins.
type fleet struct {
	directory string
	store     *platformtest.Store
	groups    []*platformtest.Group
	duties    *platformtest.DutyServer
	vms       []*vm
	record    *record
	version   int // of the configuration
	probes    http.Client

	mu sync.Mutex // protects the misses of the VMs
}

// record is the file that holds what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
	from time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, from: time.Now()}, err
}

// add writes a line with the time since the start.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.from).Seconds(), fmt.Sprintf(format, arguments...))
}

// newFleet starts the stand-ins and prepares VMs in turn in the zones.
func newFleet(r *record, vmsPerZone, services int) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{directory: directory, record: r, store: platformtest.NewStore(), probes: http.Client{Timeout: 900 * time.Millisecond}}
	var places []string
	for _, z := range zones {
		places = append(places, z.name)
	}
	for n := range services {
		g := platformtest.NewGroup(f.store, fmt.Sprintf("deckbook-%d", n), places...)
		for _, id := range g.MemberIDs() {
			g.WithMember(id, func(m *platformtest.Member) {
				m.SetMaxConns(maxConns)
				m.SetStatementTime(statementTime)
			})
		}
		f.groups = append(f.groups, g)
	}
	f.duties = platformtest.NewDutyServer(f.groups...)
	f.configure(nil)
	command, err := deployCommand()
	if err != nil {
		return f, err
	}
	prefix, err := freePrefix(vmsPerZone * len(zones))
	if err != nil {
		return f, err
	}
	var seeds []string
	for n := range len(zones) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", prefix, n+1, controlPort))
	}
	for n := range vmsPerZone * len(zones) {
		zone := zones[n%len(zones)].name
		v, err := newVM(directory, command, settings{
			node: fmt.Sprintf("front-%s-%d", zone, n/len(zones)+1), ip: fmt.Sprintf("%s.%d", prefix, n+1), zone: zone,
			storeAddress: f.store.Address(), dutyAddress: f.duties.Address(), graceS: usualGraceS, applyMS: usualApplyMS, ramMB: usualRAMMB, seeds: seeds,
		})
		if err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// freePrefix returns the first three numbers of n loopback addresses whose ports are free.
func freePrefix(n int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), 1+rand.IntN(254))
		free := true
		for i := range n {
			for _, port := range []int{frontPort, readyPort, firstPeerPort} {
				l, err := net.Listen("tcp4", net.JoinHostPort(fmt.Sprintf("%s.%d", prefix, i+1), strconv.Itoa(port)))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// routeTypes are the types of the routes of each service.
var routeTypes = []string{"primary", "bounded_staleness", "read_your_writes"}

func databaseName(group, kind int) string { return fmt.Sprintf("db%d%d", group, kind) }

// configure writes the next version of the configuration, without the keys of the tenants in
// dropped.
func (f *fleet) configure(dropped map[int]bool) {
	f.version += 7
	var routes, services, organisations []any
	for n, g := range f.groups {
		for k, kind := range routeTypes {
			routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%d-%d", n, k), "host": databaseName(n, k), "path_prefix": "/", "type": kind,
				"timeout_ms": routeTimeout.Milliseconds(), "slo_ms": 800, "prio": 1, "upstream": g.Name, "max_attempts": 2,
				"max_staleness_ms": 1500, "public": false, "home_regions": []string{}})
		}
		services = append(services, map[string]any{"name": g.Name, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false,
			"warmup_s": 0.0, "cold_per_s": 0.0, "sync_replicas": 1})
	}
	for n := range tenants {
		keys := []string{tenantKey(n)}
		if dropped[n] {
			keys = []string{}
		}
		organisations = append(organisations, map[string]any{"name": tenantName(n), "api_keys": keys, "prio": 1,
			"rate_per_s": 1000, "burst": 1000, "home_regions": []string{}})
	}
	f.store.Set("config", "main", map[string]any{"version": f.version, "routes": routes, "upstreams": services, "tenants": organisations,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_ms": 3000, "idle_ms": 15000, "tx_idle_ms": 3000}})
}

// start starts all VMs, waits until all are ready and follows their readiness until ctx ends.
func (f *fleet) start(ctx context.Context) error {
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range f.vms {
			if v.ready(&f.probes) {
				ready++
			}
		}
		if ready == len(f.vms) {
			break
		}
		if time.Now().After(end) {
			return errors.Newf("%d of %d VMs are ready", ready, len(f.vms))
		}
	}
	for _, v := range f.vms {
		go f.followReadiness(ctx, v)
	}
	return nil
}

// followReadiness probes a VM once a second.
func (f *fleet) followReadiness(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		ok := v.ready(&f.probes)
		f.mu.Lock()
		if v.misses++; ok {
			v.misses = 0
		}
		f.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// entry returns the VM for a new connection of a requester, as the ingress selects it.
func (f *fleet) entry(zone string, hash int) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, rotation []*vm
	for _, v := range f.vms {
		if v.settings.zone != zone {
			continue
		}
		all = append(all, v)
		if v.misses < 2 {
			rotation = append(rotation, v)
		}
	}
	if len(rotation)*2 < len(all) {
		rotation = all
	}
	return rotation[hash%len(rotation)]
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.close()
	}
	if f.duties != nil {
		f.duties.Close()
	}
	for _, g := range f.groups {
		g.Close()
	}
	f.store.Close()
	_ = os.RemoveAll(f.directory)
}
