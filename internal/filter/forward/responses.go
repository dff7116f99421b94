package forward

import (
	"strconv"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// minFrame is the smallest message in bytes.
const minFrame = 5

// allowed lists the answers to each message type.
var allowed = map[byte]string{
	'P': "1", 'B': "2", 'C': "3", 'D': "tTn", 'E': "DCIsGHdc", 'S': "", 'Q': "TDCIGHdc",
}

// answers reads until every expectation is met.
func (x *exchange) answers() error {
	for x.next < len(x.expect) {
		e := &x.expect[x.next]
		if e.isLocal {
			if err := x.passLocal(e); err != nil {
				return err
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

// passLocal writes an answer of the proxy. Before the first answer of the upstream
// it stays in the buffer, so that the request can still be repeated.
func (x *exchange) passLocal(e *expectation) error {
	if e.drop {
		return nil
	}
	if !x.answered && x.w.Pending() == x.pendingMark {
		if err := x.flushCaller(); err != nil {
			return err
		}
	}
	answered := x.answered
	err := x.pass(e.local)
	x.answered = answered
	return err
}

// message handles one message of the upstream.
func (x *exchange) message(e *expectation, kind byte, size int) error {
	if x.conn.Reader.Buffered() < minFrame+size {
		x.stopPolling() // the message has begun to arrive and is read without a bound
	}
	if e.marker > 0 {
		return x.markerAnswer(e, kind)
	}
	switch kind {
	case 'S':
		return x.parameter(e)
	case 'N':
		return x.forward(e)
	case 'A':
		return x.conn.Reader.Skip()
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
		if x.prefixErr != nil {
			return x.prefixErr // the connection is closed, which ends the COPY
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
		x.conn.UnnamedStatement = e.key
		return
	}
	x.conn.SetPrepared(e.key, e.name)
}

// forward passes a message on, unless its answer is dropped.
func (x *exchange) forward(e *expectation) error {
	if e.drop {
		return x.conn.Reader.Skip()
	}
	if len(x.held) > 0 {
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	x.answered = true
	if err := x.conn.Reader.Forward(x.w); err != nil {
		if x.w.Err() != nil {
			return &filter.ClientConnError{Cause: err}
		}
		return err
	}
	return nil
}

// rows passes the rows on that are in the buffer.
func (x *exchange) rows() error {
	x.answered = true
	if err := x.conn.Reader.ForwardRun(x.w, 'D'); err != nil {
		if x.w.Err() != nil {
			return &filter.ClientConnError{Cause: err}
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
	x.answered = true
	if _, err := x.w.Write(frame); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	return nil
}

// parameter handles ParameterStatus.
func (x *exchange) parameter(e *expectation) error {
	_, frame, err := x.conn.Reader.NextFrame()
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
		x.lease.TransactionID = value
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
	_, frame, err := x.conn.Reader.NextFrame()
	if err != nil {
		return err
	}
	if e.tag != "" && string(frame[minFrame:len(frame)-1]) != e.tag {
		return x.crossed('C') // the late answer of an earlier request
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

// ready handles ReadyForQuery.
func (x *exchange) ready(e *expectation) error {
	_, body, err := x.conn.Reader.Next()
	if err != nil {
		return err
	}
	if e.kind != 'S' && e.kind != 'Q' || len(body) != 1 {
		return x.crossed('Z')
	}
	x.status = body[0]
	x.next++
	if e.settings && x.prefixErr == nil {
		x.s.Settings.MarkApplied(x.conn.Settings, !x.r.Write)
	}
	if !x.wrapped {
		x.s.InTransaction = x.status != 'I'
	}
	return nil
}
