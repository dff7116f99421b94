package sessions

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/settings"
)

// Guards against a code that no recorded session shows, and so nobody has seen.
func TestEveryCodeAppearsInAGoldenFile(t *testing.T) {
	var all strings.Builder
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".golden" {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	assert.NilError(t, err)
	for _, info := range resultcode.All() {
		assert.Check(t, strings.Contains(all.String(), info.Code.String()), "%s %s is in no golden file", info.Code, info.Name)
	}
}

// Malformed and oversized input is answered and harms no other connection.
func TestBadInput(t *testing.T) {
	s := newSession(t, func(c *fleet.Config) {
		c.Adjust = func(s *settings.Settings) { s.Callers.MaxMessageBytes = 2048 }
	})
	healthy := s.login("healthy", vm1)
	a := s.open("length below the minimum", vm1)
	a.write("a startup packet of length 3", []byte{0, 0, 0, 3})
	a.receive("closed")
	b := s.open("http client", vm1)
	b.write("an HTTP request", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	b.receive("closed")
	c := s.login("unknown message", vm1)
	c.write("a message of type '!'", []byte{'!', 0, 0, 0, 4})
	c.receive("closed")
	d := s.login("oversized", vm1)
	d.query("select '" + strings.Repeat("x", 4096) + "'")
	e := s.login("truncated", vm1)
	e.write("half a query and the end of the connection", []byte{'Q', 0, 0, 0, 40, 's', 'e', 'l'})
	assert.NilError(t, e.conn.Close())
	healthy.query("select 1")
	healthy.query("listen events")
	healthy.query("set rosemarywall.accepted_age = 'soon'")
	s.done()
}

// Codes of the platform client, of settings files and of messages between VMs.
func TestCodesOfOtherInterfaces(t *testing.T) {
	s := newSession(t, nil)
	server := s.fleet.Standin.Platform
	client := objectapi.NewHTTPClient(server.Address(), objectapi.WithTimeout(time.Second))
	ctx := t.Context()
	_, err := client.Get(ctx, objectapi.KindGroup, "nowhere")
	s.event("get a missing object: %s", codeLine(err))
	_, err = client.Put(ctx, objectapi.KindGroup, string(database), map[string]int{"term": 9}, 0)
	s.event("create an object that exists: %s", codeLine(err))
	_, err = client.Put(ctx, objectapi.KindGroup, "large", strings.Repeat("x", 1<<20), 0)
	s.event("store a value above 1 MB: %s", codeLine(err))
	_, err = client.Put(ctx, objectapi.KindGroup, "unencodable", make(chan int), 0)
	s.event("store a value that is not JSON: %s", codeLine(err))
	server.SetQuota(0, 1)
	for err = nil; resultcode.Of(err) != resultcode.PlatformQuota; {
		_, err = client.Put(ctx, objectapi.KindConfiguration, "quota", 1, 0)
	}
	s.event("write above the quota: %s", codeLine(err))
	server.SetOutage(true)
	_, err = client.Get(ctx, objectapi.KindGroup, string(database))
	s.event("get during an outage: %s", codeLine(err))
	_, err = peer.New(peer.Config{Self: peer.Member{Name: "vm", Zone: "zone", Address: "192.0.2.1:7000"}})
	s.event("mesh without a certificate beyond loopback: %s", codeLine(err))
	s.done()
}

// P14: a note is accepted only with a majority of zones, and only whole.
func TestNotesThatAreNotAccepted(t *testing.T) {
	s := newSession(t, nil)
	var keys strings.Builder
	for i := range 25000 {
		keys.WriteString(fleet.KeySection(tenant, fmt.Sprintf("key-%d", i), fmt.Sprint(i)))
	}
	s.refusedNote("25000 keys", keys.String())
	s.refusedNote("no such zone", "[change zone sofia]\nstate = out\n")
	for _, zone := range []ident.AvailabilityZone{"ruse-a", "constanta-a"} {
		s.fleet.CutZone(zone, true)
		s.fleet.CutZoneFromPlatform(zone, true)
	}
	s.event("two of three zones are cut off")
	s.refusedNote("with a minority of zones", "[change zone ruse-a]\nstate = out\n")
	s.done()
}

func (s *session) refusedNote(title, sections string) {
	s.t.Helper()
	result, err := s.fleet.ApplyNote(s.t.Context(), vm1, "[note]\ntitle = "+title+"\n\n"+sections)
	assert.Assert(s.t, err != nil, "note was accepted: %s", title)
	s.event("note %q: %s", title, result.Code)
}

// codeLine returns the code of an error and its name; texts of causes may hold ports.
func codeLine(err error) string {
	code := resultcode.Of(err)
	return code.String() + " " + code.Info().Name
}

// A VM that requires TLS, and one that is full, refuse at startup.
func TestRefusedAtStartup(t *testing.T) {
	certificate, key := certificateFiles(t)
	s := newSession(t, func(c *fleet.Config) {
		c.Adjust = func(s *settings.Settings) {
			switch s.VM.Name {
			case vm2:
				s.Callers.TLSCertificate, s.Callers.TLSKey, s.Callers.TLSRequired = certificate, key, true
			case vm3:
				s.Callers.MaxCallers = 1
			}
		}
	})
	a := s.open("plain", vm2)
	a.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": tenant, "database": string(database)}})
	a.receive("closed")
	b := s.login("first", vm3)
	c := s.open("second", vm3)
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": tenant, "database": string(database)}})
	c.receive("closed")
	b.query("select 1")
	s.done()
}

func certificateFiles(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	certificate, key = filepath.Join(t.TempDir(), "entry.pem"), filepath.Join(t.TempDir(), "entry.key")
	assert.NilError(t, os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
	return certificate, key
}

// P10: a request that waits too long for an upstream, or that is cancelled while it
// waits, is refused as not run, and has not run.
func TestRefusedWhileWaiting(t *testing.T) {
	s := newSession(t, func(c *fleet.Config) {
		c.Slots, c.Connections = 1, 6
		c.Adjust = func(s *settings.Settings) { s.Callers.QueueDeadline = time.Second }
	})
	a := s.login("holder", vm1)
	a.query("create table stack (id int)")
	a.query("begin")
	a.query("insert into stack values (1)")
	b := s.login("waiting", vm1)
	b.query("insert into stack values (2)")
	c := s.login("cancelled", vm1)
	c.send(&pgproto3.Query{String: "insert into stack values (3)"})
	stop := s.cancelRepeatedly(c)
	c.receive("ReadyForQuery")
	stop()
	a.query("commit")
	a.query("select id from stack")
	s.done()
}

// cancelRepeatedly sends cancel requests until stop is called, because the first may
// arrive before the request that it is meant for.
func (s *session) cancelRepeatedly(c *caller) (stop func()) {
	s.event("cancel request of %s", c.name)
	address := s.fleet.VM(vm1).ClientAddress()
	request, err := (&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}).Encode(nil)
	assert.NilError(s.t, err)
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(10 * time.Millisecond):
			}
			if conn, err := dial(address); err == nil {
				_, _ = conn.Write(request)
				_ = conn.Close()
			}
		}
	}()
	return func() { close(stopped); <-ended }
}

// P2 and P10: with the platform down nobody can be promoted; writes are refused as
// not run, and reads as well once no majority of members is left.
func TestNoPrimaryDuringPlatformOutage(t *testing.T) {
	s := newSession(t, func(c *fleet.Config) {
		c.Adjust = func(s *settings.Settings) { s.Callers.QueueDeadline = 2 * time.Second }
	})
	a := s.login("caller", vm1)
	a.query("create table stack (id int)")
	s.fleet.Standin.Platform.SetOutage(true)
	replicas := s.replicas()
	s.primary().Kill()
	s.event("platform down, then primary killed")
	a.query("insert into stack values (1)")
	a.query("select count(*) from stack")
	replicas[0].Kill()
	s.event("a replica killed as well")
	a.query("select count(*) from stack")
	s.done()
}

// P2: with both replicas gone a write cannot be confirmed, and is not acknowledged.
func TestOutcomeUnknownWithoutReplicas(t *testing.T) {
	s := newSession(t, func(c *fleet.Config) {
		c.Adjust = func(s *settings.Settings) { s.Upstreams.ConfirmDeadline = 300 * time.Millisecond }
	})
	a := s.login("caller", vm1)
	a.query("create table stack (id int)")
	replicas := s.replicas()
	for _, m := range replicas {
		m.Kill()
	}
	s.event("both replicas killed")
	a.query("insert into stack values (1)")
	for _, m := range replicas {
		assert.NilError(t, m.Restart())
	}
	s.event("both replicas restarted")
	s.until("writes are acknowledged", func() bool { return a.outcome("create table if not exists other (id int)") == "" })
	a.query("insert into stack values (2)")
	a.query("select count(*) from stack where id = 2")
	s.done()
}

// P9: an answer that breaks off after rows were passed on ends with an error.
func TestAnswerBreaksOff(t *testing.T) {
	s := newSession(t, nil)
	a := s.login("caller", vm1)
	a.send(&pgproto3.Query{String: "select '" + strings.Repeat("x", 180) + "' from generate_series(1, 300000) as g(i)"})
	rows := 0
	for rows < 3 {
		m, err := a.frontend.Receive()
		assert.NilError(t, err)
		if _, ok := m.(*pgproto3.DataRow); ok {
			rows++
		}
	}
	s.event("some rows received; every upstream is killed")
	for _, m := range s.group().Members() {
		m.Kill()
	}
	for {
		m, err := a.frontend.Receive()
		assert.NilError(t, err)
		if _, ok := m.(*pgproto3.DataRow); ok {
			continue
		}
		fmt.Fprintf(&s.text, "%s <- %s\n", a.name, describe(m))
		if kindOf(m) == "ReadyForQuery" {
			break
		}
	}
	s.done()
}
