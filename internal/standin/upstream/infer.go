package upstream

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// describeColumns returns the columns of a result. SQLite knows the types of
// table columns; those of expressions are inferred from their tokens.
func (c *sqliteConn) describeColumns(s *statement) ([]pgproto3.FieldDescription, error) {
	columns, err := c.columns(s.sqlite)
	if err != nil {
		return nil, err
	}
	expressions := resultExpressions(s.tokens)
	if len(expressions) != len(columns) {
		expressions = nil // The list has a star, or is that of a compound query.
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, column := range columns {
		var expression []token
		if expressions != nil {
			expression = expressions[i]
		}
		fields[i] = c.describeColumn(s, column, expression)
	}
	return fields, nil
}

func (c *sqliteConn) describeColumn(s *statement, column sqlite.ColumnInfo, expression []token) pgproto3.FieldDescription {
	name, oid := column.Name, uint32(oidText)
	switch {
	case column.DeclType != "":
		oid = oidOfType(column.DeclType)
	case len(expression) == 0 || expression[0].is("*"):
		if known, ok := columnTypes(c, s)[strings.ToLower(name)]; ok {
			oid = known
		}
	default:
		unnamed := withoutAlias(expression)
		oid = c.expressionType(s, unnamed)
		if len(unnamed) == len(expression) {
			name = expressionName(unnamed)
		}
	}
	return pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oid, DataTypeSize: typeSize(oid), TypeModifier: -1}
}

// resultExpressions splits the select list, or the list after RETURNING.
func resultExpressions(tokens []token) [][]token {
	start, depth := -1, 0
	var list [][]token
	for i, t := range tokens {
		depth += nesting(t)
		if depth == 0 && start < 0 && t.is("SELECT", "RETURNING") {
			start = i + 1
			continue
		}
		if start < 0 || depth != 0 {
			continue
		}
		if t.is(",") {
			list = append(list, tokens[start:i])
			start = i + 1
		}
		if t.is("FROM", "WHERE", "UNION", "LIMIT", "ORDER", "GROUP") {
			return append(list, tokens[start:i])
		}
	}
	if start < 0 {
		return nil
	}
	return append(list, tokens[start:])
}

func nesting(t token) int {
	switch {
	case t.is("("):
		return 1
	case t.is(")"):
		return -1
	}
	return 0
}

// withoutAlias drops a trailing [AS] name.
func withoutAlias(tokens []token) []token {
	n := len(tokens)
	if n >= 3 && tokens[n-2].is("AS") {
		return tokens[:n-2]
	}
	if n >= 2 && tokens[n-1].kind != tokenOperator && !tokens[n-2].is(".") && tokens[n-2].kind != tokenOperator && !tokens[0].is("CASE") {
		return tokens[:n-1]
	}
	return tokens
}

// expressionName is the name that PostgreSQL gives to a column without alias.
func expressionName(tokens []token) string {
	if len(tokens) == 0 {
		return "?column?"
	}
	last := tokens[len(tokens)-1]
	if tokens[0].kind == tokenWord && len(tokens) > 1 && tokens[1].is("(") {
		return strings.ToLower(tokens[0].text)
	}
	if last.kind == tokenWord && !last.is("END", "NULL", "TRUE", "FALSE") {
		return strings.ToLower(last.text)
	}
	return "?column?"
}

// expressionType infers the type of an expression that is no plain column.
func (c *sqliteConn) expressionType(s *statement, tokens []token) uint32 {
	if len(tokens) == 0 {
		return oidText
	}
	if oid, ok := castType(tokens); ok {
		return oid
	}
	if tokens[0].is("CASE") {
		return c.caseType(s, tokens)
	}
	if hasTopLevel(tokens, "=", "<", ">", "<=", ">=", "<>", "!=", "AND", "OR", "NOT", "IN", "IS", "LIKE", "EXISTS") {
		return oidBool
	}
	if hasTopLevel(tokens, "||") {
		return oidText
	}
	if tokens[0].kind == tokenWord && len(tokens) > 2 && tokens[1].is("(") {
		if oid, ok := c.functionType(s, tokens); ok {
			return oid
		}
	}
	return c.operandType(s, tokens)
}

// caseType is the type of the first result of CASE.
func (c *sqliteConn) caseType(s *statement, tokens []token) uint32 {
	start := -1
	for i, t := range tokens {
		if t.is("THEN") && start < 0 {
			start = i + 1
		}
		if start >= 0 && t.is("WHEN", "ELSE", "END") {
			return c.expressionType(s, tokens[start:i])
		}
	}
	return oidText
}

// operandType is the type of the first literal or column of an expression.
func (c *sqliteConn) operandType(s *statement, tokens []token) uint32 {
	types := columnTypes(c, s)
	for _, t := range tokens {
		switch t.kind {
		case tokenNumber:
			return numberType(t.text)
		case tokenString:
			return oidText
		case tokenWord, tokenQuoted:
			if t.is("TRUE", "FALSE") {
				return oidBool
			}
			if oid, ok := types[strings.ToLower(strings.Trim(t.text, `"`))]; ok {
				return oid
			}
		}
	}
	return oidText
}

func numberType(text string) uint32 {
	if strings.ContainsAny(text, ".eE") {
		return oidNumeric
	}
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && int64(int32(n)) == n {
		return oidInt4
	}
	return oidInt8
}

// castType is the type of an expression that ends with a cast.
func castType(tokens []token) (uint32, bool) {
	for i := len(tokens) - 1; i >= 0; i-- {
		name, used := typeName(tokens[i+1:])
		if tokens[i].is("::") && i+1+used == len(tokens) {
			return oidOfType(name), true
		}
	}
	if !tokens[0].is("CAST") {
		return 0, false
	}
	for i, t := range tokens {
		if t.is("AS") {
			name, _ := typeName(tokens[i+1:])
			return oidOfType(name), true
		}
	}
	return 0, false
}

func hasTopLevel(tokens []token, words ...string) bool {
	depth := 0
	for _, t := range tokens {
		depth += nesting(t)
		if depth == 0 && t.is(words...) {
			return true
		}
	}
	return false
}

func (c *sqliteConn) functionType(s *statement, tokens []token) (uint32, bool) {
	arguments := tokens[2 : len(tokens)-1]
	switch tokens[0].upper {
	case "COUNT", "LENGTH", "CHANGES", "LAST_INSERT_ROWID", "ROW_NUMBER", "RANK":
		return oidInt8, true
	case "SUM":
		oid := c.expressionType(s, arguments)
		if oid == oidInt4 || oid == oidInt2 {
			oid = oidInt8
		}
		return oid, true
	case "AVG", "TOTAL", "RANDOM", "ROUND":
		return oidFloat8, true
	case "MAX", "MIN", "COALESCE", "ABS", "IFNULL", "NULLIF":
		return c.expressionType(s, arguments), true
	case "UPPER", "LOWER", "SUBSTR", "REPLACE", "PRINTF", "HEX", "CONCAT", "NOW":
		return oidText, true
	case "RANDOMBLOB", "ZEROBLOB":
		return oidBytea, true
	}
	return 0, false
}

// columnTypes returns the types of the columns of all tables that the statement
// names, by lower-case column name.
func columnTypes(c *sqliteConn, s *statement) map[string]uint32 {
	types := map[string]uint32{}
	for i, t := range s.tokens {
		if i+1 >= len(s.tokens) || !t.is("FROM", "JOIN", "INTO", "UPDATE", "COPY", "TABLE") {
			continue
		}
		table := s.tokens[i+1]
		if table.is("GENERATE_SERIES") {
			for _, name := range seriesNames(s.tokens[i+1:]) {
				types[name] = oidInt8
			}
			continue
		}
		if table.kind != tokenWord && table.kind != tokenQuoted {
			continue
		}
		columns, err := c.columns("SELECT * FROM " + table.text)
		if err != nil {
			continue
		}
		for _, column := range columns {
			types[strings.ToLower(column.Name)] = oidOfType(column.DeclType)
		}
	}
	return types
}

// parameterTypes infers the types of parameters that the client left open.
// Zero, unspecified, remains where the context says nothing.
func (c *sqliteConn) parameterTypes(s *statement, given []uint32) []uint32 {
	types := make([]uint32, s.parameters)
	copy(types, given)
	var columns map[string]uint32
	var inserted []string
	for i, t := range s.tokens {
		if t.kind != tokenParameter {
			continue
		}
		n, _ := strconv.Atoi(t.text[1:])
		if n == 0 || types[n-1] != 0 {
			continue
		}
		if columns == nil {
			columns = columnTypes(c, s)
			inserted = c.insertedColumns(s)
		}
		types[n-1] = contextType(s.tokens, i, columns, inserted)
	}
	return types
}

// contextType finds the type of the parameter at index at.
func contextType(tokens []token, at int, columns map[string]uint32, inserted []string) uint32 {
	if at+2 < len(tokens) && tokens[at+1].is("::") {
		name, _ := typeName(tokens[at+2:])
		return oidOfType(name)
	}
	if at+2 < len(tokens) && tokens[at+1].is("AS") {
		name, _ := typeName(tokens[at+2:])
		return oidOfType(name)
	}
	if at > 0 && tokens[at-1].is("LIMIT", "OFFSET") {
		return oidInt8
	}
	if position := valuesPosition(tokens, at); position >= 0 && position < len(inserted) {
		return columns[inserted[position]]
	}
	// The nearest column before the parameter is usually the other operand.
	for i := at - 1; i >= 0 && i >= at-6; i-- {
		if oid, ok := columns[strings.ToLower(strings.Trim(tokens[i].text, `"`))]; ok {
			return oid
		}
	}
	if at+2 < len(tokens) && tokens[at+1].kind == tokenOperator {
		return columns[strings.ToLower(tokens[at+2].text)]
	}
	return 0
}

// insertedColumns returns the target columns of INSERT, in lower case.
func (c *sqliteConn) insertedColumns(s *statement) []string {
	for i, t := range s.tokens {
		if !t.is("INTO") || i+2 >= len(s.tokens) {
			continue
		}
		if names := columnList(s.tokens[i+2:]); names != nil {
			return names
		}
		columns, err := c.columns("SELECT * FROM " + s.tokens[i+1].text)
		if err != nil {
			return nil
		}
		names := make([]string, len(columns))
		for j, column := range columns {
			names[j] = strings.ToLower(column.Name)
		}
		return names
	}
	return nil
}

// columnList reads a parenthesised list of names at the start of tokens.
func columnList(tokens []token) []string {
	if len(tokens) == 0 || !tokens[0].is("(") {
		return nil
	}
	names := []string{}
	for _, t := range tokens[1:] {
		if t.is(")") {
			break
		}
		if !t.is(",") {
			names = append(names, strings.ToLower(strings.Trim(t.text, `"`)))
		}
	}
	return names
}

// valuesPosition returns the index of a parameter in its row of VALUES, or -1.
func valuesPosition(tokens []token, at int) int {
	position, depth := 0, 0
	for i := at - 1; i >= 0; i-- {
		depth -= nesting(tokens[i])
		switch {
		case depth == 0 && tokens[i].is(","):
			position++
		case depth < 0:
			if i > 0 && tokens[i-1].is("VALUES", ",") && hasWord(tokens[:i], "VALUES") {
				return position
			}
			return -1
		}
	}
	return -1
}
