package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// WebSocket close codes for protocol violations, from the private range of RFC 6455.
const (
	closeVersion         websocket.StatusCode = 4001
	closeUnauthenticated websocket.StatusCode = 4002
	closeMalformed       websocket.StatusCode = 4003
)

const (
	// meshPath is the HTTP path of the WebSocket endpoint.
	meshPath = "/mesh"
	// helloTimeout limits the hello exchange after a connection was accepted.
	helloTimeout = 3 * time.Second
)

// dial opens a connection and exchanges hellos. If want is empty, any authenticated
// VM is accepted.
func (m *Network) dial(ctx context.Context, address string, want ident.VMName) (*websocket.Conn, Member, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var state *tls.ConnectionState
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return m.connect(ctx, address, &state) },
	}
	conn, response, err := websocket.Dial(ctx, "ws://"+address+meshPath, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
	if response != nil && response.Body != nil {
		response.Body.Close()
	}
	if err != nil {
		return nil, Member{}, err
	}
	conn.SetReadLimit(maxFrameBytes)
	other, err := m.exchangeHello(ctx, conn, state, want)
	if err != nil {
		conn.CloseNow()
		return nil, Member{}, err
	}
	return conn, other, nil
}

// connect opens the TCP connection and, if credentials are set, runs the TLS
// handshake.
func (m *Network) connect(ctx context.Context, address string, state **tls.ConnectionState) (net.Conn, error) {
	if m.cfg.Credentials == nil && !isLoopback(address) {
		return nil, resultcode.New(resultcode.SettingsTLS, "unencrypted connection to %s, which is not a loopback address", address)
	}
	raw, err := m.cfg.Dial(ctx, address)
	if err != nil || m.cfg.Credentials == nil {
		return raw, err
	}
	cfg, err := tlsConfig(m.cfg.Credentials, m.reportRefusal)
	if err != nil {
		raw.Close()
		return nil, err
	}
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	s := conn.ConnectionState()
	*state = &s
	return conn, nil
}

// exchangeHello sends the hello of this VM, then reads and validates the hello of
// the peer.
func (m *Network) exchangeHello(ctx context.Context, conn *websocket.Conn, state *tls.ConnectionState, want ident.VMName) (Member, error) {
	if err := m.sendHello(ctx, conn); err != nil {
		return Member{}, err
	}
	other, err := m.readHello(ctx, conn, state)
	if err != nil {
		return Member{}, closeError(err)
	}
	if want != "" && other.Name != want {
		return Member{}, resultcode.New(resultcode.MessageStranger, "VM %q responded at the address of %q", other.Name, want)
	}
	return other, nil
}

func (m *Network) sendHello(ctx context.Context, conn *websocket.Conn) error {
	bytes, err := m.encode(kindHello, m.Self())
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, bytes)
}

func (m *Network) readHello(ctx context.Context, conn *websocket.Conn, state *tls.ConnectionState) (Member, error) {
	e, _, err := readFrame(ctx, conn)
	if err != nil {
		return Member{}, err
	}
	var other Member
	if e.Kind != kindHello {
		return Member{}, resultcode.New(resultcode.MessageMalformed, "first message has kind %q instead of hello", e.Kind)
	}
	if err := Decode(e.Body, &other); err != nil {
		return Member{}, err
	}
	if other.Name != e.From || other.Incarnation != e.Incarnation || other.Name == m.cfg.Self.Name {
		return Member{}, resultcode.New(resultcode.MessageStranger, "hello of VM %q was sent by %q", other.Name, e.From)
	}
	if m.cfg.Credentials != nil {
		if err := verifyName(state, other.Name); err != nil {
			return Member{}, err
		}
	}
	return other, m.addPeer(other)
}

func readFrame(ctx context.Context, conn *websocket.Conn) (Envelope, int, error) {
	kind, bytes, err := conn.Read(ctx)
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return Envelope{}, 0, resultcode.Wrap(err, resultcode.MessageMalformed, "frame exceeds the size limit")
	}
	if err != nil {
		return Envelope{}, 0, err
	}
	if kind != websocket.MessageBinary {
		return Envelope{}, 0, resultcode.New(resultcode.MessageMalformed, "frame is not binary")
	}
	e, err := decodeEnvelope(bytes)
	return e, len(bytes), err
}

// serve handles an inbound connection until it is closed.
func (m *Network) serve(w http.ResponseWriter, r *http.Request) {
	if !m.addGoroutine() {
		return
	}
	defer m.wg.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	m.closeWithCode(conn, m.receiveAll(r.Context(), conn, r.TLS))
}

// receiveAll handles messages until the connection is closed or a message is rejected.
func (m *Network) receiveAll(ctx context.Context, conn *websocket.Conn, state *tls.ConnectionState) error {
	hello, cancel := context.WithTimeout(ctx, helloTimeout)
	other, err := m.readHello(hello, conn, state)
	if err == nil {
		err = m.sendHello(hello, conn)
	}
	cancel()
	if err != nil {
		return err
	}
	for {
		e, size, err := readFrame(ctx, conn)
		if err != nil {
			return err
		}
		if e.From != other.Name || e.Incarnation != other.Incarnation {
			return resultcode.New(resultcode.MessageStranger, "message from %q on the connection of %q", e.From, other.Name)
		}
		if err := m.dispatch(other, e, size); err != nil {
			return err
		}
	}
}

// closeWithCode closes the connection of a peer that violated the protocol and
// reports the refusal. It ignores all other errors.
func (m *Network) closeWithCode(conn *websocket.Conn, err error) {
	status := websocket.StatusCode(0)
	switch resultcode.Of(err) {
	case resultcode.MessageVersion:
		status = closeVersion
	case resultcode.MessageStranger:
		status = closeUnauthenticated
	case resultcode.MessageMalformed:
		status = closeMalformed
	default:
		return
	}
	m.reportRefusal(err)
	conn.Close(status, resultcode.Of(err).String())
}

// dispatch passes an accepted message to the receiver of its kind. Messages of an
// unknown kind are counted under one name and ignored.
func (m *Network) dispatch(from Member, e Envelope, size int) error {
	kind := string(e.Kind)
	receiver, known := m.receivers[e.Kind]
	if !known && e.Kind != kindDetector {
		kind = "unknown"
	}
	m.counters.receivedMessages.Add(kind, 1)
	m.counters.receivedBytes.Add(kind, int64(size))
	if e.Kind == kindDetector {
		var body detectorBody
		if err := Decode(e.Body, &body); err != nil {
			return err
		}
		m.receiveDetector(from, body)
		return nil
	}
	if known {
		receiver(from, e.Body)
	}
	return nil
}

// encode returns the encoded frame of a message.
func (m *Network) encode(kind Kind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, resultcode.Wrap(err, resultcode.MessageMalformed, "cannot encode a message of kind %q", kind)
	}
	bytes, err := cbor.Marshal(Envelope{
		Version: ProtocolVersion, Kind: kind, From: m.cfg.Self.Name,
		Incarnation: m.cfg.Self.Incarnation, Sequence: m.sequence.Add(1), Body: raw,
	})
	if err == nil && len(bytes) > maxFrameBytes {
		err = resultcode.New(resultcode.MessageTooLarge, "message of kind %q has %d bytes", kind, len(bytes))
	}
	return bytes, err
}

// isLoopback reports whether the host of the address is a loopback IP address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}
