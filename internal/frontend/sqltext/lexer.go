package sqltext

import "strings"

type tokenKind uint8

const (
	endToken    tokenKind = iota
	wordToken             // keyword or identifier, in lower case
	quotedToken           // quoted identifier
	stringToken           // string literal, decoded
	numberToken
	byteToken // any other single byte
)

type token struct {
	kind tokenKind
	text string
	// start and end are byte offsets in the input.
	start, end int
}

func (t token) isWord(word string) bool { return t.kind == wordToken && t.text == word }

func (t token) isByte(c byte) bool { return t.kind == byteToken && t.text[0] == c }

// lexer splits SQL into tokens by PostgreSQL's rules with
// standard_conforming_strings on.
type lexer struct {
	in  string
	pos int
	// ambiguous is set by input that versions of PostgreSQL divide into different tokens.
	ambiguous bool
}

func (l *lexer) next() token {
	l.skipSpace()
	if l.pos >= len(l.in) {
		return token{kind: endToken, start: l.pos, end: l.pos}
	}
	start := l.pos
	t := l.scan()
	t.start, t.end = start, l.pos
	return t
}

func (l *lexer) scan() token {
	c := l.in[l.pos]
	switch {
	case c == '\'':
		return token{kind: stringToken, text: l.scanQuoted('\'', false)}
	case c == '"':
		return token{kind: quotedToken, text: l.scanQuoted('"', false)}
	case c == '$':
		return l.scanDollar()
	case isDigit(c):
		return l.scanNumber()
	case isWordByte(c):
		return l.scanWord()
	}
	l.pos++
	return token{kind: byteToken, text: l.in[l.pos-1 : l.pos]}
}

// scanNumber reads a number. Behind letters, as in 0x1f$a$ or 1a$b$, a dollar sign belongs to a
// word or starts a string, depending on the version of the upstream.
func (l *lexer) scanNumber() token {
	start, letters := l.pos, false
	for l.pos < len(l.in) && (isWordByte(l.in[l.pos]) || l.in[l.pos] == '.') {
		letters = letters || !isDigit(l.in[l.pos]) && l.in[l.pos] != '.'
		l.pos++
	}
	l.ambiguous = l.ambiguous || letters && l.pos < len(l.in) && l.in[l.pos] == '$'
	return token{kind: numberToken, text: l.in[start:l.pos]}
}

func (l *lexer) scanWord() token {
	start := l.pos
	for l.pos < len(l.in) && (isWordByte(l.in[l.pos]) || l.in[l.pos] == '$') {
		l.pos++
	}
	text := l.in[start:l.pos]
	if l.pos < len(l.in) && l.in[l.pos] == '\'' && len(text) == 1 {
		switch text[0] | 0x20 {
		case 'e':
			parts := []string{l.scanQuoted('\'', true)}
			for l.continueString() {
				parts = append(parts, l.scanQuoted('\'', true))
			}
			return token{kind: stringToken, text: strings.Join(parts, "")}
		case 'b', 'x', 'n':
			return token{kind: stringToken, text: l.scanQuoted('\'', false)}
		}
	}
	return token{kind: wordToken, text: lowerASCII(text)}
}

// continueString skips to the next part of a string literal, which a line break separates from the
// part before it, and reports whether there is one. The escapes of E'...' apply to it too.
func (l *lexer) continueString() bool {
	newline := false
	for i := l.pos; i < len(l.in); i++ {
		switch c := l.in[i]; {
		case c == '\n' || c == '\r':
			newline = true
		case c == ' ' || c == '\t' || c == '\f' || c == '\v':
		case strings.HasPrefix(l.in[i:], "--"):
			i += lineBytes(l.in[i:]) - 1
		case c == '\'' && newline:
			l.pos = i
			return true
		default:
			return false
		}
	}
	return false
}

// lineBytes returns the number of bytes before the end of the line.
func lineBytes(text string) int {
	if n := strings.IndexAny(text, "\r\n"); n >= 0 {
		return n
	}
	return len(text)
}

// scanQuoted reads quoted text and returns it decoded. A doubled quote stands for
// one quote; with escapes, a backslash and the byte after it stand for that byte.
func (l *lexer) scanQuoted(quote byte, escapes bool) string {
	l.pos++
	start := l.pos
	var b []byte
	for l.pos < len(l.in) {
		c := l.in[l.pos]
		switch {
		case c == quote && l.pos+1 < len(l.in) && l.in[l.pos+1] == quote,
			escapes && c == '\\' && l.pos+1 < len(l.in):
			b = append(append(b, l.in[start:l.pos]...), l.in[l.pos+1])
			l.pos += 2
			start = l.pos
			continue
		case c == quote:
			text := l.in[start:l.pos]
			l.pos++
			if b != nil {
				return string(append(b, text...))
			}
			return text
		}
		l.pos++
	}
	return string(append(b, l.in[start:]...))
}

// scanDollar reads a parameter such as $1, a dollar-quoted string or a single
// dollar sign.
func (l *lexer) scanDollar() token {
	start := l.pos
	i := l.pos + 1
	if i < len(l.in) && isDigit(l.in[i]) {
		for i < len(l.in) && isDigit(l.in[i]) {
			i++
		}
		l.pos = i
		return token{kind: byteToken, text: "$"}
	}
	for i < len(l.in) && isWordByte(l.in[i]) && l.in[i] != '$' {
		i++
	}
	if i < len(l.in) && l.in[i] == '$' {
		tag := l.in[start : i+1]
		body := l.in[i+1:]
		if n := strings.Index(body, tag); n >= 0 {
			l.pos = i + 1 + n + len(tag)
			return token{kind: stringToken, text: body[:n]}
		}
		l.pos = len(l.in)
		return token{kind: stringToken, text: body}
	}
	l.pos = max(i, start+1)
	return token{kind: byteToken, text: "$"}
}

func (l *lexer) skipSpace() {
	for l.pos < len(l.in) {
		switch c := l.in[l.pos]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.pos++
		case strings.HasPrefix(l.in[l.pos:], "--"):
			l.pos += lineBytes(l.in[l.pos:])
		case strings.HasPrefix(l.in[l.pos:], "/*"):
			l.skipComment()
		default:
			return
		}
	}
}

// skipComment skips a block comment; block comments nest.
func (l *lexer) skipComment() {
	depth := 0
	for l.pos < len(l.in) {
		switch {
		case strings.HasPrefix(l.in[l.pos:], "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(l.in[l.pos:], "*/"):
			depth--
			l.pos += 2
			if depth == 0 {
				return
			}
		default:
			l.pos++
		}
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'z'
}
