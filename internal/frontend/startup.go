package frontend

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"os"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

const (
	// maxStartup bounds a startup packet in bytes, as PostgreSQL does.
	maxStartup = 10000
	// maxPassword bounds a password message in bytes.
	maxPassword = 4096
	// maxRequests is the number of encryption requests before the startup message.
	maxRequests = 2

	codeSSL     = 80877103
	codeGSS     = 80877104
	codeCancel  = 80877102
	majorThree  = 3
	authOK      = 0
	authClear   = 3
	idleTxState = 'I'
)

// errNoSession ends a connection that was only a CancelRequest.
var errNoSession = errors.New("no session")

// start performs startup and authentication.
func (s *session) start() error {
	s.conn.beginStartup(s.server.cfg.StartupTimeout, s.server.stopping)
	body, err := s.startupMessage()
	if s.server.stopping() && (err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !isLost(err)) {
		return errShed
	}
	if err != nil {
		return err
	}
	if s.surplus {
		return resultcode.New(resultcode.TooManyCallers, "the VM holds its maximum of %d callers", s.server.cfg.MaxCallers)
	}
	params, err := decodeStartup(body)
	if err != nil {
		return err
	}
	if _, encrypted := s.conn.net.(*tls.Conn); s.server.cfg.RequireTLS && !encrypted {
		return resultcode.New(resultcode.TLSRequired, "connect with TLS")
	}
	if err := s.negotiate(params); err != nil {
		return err
	}
	if err := s.authenticate(params); err != nil {
		return err
	}
	if err := s.applyStartup(params); err != nil {
		return err
	}
	s.welcome()
	if err := s.conn.writer.Flush(); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	return s.conn.endStartup()
}

// startupMessage answers encryption and cancel requests until the startup message.
func (s *session) startupMessage() ([]byte, error) {
	for range maxRequests + 1 {
		body, err := s.conn.reader.ReadStartup(maxStartup)
		if err != nil {
			return nil, err
		}
		switch code := startupCode(body); {
		case (code == codeSSL || code == codeGSS) && len(body) != 4:
			return nil, framing.New(framing.Length, "encryption request of %d bytes", len(body))
		case code == codeSSL:
			if err := s.offerTLS(); err != nil {
				return nil, err
			}
		case code == codeGSS:
			if _, err := s.conn.net.Write([]byte{'N'}); err != nil {
				return nil, &filter.ClientConnError{Cause: err}
			}
		case code == codeCancel:
			s.server.cancel(body)
			return nil, errNoSession
		case code>>16 == majorThree:
			return body, nil
		default:
			return nil, malformed("unsupported protocol version %d.%d", code>>16, code&0xffff)
		}
	}
	return nil, malformed("too many encryption requests")
}

func (s *session) offerTLS() error {
	_, encrypted := s.conn.net.(*tls.Conn)
	if s.server.cfg.TLS == nil || encrypted {
		_, err := s.conn.net.Write([]byte{'N'})
		return err
	}
	if err := s.conn.reader.SetSource(nil); err != nil {
		return err
	}
	if _, err := s.conn.net.Write([]byte{'S'}); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	t := tls.Server(s.conn.net, s.server.cfg.TLS)
	if err := t.Handshake(); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	s.conn.net = t
	s.conn.writer.SetDestination(timedWriter{t, s.server.cfg.WriteTimeout})
	return s.conn.reader.SetSource(t)
}

// startupParams are the decoded parameters of a startup message.
type startupParams struct {
	minor  uint32
	values map[string]string
	// extensions are protocol options that are not known.
	extensions []string
}

// decodeStartup decodes a startup message.
func decodeStartup(body []byte) (startupParams, error) {
	p := startupParams{minor: startupCode(body) & 0xffff, values: map[string]string{}}
	rest := body[4:]
	for len(rest) > 1 {
		name, next, err := wire.CutCString(rest)
		if err != nil {
			return p, malformed("startup parameter")
		}
		value, next, err := wire.CutCString(next)
		if err != nil || len(name) == 0 {
			return p, malformed("startup parameter")
		}
		if len(name) > 5 && string(name[:5]) == "_pq_." {
			p.extensions = append(p.extensions, string(name))
		} else {
			p.values[string(name)] = string(value)
		}
		rest = next
	}
	if len(rest) != 1 || rest[0] != 0 {
		return p, malformed("startup message has no end")
	}
	if p.values["user"] == "" {
		return p, malformed("startup message names no user")
	}
	if p.values["database"] == "" {
		p.values["database"] = p.values["user"]
	}
	return p, nil
}

// negotiate tells the caller which protocol version and options are supported.
func (s *session) negotiate(p startupParams) error {
	if p.minor == 0 && len(p.extensions) == 0 {
		return nil
	}
	body := binary.BigEndian.AppendUint32(nil, 0)
	body = binary.BigEndian.AppendUint32(body, uint32(len(p.extensions)))
	for _, name := range p.extensions {
		body = append(append(body, name...), 0)
	}
	return s.conn.writer.WriteFrame('v', body)
}

// authenticate asks for the key, except for open databases, and checks it.
func (s *session) authenticate(p startupParams) error {
	organisation, database := ident.OrganisationName(p.values["user"]), ident.GroupName(p.values["database"])
	grant, err := s.server.cfg.Authoriser.Authorise(organisation, database, "")
	if err != nil || !grant.Open {
		key, askErr := s.askKey()
		if askErr != nil {
			return askErr
		}
		grant, err = s.server.cfg.Authoriser.Authorise(organisation, database, key)
	}
	if err != nil {
		return err
	}
	s.shared.Grant = grant
	return nil
}

// askKey performs the cleartext password exchange.
func (s *session) askKey() (string, error) {
	_ = s.conn.writer.WriteFrame('R', binary.BigEndian.AppendUint32(nil, authClear))
	if err := s.conn.writer.Flush(); err != nil {
		return "", &filter.ClientConnError{Cause: err}
	}
	s.conn.reader.SetLimit(maxPassword)
	defer s.conn.reader.SetLimit(s.server.cfg.MaxMessage)
	kind, frame, err := s.conn.AwaitFrame()
	if err != nil {
		return "", err
	}
	body := frame[minFrame:]
	if kind != 'p' {
		return "", malformed("message type %q instead of a password", kind)
	}
	key, rest, err := wire.CutCString(body)
	if err != nil || len(rest) != 0 {
		return "", malformed("password message")
	}
	text := string(key)
	clear(body) // the buffer is used again
	return text, nil
}

// welcome reports the parameters and the cancel key.
func (s *session) welcome() {
	w := s.conn.writer
	_ = w.WriteFrame('R', binary.BigEndian.AppendUint32(nil, authOK))
	reported := s.server.cfg.Pools.Parameters(s.shared.Grant.Database)
	for _, p := range [...][2]string{
		{"server_version", s.server.cfg.ServerVersion}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"}, {"TimeZone", "UTC"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}, {"is_superuser", "off"}, {"session_authorization", string(s.shared.Grant.Organisation)},
	} {
		name, value := p[0], p[1]
		if v, ok := reported[name]; ok && name != "session_authorization" && name != "is_superuser" {
			value = v
		}
		if v, ok := s.shared.Settings.Reported(name); ok {
			value = v
		}
		s.writeParameter(name, value)
	}
	key := s.server.register(s)
	_ = w.WriteFrame('K', key[:])
	_ = w.WriteFrame('Z', []byte{idleTxState})
}

func (s *session) writeParameter(name, value string) {
	_ = s.conn.writer.WriteFrame('S', []byte(name), zero, []byte(value), zero)
}

var zero = []byte{0}
