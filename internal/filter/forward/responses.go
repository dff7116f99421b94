package forward

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// minFrame is the size in bytes of the smallest message: the type and the length.
const minFrame = 5

// allowedResponses maps the type of a message sent to the message types of the upstream
// that are valid in response.
var allowedResponses = map[byte]string{
	'P': "1", 'B': "2", 'C': "3", 'D': "tTn", 'E': "DCIsGHdc", 'S': "", 'Q': "TDCIGHdc",
}

// readResponses reads messages until no response of the segment is outstanding.
func (x *exchange) readResponses() error {
	for x.next < len(x.expected) {
		e := &x.expected[x.next]
		if e.isLocal {
			if err := x.writeLocalResponse(e); err != nil {
				return err
			}
			x.next++
			continue
		}
		kind, size, err := x.peek()
		if err != nil {
			return err
		}
		if err := x.handleMessage(e, kind, size); err != nil {
			return err
		}
	}
	return nil
}

// writeLocalResponse writes a response of the proxy. It stays in the buffer until the
// first response of the upstream, so that the request can still be retried.
func (x *exchange) writeLocalResponse(e *expectedResponse) error {
	if e.drop {
		return nil
	}
	if !x.responseForwarded && x.w.Buffered() == x.pendingMark {
		if err := x.flushClient(); err != nil {
			return err
		}
	}
	forwarded := x.responseForwarded
	err := x.writeToClient(e.local)
	x.responseForwarded = forwarded
	return err
}

// handleMessage processes one message of the upstream.
func (x *exchange) handleMessage(e *expectedResponse, kind byte, size int) error {
	if x.conn.Reader.Buffered() < minFrame+size {
		x.stopPolling() // the message has begun to arrive and is read without a deadline
	}
	if e.marker > 0 {
		return x.handleMarkerResponse(e, kind)
	}
	switch kind {
	case 'S':
		return x.handleParameterStatus(e)
	case 'N':
		return x.forwardMessage(e)
	case 'A':
		return x.conn.Reader.Skip()
	case 'E':
		return x.handleErrorResponse(e)
	case 'Z':
		return x.handleReadyForQuery(e)
	}
	if !strings.Contains(allowedResponses[e.kind], string(rune(kind))) {
		return x.unexpectedMessage(kind)
	}
	switch kind {
	case 'C':
		return x.handleCommandComplete(e)
	case 'G':
		if x.prefixErr != nil {
			return x.prefixErr // the connection is closed, which ends the COPY
		}
		return x.copyIn(e)
	}
	if kind == 'D' && !e.drop && len(x.held) == 0 {
		return x.forwardRows()
	}
	if err := x.forwardMessage(e); err != nil {
		return err
	}
	switch kind {
	case '1':
		x.recordParsed(e)
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

func (x *exchange) recordParsed(e *expectedResponse) {
	if e.name == "" {
		x.conn.UnnamedStatement = e.key
		return
	}
	x.conn.SetPrepared(e.key, e.name)
}

// forwardMessage forwards a message to the client, unless the response is withheld.
func (x *exchange) forwardMessage(e *expectedResponse) error {
	if e.drop {
		return x.conn.Reader.Skip()
	}
	if len(x.held) > 0 {
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	x.responseForwarded = true
	position := x.w.Position()
	if err := x.conn.Reader.Forward(x.w); err != nil {
		return x.forwardFailed(position, err)
	}
	return nil
}

// forwardRows forwards the buffered rows to the client.
func (x *exchange) forwardRows() error {
	x.responseForwarded = true
	position := x.w.Position()
	if err := x.conn.Reader.ForwardRun(x.w, 'D'); err != nil {
		return x.forwardFailed(position, err)
	}
	return nil
}

// forwardFailed takes back the part of a message that was written from the position on. If
// the client has received some of it, the connection of the client ends, because the client
// would take any error for the rest of that message.
func (x *exchange) forwardFailed(position int64, cause error) error {
	if x.w.Err() != nil {
		return &filter.ClientConnError{Cause: cause}
	}
	if x.w.Rewind(position) {
		return cause
	}
	x.reportFailure(cause)
	x.h.cfg.Counters.RecordRefusal(resultcode.AnswerIncomplete)
	return &filter.ClientConnError{Cause: fmt.Errorf("%w: %v", errMessageCut, cause)}
}

// errMessageCut reports that the client has received a part of a message.
var errMessageCut = errors.New("the upstream ended within a message")

// writeToClient writes a message frame to the client.
func (x *exchange) writeToClient(frame []byte) error {
	if len(x.held) > 0 {
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	x.responseForwarded = true
	if _, err := x.w.Write(frame); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	return nil
}

func (x *exchange) handleParameterStatus(e *expectedResponse) error {
	_, frame, err := x.conn.Reader.ReadFrame()
	if err != nil {
		return err
	}
	internal, err := x.recordParameter(frame)
	switch {
	case err != nil:
		return err
	case internal || e.drop:
		return nil
	case len(x.held) > 0:
		x.held = append(x.held, frame...)
		return nil
	}
	return x.writeToClient(frame)
}

// recordParameter records a ParameterStatus. It reports whether the parameter is
// internal to the group, so that it is not forwarded to the client.
func (x *exchange) recordParameter(frame []byte) (internal bool, err error) {
	name, value, err := wire.ParseParameterStatus(frame[minFrame:])
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

// handleCommandComplete holds the message if it may acknowledge a commit.
func (x *exchange) handleCommandComplete(e *expectedResponse) error {
	_, frame, err := x.conn.Reader.ReadFrame()
	if err != nil {
		return err
	}
	tag, rest, err := wire.CutCString(frame[minFrame:])
	if err != nil || len(rest) != 0 {
		return x.invalidMessage('C')
	}
	if e.tag != "" && string(tag) != e.tag {
		return x.unexpectedMessage('C') // the late response to an earlier request
	}
	x.committed = string(tag) == "COMMIT"
	if !e.drop {
		x.trackStatement(e)
		if x.s.OnPrimary {
			if len(x.held) > 0 {
				if err := x.releaseHeld(); err != nil {
					return err
				}
			}
			x.held = append(x.held, frame...)
		} else if err := x.writeToClient(frame); err != nil {
			return err
		}
	}
	if e.kind == 'E' {
		x.next++
	}
	return nil
}

// trackStatement records the changes of settings and the end of a transaction that a
// completed statement has caused.
func (x *exchange) trackStatement(e *expectedResponse) {
	var statement sqltext.Statement
	switch {
	case e.kind == 'Q' && x.statement < len(x.statements):
		statement = x.statements[x.statement]
		x.statement++
	case e.kind == 'E' && e.message != nil && len(e.message.Statements) == 1:
		statement = e.message.Statements[0]
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

// handleReadyForQuery processes the transaction status in ReadyForQuery.
func (x *exchange) handleReadyForQuery(e *expectedResponse) error {
	_, body, err := x.conn.Reader.ReadMessage()
	if err != nil {
		return err
	}
	if len(body) != 1 || !strings.Contains("ITE", string(body)) {
		return x.invalidMessage('Z')
	}
	if e.kind != 'S' && e.kind != 'Q' {
		return x.unexpectedMessage('Z')
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
