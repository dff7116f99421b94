package filter

import (
	"context"
	"sync/atomic"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// Client is the part of a client connection that the filters use.
type Client interface {
	// Writer returns the buffered writer of messages to the client.
	Writer() *wire.Writer
	// Reader returns the reader of messages from the client, for COPY FROM STDIN.
	Reader() *wire.Reader
	// Peek waits for the next message from the client. It returns ErrInterrupted
	// after Interrupt.
	Peek() (kind byte, size int, err error)
	// Gone reports whether the client has closed its connection.
	Gone() bool
	// Interrupt makes Peek return, also in later calls. Resume undoes it.
	Interrupt()
	Resume()
}

// Slot is the right to run one request on an upstream.
type Slot interface {
	// Release returns the slot.
	Release()
}

// Session is the state of a client session that the filters share.
type Session struct {
	Grant  request.Grant
	Client Client
	// Settings are the session settings that the client has set.
	Settings Settings
	// Lease is the connection that an open transaction or batch holds. A
	// CancelRequest reads it from another goroutine.
	Lease atomic.Pointer[upstream.Lease]
	// Slot is the upstream slot that the running request or transaction holds.
	Slot Slot
	// OnPrimary reports whether the lease is a connection to the primary.
	OnPrimary bool
	// Dirty reports whether the leased connection needs a reset before reuse.
	Dirty bool
	// InTransaction reports whether a transaction block is open on the lease.
	InTransaction bool
	// ReadOnlyTransaction reports whether the client made the open transaction
	// read-only.
	ReadOnlyTransaction bool
	// Unsynced reports whether an extended-protocol batch on the lease still lacks its
	// Sync.
	Unsynced bool
	// UnsyncedWrites reports whether the messages of the batch sent before a Flush may
	// write, so that the next Sync commits them.
	UnsyncedWrites bool
	// Stopped is set when a planned stop ends running statements. From then on, no
	// statement is sent to an upstream, and the connection of a running one is closed.
	Stopped atomic.Bool
	// Process ends when the process is about to exit and limits waits for the outcome of a
	// request; nil means no limit.
	Process context.Context
	// LogPoint is the newest log position that the session has written or that its
	// client has presented in a token.
	LogPoint ident.LogPoint
}

// Rollback ends an open transaction without a response to the client. It rolls the
// transaction back, or closes the connection if a batch still lacks its Sync.
func (s *Session) Rollback() {
	if lease := s.Lease.Swap(nil); lease != nil {
		if s.Unsynced {
			lease.Close()
		} else {
			lease.ResetWith("ROLLBACK")
		}
	}
	s.EndLease()
}

// ProcessContext returns Process, or a context without an end.
func (s *Session) ProcessContext() context.Context {
	if s.Process == nil {
		return context.Background()
	}
	return s.Process
}

// EndLease clears the state of the lease and its transaction and releases the slot. It
// does not release the connection itself.
func (s *Session) EndLease() {
	s.Lease.Store(nil)
	s.InTransaction, s.Unsynced, s.OnPrimary, s.Dirty, s.UnsyncedWrites = false, false, false, false, false
	s.ReadOnlyTransaction = false
	s.Settings.pending = nil
	if s.Slot != nil {
		s.Slot.Release()
		s.Slot = nil
	}
}
