package upstream

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// control runs statements about transactions and settings.
func (s *session) control(ctx context.Context, st *statement) (string, error) {
	switch st.kind {
	case kindBegin:
		return s.beginBlock(st)
	case kindCommit:
		return s.commitBlock(ctx)
	case kindRollback:
		s.rollback()
		return "ROLLBACK", nil
	case kindSavepoint, kindRelease, kindRollbackTo:
		return s.savepointCommand(st)
	case kindSet:
		return "SET", s.set(st)
	case kindReset:
		delete(s.settings, st.settingName())
		return "RESET", nil
	case kindShow:
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(s.show(st.settingName()))}})
		return "SHOW", nil
	case kindDiscard:
		return s.discard(st)
	case kindDeallocate:
		return s.deallocate(st)
	}
	return "", &sqlError{"0A000", "statement is not supported by the stand-in"}
}

func (s *session) beginBlock(st *statement) (string, error) {
	if s.tx == nil {
		s.tx = &sessionTransaction{readOnly: s.settings["default_transaction_read_only"] == "on"}
	}
	s.tx.explicit = true
	s.setMode(st)
	return st.tag, nil
}

// setMode applies READ ONLY and READ WRITE of BEGIN and SET TRANSACTION.
func (s *session) setMode(st *statement) {
	for i := 0; i+1 < len(st.tokens); i++ {
		if st.tokens[i].is("READ") && st.tokens[i+1].is("ONLY", "WRITE") {
			s.tx.readOnly = st.tokens[i+1].is("ONLY")
		}
	}
}

func (s *session) commitBlock(ctx context.Context) (string, error) {
	if s.tx == nil {
		return "COMMIT", nil
	}
	if s.tx.failed {
		s.rollback()
		return "ROLLBACK", nil
	}
	return "COMMIT", s.commit(ctx)
}

// commit ends the transaction. The transaction identifier reaches the caller
// before the commit reaches the log.
func (s *session) commit(ctx context.Context) error {
	tx := s.tx
	s.tx = nil
	if tx.write == nil {
		return nil
	}
	if s.announced {
		if err := s.flush(); err != nil {
			tx.write.rollback()
			return err
		}
	}
	point, err := tx.write.commit(ctx)
	if err == nil && !point.IsZero() {
		s.committed = point
	}
	return err
}

// commitImplicit commits the transaction of statements outside a block.
func (s *session) commitImplicit() error {
	if s.tx == nil || s.tx.explicit {
		return nil
	}
	return s.commit(s.done)
}

func (s *session) rollback() {
	if s.tx != nil && s.tx.write != nil {
		s.tx.write.rollback()
	}
	s.tx = nil
}

func (s *session) savepointCommand(st *statement) (string, error) {
	if s.tx == nil || !s.tx.explicit {
		return "", &sqlError{"25P01", "savepoints can only be used in transaction blocks"}
	}
	name := strings.ToLower(strings.Trim(st.tokens[len(st.tokens)-1].text, `"`))
	write := s.tx.write
	switch st.kind {
	case kindSavepoint:
		if write != nil {
			return "SAVEPOINT", write.savepoint(name)
		}
		s.tx.savepoints = append(s.tx.savepoints, name)
		return "SAVEPOINT", nil
	case kindRelease:
		if write != nil {
			return "RELEASE", write.release(name)
		}
		return "RELEASE", s.keepSavepoints(name, false)
	}
	var err error
	if write != nil {
		err = write.rollbackTo(name)
	} else {
		err = s.keepSavepoints(name, true)
	}
	if err == nil {
		s.tx.failed = false
	}
	return "ROLLBACK", err
}

// keepSavepoints drops the savepoints after a name, and the name unless kept.
func (s *session) keepSavepoints(name string, keep bool) error {
	for i := len(s.tx.savepoints) - 1; i >= 0; i-- {
		if s.tx.savepoints[i] != name {
			continue
		}
		if keep {
			i++
		}
		s.tx.savepoints = s.tx.savepoints[:i]
		return nil
	}
	return errNoSavepoint
}

func (s *session) set(st *statement) error {
	if len(st.tokens) > 1 && st.tokens[1].is("TRANSACTION") {
		if s.tx != nil {
			s.setMode(st)
		}
		return nil
	}
	name := st.settingName()
	if strings.HasPrefix(name, "characteristics") {
		name = "default_transaction_read_only"
		s.settings[name] = onOff(hasWord(st.tokens, "ONLY"))
		return nil
	}
	var value []string
	found := false
	for _, t := range st.tokens[1:] {
		if found && !t.is(",") {
			value = append(value, strings.ReplaceAll(strings.Trim(t.text, `'"`), "''", "'"))
		}
		found = found || t.is("=", "TO")
	}
	if !found {
		return &sqlError{"42601", "syntax error in SET"}
	}
	s.settings[name] = strings.Join(value, ", ")
	s.reportSetting(name)
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// reportSetting sends the settings that PostgreSQL reports on change.
func (s *session) reportSetting(name string) {
	for _, parameter := range initialParameters {
		if strings.EqualFold(parameter.name, name) {
			s.backend.Send(&pgproto3.ParameterStatus{Name: parameter.name, Value: s.show(name)})
		}
	}
}

func (s *session) show(name string) string {
	if value, ok := s.settings[name]; ok {
		return value
	}
	for _, parameter := range initialParameters {
		if strings.EqualFold(parameter.name, name) {
			return parameter.value
		}
	}
	switch name {
	case "transaction_read_only":
		return onOff(s.tx != nil && s.tx.readOnly || !s.member.takesWrites())
	case "transaction_isolation", "transactionisolationlevel":
		return "read committed"
	}
	return ""
}

func (s *session) discard(st *statement) (string, error) {
	if s.tx != nil && s.tx.explicit {
		return "", &sqlError{"25001", "DISCARD ALL cannot run inside a transaction block"}
	}
	clear(s.settings)
	clear(s.prepared)
	return st.tag, nil
}

func (s *session) deallocate(st *statement) (string, error) {
	name := st.tokens[len(st.tokens)-1]
	if name.is("ALL") {
		clear(s.prepared)
		return "DEALLOCATE ALL", nil
	}
	delete(s.prepared, strings.Trim(name.text, `"`))
	return "DEALLOCATE", nil
}

// ready ends an answer: it reports the commit and the transaction state.
func (s *session) ready() error {
	if !s.committed.IsZero() {
		s.reportPoint(s.committed)
		s.committed = ident.LogPoint{}
	}
	status := byte('I')
	if s.tx != nil {
		status = 'T'
		if s.tx.failed {
			status = 'E'
		}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.out.last = true
	return s.flush()
}

func (s *session) reportPoint(point ident.LogPoint) {
	term := strconv.FormatUint(uint64(point.Term), 10)
	position := strconv.FormatUint(uint64(point.Position), 10)
	s.backend.Send(&pgproto3.ParameterStatus{Name: "group_term", Value: term})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: position})
}

func (s *session) flush() error {
	s.buffered, s.announced = 0, false
	return s.backend.Flush()
}
