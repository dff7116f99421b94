package upstream

import (
	"context"
	"database/sql/driver"
	"io"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyStatement is a parsed COPY.
type copyStatement struct {
	table   string
	columns []string
	query   *statement // of COPY (query) TO STDOUT
}

// parseCopy accepts the text format only.
func parseCopy(st *statement) (copyStatement, error) {
	if hasWord(st.tokens, "CSV", "BINARY") {
		return copyStatement{}, &sqlError{"0A000", "COPY supports the text format only"}
	}
	tokens := st.tokens[1:]
	if len(tokens) < 2 {
		return copyStatement{}, &sqlError{"42601", "syntax error in COPY"}
	}
	if tokens[0].is("(") {
		end := closing(tokens)
		if end < 2 {
			return copyStatement{}, &sqlError{"42601", "syntax error in COPY"}
		}
		return copyStatement{query: parse(rawStatement{tokens: tokens[1:end]})}, nil
	}
	return copyStatement{table: tokens[0].text, columns: columnList(tokens[1:])}, nil
}

// closing returns the index of the parenthesis that closes the first token.
func closing(tokens []token) int {
	depth := 0
	for i, t := range tokens {
		depth += nesting(t)
		if depth == 0 {
			return i
		}
	}
	return -1
}

// selection reads the columns that the statement names.
func (c copyStatement) selection() string {
	columns := "*"
	if len(c.columns) > 0 {
		columns = strings.Join(c.columns, ", ")
	}
	return "SELECT " + columns + " FROM " + c.table
}

func (s *session) copyOut(ctx context.Context, st *statement) (string, error) {
	parsed, err := parseCopy(st)
	if err != nil {
		return "", err
	}
	if parsed.query == nil {
		parsed.query = s.member.catalog.parse(parsed.selection())[0]
	}
	if parsed.query.kind != kindRead {
		return "", &sqlError{"0A000", "COPY TO needs a query that only reads"}
	}
	description, err := s.describeStatement(parsed.query)
	if err != nil {
		return "", err
	}
	if err := s.slot(ctx); err != nil {
		return "", err
	}
	defer s.member.slots.Release(1)
	rows, err := s.open(ctx, &portal{query: &preparedQuery{statement: parsed.query}})
	if err != nil {
		return "", err
	}
	defer rows.close()
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(description.fields))})
	return s.copyRows(ctx, rows, description.fields)
}

func (s *session) copyRows(ctx context.Context, rows *rowSource, fields []pgproto3.FieldDescription) (string, error) {
	for sent := 0; ; sent++ {
		row, err := rows.next()
		if err == nil {
			err = ctx.Err()
		}
		if err == io.EOF {
			s.backend.Send(&pgproto3.CopyDone{})
			return "COPY " + strconv.Itoa(sent), nil
		}
		if err != nil {
			return "", err
		}
		line := copyLine(row, fields)
		s.backend.Send(&pgproto3.CopyData{Data: line})
		if s.buffered += len(line); s.buffered >= flushThreshold {
			if err := s.flush(); err != nil {
				return "", err
			}
		}
	}
}

var copyEscaper = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)

func copyLine(row []driver.Value, fields []pgproto3.FieldDescription) []byte {
	var line []byte
	for i, value := range row {
		if i > 0 {
			line = append(line, '\t')
		}
		if value == nil {
			line = append(line, `\N`...)
			continue
		}
		line = append(line, copyEscaper.Replace(string(appendText(nil, value, fields[i].DataTypeOID)))...)
	}
	return append(line, '\n')
}

func (s *session) copyIn(ctx context.Context, st *statement) (string, error) {
	parsed, err := parseCopy(st)
	if err != nil {
		return "", err
	}
	write, err := s.writeTransaction(ctx)
	if err != nil {
		return "", err
	}
	description, err := s.describeStatement(s.member.catalog.parse(parsed.selection())[0])
	if err != nil {
		return "", err
	}
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, len(description.fields))})
	if err := s.flush(); err != nil {
		return "", err
	}
	// All data is read before the slot is taken, so that a slow client holds none.
	data, err := s.receiveCopy()
	if err != nil {
		return "", err
	}
	if err := s.slot(ctx); err != nil {
		return "", err
	}
	defer s.member.slots.Release(1)
	tag, err := insertCopy(ctx, write, parsed, description.fields, data, st.marker)
	if err == nil {
		s.member.countMarker(st)
	}
	return tag, err
}

// receiveCopy reads the lines that the client sends.
func (s *session) receiveCopy() (string, error) {
	var data strings.Builder
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return "", err
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			data.Write(m.Data)
		case *pgproto3.CopyDone:
			return data.String(), nil
		case *pgproto3.CopyFail:
			return "", &sqlError{"57014", "COPY from stdin failed: " + m.Message}
		}
	}
}

func insertCopy(ctx context.Context, write *transaction, parsed copyStatement, fields []pgproto3.FieldDescription, data, marker string) (string, error) {
	placeholders := make([]string, len(fields))
	for i := range placeholders {
		placeholders[i] = "?" + strconv.Itoa(i+1)
	}
	columns := ""
	if len(parsed.columns) > 0 {
		columns = " (" + strings.Join(parsed.columns, ", ") + ")"
	}
	insert := &statement{marker: marker, sqlite: "INSERT INTO " + parsed.table + columns + " VALUES (" + strings.Join(placeholders, ", ") + ")"}
	count := 0
	err := write.use(func(conn *sqliteConn) error {
		for line := range strings.Lines(data) {
			line = strings.TrimRight(line, "\r\n")
			if line == `\.` {
				break
			}
			arguments, err := copyArguments(line, fields)
			if err != nil {
				return err
			}
			if _, err := conn.exec(ctx, insert.sqlite, arguments); err != nil {
				return err
			}
			write.record(insert, arguments)
			insert.marker = "" // The marker counts the COPY once.
			count++
		}
		return nil
	})
	return "COPY " + strconv.Itoa(count), err
}

func copyArguments(line string, fields []pgproto3.FieldDescription) ([]driver.NamedValue, error) {
	parts := strings.Split(line, "\t")
	if len(parts) != len(fields) {
		return nil, &sqlError{"22P04", "COPY line has a wrong number of columns"}
	}
	values := make([]driver.Value, len(parts))
	for i, part := range parts {
		if part == `\N` {
			continue
		}
		value, err := parameterValue([]byte(copyUnescape(part)), fields[i].DataTypeOID, formatText)
		if err != nil {
			return nil, &sqlError{"22P02", err.Error()}
		}
		values[i] = value
	}
	return clientParameters(values), nil
}

func copyUnescape(text string) string {
	if !strings.Contains(text, `\`) {
		return text
	}
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' || i+1 == len(text) {
			b.WriteByte(text[i])
			continue
		}
		i++
		switch text[i] {
		case 't':
			b.WriteByte('\t')
		case 'n':
			b.WriteByte('\n')
		case 'r':
			b.WriteByte('\r')
		default:
			b.WriteByte(text[i])
		}
	}
	return b.String()
}
