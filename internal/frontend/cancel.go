package frontend

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/rosemarywall/rosemarywall/internal/filter"
)

// cancelKey identifies a session in a CancelRequest: process number and secret.
type cancelKey [8]byte

// register gives the session a cancel key.
func (s *Server) register(ses *session) cancelKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var key cancelKey
		_, _ = rand.Read(key[:]) // never fails
		key[0] &= 0x7f           // some drivers take the process number as signed
		if _, used := s.cancels[key]; used || key == (cancelKey{}) {
			continue
		}
		s.cancels[key] = ses
		ses.cancelKey = key
		return key
	}
}

// cancel carries out a CancelRequest, whose body begins with the request code. A
// wrong key has no effect, as the protocol demands.
func (s *Server) cancel(body []byte) {
	if len(body) != 12 {
		return
	}
	s.mu.Lock()
	ses := s.cancels[cancelKey(body[4:12])]
	s.mu.Unlock()
	if ses == nil {
		return
	}
	if lease := ses.shared.Lease.Load(); lease != nil {
		_ = lease.Cancel()
		return
	}
	if wait := ses.wait.Load(); wait != nil {
		wait.end(filter.ErrCancelled)
	}
}

// startupCode returns the code with which a startup packet begins.
func startupCode(body []byte) uint32 { return binary.BigEndian.Uint32(body) }
