package forward

import (
	"encoding/binary"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

var (
	syncFrame        = []byte{'S', 0, 0, 0, 4}
	parseComplete    = []byte{'1', 0, 0, 0, 4}
	bindComplete     = []byte{'2', 0, 0, 0, 4}
	noData           = []byte{'n', 0, 0, 0, 4}
	noParameterTypes = []byte{'t', 0, 0, 0, 6, 0, 0}
)

// plan prepares the next segment and returns the remaining messages.
func (x *exchange) plan(msgs []filter.Message) ([]filter.Message, error) {
	for i := range msgs {
		msg := &msgs[i]
		x.recordEffects(msg)
		if msg.Kind == 'Q' {
			return x.planQuery(msg, msgs[i+1:]), nil
		}
		x.planMessage(msg)
		if msg.Kind == 'E' && endsWithCommit(msg.Statements) && containsExecute(msgs[i+1:]) {
			x.emit(syncFrame)
			x.expected = append(x.expected, expectedResponse{kind: 'S', drop: true})
			return msgs[i+1:], nil
		}
	}
	return nil, nil
}

// recordEffects records the possible effects of a message.
func (x *exchange) recordEffects(msg *filter.Message) {
	for _, s := range msg.Statements {
		x.s.Dirty = x.s.Dirty || s.Dirty
		x.selfCommitting = x.selfCommitting || s.Dirty && s.Kind == sqltext.Write
		switch s.Kind {
		case sqltext.Begin, sqltext.TransactionControl:
			x.s.ReadOnlyTransaction = x.s.ReadOnlyTransaction || s.ReadOnly
		case sqltext.Commit:
			x.commits = true
		case sqltext.Write, sqltext.CopyIn:
			x.writes = true
		case sqltext.Read:
			// A function called by the statement may write; a lease for reads rejects that.
			x.writes = x.writes || x.s.OnPrimary
		}
	}
}

func endsWithCommit(list []sqltext.Statement) bool {
	return len(list) > 0 && list[len(list)-1].Kind == sqltext.Commit
}

func containsExecute(msgs []filter.Message) bool {
	for i := range msgs {
		if msgs[i].Kind == 'E' {
			return true
		}
	}
	return false
}

// planQuery plans a simple query, or its statements up to the first COMMIT, and returns
// the remaining messages.
func (x *exchange) planQuery(msg *filter.Message, rest []filter.Message) []filter.Message {
	x.unnamed = upstream.StatementKey{}
	x.conn.UnnamedStatement = upstream.StatementKey{}
	x.statements, x.statement = msg.Statements, 0
	for i, s := range msg.Statements[:len(msg.Statements)-1] {
		if s.Kind != sqltext.Commit {
			continue
		}
		sql := msg.Frame[5 : len(msg.Frame)-1]
		x.emitQuery(false, string(sql[msg.Statements[0].Start:s.End]))
		x.statements = msg.Statements[:i+1]
		tail := filter.Message{Kind: 'Q', Frame: textFrame('Q', string(sql[msg.Statements[i+1].Start:]))}
		offset := msg.Statements[i+1].Start
		for _, later := range msg.Statements[i+1:] {
			later.Start -= offset
			later.End -= offset
			tail.Statements = append(tail.Statements, later)
		}
		x.expected[len(x.expected)-1].message = msg
		return []filter.Message{tail}
	}
	x.emit(msg.Frame)
	x.expected = append(x.expected, expectedResponse{kind: 'Q', message: msg})
	return rest
}

// emitQuery adds a simple query of the proxy to the segment. drop withholds its response
// from the client.
func (x *exchange) emitQuery(drop bool, sql string) {
	x.emit(textFrame('Q', sql))
	x.unnamed = upstream.StatementKey{}
	x.conn.UnnamedStatement = upstream.StatementKey{}
	x.expected = append(x.expected, expectedResponse{kind: 'Q', drop: drop})
}

func textFrame(kind byte, text string) []byte {
	frame := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(text)+5))
	return append(append(frame, text...), 0)
}

// emit adds a message to the segment, which begins with a marker.
func (x *exchange) emit(frame []byte) {
	if len(x.out) == 0 && !x.s.Unsynced {
		n := x.conn.NextMarker()
		x.out = append(x.out, markers[n])
		x.expected = append(x.expected, expectedResponse{kind: 'C', drop: true, marker: n})
	}
	x.out = append(x.out, frame)
}

// planMessage plans one message of the extended protocol.
func (x *exchange) planMessage(msg *filter.Message) {
	e := expectedResponse{kind: msg.Kind, message: msg}
	switch {
	case msg.IsLocal:
		e.isLocal, e.local = true, msg.LocalResponse
	case msg.Kind == 'P':
		x.planParse(msg)
		return
	case msg.Kind == 'B' && msg.Prepared != nil && msg.Name != "":
		name := x.ensurePrepared(msg.Prepared)
		x.emit(x.bind(msg, name))
	case msg.Kind == 'D' && msg.Prepared != nil && msg.Name != "":
		name := x.ensurePrepared(msg.Prepared)
		x.emit(x.buildNamed('D', "S", name, nil))
	case msg.Kind == 'B' || msg.Kind == 'D' && msg.Prepared != nil:
		x.ensureUnnamed(msg.Prepared)
		x.emit(msg.Frame)
	case msg.Kind == 'H':
		x.emit(msg.Frame)
		return
	default:
		x.emit(msg.Frame)
	}
	x.expected = append(x.expected, e)
}

func (x *exchange) planParse(msg *filter.Message) {
	e := expectedResponse{kind: 'P', message: msg, key: msg.Prepared.Key}
	if msg.Name == "" {
		x.unnamed = msg.Prepared.Key
		x.emit(msg.Frame)
		x.expected = append(x.expected, e)
		return
	}
	if _, ok := x.preparedName(msg.Prepared.Key); ok {
		e.isLocal, e.local = true, parseComplete
		x.expected = append(x.expected, e)
		return
	}
	x.prepare(msg.Prepared, msg, false)
}

// preparedName returns the name of a statement that is prepared on the connection, or
// that the planned messages prepare.
func (x *exchange) preparedName(key upstream.StatementKey) (string, bool) {
	if name, ok := x.conn.Prepared(key); ok {
		return name, true
	}
	name, ok := x.pending[key]
	return name, ok
}

// ensurePrepared returns the name of the statement on the connection and prepares it
// there if necessary.
func (x *exchange) ensurePrepared(p *filter.PreparedStatement) string {
	if name, ok := x.preparedName(p.Key); ok {
		return name
	}
	return x.prepare(p, nil, true)
}

func (x *exchange) prepare(p *filter.PreparedStatement, msg *filter.Message, drop bool) string {
	name := x.conn.NewStatementName()
	x.emit(x.buildNamed('P', "", name, []byte(p.Definition.Value())))
	x.expected = append(x.expected, expectedResponse{kind: 'P', drop: drop, message: msg, key: p.Key, name: name})
	if x.pending == nil {
		x.pending = map[upstream.StatementKey]string{}
	}
	x.pending[p.Key] = name
	return name
}

// ensureUnnamed parses the unnamed statement of the client again unless it is the
// current unnamed statement of the connection.
func (x *exchange) ensureUnnamed(p *filter.PreparedStatement) {
	if x.unnamed == p.Key {
		return
	}
	x.emit(x.buildNamed('P', "", "", []byte(p.Definition.Value())))
	x.expected = append(x.expected, expectedResponse{kind: 'P', drop: true, key: p.Key})
	x.unnamed = p.Key
}

// bind builds a Bind message with the name of the statement on the connection.
func (x *exchange) bind(msg *filter.Message, name string) []byte {
	return x.build('B', string(msg.Portal)+"\x00"+name+"\x00", msg.Rest)
}

// buildNamed builds a message of a prefix, a zero-terminated name and the remaining body.
func (x *exchange) buildNamed(kind byte, prefix, name string, rest []byte) []byte {
	return x.build(kind, prefix+name+"\x00", rest)
}

func (x *exchange) build(kind byte, head string, rest []byte) []byte {
	start := len(x.scratch)
	x.scratch = append(x.scratch, kind)
	x.scratch = binary.BigEndian.AppendUint32(x.scratch, uint32(4+len(head)+len(rest)))
	x.scratch = append(append(x.scratch, head...), rest...)
	return x.scratch[start:len(x.scratch):len(x.scratch)]
}
