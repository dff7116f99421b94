package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// authority issues certificates in memory.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "peer authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{t, certificate, key}
}

func (a *authority) issue(name ident.VMName) StaticCredentials {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: string(name)},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return StaticCredentials{tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool}
}

// files writes credentials as PEM files.
func (a *authority) files(dir string, c StaticCredentials) *FileCredentials {
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	key, err := x509.MarshalECPrivateKey(c.Certificate.PrivateKey.(*ecdsa.PrivateKey))
	assert.NilError(a.t, err)
	return &FileCredentials{
		CertFile: write("vm.crt", "CERTIFICATE", c.Certificate.Certificate[0]),
		KeyFile:  write("vm.key", "EC PRIVATE KEY", key),
		CAFile:   write("ca.crt", "CERTIFICATE", a.certificate.Raw),
	}
}

// pipes is an in-memory network for tests on virtual time.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (p *pipes) listen(address string) *pipeListener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[address] = l
	return l
}

func (p *pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// fleet is a set of meshes on one in-memory network.
type fleet struct {
	t         *testing.T
	pipes     *pipes
	authority *authority
	links     *FaultInjector
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t, &pipes{listeners: map[string]*pipeListener{}}, newAuthority(t), NewFaultInjector(1)}
}

// vm prepares a mesh that joins through the address of vm-1.
func (f *fleet) vm(name ident.VMName, zone ident.AvailabilityZone, incarnation ident.Incarnation, change func(*Config)) *Network {
	address := "127.0.0.1:700" + strings.TrimPrefix(string(name), "vm-")
	cfg := Config{
		Self:        Member{Name: name, Zone: zone, Incarnation: incarnation, Address: address},
		Credentials: f.authority.issue(name), SeedAddresses: []string{"127.0.0.1:7001"}, RandomSeed: 7,
		Listener: f.pipes.listen(address), Dial: f.pipes.dial, FaultInjector: f.links,
	}
	if change != nil {
		change(&cfg)
	}
	m, err := New(cfg)
	assert.NilError(f.t, err)
	return m
}

// states summarises a view.
func states(m *Network) map[ident.VMName]State {
	view := map[ident.VMName]State{}
	for _, member := range m.Members() {
		view[member.Name] = member.State
	}
	return view
}

// recorder collects values from several goroutines.
type recorder[T any] struct {
	mu     sync.Mutex
	values []T
}

func (r *recorder[T]) add(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = append(r.values, v)
}

// take returns the values and forgets them.
func (r *recorder[T]) take() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := r.values
	r.values = nil
	return values
}

// first returns the first value, or the zero value.
func (r *recorder[T]) first() (first T) {
	for _, v := range r.take() {
		return v
	}
	return first
}
