package sessions

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/settings"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

func (s *session) group() *upstream.Group { return s.fleet.Standin.Groups[database] }

// primary returns the primary of the highest term.
func (s *session) primary() *upstream.Member {
	var best *upstream.Member
	for _, m := range s.group().Members() {
		if m.Status().Role == group.RolePrimary && (best == nil || m.Status().Term > best.Status().Term) {
			best = m
		}
	}
	return best
}

func (s *session) replicas() (out []*upstream.Member) {
	primary := s.primary()
	for _, m := range s.group().Members() {
		if m != primary {
			out = append(out, m)
		}
	}
	return out
}

// replaced waits until another primary than old serves a higher term.
func (s *session) replaced(old ident.UpstreamName, term ident.Term) {
	s.until("another primary serves", func() bool {
		p := s.primary()
		return p != nil && p.Name() != old && p.Status().Term > term && !p.Status().Fenced
	})
}

func (s *session) note(vm ident.VMName, title, sections string) {
	s.t.Helper()
	_, err := s.fleet.ApplyNote(s.t.Context(), vm, "[note]\ntitle = "+title+"\n\n"+sections)
	assert.NilError(s.t, err)
	s.event("release note accepted: %s", title)
}

// P1: a session that carries no token sees its write through another VM while
// the replica in the reader's zone lags, and after the primary was replaced.
func TestReadYourWritesRoamingAndAfterFailover(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("writer", vm1)
	a.query("create table stack (id int primary key, card text)")
	for _, m := range s.replicas() {
		m.SetReplication(0, 300e6)
	}
	s.event("replicas apply entries 300 ms late")
	a.query("insert into stack values (1, 'ace')")
	b := s.login("reader", vm2)
	b.query("select id, card from stack")
	old, term := s.primary().Name(), s.primary().Status().Term
	s.primary().Kill()
	s.event("primary killed")
	s.replaced(old, term)
	s.event("another primary serves")
	c := s.login("late reader", vm3)
	c.query("select id, card from stack")
	s.done()
}

// P1 with a token: the caller carries its token to another VM.
func TestReadYourWritesWithToken(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("writer", vm1, "rosemarywall.session_token", "")
	a.query("create table stack (id int)")
	a.query("insert into stack values (7)")
	token := ""
	a.send(&pgproto3.Query{String: "show rosemarywall.session_token"})
	for token == "" {
		m, err := a.frontend.Receive()
		assert.NilError(t, err)
		if row, ok := m.(*pgproto3.DataRow); ok {
			token = string(row.Values[0])
		}
	}
	a.receive("ReadyForQuery")
	b := s.login("reader", vm2, "rosemarywall.session_token", token)
	b.query("select id from stack")
	s.event("a token that is no token is refused")
	b.query("set rosemarywall.session_token = 'forged'")
	s.done()
}

// P2: the old primary is cut from its replicas and its agent while callers still reach
// it; its commit is not acknowledged, and what was acknowledged survives.
func TestOldPrimaryAcknowledgesNothing(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("caller", vm1)
	a.query("create table orders (id int)")
	a.query("insert into orders values (1)")
	old := s.primary()
	term := old.Status().Term
	for _, m := range s.replicas() {
		s.fleet.Standin.Network.CutBoth(old.Endpoint(), m.Endpoint(), true)
	}
	s.event("primary cut from its replicas, still reachable for callers")
	a.send(&pgproto3.Query{String: "insert into orders values (2)"})
	for _, vm := range []string{"plovdiv-a", "ruse-a", "constanta-a"} {
		s.fleet.Standin.Network.CutBoth(upstream.AgentsIn(vm), old.Endpoint(), true)
	}
	s.event("its agent is cut off as well")
	s.replaced(old.Name(), term)
	s.event("another primary serves")
	a.receive("ReadyForQuery")
	a.query("select id from orders")
	s.done()
}

// P3 and P9: a connection that one caller used in a transaction carries nothing over
// to the next, and an answer that is cut off reaches nobody as a whole.
func TestTransactionsNeverMix(t *testing.T) {
	s := newSession(t, func(c *fleet.Config) { c.Connections = 6 })
	a := s.login("a", vm1)
	b := s.login("b", vm1)
	a.query("create table stack (id int)")
	a.query("begin")
	a.query("insert into stack values (1)")
	b.query("select count(*) from stack")
	b.query("begin")
	b.query("insert into nowhere values (1)")
	b.query("select 1")
	b.query("rollback")
	a.query("rollback")
	b.query("select count(*) from stack")
	s.done()
}

// P4 and P5: requests run only with a key of their organisation, and only on its
// databases; the upstream's log of statements holds no key.
func TestKeysAreChecked(t *testing.T) {
	s := newSession(t, nil)
	s.note(vm1, "a database for others", "[add database archive]\n\n[add upstream archive/x]\nzone = plovdiv-a\naddress = 127.0.0.1:1\nagent = 127.0.0.1:2\nslots = 1\nconnections = 3\n")
	s.loginAs("wrong key", vm1, tenant, "guess", string(database))
	s.loginAs("no database", vm1, tenant, fleet.Key(tenant), "nowhere")
	s.loginAs("other organisation's key", vm1, tenant, fleet.Key("sequencer"), string(database))
	s.until("the note is in force", func() bool {
		_, found := s.fleet.VM(vm1).Configuration().Databases["archive"]
		return found
	})
	s.loginAs("other's database", vm1, tenant, fleet.Key(tenant), "archive")
	s.done()
}

// P6: a key that is withdrawn while its caller is connected stops working, in a
// running transaction as well.
func TestWithdrawnKey(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("idle", vm2)
	b := s.login("in transaction", vm3)
	b.query("begin")
	b.query("select 1")
	s.note(vm1, "withdraw", fmt.Sprintf("[withdraw key %s/main]\n", tenant))
	for _, vm := range []ident.VMName{vm2, vm3} {
		s.until("the withdrawal is in force", func() bool {
			return len(s.fleet.VM(vm).Configuration().Organisations[tenant].Keys) == 0
		})
	}
	a.query("select 1")
	b.query("select 2")
	s.loginAs("new caller", vm1, tenant, fleet.Key(tenant), string(database))
	s.done()
}

// P6: a request that waits for an upstream while its key is withdrawn does not run.
func TestWithdrawnKeyWhileWaiting(t *testing.T) {
	s := newSession(t, func(c *fleet.Config) {
		c.Slots, c.Connections = 1, 6
		c.Adjust = func(s *settings.Settings) { s.Callers.QueueDeadline = answerTimeout }
	})
	a := s.loginAs("holder", vm1, "sequencer", fleet.Key("sequencer"), string(database))
	a.query("create table stack (id int)")
	a.query("begin")
	a.query("insert into stack values (1)")
	b := s.login("waiting", vm1)
	b.send(&pgproto3.Query{String: "insert into stack values (2)"})
	s.until("the request waits", func() bool { return s.fleet.VM(vm1).QueueLength(database) == 1 })
	s.note(vm1, "withdraw", fmt.Sprintf("[withdraw key %s/main]\n", tenant))
	a.query("commit")
	b.receive("ReadyForQuery")
	a.query("select id from stack")
	s.done()
}

// P6 in a zone that is cut off from the platform and from the other zones: the VM
// cannot prove that its configuration is current and refuses as not run.
func TestCutOffZoneStopsKeyedRequests(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("caller", vm3)
	a.query("select 1")
	s.fleet.CutZoneFromPlatform("constanta-a", true)
	s.fleet.CutZone("constanta-a", true)
	s.event("zone cut off from the platform and from the other zones")
	s.until("the proof has lapsed", func() bool {
		ready, _ := s.fleet.VM(vm3).Ready()
		return !ready
	})
	a.query("select 1")
	s.fleet.CutZoneFromPlatform("constanta-a", false)
	s.fleet.CutZone("constanta-a", false)
	s.event("zone connected again")
	s.until("the VM serves", func() bool { return a.outcome("select 1") == "" })
	a.query("select 1")
	s.done()
}

// P6: a platform outage alone stops no service.
func TestPlatformOutageStopsNothing(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("caller", vm1)
	a.query("create table stack (id int)")
	s.fleet.Standin.Platform.SetOutage(true)
	s.event("platform down")
	started := s.fleet.VM(vm1).Uptime()
	s.until("a lease on parts would have lapsed", func() bool { return s.fleet.VM(vm1).Uptime() > started+12e9 })
	a.query("insert into stack values (1)")
	a.query("select id from stack")
	s.done()
}

// P7: a burst above the rate is refused as not run.
func TestRateExceeded(t *testing.T) {
	s := newSession(t, func(c *fleet.Config) {
		c.Organisations = []fleet.Organisation{{Name: tenant, Rate: 0.001, Burst: 30, Weight: 1}}
	})
	a := s.login("caller", vm1)
	s.until("the rate is spent", func() bool { return a.outcome("select 1") == "53400" })
	a.query("select 1")
	s.done()
}

// P8: a zone that is taken out disconnects its idle callers and takes no new work.
func TestZoneOut(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("idle", vm3)
	b := s.login("in transaction", vm3)
	b.query("begin")
	s.note(vm1, "zone out", "[change zone constanta-a]\nstate = out\n")
	a.receive("closed")
	b.query("select 1")
	b.query("commit")
	b.receive("closed")
	s.loginAs("new caller", vm3, tenant, fleet.Key(tenant), string(database))
	s.done()
}

// P13: a planned stop lets a transaction finish.
func TestPlannedStop(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("idle", vm1)
	b := s.login("in transaction", vm1)
	b.query("create table stack (id int)")
	b.query("begin")
	stopped := make(chan error, 1)
	go func() { stopped <- s.fleet.StopVM(t.Context(), vm1) }()
	s.event("planned stop of %s", vm1)
	a.receive("closed")
	b.query("insert into stack values (1)")
	b.query("commit")
	b.receive("closed")
	assert.NilError(t, <-stopped)
	c := s.login("elsewhere", vm2)
	c.query("select id from stack")
	s.done()
}

// P12: a primary that leaves by a note is moved without an error for its callers.
func TestLeavingUpstream(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("caller", vm1)
	a.query("create table stack (id int)")
	old := s.primary()
	s.note(vm1, "leave", fmt.Sprintf("[change upstream %s/%s]\nstate = leaving\n", database, old.Name()))
	a.query("insert into stack values (1)")
	s.replaced(old.Name(), old.Status().Term-1)
	s.event("another primary serves")
	a.query("insert into stack values (2)")
	a.query("select id from stack")
	s.done()
}

// P14: during a platform outage every VM but one restarts; the configuration does not
// revert.
func TestConfigurationSurvivesRestarts(t *testing.T) {
	s := newSession(t, nil)
	s.note(vm1, "second version", "[change zone ruse-a]\nweight = 7\n")
	for _, vm := range s.fleet.Names() {
		s.until("version 2 is in force", func() bool { return s.fleet.VM(vm).Configuration().Version == 2 })
	}
	s.fleet.Standin.Platform.SetOutage(true)
	for _, vm := range []ident.VMName{vm1, vm2} {
		s.fleet.KillVM(vm)
		assert.NilError(t, s.fleet.StartVM(vm))
		s.event("%s restarted during the outage", vm)
	}
	for _, vm := range []ident.VMName{vm1, vm2} {
		s.until("the survivor's version is in force", func() bool { return s.fleet.VM(vm).Configuration().Version == 2 })
		s.event("version 2 in force on %s", vm)
	}
	s.fleet.Standin.Platform.SetOutage(false)
	s.until("the VM is ready", func() bool { ready, _ := s.fleet.VM(vm1).Ready(); return ready })
	kept := s.text.String() // probes are not a part of the session
	s.until("the rate parts are back", func() bool {
		a := s.login("probe", vm1)
		code := a.outcome("select 1")
		_ = a.conn.Close()
		return code == ""
	})
	s.text.Reset()
	s.text.WriteString(kept)
	a := s.login("caller", vm1)
	a.query("select 1")
	s.done()
}
