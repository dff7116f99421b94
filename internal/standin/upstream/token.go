package upstream

import "strings"

type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenQuoted
	tokenString
	tokenNumber
	tokenParameter
	tokenOperator
)

// token is one lexical element of SQL. Comments and white space are dropped.
type token struct {
	kind tokenKind
	text string
	// upper is the text of a word in upper case.
	upper string
}

func (t token) is(words ...string) bool {
	if t.kind != tokenWord && t.kind != tokenOperator {
		return false
	}
	for _, word := range words {
		if t.upper == word {
			return true
		}
	}
	return false
}

// lexer splits SQL into tokens.
type lexer struct {
	sql    string
	offset int
	// comment is the text of the last comment that was passed.
	comment string
}

// next returns the next token; false at the end.
func (l *lexer) next() (token, bool) {
	l.skip()
	if l.offset >= len(l.sql) {
		return token{}, false
	}
	start := l.offset
	kind := l.scan()
	text := l.sql[start:l.offset]
	t := token{kind: kind, text: text, upper: text}
	if kind == tokenWord {
		t.upper = strings.ToUpper(text)
	}
	return t, true
}

// skip passes white space and comments.
func (l *lexer) skip() {
	for l.offset < len(l.sql) {
		rest := l.sql[l.offset:]
		switch {
		case strings.IndexByte(" \t\r\n\f", rest[0]) >= 0:
			l.offset++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				end = len(rest) - 1
			}
			l.comment = rest[:end+1]
			l.offset += end + 1
		case strings.HasPrefix(rest, "/*"):
			end := strings.Index(rest, "*/")
			if end < 0 {
				end = len(rest) - 2
			}
			l.comment = rest[:end+2]
			l.offset += end + 2
		default:
			return
		}
	}
}

// scan moves past one token and returns its kind.
func (l *lexer) scan() tokenKind {
	c := l.sql[l.offset]
	switch {
	case isWordStart(c):
		l.take(isWordPart)
		return tokenWord
	case c >= '0' && c <= '9':
		l.takeNumber()
		return tokenNumber
	case c == '\'':
		l.takeQuoted('\'')
		return tokenString
	case c == '"':
		l.takeQuoted('"')
		return tokenQuoted
	case c == '$' && l.offset+1 < len(l.sql) && isDigit(l.sql[l.offset+1]):
		l.offset++
		l.take(isDigit)
		return tokenParameter
	}
	l.takeOperator()
	return tokenOperator
}

func (l *lexer) take(part func(byte) bool) {
	for l.offset < len(l.sql) && part(l.sql[l.offset]) {
		l.offset++
	}
}

func (l *lexer) takeNumber() {
	l.take(func(c byte) bool { return isDigit(c) || c == '.' })
	rest := l.sql[l.offset:]
	if len(rest) < 2 || rest[0]|0x20 != 'e' {
		return
	}
	sign := 0
	if rest[1] == '+' || rest[1] == '-' {
		sign = 1
	}
	if len(rest) > 1+sign && isDigit(rest[1+sign]) {
		l.offset += 1 + sign
		l.take(isDigit)
	}
}

func (l *lexer) takeQuoted(quote byte) {
	l.offset++
	for l.offset < len(l.sql) {
		c := l.sql[l.offset]
		l.offset++
		if c != quote {
			continue
		}
		if l.offset >= len(l.sql) || l.sql[l.offset] != quote {
			return
		}
		l.offset++
	}
}

func (l *lexer) takeOperator() {
	for _, operator := range []string{"::", "<=", ">=", "<>", "!=", "||", "->>", "->"} {
		if strings.HasPrefix(l.sql[l.offset:], operator) {
			l.offset += len(operator)
			return
		}
	}
	l.offset++
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// splitStatements returns the statements of a simple Query, each with the last
// comment inside it or before it.
func splitStatements(sql string) []rawStatement {
	var statements []rawStatement
	l := &lexer{sql: sql}
	var current rawStatement
	for {
		t, ok := l.next()
		current.comment = l.comment
		if ok && !t.is(";") {
			current.tokens = append(current.tokens, t)
			continue
		}
		if len(current.tokens) > 0 {
			statements = append(statements, current)
		}
		if !ok {
			return statements
		}
		current = rawStatement{}
	}
}

type rawStatement struct {
	tokens  []token
	comment string
}

// join writes tokens as SQL.
func join(tokens []token) string {
	var b strings.Builder
	for i, t := range tokens {
		if i > 0 && !t.is(".", ",", ")") && !tokens[i-1].is(".", "(") {
			b.WriteByte(' ')
		}
		b.WriteString(t.text)
	}
	return b.String()
}
