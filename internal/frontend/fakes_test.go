package frontend

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// fakeUpstream speaks the server side of the protocol for a few statements:
//
//	SELECT <text>     one row with the text; "SELECT rows <n>" gives n rows
//	INSERT ...        counts; refused with 25006 on a replica
//	COPY t FROM STDIN, COPY t TO STDOUT, BEGIN, COMMIT, ROLLBACK, SET, DISCARD ALL
//	FAIL              an error with SQLSTATE 22012
//
// Hooks run before a statement; a hook that returns false closes the connection.
type fakeUpstream struct {
	t       testing.TB
	addr    string
	replica bool
	quiet   bool // no group_transaction
	noLog   bool // keeps no statements

	mu        sync.Mutex
	hook      func(sql string) bool
	afterHook func(sql string) bool
	log       []string
	committed map[string]bool
	position  int
	term      int
	txids     int
	cancels   int
	maxConns  int
	conns     map[net.Conn]bool
	opened    int
}

func newFakeUpstream(t testing.TB) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeUpstream{t: t, addr: l.Addr().String(), committed: map[string]bool{}, term: 1, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { l.Close(); f.closeAll() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *fakeUpstream) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Close()
	}
}

func (f *fakeUpstream) setHook(hook func(string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

func (f *fakeUpstream) setAfter(hook func(string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.afterHook = hook
}

func (f *fakeUpstream) statements() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.log...)
}

func (f *fakeUpstream) count(sql string) int {
	n := 0
	for _, s := range f.statements() {
		if strings.HasPrefix(s, sql) {
			n++
		}
	}
	return n
}

// fakeConn is one connection of a fakeUpstream.
type fakeConn struct {
	f        *fakeUpstream
	b        *pgproto3.Backend
	c        net.Conn
	status   byte
	implicit bool
	txid     string
	prepared map[string]string
	portals  map[string]string
	broken   bool
	skipping bool
	readOnly bool // default_transaction_read_only
}

func (f *fakeUpstream) serve(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	m, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := m.(*pgproto3.CancelRequest); ok {
		f.mu.Lock()
		f.cancels++
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	full := f.maxConns > 0 && len(f.conns) >= f.maxConns
	if !full {
		f.conns[c] = true
		f.opened++
	}
	f.mu.Unlock()
	defer func() { f.mu.Lock(); delete(f.conns, c); f.mu.Unlock() }()
	if full {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "53300", Message: "too many connections"})
		_ = b.Flush()
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.1"})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	fc := &fakeConn{f: f, b: b, c: c, status: 'I', prepared: map[string]string{}, portals: map[string]string{}}
	for !fc.broken {
		m, err := b.Receive()
		if err != nil || !fc.message(m) {
			return
		}
	}
}

func (c *fakeConn) message(m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Sync); !ok && c.skipping {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(m.String, ";") {
			if sql = strings.TrimSpace(sql); sql != "" && !c.run(sql, true) {
				break
			}
		}
		c.prepared[""] = ""
		return c.ready(m.String)
	case *pgproto3.Parse:
		c.prepared[m.Name] = m.Query
		c.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := c.prepared[m.PreparedStatement]
		if !ok {
			c.fail("26000", "no statement "+m.PreparedStatement)
			c.skipping = true
			return true
		}
		for i, p := range m.Parameters {
			sql = strings.ReplaceAll(sql, fmt.Sprintf("$%d", i+1), string(p))
		}
		c.portals[m.DestinationPortal] = sql
		c.b.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := c.portals[m.Name]
		if m.ObjectType == 'S' {
			sql = c.prepared[m.Name]
			c.b.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, strings.Count(sql, "$"))})
		}
		if strings.HasPrefix(sql, "SELECT") {
			c.b.Send(rowDescriptionMessage)
		} else {
			c.b.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		c.skipping = !c.run(c.portals[m.Portal], false)
	case *pgproto3.Close:
		c.b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return c.b.Flush() == nil
	case *pgproto3.Sync:
		c.skipping = false
		return c.ready("")
	case *pgproto3.Terminate:
		return false
	}
	return !c.broken
}

var rowDescriptionMessage = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}

func (c *fakeConn) fail(code, message string) {
	c.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
	_ = c.b.Flush() // as PostgreSQL does with every error
	if c.status == 'T' {
		c.status = 'E'
	}
	c.implicit, c.txid = false, ""
}

// run executes a statement and reports success.
func (c *fakeConn) run(sql string, simple bool) bool {
	c.f.mu.Lock()
	hook, after, replica := c.f.hook, c.f.afterHook, c.f.replica
	if !c.f.noLog {
		c.f.log = append(c.f.log, sql)
	}
	c.f.mu.Unlock()
	if hook != nil && !hook(sql) {
		c.broken = true
		c.c.Close()
		return false
	}
	word := strings.ToUpper(strings.SplitN(sql, " ", 2)[0])
	if c.status == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		c.fail("25P02", "aborted")
		return false
	}
	ok := c.execute(word, sql, simple, replica)
	if ok && after != nil && !after(sql) {
		c.broken = true
		if word == "SELECT" {
			_ = c.b.Flush() // rows have arrived; other answers are lost
		}
		c.c.Close()
		return false
	}
	return ok
}

func (c *fakeConn) execute(word, sql string, simple, replica bool) bool {
	tag := word
	switch word {
	case "SET", "RESET":
		if strings.Contains(sql, "bad_setting") {
			c.fail("42704", "no such setting")
			return false
		}
		if strings.Contains(sql, "default_transaction_read_only") {
			c.readOnly = word == "SET"
		}
	case "SELECT":
		if strings.HasSuffix(sql, "touch()") { // a function that writes
			if replica || c.readOnly {
				c.fail("25006", "read-only transaction")
				return false
			}
			c.write()
		}
		return c.selectRows(strings.TrimPrefix(sql, "SELECT "), simple)
	case "INSERT":
		if replica {
			c.fail("25006", "read-only transaction")
			return false
		}
		c.write()
		tag = "INSERT 0 1"
	case "FAIL":
		c.fail("22012", "division by zero")
		return false
	case "BEGIN":
		c.status = 'T'
	case "COMMIT":
		if c.status == 'E' {
			tag = "ROLLBACK"
		} else {
			c.commit()
		}
		c.status = 'I'
	case "ROLLBACK":
		c.status, c.txid = 'I', ""
	case "DISCARD":
		c.prepared = map[string]string{}
		tag = sql
	case "COPY":
		return c.copy(sql)
	}
	c.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (c *fakeConn) selectRows(text string, simple bool) bool {
	if simple {
		c.b.Send(rowDescriptionMessage)
	}
	n := 1
	if text == "crossed" {
		c.b.Send(&pgproto3.BindComplete{})
	}
	if rest, ok := strings.CutPrefix(text, "rows "); ok {
		n, _ = strconv.Atoi(rest)
		text = strings.Repeat("x", 100)
	}
	for range n {
		c.b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
	}
	c.b.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", n)})
	return true
}

// write notes that the transaction has written.
func (c *fakeConn) write() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.txid == "" {
		c.f.txids++
		c.txid = "tx" + strconv.Itoa(c.f.txids)
	}
	c.implicit = c.status == 'I'
}

// commit commits what the transaction wrote.
func (c *fakeConn) commit() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.txid == "" {
		return
	}
	c.f.committed[c.txid] = true
	c.f.position++
	c.txid = ""
	c.b.Send(&pgproto3.ParameterStatus{Name: "group_term", Value: strconv.Itoa(c.f.term)})
	c.b.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: strconv.Itoa(c.f.position)})
}

func (c *fakeConn) ready(sql string) bool {
	if c.broken {
		return false
	}
	if c.implicit {
		c.commit()
		c.implicit = false
	}
	if c.status == 'I' {
		c.txid = ""
	}
	if c.txid != "" && !c.f.quiet {
		c.b.Send(&pgproto3.ParameterStatus{Name: "group_transaction", Value: c.txid})
	}
	c.b.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	if sql == "SELECT late" { // an answer that nobody asked for
		c.b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 7")})
	}
	return c.b.Flush() == nil
}
