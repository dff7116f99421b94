package upstream

// translate turns PostgreSQL tokens into tokens of SQLite's dialect.
func translate(tokens []token) []token {
	if at := lockClause(tokens); at >= 0 {
		tokens = tokens[:at]
	}
	if tokens[0].is("TRUNCATE") {
		return translateTruncate(tokens)
	}
	if tokens[0].is("CREATE") {
		tokens = translateCreate(tokens)
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
