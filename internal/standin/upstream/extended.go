package upstream

import (
	"database/sql/driver"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedQuery is a prepared statement of a client.
type preparedQuery struct {
	statement   *statement // nil for an empty query
	types       []uint32
	description *description
}

// portal is a bound statement.
type portal struct {
	query     *preparedQuery
	arguments []driver.NamedValue
	formats   []int16
	rows      *rowSource // not nil while suspended
	complete  bool
}

// handle processes one message. An error ends the connection.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.skipping {
		return nil
	}
	var err error
	switch m := message.(type) {
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Execute:
		err = s.executePortal(m)
	case *pgproto3.Close:
		s.closeNamed(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	default:
		return s.fatal(&sqlError{"08P01", "unexpected message"})
	}
	if err != nil {
		s.fail(err)
		s.skipping = true
	}
	return nil
}

// fail reports an error. An explicit transaction becomes failed, an implicit one
// is rolled back.
func (s *session) fail(err error) {
	coded := convertError(err)
	if s.tx != nil {
		if s.tx.explicit {
			s.tx.failed = true
		} else {
			s.rollback()
		}
	}
	s.backend.Send(errorResponse("ERROR", coded))
}

func (s *session) parse(m *pgproto3.Parse) error {
	statements := s.member.catalog.parse(m.Query)
	if len(statements) > 1 {
		return &sqlError{"42601", "cannot insert multiple commands into a prepared statement"}
	}
	if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
		return &sqlError{"42P05", "prepared statement already exists"}
	}
	query := &preparedQuery{}
	if len(statements) == 1 {
		query.statement = statements[0]
		if err := s.prepare(query, m.ParameterOIDs); err != nil {
			return err
		}
	}
	s.prepared[m.Name] = query
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// prepare describes a query. Types that the client gave take precedence.
func (s *session) prepare(query *preparedQuery, given []uint32) error {
	if s.tx != nil && s.tx.failed && !query.statement.endsTransaction() {
		return errFailed
	}
	description, err := s.describeStatement(query.statement)
	if err != nil {
		return err
	}
	query.description = description
	query.types = append([]uint32(nil), description.parameters...)
	for i, oid := range given {
		if oid == 0 {
			continue
		}
		if i < len(query.types) {
			query.types[i] = oid
		} else {
			query.types = append(query.types, oid)
		}
	}
	return nil
}

// describeStatement returns the types of a statement's parameters and result.
func (s *session) describeStatement(st *statement) (*description, error) {
	switch {
	case st.kind == kindShow:
		return &description{fields: textField(st.settingName())}, nil
	case st.kind == kindSleep:
		return &description{fields: textField("pg_sleep")}, nil
	case st.sqlite == "":
		return &description{}, nil
	}
	if known := s.member.catalog.lookup(st); known != nil {
		return known, nil
	}
	if s.tx != nil && s.tx.write != nil {
		var known *description
		err := s.tx.write.use(func(conn *sqliteConn) (err error) {
			known, err = s.member.catalog.describe(st, conn)
			return err
		})
		return known, err
	}
	reader, err := s.member.store.reader()
	if err != nil {
		return nil, err
	}
	defer s.member.store.release(reader)
	return s.member.catalog.describe(st, reader)
}

func textField(name string) []pgproto3.FieldDescription {
	return []pgproto3.FieldDescription{{Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1}}
}

func (s *session) bind(m *pgproto3.Bind) error {
	query, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return &sqlError{"26000", "prepared statement does not exist"}
	}
	if m.DestinationPortal != "" && s.portals[m.DestinationPortal] != nil {
		return &sqlError{"42P03", "portal already exists"}
	}
	if query.statement != nil && len(m.Parameters) != query.statement.parameters {
		return &sqlError{"08P01", "bind message has a wrong number of parameters"}
	}
	p := &portal{query: query, formats: m.ResultFormatCodes}
	if len(m.Parameters) > 0 {
		p.arguments = make([]driver.NamedValue, len(m.Parameters))
	}
	for i, data := range m.Parameters {
		value, err := parameterValue(data, query.types[i], formatAt(m.ParameterFormatCodes, i))
		if err != nil {
			return &sqlError{"22P02", err.Error()}
		}
		p.arguments[i] = driver.NamedValue{Ordinal: i + 1, Value: value}
	}
	s.closePortal(m.DestinationPortal)
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatAt returns the format of a value: no code means text, one code applies to
// all values.
func formatAt(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return formatText
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return formatText
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		query, ok := s.prepared[m.Name]
		if !ok {
			return &sqlError{"26000", "prepared statement does not exist"}
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: query.types})
		s.sendFields(query, nil)
		return nil
	}
	p, ok := s.portals[m.Name]
	if !ok {
		return &sqlError{"34000", "portal does not exist"}
	}
	s.sendFields(p.query, p.formats)
	return nil
}

func (s *session) sendFields(query *preparedQuery, formats []int16) {
	if query.statement == nil || !query.statement.rows {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	fields := query.description.fields
	if len(formats) > 0 {
		fields = append([]pgproto3.FieldDescription(nil), fields...)
		for i := range fields {
			fields[i].Format = formatAt(formats, i)
		}
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return &sqlError{"34000", "portal does not exist"}
	}
	return s.execute(p, int(m.MaxRows))
}

func (s *session) closeNamed(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.prepared, m.Name)
	} else {
		s.closePortal(m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

func (s *session) closePortal(name string) {
	if p, ok := s.portals[name]; ok {
		p.rows.close()
		delete(s.portals, name)
	}
}

func (s *session) closePortals() {
	for name := range s.portals {
		s.closePortal(name)
	}
}

// sync ends a batch: an implicit transaction commits.
func (s *session) sync() error {
	s.skipping = false
	if err := s.commitImplicit(); err != nil {
		s.fail(err)
	}
	if s.tx == nil {
		s.closePortals()
	}
	return s.ready()
}

// simpleQuery runs the statements of a Query message as one implicit transaction.
func (s *session) simpleQuery(sql string) error {
	s.skipping = false
	s.closePortal("")
	statements := s.member.catalog.parse(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		if err := s.simpleStatement(st, i == len(statements)-1); err != nil {
			if s.done.Err() != nil {
				return err
			}
			s.fail(err)
			break
		}
	}
	if s.tx == nil {
		s.closePortals()
	}
	return s.ready()
}

func (s *session) simpleStatement(st *statement, last bool) error {
	if st.parameters > 0 {
		return &sqlError{"42P02", "there is no parameter $1"}
	}
	p := &portal{query: &preparedQuery{statement: st}}
	if err := s.prepare(p.query, nil); err != nil {
		return err
	}
	if st.rows {
		s.sendFields(p.query, nil)
	}
	tag, err := s.run(p, 0)
	if err != nil {
		return err
	}
	// PostgreSQL commits before it sends the last command's completion.
	if last {
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// settingName is the name in SHOW, SET or RESET, in lower case.
func (s *statement) settingName() string {
	var parts []string
	for _, t := range s.tokens[1:] {
		if t.is("=", "TO") {
			break
		}
		if !t.is("SESSION", "LOCAL") {
			parts = append(parts, strings.ToLower(strings.Trim(t.text, `"`)))
		}
	}
	return strings.Join(parts, "")
}

// endsTransaction reports whether the statement is allowed in a failed transaction.
func (s *statement) endsTransaction() bool {
	return s.kind == kindCommit || s.kind == kindRollback || s.kind == kindRollbackTo
}
