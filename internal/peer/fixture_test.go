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

// testCA is an in-memory certificate authority.
type testCA struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
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
	return &testCA{t, certificate, key}
}

func (a *testCA) issue(name ident.VMName) StaticCredentials {
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

// writeFiles writes credentials to PEM files.
func (a *testCA) writeFiles(dir string, c StaticCredentials) *FileCredentials {
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

// pipeNetwork is an in-memory network for tests in virtual time.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (p *pipeNetwork) listen(address string) *pipeListener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[address] = l
	return l
}

func (p *pipeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
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

// fleet creates meshes on a shared in-memory network.
type fleet struct {
	t       *testing.T
	network *pipeNetwork
	ca      *testCA
	faults  *FaultInjector
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t, &pipeNetwork{listeners: map[string]*pipeListener{}}, newTestCA(t), NewFaultInjector(1)}
}

// newNetwork returns a mesh that joins through vm-1 and has not been started.
func (f *fleet) newNetwork(name ident.VMName, zone ident.AvailabilityZone, incarnation ident.Incarnation, change func(*Config)) *Network {
	address := "127.0.0.1:700" + strings.TrimPrefix(string(name), "vm-")
	cfg := Config{
		Self:        Member{Name: name, Zone: zone, Incarnation: incarnation, Address: address},
		Credentials: f.ca.issue(name), SeedAddresses: []string{"127.0.0.1:7001"}, RandomSeed: 7,
		Listener: f.network.listen(address), Dial: f.network.dial, FaultInjector: f.faults,
	}
	if change != nil {
		change(&cfg)
	}
	m, err := New(cfg)
	assert.NilError(f.t, err)
	return m
}

// memberStates returns the state of each VM in the membership view of m.
func memberStates(m *Network) map[ident.VMName]State {
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

// take returns the values and clears the recorder.
func (r *recorder[T]) take() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := r.values
	r.values = nil
	return values
}

// first returns the first value, or the zero value if there is none, and clears the
// recorder.
func (r *recorder[T]) first() (first T) {
	for _, v := range r.take() {
		return v
	}
	return first
}
