package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// ErrUnknownVM means that the membership view has no live VM of this name. Nothing was
// sent.
var ErrUnknownVM = errors.New("no live VM of this name")

// ErrStopped means that the mesh has stopped or has not started. Nothing was sent.
var ErrStopped = errors.New("mesh is not running")

// Config configures a Network.
type Config struct {
	// Self describes this VM. Other VMs connect to its Address.
	Self Member
	// Credentials enable mutual TLS. Without them Self.Address must be a loopback
	// address.
	Credentials Credentials
	// SeedAddresses are the addresses of peers to join through.
	SeedAddresses []string
	// Detector overrides the default detector configuration; its Self is ignored.
	Detector *detector.Config
	// RandomSeed seeds the random number generator of the detector.
	RandomSeed uint64
	// Listener and Dial replace TCP in tests.
	Listener net.Listener
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	// FaultInjector injects network faults in tests and the demo; nil injects none.
	FaultInjector *FaultInjector
	// OnRefused, if set, is called with the error of each rejected peer and frame.
	OnRefused func(error)
}

// Network implements Mesh over WebSocket connections.
type Network struct {
	cfg           Config
	clock         *clock.Clock
	counters      counters
	sequence      atomic.Uint64
	receivers     map[Kind]func(Member, cbor.RawMessage)
	piggybacks    []piggyback
	piggybackTurn atomic.Uint64
	observers     []func([]Member)
	listener      net.Listener
	server        *http.Server

	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	lifecycleMu sync.Mutex // ensures that wg.Add precedes wg.Wait of Close; guards closed
	closed      bool
	wake        chan struct{} // the time of the detector's next tick may have changed
	changed     chan struct{}

	mu       sync.Mutex // guards the fields below
	detector *detector.Detector
	links    map[ident.VMName]*link
	running  bool
}

var _ Mesh = (*Network)(nil)

// New returns a mesh that listens but serves no peers until Start. Errors carry
// SettingsTLS or SettingsInvalid.
func New(cfg Config) (*Network, error) {
	if cfg.Self.Name == "" || cfg.Self.Zone == "" {
		return nil, resultcode.New(resultcode.SettingsInvalid, "the name and the availability zone of the VM are required")
	}
	if cfg.Credentials == nil && !isLoopback(cfg.Self.Address) {
		return nil, resultcode.New(resultcode.SettingsTLS, "peer address %s is not a loopback address and no certificate is set", cfg.Self.Address)
	}
	if cfg.Credentials != nil {
		if _, _, err := cfg.Credentials.Current(); err != nil {
			return nil, err
		}
	}
	if cfg.Dial == nil {
		var dialer net.Dialer
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	m := &Network{
		cfg: cfg, clock: clock.New(), links: map[ident.VMName]*link{},
		receivers: map[Kind]func(Member, cbor.RawMessage){},
		wake:      make(chan struct{}, 1), changed: make(chan struct{}, 1),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	if err := m.listen(); err != nil {
		return nil, err
	}
	detectorConfig := detector.DefaultConfig(m.cfg.Self)
	if cfg.Detector != nil {
		detectorConfig = *cfg.Detector
		detectorConfig.Self = m.cfg.Self
	}
	m.detector = detector.New(0, detectorConfig, rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.Incarnation))))
	return m, nil
}

// listen opens the listener unless one is configured, and updates the address of this
// VM with the port that the system has chosen.
func (m *Network) listen() error {
	m.listener = m.cfg.Listener
	if m.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", m.cfg.Self.Address)
	if err != nil {
		return resultcode.Wrap(err, resultcode.SettingsInvalid, "cannot listen on peer address %s", m.cfg.Self.Address)
	}
	m.listener = listener
	m.cfg.Self.Address = listener.Addr().String()
	return nil
}

// Start begins to serve and probe peers. All receivers must be registered before.
func (m *Network) Start() {
	mux := http.NewServeMux()
	mux.HandleFunc(meshPath, m.serve)
	m.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: helloTimeout, ErrorLog: log.New(io.Discard, "", 0),
		BaseContext: func(net.Listener) context.Context { return m.ctx },
	}
	listener := m.listener
	if m.cfg.Credentials != nil {
		listener = tls.NewListener(listener, &tls.Config{
			MinVersion: tls.VersionTLS13,
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
				return tlsConfig(m.cfg.Credentials, m.reportRefusal)
			},
		})
	}
	m.mu.Lock()
	m.running = true
	m.mu.Unlock()
	m.spawn(func() { m.server.Serve(listener) })
	m.spawn(m.runDetector)
	m.spawn(m.runObservers)
	for _, seed := range m.cfg.SeedAddresses {
		m.spawn(func() { m.joinSeed(seed) })
	}
}

// addGoroutine registers a goroutine that Close waits for. It returns false after
// Close.
func (m *Network) addGoroutine() bool {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	if !m.closed {
		m.wg.Add(1)
	}
	return !m.closed
}

// spawn runs f in a goroutine that Close waits for. It returns false after Close.
func (m *Network) spawn(f func()) bool {
	if !m.addGoroutine() {
		return false
	}
	go func() {
		defer m.wg.Done()
		f()
	}()
	return true
}

// leaveFlushTime is the time that Leave waits for its messages to be sent.
const leaveFlushTime = 200 * time.Millisecond

// Leave announces the planned shutdown of this VM and waits for leaveFlushTime. Close
// must follow.
func (m *Network) Leave() {
	m.updateDetector(func(now time.Duration) []detector.Outgoing { return m.detector.Leave(now) })
	sleep(m.ctx, leaveFlushTime)
}

// Close stops the mesh and waits for its goroutines to return.
func (m *Network) Close() {
	m.mu.Lock()
	m.running = false
	m.mu.Unlock()
	m.lifecycleMu.Lock()
	m.closed = true
	m.lifecycleMu.Unlock()
	m.cancel()
	if m.server != nil {
		m.server.Close()
	}
	m.listener.Close()
	m.wg.Wait()
}

// reportRefusal counts a rejected peer or frame and calls OnRefused.
func (m *Network) reportRefusal(err error) {
	m.counters.refused.Add(resultcode.Of(err).String(), 1)
	if m.cfg.OnRefused != nil {
		m.cfg.OnRefused(err)
	}
}

// Self returns this VM.
func (m *Network) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Self()
}

// Members returns the membership view, ordered by name.
func (m *Network) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Members()
}

// Handle implements Mesh. It must be called before Start.
func (m *Network) Handle(kind Kind, receive func(from Member, body cbor.RawMessage)) {
	m.receivers[kind] = receive
}

// OnChange registers an observer of the membership view. Observers are called
// sequentially on a goroutine of the mesh; successive changes may be merged into one
// call.
func (m *Network) OnChange(changed func([]Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observers = append(m.observers, changed)
}

// AddHints passes VMs known from outside the mesh, such as the platform's list, to
// the detector.
func (m *Network) AddHints(members []Member, complete bool) {
	m.updateDetector(func(now time.Duration) []detector.Outgoing {
		m.detector.AddHints(now, members, complete)
		return nil
	})
}

// Send queues a message to a live VM. Errors include ErrUnknownVM and ErrStopped.
func (m *Network) Send(ctx context.Context, to ident.VMName, kind Kind, body any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	m.mu.Lock()
	other, known := m.detector.Member(to)
	m.mu.Unlock()
	if !known || other.State == Dead || to == m.cfg.Self.Name {
		return errors.Wrapf(ErrUnknownVM, "send to %q", to)
	}
	return m.queue(to, kind, body)
}

// queue encodes a message and adds it to the link of its receiver, after applying
// injected faults.
func (m *Network) queue(to ident.VMName, kind Kind, body any) error {
	bytes, err := m.encode(kind, body)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return ErrStopped
	}
	l, ok := m.links[to]
	if !ok {
		l = &link{network: m, to: to, wake: make(chan struct{}, 1)}
		m.links[to] = l
	}
	for _, delay := range m.cfg.FaultInjector.copyDelays(m.cfg.Self.Name, to) {
		f := frame{kind: kind, bytes: bytes, queued: time.Now().Add(delay)}
		if delay == 0 {
			l.push(f)
		} else {
			time.AfterFunc(delay, func() { l.push(f) })
		}
	}
	return nil
}

func (m *Network) addressOf(name ident.VMName) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other, ok := m.detector.Member(name)
	if !ok {
		return "", errors.Wrapf(ErrUnknownVM, "connect to %q", name)
	}
	return other.Address, nil
}
