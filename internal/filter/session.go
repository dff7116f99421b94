package filter

import (
	"sync/atomic"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// Client is the connection of a caller, as far as forwarding needs it.
type Client interface {
	// Writer buffers messages to the caller.
	Writer() *wire.Writer
	// Reader reads messages of the caller, for COPY FROM STDIN.
	Reader() *wire.Reader
	// Peek waits for the next message of the caller. It fails with ErrInterrupted
	// after Interrupt.
	Peek() (kind byte, size int, err error)
	// Gone reports whether the caller has closed its connection.
	Gone() bool
	// Interrupt wakes Peek; Resume lets it wait again.
	Interrupt()
	Resume()
}

// Slot is the right to run one request on an upstream.
type Slot interface {
	// Release gives the slot back.
	Release()
}

// Session is the state of a caller's session that filters share.
type Session struct {
	Grant  request.Grant
	Client Client
	// Settings are the session settings that the caller has set.
	Settings Settings
	// Lease is the connection that an open transaction or batch holds. A
	// CancelRequest reads it from another goroutine.
	Lease atomic.Pointer[upstream.Lease]
	// Slot is the upstream slot that the running request or transaction holds.
	Slot Slot
	// OnPrimary says that the lease is one of the primary.
	OnPrimary bool
	// Dirty says that the leased connection needs a reset before reuse.
	Dirty bool
	// InTransaction says that a transaction block is open on the lease.
	InTransaction bool
	// ReadOnlyTransaction says that the caller made the open transaction read-only.
	ReadOnlyTransaction bool
	// Unsynced says that the lease is in the middle of an extended batch.
	Unsynced bool
	// UnsyncedWrites says that the part of the batch that was sent before a Flush may
	// write, so that the next Sync commits.
	UnsyncedWrites bool
	// LogPoint is the newest point that the session has written or presented.
	LogPoint ident.LogPoint
}

// Rollback ends an open transaction without an answer to the caller: the
// transaction is rolled back, or its connection closed.
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

// EndLease forgets the state of the transaction that was open and returns its slot.
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
