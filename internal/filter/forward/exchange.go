package forward

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// inlineLimit is the maximum size in bytes of a segment that is written before the
// responses are read. Larger segments are written concurrently, because the upstream
// may block while it writes its responses before it has read the whole segment.
const inlineLimit = 32 << 10

// errUnexpectedMessage reports a message that is no response to the request.
var errUnexpectedMessage = errors.New("the upstream sent an unexpected message")

// expectedResponse is an outstanding response of the upstream or the proxy.
type expectedResponse struct {
	// kind is the type of the message that was sent.
	kind byte
	// drop withholds the response from the client.
	drop bool
	// message is the message of the client; nil for messages of the proxy.
	message *filter.Message
	// key and name are recorded after a successful Parse; name is "" for the unnamed
	// statement.
	key   upstream.StatementKey
	name  string
	local []byte
	// settings marks the query that applies the settings of the session.
	settings bool
	// marker is the number of CloseComplete messages that are outstanding for the
	// marker of the segment.
	marker int
	// tag is the command tag that the response to a query of the proxy must have; empty
	// if it is not checked.
	tag string
	// begin marks the BEGIN that the client sent earlier.
	begin bool
	// isLocal reports whether no message was sent, so that local is the response.
	isLocal bool
}

// exchange is the state of one request on its connection.
type exchange struct {
	h     *handler
	r     *filter.Request
	s     *filter.Session
	lease *upstream.Lease
	conn  *upstream.Conn
	w     *wire.Writer
	// fresh reports whether the lease was acquired for this request.
	fresh bool
	// responseForwarded reports whether a message of the upstream was forwarded.
	responseForwarded bool
	// onPrimary is the OnPrimary of the session, which stays valid after the lease was
	// released.
	onPrimary bool
	finished  bool
	// wrapped reports whether the proxy encloses the request in BEGIN and COMMIT.
	wrapped bool
	// mayHaveCommitted reports whether a segment was sent whose effect may have been
	// committed although its response is outstanding.
	mayHaveCommitted bool
	// selfCommitting reports whether the request contains a statement such as CALL, which
	// may commit a part of its work.
	selfCommitting bool
	// priorEffect reports whether an earlier segment may have had a permanent effect.
	priorEffect bool
	// commits reports whether the segment contains a COMMIT, and writes whether it
	// contains a statement that may write.
	commits, writes bool

	out      [][]byte
	scratch  []byte
	expected []expectedResponse
	next     int
	unnamed  upstream.StatementKey
	pending  map[upstream.StatementKey]string

	// mark and pendingMark are the numbers of sent and pending bytes of the client's
	// writer when the request began.
	mark        int64
	pendingMark int
	held        []byte
	term        ident.Term
	point       ident.LogPoint
	status      byte
	errored     bool
	// committed reports whether the last CommandComplete had the tag COMMIT.
	committed        bool
	statement        int // index of the next statement of a Q to get a response
	statements       []sqltext.Statement
	retry            *filter.RetryableError
	polling          bool
	polls            int // poll intervals that passed without a response
	pollsSinceCancel int // poll intervals since the statement was cancelled
	// prefixErr is the error of the upstream's response to the settings of the session
	// or to BEGIN.
	prefixErr error
	// needSync reports whether the upstream has ignored the Sync of the batch because it
	// was in COPY mode. earlyMessages holds the notices and parameters that arrived
	// during the COPY.
	needSync      bool
	earlyMessages []byte
	writeDone     chan error
	broken        bool // the connection is out of sync and must be closed
}

var exchangePool = sync.Pool{New: func() any { return new(exchange) }}

func newExchange(h *handler, r *filter.Request, lease *upstream.Lease, fresh bool) *exchange {
	x := exchangePool.Get().(*exchange)
	w := r.Session.Client.Writer()
	*x = exchange{
		h: h, r: r, s: r.Session, lease: lease, conn: lease.Conn(), w: w, fresh: fresh,
		onPrimary: r.Session.OnPrimary,
		mark:      w.Sent(), pendingMark: w.Buffered(), unnamed: lease.Conn().UnnamedStatement,
		out: x.out[:0], scratch: x.scratch[:0], expected: x.expected[:0], held: x.held[:0],
	}
	return x
}

// maxPooledBuffer is the maximum size in bytes of a buffer that a pooled exchange keeps
// and of the messages that arrive early during a COPY.
const maxPooledBuffer = 8 << 10

func (x *exchange) release() {
	clear(x.out[:cap(x.out)])
	clear(x.expected[:cap(x.expected)])
	keep := exchange{out: x.out[:0], expected: x.expected[:0]}
	if cap(x.scratch) <= maxPooledBuffer && cap(x.held) <= maxPooledBuffer {
		keep.scratch, keep.held = x.scratch[:0], x.held[:0]
	}
	*x = keep
	exchangePool.Put(x)
}

// run executes all segments.
func (x *exchange) run() error {
	x.wrapped = x.canWrap()
	if x.fresh {
		if err := x.applySettings(); err != nil {
			return err
		}
	}
	switch {
	case x.wrapped:
		x.emitQuery(true, "BEGIN")
		x.expected[len(x.expected)-1].tag = "BEGIN"
	case x.fresh && x.r.Begin != "":
		x.emitQuery(true, x.r.Begin)
		last := &x.expected[len(x.expected)-1]
		last.begin, last.tag = true, "BEGIN"
		x.s.InTransaction, x.s.ReadOnlyTransaction = true, x.r.BeginReadOnly
	}
	msgs := x.r.Messages
	for len(msgs) > 0 {
		var err error
		if msgs, err = x.plan(msgs); err != nil {
			return err
		}
		if err := x.runSegment(); err != nil {
			return err
		}
		if x.errored || x.prefixErr != nil {
			break
		}
	}
	if x.prefixErr != nil {
		return x.prefixErr // the connection is closed, which ends the transaction
	}
	if x.wrapped {
		return x.commitWrapped()
	}
	return x.acknowledge()
}

// canWrap reports whether the proxy encloses the request in BEGIN and COMMIT.
func (x *exchange) canWrap() bool {
	if !x.fresh || !x.r.Write || x.r.EndsWithFlush || x.r.Begin != "" || x.h.cfg.PlainWrites && !x.r.Target.StatusStale {
		return false
	}
	writes := false
	for i := range x.r.Messages {
		for _, s := range x.r.Messages[i].Statements {
			if !s.TransactionSafe && s.Kind != sqltext.Read {
				return false
			}
			writes = true
		}
	}
	return writes
}

// runSegment sends the planned messages and reads the responses.
func (x *exchange) runSegment() error {
	if !x.wrapped && !x.s.InTransaction {
		x.lease.TransactionID = ""
	}
	x.writes = x.writes || x.s.UnsyncedWrites
	x.mayHaveCommitted = !x.wrapped && x.writes && !x.s.InTransaction || x.commits
	if err := x.send(); err != nil {
		// The upstream cannot have run an incomplete message. Without the final Sync,
		// only a COMMIT inside the segment can have committed.
		x.mayHaveCommitted = x.commits && len(x.expected) > 2 // the marker and a single Query
		return err
	}
	err := x.readResponses()
	if x.writeDone != nil {
		if err != nil {
			_ = x.conn.SetWriteDeadline(time.Now())
		}
		writeErr := <-x.writeDone
		x.writeDone = nil
		_ = x.conn.SetWriteDeadline(time.Time{})
		if err == nil {
			err = writeErr
		}
	}
	if err != nil {
		return err
	}
	if x.status != 0 {
		x.mayHaveCommitted = false
		x.priorEffect = x.priorEffect || x.commits || x.writes && !x.wrapped
	}
	x.s.UnsyncedWrites = x.writes && x.status == 0
	x.out, x.expected, x.next, x.scratch = x.out[:0], x.expected[:0], 0, x.scratch[:0]
	x.commits, x.writes = false, false
	return nil
}

// send writes the planned messages, concurrently if they exceed inlineLimit.
func (x *exchange) send() error {
	size := 0
	for _, frame := range x.out {
		size += len(frame)
	}
	if size == 0 {
		return nil
	}
	x.status = 0
	if size <= inlineLimit {
		return x.write()
	}
	x.writeDone = make(chan error, 1)
	go func() { x.writeDone <- x.write() }()
	return nil
}

func (x *exchange) write() error {
	for _, frame := range x.out {
		if _, err := x.conn.Writer.Write(frame); err != nil {
			return err
		}
	}
	return x.conn.Writer.Flush()
}

// commitWrapped ends the transaction that the proxy began.
func (x *exchange) commitWrapped() error {
	if x.status == 'I' { // BEGIN failed, so the request ran outside a transaction
		return x.acknowledge()
	}
	failed := x.errored
	switch {
	case failed && x.broken: // the end of the connection rolls the transaction back
		x.status = 'I'
		return x.acknowledge()
	case failed:
		x.emitQuery(true, "ROLLBACK")
	default:
		x.emitQuery(true, "COMMIT")
		x.commits = true
	}
	if err := x.runSegment(); err != nil {
		if failed {
			// The error of the upstream was received, so the transaction never commits.
			x.broken, x.status = true, 'I'
			return x.acknowledge()
		}
		return err
	}
	return x.acknowledge()
}

// acknowledge confirms a pending commit and forwards the held messages.
func (x *exchange) acknowledge() error {
	if x.retry != nil {
		return x.retry
	}
	if x.errored {
		x.held = x.held[:0]
	}
	if x.status == 'I' && !x.r.EndsWithFlush && !x.point.IsZero() {
		x.finish() // other requests use the connection and the slot while the commit is confirmed
	}
	return x.releaseHeld()
}

// releaseHeld confirms a pending commit and forwards the held messages.
func (x *exchange) releaseHeld() error {
	if !x.point.IsZero() && x.onPrimary {
		if err := x.confirm(); err != nil {
			return err
		}
	}
	if len(x.held) > 0 {
		_, err := x.w.Write(x.held)
		x.held = x.held[:0]
		if err != nil {
			return &filter.ClientConnError{Cause: err}
		}
	}
	return nil
}

// responseSent reports whether the client may have received a part of the response.
func (x *exchange) responseSent() bool { return x.w.Sent() != x.mark }

// finish ends the request. It releases the connection, or keeps it for the open
// transaction.
func (x *exchange) finish() {
	if x.finished {
		return
	}
	x.finished = true
	s := x.s
	x.r.Failed = x.errored
	x.r.Status = x.status
	x.stopPolling()
	if x.status == 'I' && !x.r.EndsWithFlush {
		if x.errored {
			s.Settings.Rollback()
		} else {
			s.Settings.Commit(x.conn.Settings)
		}
		lease, dirty := x.lease, s.Dirty
		s.EndLease()
		if x.broken {
			lease.Close()
		} else {
			lease.Release(dirty)
		}
		return
	}
	if x.broken {
		s.EndLease()
		x.lease.Close()
		return
	}
	s.InTransaction = s.InTransaction || x.status == 'T' || x.status == 'E'
	if x.status == 'I' {
		s.InTransaction = false
	}
	s.Unsynced = x.r.EndsWithFlush
}

func (x *exchange) stopPolling() {
	if x.polling {
		_ = x.conn.SetReadDeadline(time.Time{})
		x.polling = false
	}
}

// invalidMessage returns the error of a message whose body does not have the form of its type.
func (x *exchange) invalidMessage(kind byte) error {
	return fmt.Errorf("%w: type %q", wire.ErrMalformed, kind)
}

func (x *exchange) unexpectedMessage(kind byte) error {
	return fmt.Errorf("%w: message type %q", errUnexpectedMessage, kind)
}
