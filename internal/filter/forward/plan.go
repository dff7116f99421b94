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

// plan prepares the next segment and returns the messages that remain.
func (x *exchange) plan(ops []filter.Message) ([]filter.Message, error) {
	for i := range ops {
		op := &ops[i]
		x.recordEffects(op)
		if op.Kind == 'Q' {
			return x.planQuery(op, ops[i+1:]), nil
		}
		x.planMessage(op)
		if op.Kind == 'E' && endsWithCommit(op.Statements) && containsExecute(ops[i+1:]) {
			x.emit(syncFrame)
			x.expected = append(x.expected, expectedResponse{kind: 'S', drop: true})
			return ops[i+1:], nil
		}
	}
	return nil, nil
}

// recordEffects records what a message may do.
func (x *exchange) recordEffects(op *filter.Message) {
	for _, s := range op.Statements {
		x.s.Dirty = x.s.Dirty || s.Dirty
		x.selfCommitting = x.selfCommitting || s.Dirty && s.Kind == sqltext.Write
		switch s.Kind {
		case sqltext.Begin, sqltext.Control:
			x.s.ReadOnlyTransaction = x.s.ReadOnlyTransaction || s.ReadOnly
		case sqltext.Commit:
			x.commits = true
		case sqltext.Write, sqltext.CopyIn:
			x.writes = true
		case sqltext.Read:
			// A function that it calls may write; a lease for reads refuses that.
			x.writes = x.writes || x.s.OnPrimary
		}
	}
}

func endsWithCommit(list []sqltext.Statement) bool {
	return len(list) > 0 && list[len(list)-1].Kind == sqltext.Commit
}

func containsExecute(ops []filter.Message) bool {
	for i := range ops {
		if ops[i].Kind == 'E' {
			return true
		}
	}
	return false
}

// planQuery sends a simple query, or its part up to the first COMMIT.
func (x *exchange) planQuery(op *filter.Message, rest []filter.Message) []filter.Message {
	x.unnamed = upstream.StatementKey{}
	x.conn.UnnamedStatement = upstream.StatementKey{}
	x.statements, x.statement = op.Statements, 0
	for i, s := range op.Statements[:len(op.Statements)-1] {
		if s.Kind != sqltext.Commit {
			continue
		}
		sql := op.Frame[5 : len(op.Frame)-1]
		x.emitQuery(false, string(sql[op.Statements[0].Start:s.End]))
		x.statements = op.Statements[:i+1]
		tail := filter.Message{Kind: 'Q', Frame: textFrame('Q', string(sql[op.Statements[i+1].Start:]))}
		offset := op.Statements[i+1].Start
		for _, later := range op.Statements[i+1:] {
			later.Start -= offset
			later.End -= offset
			tail.Statements = append(tail.Statements, later)
		}
		x.expected[len(x.expected)-1].message = op
		return []filter.Message{tail}
	}
	x.emit(op.Frame)
	x.expected = append(x.expected, expectedResponse{kind: 'Q', message: op})
	return rest
}

// emitQuery sends a simple emitQuery of the proxy.
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

// planMessage sends one message of the extended protocol.
func (x *exchange) planMessage(op *filter.Message) {
	e := expectedResponse{kind: op.Kind, message: op}
	switch {
	case op.IsLocal:
		e.isLocal, e.local = true, op.LocalResponse
	case op.Kind == 'P':
		x.planParse(op)
		return
	case op.Kind == 'B' && op.Prepared != nil && op.Name != "":
		name := x.ensurePrepared(op.Prepared)
		x.emit(x.bind(op, name))
	case op.Kind == 'D' && op.Prepared != nil && op.Name != "":
		name := x.ensurePrepared(op.Prepared)
		x.emit(x.buildNamed('D', "S", name, nil))
	case op.Kind == 'B' || op.Kind == 'D' && op.Prepared != nil:
		x.ensureUnnamed(op.Prepared)
		x.emit(op.Frame)
	case op.Kind == 'H':
		x.emit(op.Frame)
		return
	default:
		x.emit(op.Frame)
	}
	x.expected = append(x.expected, e)
}

func (x *exchange) planParse(op *filter.Message) {
	e := expectedResponse{kind: 'P', message: op, key: op.Prepared.Key}
	if op.Name == "" {
		x.unnamed = op.Prepared.Key
		x.emit(op.Frame)
		x.expected = append(x.expected, e)
		return
	}
	if _, ok := x.preparedName(op.Prepared.Key); ok {
		e.isLocal, e.local = true, parseComplete
		x.expected = append(x.expected, e)
		return
	}
	x.prepare(op.Prepared, op, false)
}

// preparedName returns the name of a statement that is prepared on the connection, or
// will be when the planned messages have run.
func (x *exchange) preparedName(key upstream.StatementKey) (string, bool) {
	if name, ok := x.conn.Prepared(key); ok {
		return name, true
	}
	name, ok := x.pending[key]
	return name, ok
}

// ensurePrepared returns the statement's name on the connection and prepares it
// there if needed.
func (x *exchange) ensurePrepared(p *filter.PreparedStatement) string {
	if name, ok := x.preparedName(p.Key); ok {
		return name
	}
	return x.prepare(p, nil, true)
}

func (x *exchange) prepare(p *filter.PreparedStatement, op *filter.Message, drop bool) string {
	name := x.conn.NewStatementName()
	x.emit(x.buildNamed('P', "", name, []byte(p.Definition.Value())))
	x.expected = append(x.expected, expectedResponse{kind: 'P', drop: drop, message: op, key: p.Key, name: name})
	if x.pending == nil {
		x.pending = map[upstream.StatementKey]string{}
	}
	x.pending[p.Key] = name
	return name
}

// ensureUnnamed parses the caller's unnamed statement again unless the connection
// has it.
func (x *exchange) ensureUnnamed(p *filter.PreparedStatement) {
	if x.unnamed == p.Key {
		return
	}
	x.emit(x.buildNamed('P', "", "", []byte(p.Definition.Value())))
	x.expected = append(x.expected, expectedResponse{kind: 'P', drop: true, key: p.Key})
	x.unnamed = p.Key
}

// bind builds a Bind message with the statement name of the connection.
func (x *exchange) bind(op *filter.Message, name string) []byte {
	return x.build('B', string(op.Portal)+"\x00"+name+"\x00", op.Rest)
}

// buildNamed builds a message with a prefix, a name and a rest.
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
