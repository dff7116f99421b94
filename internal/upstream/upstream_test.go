package upstream

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	standin "github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// start returns pools and a target that is a stand-in upstream.
func start(t *testing.T, connections int, change func(*Config)) (*Pools, request.Target) {
	t.Helper()
	g, err := standin.Start(standin.Config{Name: "orders", User: "u", Password: "p", Members: []standin.MemberConfig{{Name: "a", Connections: connections}}}, standin.NewNetwork())
	assert.NilError(t, err)
	cfg := Config{Credentials: Credentials{User: "u", Password: "p"}}
	if change != nil {
		change(&cfg)
	}
	p := New(cfg)
	t.Cleanup(func() { p.Close(); g.Close() })
	return p, request.Target{Group: "orders", Upstream: "a", Address: g.Member("a").Address(), Term: 1, Slots: 4, ConnectionLimit: 4}
}

func acquire(t *testing.T, p *Pools, target request.Target) *Lease {
	t.Helper()
	l, err := p.Acquire(t.Context(), target, nil)
	assert.NilError(t, err)
	return l
}

// Guards against a limit that grows too early, exceeds its ceiling, or falls to zero.
func TestConnLimit(t *testing.T) {
	a := connLimit{}
	a.setCeiling(8)
	assert.Equal(t, a.allowed(0), 8)
	a.recordRefusal(time.Second)
	assert.Equal(t, a.allowed(time.Second+growthInterval-1), 4)
	assert.Equal(t, a.allowed(time.Second+growthInterval), 5)
	assert.Equal(t, a.allowed(time.Second+growthInterval*9/2), 8)
	a.setCeiling(2)
	assert.Equal(t, a.allowed(time.Minute), 2)
	for range 5 {
		a.recordRefusal(time.Minute)
	}
	assert.Equal(t, a.allowed(time.Minute), 1)
}

// Guards against the reuse of connections of an earlier term, of a leaving upstream,
// or of a cancelled lease.
func TestConnectionsAreClosedInsteadOfReused(t *testing.T) {
	p, target := start(t, 10, nil)
	idle, leased, cancelled := acquire(t, p, target), acquire(t, p, target), acquire(t, p, target)
	assert.NilError(t, cancelled.Cancel())
	cancelled.Release(false)
	assert.Equal(t, p.Dump()[0].Idle, 0)
	idle.Release(false)
	assert.Equal(t, p.Dump()[0].Idle, 1)
	target.Term = 2
	fresh := acquire(t, p, target)
	assert.Assert(t, fresh.Conn() != idle.Conn())
	leased.Release(false)
	assert.Equal(t, p.Dump()[0].Idle, 0)
	fresh.Release(false)
	assert.Equal(t, p.Dump()[0].Idle, 1)
	p.SetLeaving("orders", "a", true)
	assert.Equal(t, p.Dump()[0].Idle, 0)
	last := acquire(t, p, target)
	last.Release(false)
	assert.Equal(t, p.Dump()[0].Idle, 0)
	assert.NilError(t, last.Cancel()) // no effect after the end of the lease
}

// Guards against a waiter that is blocked by a slow dial although another connection
// is released in the meantime.
func TestSlowDialDoesNotBlockWaiters(t *testing.T) {
	slow := make(chan struct{})
	opened := 0
	p, target := start(t, 10, func(c *Config) {
		c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if opened++; opened > 1 {
				<-slow
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	})
	first := acquire(t, p, target)
	got := make(chan *Lease, 1)
	go func() {
		l, _ := p.Acquire(context.Background(), target, nil)
		got <- l
	}()
	for p.Dump()[0].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Release(false)
	l := <-got
	assert.Assert(t, l != nil && l.Conn() == first.Conn())
	assert.Assert(t, l.generation > first.generation)
	close(slow)
	for p.Dump()[0].Opening > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that fail although a connection becomes free while the
// upstream rejects further ones, and against waits without a deadline.
func TestRejectedConnections(t *testing.T) {
	p, target := start(t, 2, nil)
	one, two := acquire(t, p, target), acquire(t, p, target)
	got := make(chan error, 1)
	go func() {
		_, err := p.Acquire(context.Background(), target, nil)
		got <- err
	}()
	for p.Dump()[0].Limit == 4 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, p.Dump()[0].Limit, 2)
	one.Release(false)
	assert.NilError(t, <-got)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := p.Acquire(ctx, target, nil)
	assert.Equal(t, resultcode.Of(err), resultcode.QueueDeadline)
	two.Close()

	target.Upstream, target.Address = "b", "127.0.0.1:1"
	_, err = p.Acquire(t.Context(), target, nil)
	var open *OpenError
	assert.Assert(t, errors.As(err, &open))
	assert.Equal(t, err.Error(), "no connection to upstream b could be opened")
}

// Guards against unencrypted connections, or connections with an unverified
// certificate, when TLS is configured.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	g, err := standin.Start(standin.Config{
		Name: "orders", User: "u", Password: "p", Members: []standin.MemberConfig{{Name: "a"}},
		TLS: &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}},
	}, standin.NewNetwork())
	assert.NilError(t, err)
	defer g.Close()
	trusted := x509.NewCertPool()
	p := New(Config{Credentials: Credentials{User: "u", Password: "p"}, TLS: func() *tls.Config { return &tls.Config{RootCAs: trusted, ServerName: "127.0.0.1"} }})
	defer p.Close()
	target := request.Target{Group: "orders", Upstream: "a", Address: g.Member("a").Address(), Term: 1, ConnectionLimit: 1}
	_, err = p.Acquire(t.Context(), target, nil)
	var open *OpenError
	assert.Assert(t, errors.As(err, &open))
	trusted.AddCert(certificate) // the next connection uses the reloaded configuration
	l := acquire(t, p, target)
	_, encrypted := l.Conn().netConn.(*tls.Conn)
	assert.Assert(t, encrypted)
	l.Release(false)
	l = acquire(t, p, target)
	assert.Assert(t, p.Dump()[0].Idle == 0 && p.Dump()[0].Opening == 0) // found usable beneath TLS
	assert.NilError(t, l.Cancel())
}

// Guards against session state that survives the reset of a dirty connection.
func TestDirtyConnectionsAreReset(t *testing.T) {
	p, target := start(t, 2, nil)
	target.ConnectionLimit = 1
	l := acquire(t, p, target)
	errorResponse, err := l.Conn().ApplySettings("SET application_name TO 'x'")
	assert.NilError(t, err)
	assert.Equal(t, len(errorResponse), 0)
	l.Conn().Settings["application_name"] = "'x'"
	l.Conn().SetPrepared(StatementKey{1}, "rw1")
	l.Release(true)
	again := acquire(t, p, target)
	assert.Assert(t, again.Conn() == l.Conn())
	_, known := again.Conn().Prepared(StatementKey{1})
	assert.Assert(t, !known && len(again.Conn().Settings) == 0)
}

// Guards against requests that wait for connections to an unresponsive former primary
// after its replacement.
func TestCloseReplacedRejectsEarlierTerms(t *testing.T) {
	blocked := make(chan struct{})
	pools := New(Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-blocked:
		case <-ctx.Done():
		}
		return nil, errors.New("no response")
	}})
	defer close(blocked)
	target := request.Target{Group: "g", Upstream: "a", Address: "127.0.0.1:1", Term: 1, ConnectionLimit: 2}
	waiting := make(chan error, 1)
	go func() {
		_, err := pools.Acquire(t.Context(), target, nil)
		waiting <- err
	}()
	for pools.pool(target).state().Waiting == 0 {
		runtime.Gosched()
	}
	pools.CloseReplaced("g", "a", 2)
	var open *OpenError
	assert.Assert(t, errors.As(<-waiting, &open))
	_, err := pools.Acquire(t.Context(), target, nil)
	assert.Assert(t, errors.As(err, &open))
	assert.ErrorIs(t, err, errReplaced)
}
