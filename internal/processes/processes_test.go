package processes

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

const standinSettings = `[platform]
address = 127.0.0.1:0

[group deckbook]
user = rosemarywall
password = upstream-password

[upstream deckbook a]
zone = plovdiv-a
[upstream deckbook b]
zone = ruse-a
[upstream deckbook c]
zone = constanta-a
`

const vmSettings = `[vm]
name = %[1]s
zone = %[2]s
region = bg
[callers]
listen = 127.0.0.1:0
tls_certificate = %[3]s/%[1]s.pem
tls_key = %[3]s/%[1]s.key
[peers]
listen = 127.0.0.1:0
%[4]s
tls_certificate = %[3]s/%[1]s.pem
tls_key = %[3]s/%[1]s.key
tls_authority = %[3]s/authority.pem
[platform]
address = %[5]s
[upstreams]
user = rosemarywall
password = upstream-password
[admin]
listen = 127.0.0.1:0
[shutdown]
drain_deadline = %[6]s
`

// drainDeadlines are the drain deadlines of the VMs.
var drainDeadlines = []string{"30s", "30s", "0s"}

// installation is a stand-in and three VMs, each a process of its own.
type installation struct {
	t         *testing.T
	directory string
	authority *authority
	vms       map[string]*process
	callers   map[string]string
	admin     map[string]string
	keys      []string
}

var zones = []string{"plovdiv-a", "ruse-a", "constanta-a"}

func newInstallation(t *testing.T) *installation {
	t.Helper()
	directory := build(t)
	i := &installation{
		t: t, directory: directory, authority: newAuthority(t, directory),
		vms: map[string]*process{}, callers: map[string]string{}, admin: map[string]string{},
	}
	standin := start(t, filepath.Join(directory, "rosemarywall-standin"), "-s", write(t, directory, "standin.ini", standinSettings))
	platform := standin.line(t, "platform serves")["address"]
	seed := ""
	for n, zone := range zones {
		name := fmt.Sprintf("entry-%d", n+1)
		i.authority.issue(t, name, filepath.Join(directory, name+".pem"), filepath.Join(directory, name+".key"))
		file := write(t, directory, name+".ini", fmt.Sprintf(vmSettings, name, zone, directory, seed, platform, drainDeadlines[n]))
		vm := start(t, filepath.Join(directory, "rosemarywall"), "--settings", file)
		started := vm.line(t, "event=started")
		i.vms[name], i.callers[name], i.admin[name] = vm, started["callers"], started["admin"]
		if seed == "" {
			seed = "seeds = " + started["peers"]
		}
	}
	i.applyFirstNote(standin)
	return i
}

// control runs the operator command against the first VM.
func (i *installation) control(arguments ...string) (string, error) {
	i.t.Helper()
	out, errOut, err := control(i.t, i.directory, append([]string{"-a", i.admin["entry-1"]}, arguments...)...)
	return out + errOut, err
}

func (i *installation) newKey(name string) (section, key string) {
	i.t.Helper()
	section, errOut, err := control(i.t, i.directory, "key", "new", name)
	assert.NilError(i.t, err)
	_, key, found := strings.Cut(strings.TrimSpace(errOut), ": ")
	assert.Assert(i.t, found, errOut)
	i.keys = append(i.keys, key)
	return section, key
}

func (i *installation) applyFirstNote(standin *process) {
	i.t.Helper()
	var note strings.Builder
	note.WriteString("[note]\ntitle = first\n\n")
	for n, zone := range zones {
		u := standin.line(i.t, "upstream serves", "upstream=deckbook/"+string(rune('a'+n)))
		fmt.Fprintf(&note, "[add zone %s]\nregion = bg\n\n[add upstream deckbook/%c]\nzone = %s\naddress = %s\nagent = %s\nslots = 4\nconnections = 50\n\n",
			zone, 'a'+n, zone, u["address"], u["agent"])
	}
	note.WriteString("[add database deckbook]\n\n[add organisation cardhouse]\nrate = 1000\nburst = 1000\ndatabases = deckbook\n\n")
	first, _ := i.newKey("cardhouse/first")
	second, _ := i.newKey("cardhouse/second")
	note.WriteString(first + "\n" + second)
	file := write(i.t, i.directory, "first.note", note.String())
	out, err := i.control("note", "check", file)
	assert.NilError(i.t, err, out)
	until(i.t, "the first note is accepted", func() bool {
		out, err = i.control("note", "apply", file)
		return err == nil
	})
	for _, arguments := range [][]string{{"note", "history"}, {"note", "status"}, {"note", "diff", file}} {
		out, err = i.control(arguments...)
		// The diff repeats a note that is accepted, so its items exist already.
		assert.Assert(i.t, err == nil || arguments[1] == "diff" && strings.Contains(out, "RW2005"), out)
		assert.Assert(i.t, out != "")
	}
}

func (i *installation) connect(vm, key string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://cardhouse@%s/deckbook?sslmode=disable", i.callers[vm]))
	assert.NilError(i.t, err)
	config.Password = key
	config.TLSConfig = &tls.Config{RootCAs: i.authority.pool(), ServerName: vm, MinVersion: tls.VersionTLS12}
	return pgx.ConnectConfig(i.t.Context(), config)
}

func (i *installation) mustConnect(vm, key string) *pgx.Conn {
	i.t.Helper()
	var conn *pgx.Conn
	until(i.t, "connect to "+vm, func() bool {
		var err error
		conn, err = i.connect(vm, key)
		return err == nil
	})
	i.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// Guards against a paused process that wakes and still honours a key that was
// withdrawn meanwhile; against a killed VM that stops the others; against a planned
// stop that cuts a transaction or does not report one; and against keys in logs and dumps.
func TestProcesses(t *testing.T) {
	i := newInstallation(t)
	ctx := t.Context()
	writer := i.mustConnect("entry-1", i.keys[0])
	_, err := writer.Exec(ctx, "create table stack (id bigint)")
	assert.NilError(t, err)
	paused := i.mustConnect("entry-3", i.keys[1])
	_, err = paused.Exec(ctx, "select 1")
	assert.NilError(t, err)

	i.vms["entry-3"].signal(t, syscall.SIGSTOP)
	stopped := time.Now()
	note := write(t, i.directory, "second.note", "[note]\ntitle = withdraw\n\n[withdraw key cardhouse/second]\n")
	out, err := i.control("note", "apply", note)
	assert.NilError(t, err, out)
	until(t, "the pause outlasts the proof of the configuration", func() bool { return time.Since(stopped) > 4*time.Second })
	refused := make(chan error, 1)
	go func() {
		_, err := paused.Exec(ctx, "select 1")
		refused <- err
	}()
	time.Sleep(100 * time.Millisecond) // the query waits in the socket of the paused process
	i.vms["entry-3"].signal(t, syscall.SIGCONT)
	var refusal *pgconn.PgError
	assert.Assert(t, errors.As(<-refused, &refusal), "a withdrawn key was honoured after the pause")
	assert.Assert(t, refusal.Code == "28000" || refusal.Code == "57P03", refusal.Error())

	i.vms["entry-2"].signal(t, syscall.SIGKILL)
	_, err = writer.Exec(ctx, "insert into stack values (1)")
	assert.NilError(t, err)

	transaction, err := writer.Begin(ctx)
	assert.NilError(t, err)
	_, err = transaction.Exec(ctx, "insert into stack values (2)")
	assert.NilError(t, err)
	i.vms["entry-1"].signal(t, syscall.SIGTERM)
	i.vms["entry-1"].line(t, "event=draining")
	i.vms["entry-1"].signal(t, syscall.SIGTERM) // a second order changes nothing
	_, err = transaction.Exec(ctx, "insert into stack values (3)")
	assert.NilError(t, err)
	assert.NilError(t, transaction.Commit(ctx))
	assert.NilError(t, i.vms["entry-1"].wait(t))

	reader := i.mustConnect("entry-3", i.keys[0])
	var count int
	assert.NilError(t, reader.QueryRow(ctx, "select count(*) from stack").Scan(&count))
	assert.Equal(t, count, 3)
	i.checkSecrets()

	transaction, err = reader.Begin(ctx)
	assert.NilError(t, err)
	_, err = transaction.Exec(ctx, "insert into stack values (4)")
	assert.NilError(t, err)
	i.vms["entry-3"].signal(t, syscall.SIGTERM)
	i.vms["entry-3"].line(t, "stop rolled back transaction", "database=deckbook")
	_, err = transaction.Exec(ctx, "insert into stack values (5)")
	assert.Assert(t, errors.As(err, &refusal) && refusal.Code == "57P01", "%v", err)
	var exit *exec.ExitError
	assert.Assert(t, errors.As(i.vms["entry-3"].wait(t), &exit) && exit.ExitCode() == 1, "the end of a transaction is not reported")
}

// checkSecrets looks for keys and passwords in logs and state dumps.
func (i *installation) checkSecrets() {
	i.t.Helper()
	dump, _, err := control(i.t, i.directory, "dump", i.admin["entry-3"])
	assert.NilError(i.t, err)
	assert.Assert(i.t, strings.Contains(dump, "configuration"), dump)
	for _, secret := range append(i.keys, "upstream-password") {
		assert.Assert(i.t, !strings.Contains(dump, secret), "dump holds a secret")
		for name, vm := range i.vms {
			assert.Assert(i.t, !strings.Contains(vm.logText(), secret), "log of %s holds a secret", name)
		}
	}
}

// Guards against certificates that need a restart to be replaced.
func TestCertificatesAreReloaded(t *testing.T) {
	i := newInstallation(t)
	serial := func() string {
		conn, err := i.connect("entry-1", i.keys[0])
		if err != nil {
			return ""
		}
		defer func() { _ = conn.Close(context.Background()) }()
		return conn.PgConn().Conn().(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	var before string
	until(t, "connect", func() bool { before = serial(); return before != "" })
	i.authority.issue(t, "entry-1", filepath.Join(i.directory, "entry-1.pem"), filepath.Join(i.directory, "entry-1.key"))
	until(t, "the new certificate is shown", func() bool { now := serial(); return now != "" && now != before })
}

// Guards against a start with settings that are wrong, and against --check that
// passes them.
func TestSettingsAreChecked(t *testing.T) {
	directory := build(t)
	file := write(t, directory, "bad.ini", "[vm]\nname = entry-1\nzone = a\nregion = r\ncolour = red\n")
	p := start(t, filepath.Join(directory, "rosemarywall"), "--check", "--settings", file)
	p.line(t, "bad.ini:5", "RW3002", "colour")
	p.line(t, "RW3004", "listen")
	assert.ErrorContains(t, p.wait(t), "exit status 2")
}
