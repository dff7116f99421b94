package frontend

import (
	"crypto/sha256"
	"unique"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// maxNames bounds the prepared statements and the portals of one caller.
const maxNames = 2000

// chunkSize is the size in bytes of the memory blocks that hold a batch.
const chunkSize = 2 << 10

var (
	syncFrame     = []byte{'S', 0, 0, 0, 4}
	parseComplete = frame('1', nil)
	bindComplete  = frame('2', nil)
	closeComplete = frame('3', nil)
	noData        = frame('n', nil)
	noParameters  = frame('t', []byte{0, 0})
)

// batch collects the messages of an extended batch up to Sync or Flush.
type batch struct {
	ops   []filter.Message
	chunk []byte
	size  int
	// remote says that a message of the batch is for the upstream.
	remote bool
	// flushed says that a part of the batch was sent before.
	flushed bool
}

// open reports whether a batch has begun.
func (b *batch) open() bool { return len(b.ops) > 0 || b.flushed }

// keep copies a message, because the reader's buffer is used again.
func (b *batch) keep(frame []byte) []byte {
	if len(frame) > cap(b.chunk)-len(b.chunk) {
		b.chunk = make([]byte, 0, max(chunkSize, len(frame)))
	}
	start := len(b.chunk)
	b.chunk = append(b.chunk, frame...)
	b.size += len(frame)
	return b.chunk[start:len(b.chunk):len(b.chunk)]
}

// clear forgets the collected messages.
func (b *batch) clear() { *b = batch{flushed: b.flushed} }

// add decodes a message and adds it. Errors refuse the batch, except those that
// wrap wire.ErrMalformed, which end the connection.
func (b *batch) add(s *session, kind byte, frame []byte) error {
	if b.size+len(frame) > s.server.cfg.MaxMessage {
		return framing.New(framing.TooLarge, "extended batch above %d bytes", s.server.cfg.MaxMessage)
	}
	op := filter.Message{Kind: kind, Frame: b.keep(frame)}
	var err error
	switch body := op.Frame[minFrame:]; kind {
	case 'P':
		err = s.parse(&op, body)
	case 'B':
		err = s.bind(&op, body)
	case 'D':
		err = s.describe(&op, body)
	case 'E':
		err = s.execute(&op, body)
	case 'C':
		err = s.close(&op, body)
	}
	if err != nil {
		return err
	}
	b.ops = append(b.ops, op)
	b.remote = b.remote || !op.IsLocal
	return nil
}

// portal is a bound statement. Local portals are known to the proxy only.
type portal struct {
	*filter.PreparedStatement
	local bool
}

// parse decodes Parse and keeps the statement.
func (s *session) parse(op *filter.Message, body []byte) error {
	name, definition, err := wire.CutCString(body)
	if err != nil {
		return err
	}
	sql, types, err := wire.CutCString(definition)
	if err != nil {
		return err
	}
	if err := wire.ValidateParameterTypes(types); err != nil {
		return err
	}
	text := unique.Make(string(definition))
	p := &filter.PreparedStatement{
		Definition: text, Key: sha256.Sum256(definition), Statements: sqltext.Parse(text.Value()[:len(sql)]),
	}
	if err := s.check(p.Statements); err != nil {
		return err
	}
	if s.statements == nil {
		s.statements = map[string]*filter.PreparedStatement{}
	}
	op.Name, op.Prepared = string(name), p
	if s.aborted && !s.localPrepared(p) {
		return errAborted
	}
	if s.statements[op.Name] == nil && len(s.statements) >= maxNames {
		return resultcode.New(resultcode.MessageTooLarge, "more than %d prepared statements", maxNames)
	}
	s.statements[op.Name] = p
	if s.localPrepared(p) {
		op.IsLocal, op.LocalResponse = true, parseComplete
	}
	return nil
}

// localPrepared reports whether the proxy itself answers the statement.
func (s *session) localPrepared(p *filter.PreparedStatement) bool {
	if len(p.Statements) != 1 {
		return false
	}
	return s.isLocal(p.Statements[0]) || s.aborted && endsBlock(p.Statements[0])
}

// bind decodes the names in Bind.
func (s *session) bind(op *filter.Message, body []byte) error {
	portalName, rest, err := wire.CutCString(body)
	if err != nil {
		return err
	}
	name, rest, err := wire.CutCString(rest)
	if err != nil {
		return err
	}
	if err := wire.ValidateBind(rest); err != nil {
		return err
	}
	p := s.statements[string(name)]
	if p == nil {
		return errNoStatement
	}
	if s.portals == nil {
		s.portals = map[string]portal{}
	}
	if len(s.portals) >= maxNames {
		return resultcode.New(resultcode.MessageTooLarge, "more than %d portals", maxNames)
	}
	local := s.localPrepared(p)
	s.portals[string(portalName)] = portal{p, local}
	op.Portal, op.Name, op.Rest, op.Prepared = portalName, string(name), rest, p
	if local {
		op.IsLocal, op.LocalResponse = true, bindComplete
	} else if s.aborted {
		return errAborted
	}
	return nil
}

// target decodes the kind and name of Describe and Close.
func target(body []byte) (kind byte, name string, err error) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return 0, "", wire.ErrMalformed
	}
	text, rest, err := wire.CutCString(body[1:])
	if err == nil && len(rest) != 0 {
		err = wire.ErrMalformed
	}
	return body[0], string(text), err
}

func (s *session) describe(op *filter.Message, body []byte) error {
	kind, name, err := target(body)
	if err != nil {
		return err
	}
	bound := s.portals[name]
	if kind == 'S' {
		p := s.statements[name]
		if p == nil {
			return errNoStatement
		}
		op.Prepared, op.Name = p, name
		bound = portal{p, s.localPrepared(p)}
	}
	if bound.local {
		op.IsLocal, op.LocalResponse = true, describeLocal(kind, bound.Statements[0])
		return nil
	}
	if s.aborted {
		return errAborted
	}
	return nil
}

func describeLocal(kind byte, statement sqltext.Statement) []byte {
	var answer []byte
	if kind == 'S' {
		answer = append(answer, noParameters...)
	}
	if statement.Kind == sqltext.Show {
		return append(answer, rowDescription(statement.Name)...)
	}
	return append(answer, noData...)
}

func (s *session) execute(op *filter.Message, body []byte) error {
	name, rest, err := wire.CutCString(body)
	if err != nil {
		return err
	}
	if len(rest) != 4 {
		return wire.ErrMalformed
	}
	p := s.portals[string(name)]
	switch {
	case p.PreparedStatement == nil && s.aborted:
		return errAborted
	case p.PreparedStatement == nil: // the upstream answers that there is no such portal
		op.Statements = []sqltext.Statement{{Kind: sqltext.Read}}
	case p.local && !s.localPrepared(p.PreparedStatement):
		return resultcode.New(resultcode.FeatureNotSupported, "transaction control that was bound before other statements of its batch")
	case p.local:
		return s.executeLocal(op, p.Statements[0])
	default:
		op.Statements = p.Statements
	}
	return nil
}

func (s *session) executeLocal(op *filter.Message, statement sqltext.Statement) error {
	op.IsLocal = true
	if s.aborted && endsBlock(statement) {
		s.aborted = false
		op.LocalResponse = tagFrame("ROLLBACK")
		return nil
	}
	answer, err := s.answerLocal(statement, false)
	op.LocalResponse = answer
	return err
}

// close handles Close. Statements are closed here only: the connection's own ones
// are shared by callers.
func (s *session) close(op *filter.Message, body []byte) error {
	kind, name, err := target(body)
	if err != nil {
		return err
	}
	if kind == 'S' {
		if p := s.statements[name]; p != nil {
			delete(s.statements, name)
		}
		op.IsLocal, op.LocalResponse = true, closeComplete
		return nil
	}
	if bound, known := s.portals[name]; bound.local || !known && s.shared.Lease.Load() == nil {
		op.IsLocal, op.LocalResponse = true, closeComplete
	}
	return nil
}

// refuseBatch answers an error in an extended batch; messages are dropped until
// Sync. Nothing of the batch runs, and what ran before a Flush is rolled back.
func (s *session) refuseBatch(err error) {
	s.giveUp(s.inBlock())
	s.writeError(filter.SeverityError, err)
	s.batch = batch{}
	s.discarding = true
}

// flush handles Flush: the batch so far is sent and answered.
func (s *session) flush(frame []byte) error {
	if len(s.batch.ops) == 0 {
		return s.conn.writer.Flush()
	}
	if s.answerBatch() {
		return s.conn.writer.Flush()
	}
	s.batch.ops = append(s.batch.ops, filter.Message{Kind: 'H', Frame: s.batch.keep(frame)})
	s.request.Reset(&s.shared)
	s.request.Messages, s.request.EndsWithFlush = append(s.request.Messages, s.batch.ops...), true
	s.batch.clear()
	s.batch.flushed = true
	refused, err := s.serve()
	if err != nil {
		return err
	}
	s.discarding = refused || s.request.Failed
	return s.conn.writer.Flush()
}

// answerBatch answers a batch of local messages only and reports whether it did.
func (s *session) answerBatch() bool {
	for i := range s.batch.ops {
		if !s.batch.ops[i].IsLocal {
			return false
		}
	}
	for i := range s.batch.ops {
		_, _ = s.conn.writer.Write(s.batch.ops[i].LocalResponse)
	}
	s.batch.clear()
	return true
}

// sync handles Sync: the batch runs and ReadyForQuery follows.
func (s *session) sync(frame []byte) error {
	unsynced := s.shared.Unsynced && s.shared.Lease.Load() != nil
	if !unsynced && s.answerBatch() {
		s.endBatch()
		s.ready()
		return nil
	}
	s.batch.ops = append(s.batch.ops, filter.Message{Kind: 'S', Frame: s.batch.keep(frame)})
	s.request.Reset(&s.shared)
	s.request.Messages = append(s.request.Messages, s.batch.ops...)
	s.endBatch()
	if _, err := s.serve(); err != nil {
		return err
	}
	if !s.inBlock() {
		s.portals = nil
	}
	s.ready()
	return nil
}

func (s *session) endBatch() {
	s.batch = batch{}
	s.discarding = false
}
