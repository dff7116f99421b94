package upstream

import "strings"

// translate turns PostgreSQL tokens into tokens of SQLite's dialect.
func translate(tokens []token) []token {
	if at := lockClause(tokens); at > 0 {
		tokens = tokens[:at]
	}
	if tokens[0].is("TRUNCATE") {
		return translateTruncate(tokens)
	}
	switch {
	case tokens[0].is("CREATE"):
		tokens = translateCreate(tokens)
	case tokens[0].is("TABLE"):
		tokens = append([]token{word("SELECT"), operator("*"), word("FROM")}, tokens[1:]...)
	}
	var out []token
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.kind == tokenParameter:
			out = append(out, operator("?"+t.text[1:]))
		case t.is("::"):
			var used int
			out, used = translateCast(out, tokens[i+1:])
			i += used
		case t.is("ILIKE"):
			out = append(out, word("LIKE"))
		case t.is("CONCURRENTLY"):
		case t.is("GENERATE_SERIES") && i > 0 && tokens[i-1].is("FROM", "JOIN", ","):
			series, used := translateSeries(tokens[i:])
			out = append(out, series...)
			i += used - 1
		default:
			out = append(out, t)
		}
	}
	return out
}

func word(text string) token { return token{kind: tokenWord, text: text, upper: text} }

func operator(text string) token { return token{kind: tokenOperator, text: text, upper: text} }

// translateCast replaces the last operand of out by CAST(operand AS type) and
// returns the number of tokens that name the type.
func translateCast(out, rest []token) ([]token, int) {
	name, used := typeName(rest)
	start := operandStart(out)
	operand := append([]token(nil), out[start:]...)
	out = append(out[:start:start], word("CAST"), operator("("))
	out = append(out, operand...)
	return append(out, word("AS"), word(affinity(name)), operator(")")), used
}

// operandStart finds the first token of the operand that ends out.
func operandStart(out []token) int {
	i := len(out) - 1
	if i < 0 {
		return 0
	}
	if out[i].is(")") {
		depth := 0
		for ; i > 0; i-- {
			if out[i].is(")") {
				depth++
			} else if out[i].is("(") {
				depth--
			}
			if depth == 0 {
				break
			}
		}
		if i > 0 && out[i-1].kind == tokenWord && !out[i-1].is("SELECT", "WHERE", "AND", "OR", "IN", "VALUES", "NOT") {
			i--
		}
	}
	for i >= 2 && out[i-1].is(".") {
		i -= 2
	}
	return i
}

// typeName reads a type name and returns it with the number of its tokens.
func typeName(tokens []token) (string, int) {
	if len(tokens) == 0 {
		return "", 0
	}
	name, used := tokens[0].upper, 1
	if len(tokens) > 1 && tokens[1].is("PRECISION", "VARYING") {
		used++
	}
	if used < len(tokens) && tokens[used].is("(") {
		for used < len(tokens) && !tokens[used].is(")") {
			used++
		}
		used++
	}
	if used+3 < len(tokens) && tokens[used].is("WITH", "WITHOUT") && tokens[used+1].is("TIME") {
		used += 3
	}
	return name, min(used, len(tokens))
}

// affinity names the SQLite type to which a PostgreSQL type is cast.
func affinity(name string) string {
	switch oidOfType(name) {
	case oidInt2, oidInt4, oidInt8, oidBool:
		return "INTEGER"
	case oidFloat4, oidFloat8:
		return "REAL"
	case oidNumeric:
		return "NUMERIC"
	case oidBytea:
		return "BLOB"
	}
	return "TEXT"
}

func translateTruncate(tokens []token) []token {
	rest := tokens[1:]
	if len(rest) > 0 && rest[0].is("TABLE") {
		rest = rest[1:]
	}
	return append([]token{word("DELETE"), word("FROM")}, rest...)
}

// translateCreate replaces column types and defaults that SQLite lacks.
func translateCreate(tokens []token) []token {
	var out []token
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.is("SERIAL", "BIGSERIAL", "SMALLSERIAL"):
			out = append(out, word("INTEGER"))
		case t.is("BIGINT") && i+2 < len(tokens) && tokens[i+1].is("PRIMARY"):
			// Only the exact type INTEGER makes a primary key the row identifier.
			out = append(out, word("INTEGER"))
		case t.is("GENERATED") && i+1 < len(tokens) && tokens[i+1].is("ALWAYS", "BY"):
			out[len(out)-1] = word("INTEGER")
			for i < len(tokens)-1 && !tokens[i].is("IDENTITY") {
				i++
			}
		case t.is("DEFAULT") && i+3 < len(tokens) && tokens[i+1].is("NOW"):
			out = append(out, t, word("CURRENT_TIMESTAMP"))
			i += 3
		default:
			out = append(out, t)
		}
	}
	return out
}

// translateSeries replaces generate_series(first, last) [AS] alias [(column)] by
// a recursive query and returns the number of tokens that it replaces.
func translateSeries(tokens []token) ([]token, int) {
	end := closing(tokens[1:]) + 1
	if end < 2 || !tokens[1].is("(") {
		return tokens[:1], 1
	}
	arguments := splitList(tokens[2:end])
	if len(arguments) != 2 || len(arguments[0]) == 0 || len(arguments[1]) == 0 {
		return tokens[:1], 1
	}
	names := seriesNames(tokens)
	used := end + 1
	if used < len(tokens) && tokens[used].is("AS") {
		used++
	}
	if names[0] != "generate_series" {
		used++
	}
	if used < len(tokens) && tokens[used].is("(") {
		used += 3
	}
	first, last := join(translate(arguments[0])), join(translate(arguments[1]))
	sql := "(WITH RECURSIVE series(n) AS (SELECT " + first + " WHERE " + first + " <= " + last +
		" UNION ALL SELECT n + 1 FROM series WHERE n < " + last + ") SELECT n AS " + names[1] + " FROM series) AS " + names[0]
	return []token{operator(sql)}, min(used, len(tokens))
}

// seriesNames returns the names of table and column of a generate_series call.
func seriesNames(tokens []token) [2]string {
	rest := tokens[closing(tokens[1:])+2:]
	if len(rest) > 0 && rest[0].is("AS") {
		rest = rest[1:]
	}
	if len(rest) == 0 || rest[0].kind != tokenWord || rest[0].is("WHERE", "ORDER", "LIMIT", "JOIN", "GROUP", "UNION") {
		return [2]string{"generate_series", "generate_series"}
	}
	table := strings.ToLower(rest[0].text)
	if len(rest) > 2 && rest[1].is("(") {
		return [2]string{table, strings.ToLower(rest[2].text)}
	}
	return [2]string{table, table}
}

// splitList splits tokens at the commas outside parentheses.
func splitList(tokens []token) [][]token {
	var list [][]token
	start, depth := 0, 0
	for i, t := range tokens {
		depth += nesting(t)
		if depth == 0 && t.is(",") {
			list = append(list, tokens[start:i])
			start = i + 1
		}
	}
	return append(list, tokens[start:])
}
