package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings that the cases use.
const (
	settleTime   = 5 * time.Second // contact_ms and a little more
	revokeBound  = 5 * time.Second // revoke_ms
	idleLimit    = 3 * time.Second // tx_idle_ms
	maxStaleness = 2500 * time.Millisecond

	recoveryBound = 12 * time.Second // recovery_s
)

// Figures of the case shortFreezes.
const (
	freezes        = 40
	freezeInterval = 1900 * time.Millisecond
	freezeTime     = 1100 * time.Millisecond
)

// Databases of the routes.
const (
	primaryDatabase = "lepu270"
	ownDatabase     = "fiti832ti23"
)

type tenant struct {
	Name        string   `json:"name"`
	Keys        []string `json:"api_keys"`
	Priority    int      `json:"prio"`
	Rate        float64  `json:"rate_per_s"`
	Burst       float64  `json:"burst"`
	HomeRegions []string `json:"home_regions"`
}

// writeConfig writes a config in which both routes lead to one service.
func (c *caseRun) writeConfig(version int, routedTo string, tenants ...tenant) {
	route := func(name, host, kind string, slo, priority int) map[string]any {
		r := map[string]any{"name": name, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": c.timeout.Milliseconds(), "slo_ms": slo, "prio": priority,
			"upstream": routedTo, "max_attempts": 2, "public": false, "home_regions": []string{}}
		if kind != "primary" {
			r["max_staleness_ms"] = maxStaleness.Milliseconds()
		}
		return r
	}
	upstreams := []map[string]any{}
	for _, g := range c.services {
		upstreams = append(upstreams, map[string]any{"name": g.name, "health_path": "/health", "max_conns": g.maxConns, "protocol": "h1",
			"tls": false, "warmup_s": 0, "cold_per_s": 0, "sync_replicas": 1})
	}
	for i := range tenants {
		tenants[i].HomeRegions = []string{}
	}
	c.store.set("config", "main", map[string]any{"version": version,
		"routes":    []any{route("r-1", primaryDatabase, "primary", 400, 1), route("r-2", ownDatabase, "read_your_writes", 800, 2)},
		"upstreams": upstreams, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_ms": 3000, "idle_ms": 15000, "tx_idle_ms": idleLimit.Milliseconds()}})
	c.record.note("config %d is confirmed; the routes lead to %s", version, routedTo)
}

func wideTenant(name string, keys ...string) tenant {
	return tenant{Name: name, Keys: keys, Rate: 2000, Burst: 2000}
}

// after waits until a time after the start.
func after(start time.Time, d time.Duration) { time.Sleep(time.Until(start.Add(d))) }

// restartedReplica restarts the replica that holds the newest commits while the other one is
// behind and the primary is dark. No member that runs then holds these commits.
func restartedReplica(c *caseRun) (bool, error) {
	g, err := c.addService("huvo11a", 3, zoneNames...)
	if err != nil {
		return false, err
	}
	c.writeConfig(7, g.name, wideTenant("nypu920", "u6wsjnban"))
	if err := c.startMachines(2); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var writers sync.WaitGroup
	var mu sync.Mutex
	confirmed := map[string]string{} // item by id of the write
	for i, m := range c.machines {
		writers.Go(func() {
			c.write(fmt.Sprintf("requester-%d", i+1), m, "u6wsjnban", end, func(a answer, item string) {
				mu.Lock()
				defer mu.Unlock()
				confirmed[a.id] = item
			})
		})
	}
	time.Sleep(settleTime)
	primary, near, far := g.members[0], g.members[1], g.members[2]
	start := time.Now()
	if c.trouble {
		far.setDeaf(true)
		after(start, 2*time.Second)
		near.stop()
		after(start, 2300*time.Millisecond)
		primary.setDark(true)
		after(start, 3500*time.Millisecond)
		if err := near.startAgain(); err != nil {
			return false, err
		}
		after(start, 6500*time.Millisecond)
		far.setDeaf(false)
		after(start, 9300*time.Millisecond)
		primary.setDark(false)
	}
	after(start, 16*time.Second)
	close(end)
	writers.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	var lost []string
	for _, id := range g.lost {
		if item, ok := confirmed[id]; ok {
			lost = append(lost, id)
			c.record.add("write %s of item %s was confirmed to its requester and is not in the log of the promoted member", id, item)
		}
	}
	c.record.note("%d writes were confirmed to requesters; %d of them are not in the log of the promoted member", len(confirmed), len(lost))
	if len(confirmed) < 100 {
		return false, fmt.Errorf("only %d writes were confirmed", len(confirmed))
	}
	return len(lost) > 0, nil
}

// write sends single writes to new items until end is closed.
func (c *caseRun) write(name string, m *machine, key string, end <-chan struct{}, confirmed func(a answer, item string)) {
	var session *client
	for n := 1; ; n++ {
		select {
		case <-end:
			if session != nil {
				session.close()
			}
			return
		case <-time.After(30 * time.Millisecond):
		}
		if session == nil {
			var err error
			if session, err = dialClient(c.record, name, m.front(), primaryDatabase, key); err != nil {
				session = nil
				continue
			}
		}
		item := fmt.Sprintf("%s.%d", name, n)
		a, err := session.query(fmt.Sprintf("WRITE %s value-%d", item, n))
		switch {
		case err != nil:
			session.close()
			session = nil
		case a.code == "":
			confirmed(a, item)
		}
	}
}

// routeThereAndBack moves a route to another service and back while a replica receives nothing.
func routeThereAndBack(c *caseRun) (bool, error) {
	first, err := c.addService("huvo11a", 3, "hou-pasadena", "dfw-irving", "sat-schertz")
	if err != nil {
		return false, err
	}
	second, err := c.addService("kafi81c", 3, "hou-pasadena", "dfw-irving", "sat-schertz")
	if err != nil {
		return false, err
	}
	owner := wideTenant("nypu920", "u6wsjnban")
	version := 7
	c.writeConfig(version, first.name, owner)
	if err := c.startMachines(2); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var requesters sync.WaitGroup
	var mu sync.Mutex
	reads, stale, moved := 0, 0, 0
	for i, m := range slices.Concat(c.machines, c.machines) {
		requesters.Go(func() {
			r, s, v := c.readOwn(fmt.Sprintf("requester-%d", i+1), m, "u6wsjnban", first, end)
			mu.Lock()
			defer mu.Unlock()
			reads, stale, moved = reads+r, stale+s, moved+v
		})
	}
	time.Sleep(settleTime)
	start := time.Now()
	for round := range 5 {
		began := time.Duration(round) * 9 * time.Second
		after(start, began)
		if c.trouble {
			first.members[1].setDeaf(true)
		}
		version += 3
		c.writeConfig(version, second.name, owner)
		after(start, began+1200*time.Millisecond)
		version += 2
		c.writeConfig(version, first.name, owner)
		after(start, began+6500*time.Millisecond)
		if c.trouble {
			first.members[1].setDeaf(false)
		}
	}
	after(start, 45*time.Second)
	close(end)
	requesters.Wait()
	c.record.note("%d reads of own items were answered, %d of them without a commit of the session; %d times a session saw its route move", reads, stale, moved)
	if reads < 1000 || moved == 0 {
		return false, fmt.Errorf("too few reads, or no session saw the route move")
	}
	return stale > 0, nil
}

// readOwn writes and reads one item in one session, and returns the numbers of reads, of reads on
// the service that ran on a log without a confirmed commit of the session, and of moves of the route.
func (c *caseRun) readOwn(name string, m *machine, key string, on *service, end <-chan struct{}) (reads, stale, moved int) {
	var session *client
	newest, last := map[string]int{}, "" // newest confirmed value by service
	commit := ""                         // id of the write of it on the service
	life := 0
	for n := 1; ; n++ {
		select {
		case <-end:
			if session != nil {
				session.close()
			}
			return reads, stale, moved
		case <-time.After(30 * time.Millisecond):
		}
		if session == nil {
			var err error
			if session, err = dialClient(c.record, name, m.front(), ownDatabase, key); err != nil {
				session = nil
				continue
			}
			life++
			newest, last = map[string]int{}, ""
		}
		item := fmt.Sprintf("%s.%d", name, life)
		writes := rand.Float64() < 0.12 || len(newest) == 0
		text := "READ " + item
		if writes {
			text = fmt.Sprintf("WRITE %s %d", item, n)
		}
		a, err := session.query(text)
		if err != nil {
			session.close()
			session = nil
			continue
		}
		if a.code != "" {
			continue
		}
		g := serviceOf(a.member())
		if last != "" && last != g {
			moved++
		}
		last = g
		if writes {
			newest[g] = n
			if g == on.name {
				commit = a.id
			}
			continue
		}
		reads++
		value, _ := strconv.Atoi(a.rows[0])
		if g == on.name && value < newest[g] && on.ranWithout(a.id, commit) {
			stale++
			c.record.add("%s: read %s on %s returned %q; the session's write of %d on %s had been confirmed", name, a.id, a.member(), a.rows[0], newest[g], g)
		}
	}
}

// serviceOf returns the service of a member from its id.
func serviceOf(member string) string {
	parts := strings.Split(member, "-")
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}

// keyOfAnotherTenant gives the key of a requester with an open transaction to another tenant.
func keyOfAnotherTenant(c *caseRun) (bool, error) {
	g, err := c.addService("huvo11a", 3, zoneNames...)
	if err != nil {
		return false, err
	}
	c.writeConfig(7, g.name, wideTenant("nypu920", "u6wsjnban", "j8pjbvk9m"), wideTenant("bewa31", "x2v7kkq81"))
	if err := c.startMachines(2); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var sessions []*client
	for i, m := range c.machines {
		s, err := dialClient(c.record, fmt.Sprintf("requester-%d", i+1), m.front(), primaryDatabase, "u6wsjnban")
		if err != nil {
			return false, err
		}
		defer s.close()
		for _, text := range []string{"BEGIN", "READ a1"} {
			if a, err := s.query(text); err != nil || a.code != "" {
				return false, fmt.Errorf("%s: %v %s", text, err, a.code)
			}
		}
		sessions = append(sessions, s)
	}
	start := time.Now()
	if c.trouble {
		c.writeConfig(9, g.name, wideTenant("nypu920", "j8pjbvk9m"), wideTenant("bewa31", "x2v7kkq81", "u6wsjnban"))
	}
	late := map[string]bool{}
	var mu sync.Mutex
	var requesters sync.WaitGroup
	for _, s := range sessions {
		requesters.Go(func() {
			for n := range 9 { // with the first one, ten statements in the transaction
				after(start, time.Duration(n)*time.Second+200*time.Millisecond)
				a, err := s.query("READ a1")
				if err != nil || a.code != "" {
					return
				}
				if a.sentAt.After(start.Add(revokeBound)) {
					mu.Lock()
					late[a.id] = true
					mu.Unlock()
				}
			}
		})
	}
	requesters.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	foreign := 0
	for _, r := range g.runs {
		if late[r.id] && c.trouble && r.tenant != "bewa31" {
			foreign++
			c.record.add("%s ran %s for the tenant %s, %.1f s after the key was given to bewa31", r.member, r.id, r.tenant, r.at.Sub(start).Seconds())
		}
	}
	c.record.note("%d statements were sent later than revoke_ms after the config and answered; %d of them ran for the former tenant", len(late), foreign)
	if !c.trouble && len(late) == 0 {
		return false, fmt.Errorf("no statement was answered")
	}
	return foreign > 0, nil
}

// shortFreezes freezes machines for a little more than a second, one at a time, and checks whether
// requests are served once all machines are back.
func shortFreezes(c *caseRun) (bool, error) {
	g, err := c.addService("huvo11a", 3, zoneNames...)
	if err != nil {
		return false, err
	}
	c.timeout = 800 * time.Millisecond // timeout_ms of the site's route order-intake
	c.writeConfig(7, g.name, wideTenant("nypu920", "u6wsjnban"))
	if err := c.startMachines(2); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var requesters sync.WaitGroup
	var mu sync.Mutex
	phase := "before"
	sent, served := map[string]int{}, map[string]int{}
	for i, m := range slices.Concat(c.machines, c.machines, c.machines) {
		requesters.Go(func() {
			c.transact(fmt.Sprintf("requester-%d", i+1), m, "u6wsjnban", end, func() func(bool) {
				mu.Lock()
				defer mu.Unlock()
				begun := phase
				sent[begun]++
				return func(ok bool) {
					mu.Lock()
					defer mu.Unlock()
					if ok {
						served[begun]++
					}
				}
			})
		})
	}
	enter := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		phase = name
	}
	time.Sleep(settleTime)
	enter("freezes")
	start := time.Now()
	for n := range freezes {
		after(start, time.Duration(n)*freezeInterval)
		if c.trouble {
			m := c.machines[n%len(c.machines)]
			c.record.add("%s freezes", m.name)
			m.freeze(freezeTime)
			c.record.add("%s goes on", m.name)
		}
		if n%6 == 5 {
			c.record.note("transactions open on members and idle for 5 s: %v", g.idleTransactions(5*time.Second))
		}
	}
	enter("recovery")
	time.Sleep(recoveryBound)
	enter("after")
	time.Sleep(8 * time.Second)
	c.record.note("transactions open on members and idle for 20 s: %v", g.idleTransactions(20*time.Second))
	ready := 0
	for _, m := range c.machines {
		if m.ready() {
			ready++
		}
	}
	c.record.note("%d of %d machines are ready", ready, len(c.machines))
	close(end)
	requesters.Wait()
	for _, name := range []string{"before", "freezes", "recovery", "after"} {
		c.record.note("%s: %d operations, %d served", name, sent[name], served[name])
	}
	if served["before"]*4 < sent["before"] || sent["before"] < 100 {
		return false, fmt.Errorf("less than a quarter was served before the freezes")
	}
	return served["after"]*4 < sent["after"], nil
}

// transact runs transactions with one write until end is closed. It calls begin when one starts,
// and what begin returns when it ends.
func (c *caseRun) transact(name string, m *machine, key string, end <-chan struct{}, begin func() func(served bool)) {
	var session *client
	for n := 1; ; n++ {
		select {
		case <-end:
			if session != nil {
				session.close()
			}
			return
		case <-time.After(60 * time.Millisecond):
		}
		done := begin()
		if session == nil {
			var err error
			if session, err = dialClient(c.record, name, m.front(), primaryDatabase, key); err != nil {
				session = nil
				done(false)
				continue
			}
		}
		served := true
		for _, text := range []string{"BEGIN", "READ " + name, fmt.Sprintf("WRITE %s %d", name, n), "COMMIT"} {
			a, err := session.query(text)
			if err != nil || a.code != "" {
				served = false
				if err != nil || a.state != "I" { // an operation that ends outside I ends the session
					session.close()
					session = nil
				}
				break
			}
		}
		done(served)
	}
}
