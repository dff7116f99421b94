package forward

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

const (
	// pollInterval is how long an answer may be outstanding before the proxy asks
	// whether the group has a newer primary, because a paused or cut-off primary
	// does not close its connections.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds that question.
	pollTimeout = 50 * time.Millisecond
	// pollsPerProbe is the number of poll intervals between probes of an upstream
	// that runs a long read.
	pollsPerProbe = 10
	// minFrame is the smallest message in bytes.
	minFrame = 5
)

// errReplaced reports that the upstream is no longer the primary.
var errReplaced = errors.New("the upstream was replaced as primary")

// errSilent reports that the upstream does not respond.
var errSilent = errors.New("the upstream does not respond")

// errFatal reports that the upstream ended the connection.
var errFatal = errors.New("the upstream ended the connection")

// allowed lists the answers to each message type.
var allowed = map[byte]string{
	'P': "1", 'B': "2", 'C': "3", 'D': "tTn", 'E': "DCIsGHdc", 'S': "", 'Q': "TDCIGHdc",
}

// answers reads until every expectation is met.
func (x *exchange) answers() error {
	for x.next < len(x.expect) {
		e := &x.expect[x.next]
		if e.isLocal {
			if !e.drop {
				if err := x.pass(e.local); err != nil {
					return err
				}
			}
			x.next++
			continue
		}
		kind, size, err := x.peek()
		if err != nil {
			return err
		}
		if err := x.message(e, kind, size); err != nil {
			return err
		}
	}
	return nil
}

// peek waits for the next message. Before it blocks, the caller gets what was
// passed on so far.
func (x *exchange) peek() (byte, int, error) {
	if x.conn.R.Buffered() < minFrame {
		if err := x.flushCaller(); err != nil {
			return 0, 0, err
		}
		x.polling = true
		_ = x.conn.SetReadDeadline(time.Now().Add(pollInterval))
	}
	for {
		kind, size, err := x.conn.R.Peek()
		if err == nil || !isTimeout(err) {
			return kind, size, err
		}
		if err := x.unanswered(); err != nil {
			return 0, 0, err
		}
		_ = x.conn.SetReadDeadline(time.Now().Add(pollInterval))
	}
}

// flushCaller sends what was written to the caller, which may be answers of
// earlier requests only.
func (x *exchange) flushCaller() error {
	if x.w.Pending() == 0 {
		return nil
	}
	earlier := !x.passed() && x.w.Pending() == x.pendingMark
	if err := x.w.Flush(); err != nil {
		return &filter.Lost{Cause: err}
	}
	if earlier {
		x.mark, x.pendingMark = x.w.Sent(), 0
	}
	return nil
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// unanswered decides whether to wait longer for an answer. On the primary only a
// newer primary ends the wait, because before that the outcome could not be
// resolved. A replica must respond to a probe.
func (x *exchange) unanswered() error {
	x.polls++
	switch {
	case x.s.OnPrimary:
		if x.replaced() {
			return errReplaced
		}
	case x.polls%pollsPerProbe == 2:
		if !x.h.cfg.Pools.Responds(x.lease.Target()) {
			return errSilent
		}
	}
	return nil
}

// replaced asks whether the group has a newer primary than the connection's.
func (x *exchange) replaced() bool {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	now, err := x.h.cfg.Router.Primary(ctx, x.s.Grant.Database)
	return err == nil && now.Term > x.lease.Target().Term
}

// message handles one message of the upstream.
func (x *exchange) message(e *expectation, kind byte, size int) error {
	if x.conn.R.Buffered() < minFrame+size {
		x.stopPolling() // the message has begun to arrive and is read without a bound
	}
	switch kind {
	case 'S':
		return x.parameter(e)
	case 'N':
		return x.forward(e)
	case 'A':
		return x.conn.R.Skip()
	case 'E':
		return x.errorResponse(e)
	case 'Z':
		return x.ready(e)
	}
	if !strings.Contains(allowed[e.kind], string(rune(kind))) {
		return x.crossed(kind)
	}
	switch kind {
	case 'C':
		return x.commandComplete(e)
	case 'G':
		if x.settingsErr != nil {
			return x.settingsErr // the connection is closed, which ends the COPY
		}
		return x.copyIn(e)
	}
	if kind == 'D' && !e.drop && len(x.held) == 0 {
		return x.rows()
	}
	if err := x.forward(e); err != nil {
		return err
	}
	switch kind {
	case '1':
		x.parsed(e)
		x.next++
	case '2', '3', 'n', 's':
		x.next++
	case 'T':
		if e.kind == 'D' {
			x.next++
		}
	case 'I':
		x.statement++
		if e.kind == 'E' {
			x.next++
		}
	}
	return nil
}

func (x *exchange) parsed(e *expectation) {
	if e.name == "" {
		x.conn.Unnamed = e.key
		return
	}
	x.conn.SetPrepared(e.key, e.name)
}

// forward passes a message on, unless its answer is dropped.
func (x *exchange) forward(e *expectation) error {
	if e.drop {
		return x.conn.R.Skip()
	}
	if len(x.held) > 0 {
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	if err := x.conn.R.Forward(x.w); err != nil {
		if x.w.Err() != nil {
			return &filter.Lost{Cause: err}
		}
		return err
	}
	return nil
}

// rows passes the rows on that are in the buffer.
func (x *exchange) rows() error {
	if err := x.conn.R.ForwardRun(x.w, 'D'); err != nil {
		if x.w.Err() != nil {
			return &filter.Lost{Cause: err}
		}
		return err
	}
	return nil
}

// pass writes a message of the proxy to the caller.
func (x *exchange) pass(frame []byte) error {
	if len(x.held) > 0 {
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	if _, err := x.w.Write(frame); err != nil {
		return &filter.Lost{Cause: err}
	}
	return nil
}

// parameter handles ParameterStatus.
func (x *exchange) parameter(e *expectation) error {
	_, frame, err := x.conn.R.NextFrame()
	if err != nil {
		return err
	}
	own, err := x.noteParameter(frame)
	switch {
	case err != nil:
		return err
	case own || e.drop:
		return nil
	case len(x.held) > 0:
		x.held = append(x.held, frame...)
		return nil
	}
	return x.pass(frame)
}

// noteParameter records a ParameterStatus. It reports whether the parameter is one
// of the group, which is not passed on.
func (x *exchange) noteParameter(frame []byte) (own bool, err error) {
	name, value, err := wire.Parameter(frame[minFrame:])
	if err != nil {
		return false, err
	}
	switch name {
	case "group_transaction":
		x.lease.Transaction = value
		return true, nil
	case "group_term":
		n, err := strconv.ParseUint(value, 10, 64)
		x.term = ident.Term(n)
		return true, err
	case "group_position":
		n, err := strconv.ParseUint(value, 10, 64)
		x.point = ident.LogPoint{Term: x.term, Position: ident.Position(n)}
		return true, err
	}
	x.conn.Params[name] = value
	return false, nil
}

// commandComplete holds the message back when it may acknowledge a commit.
func (x *exchange) commandComplete(e *expectation) error {
	_, frame, err := x.conn.R.NextFrame()
	if err != nil {
		return err
	}
	x.committed = string(frame[minFrame:]) == "COMMIT\x00"
	if !e.drop {
		x.track(e)
		if x.s.OnPrimary {
			if len(x.held) > 0 {
				if err := x.releaseHeld(); err != nil {
					return err
				}
			}
			x.held = append(x.held, frame...)
		} else if err := x.pass(frame); err != nil {
			return err
		}
	}
	if e.kind == 'E' {
		x.next++
	}
	return nil
}

// track records the settings and the end of transactions that a statement brought.
func (x *exchange) track(e *expectation) {
	var statement sqltext.Statement
	switch {
	case e.kind == 'Q' && x.statement < len(x.statements):
		statement = x.statements[x.statement]
		x.statement++
	case e.kind == 'E' && e.op != nil && len(e.op.Statements) == 1:
		statement = e.op.Statements[0]
	}
	switch statement.Kind {
	case sqltext.Set, sqltext.Reset:
		x.s.Settings.Record(statement)
	case sqltext.Commit, sqltext.Rollback:
		if x.committed {
			x.s.Settings.Commit(x.conn.Settings)
		} else {
			x.s.Settings.Rollback()
		}
	}
}

// errorResponse passes an error on, or keeps it when the request can be repeated.
func (x *exchange) errorResponse(e *expectation) error {
	_, frame, err := x.conn.R.NextFrame()
	if err != nil {
		return err
	}
	body := frame[minFrame:]
	code := wire.ErrorField(body, 'C')
	if severity := wire.ErrorField(body, 'V'); severity == "FATAL" || severity == "PANIC" {
		return errFatal
	}
	if e.settings || x.settingsErr != nil {
		if e.settings {
			x.dropAnswers(body)
		}
		x.skipAnswers()
		return nil
	}
	if e.drop && e.kind == 'Q' && !x.commits { // BEGIN or ROLLBACK of the proxy
		x.unsafe = true
		return nil
	}
	x.errored = true
	x.held = x.held[:0]
	x.conn.Unnamed = upstream.StatementKey{}
	if code == "0A000" || code == "26000" {
		x.conn.ForgetStatements()
	}
	if !x.repeatable(code, frame) {
		if code == "25006" && x.s.OnPrimary && !x.readOnlyByChoice() {
			err := resultcode.New(resultcode.RolledBack, "the upstream is no longer the primary")
			x.h.cfg.Counters.Refuse(err.Code)
			frame = filter.ErrorFrame(filter.SeverityError, err)
		}
		if err := x.pass(frame); err != nil {
			return err
		}
	}
	x.skipAnswers()
	if x.needSync {
		x.needSync = false
		if err := x.flushCaller(); err != nil {
			return err
		}
		return x.skipToSync()
	}
	return nil
}

// skipAnswers moves to the ReadyForQuery that follows an error.
func (x *exchange) skipAnswers() {
	for x.next < len(x.expect) && x.expect[x.next].kind != 'S' && x.expect[x.next].kind != 'Q' {
		x.next++
	}
}

// repeatable decides whether the request can be repeated after an error, which
// holds when the upstream has rolled everything back and the caller has seen
// nothing.
func (x *exchange) repeatable(code string, frame []byte) bool {
	if !x.fresh || x.r.OpenEnd || x.effect || x.passed() {
		return false
	}
	var reason filter.Reason
	switch {
	case code == "25006" && !x.readOnlyByChoice():
		reason = filter.Refused
	case code == "40001" && x.wrapped:
		reason = filter.Serialization
	default:
		return false
	}
	x.w.Truncate(x.pendingMark)
	x.retry = &filter.Retry{Reason: reason, Answer: append([]byte(nil), frame...)}
	return true
}

// readOnlyByChoice reports whether the caller itself asked for a read-only
// transaction, so that 25006 is the proper answer.
func (x *exchange) readOnlyByChoice() bool {
	if x.s.ReadOnlyBlock || x.s.Settings.IsOn(filter.ReadOnlySetting) {
		return true
	}
	for i := range x.r.Ops {
		for _, s := range x.r.Ops[i].Statements {
			if s.Kind == sqltext.Set && s.Name == filter.ReadOnlySetting {
				return true
			}
		}
	}
	return false
}

// ready handles ReadyForQuery.
func (x *exchange) ready(e *expectation) error {
	_, body, err := x.conn.R.Next()
	if err != nil {
		return err
	}
	if e.kind != 'S' && e.kind != 'Q' || len(body) != 1 {
		return x.crossed('Z')
	}
	x.status = body[0]
	x.next++
	if e.settings && x.settingsErr == nil {
		x.s.Settings.MarkApplied(x.conn.Settings, !x.r.Write)
	}
	if !x.wrapped {
		x.s.InTransaction = x.status != 'I'
	}
	return nil
}
