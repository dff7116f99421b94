package upstream

import (
	"regexp"
	"strconv"
	"strings"
)

type statementKind uint8

const (
	kindRead statementKind = iota
	kindWrite
	kindBegin
	kindCommit
	kindRollback
	kindSavepoint
	kindRelease
	kindRollbackTo
	kindSet
	kindShow
	kindReset
	kindDiscard
	kindDeallocate
	kindSleep
	kindCopyIn
	kindCopyOut
)

// statement is one parsed statement. It does not change after parsing.
type statement struct {
	kind   statementKind
	tokens []token
	// sqlite is the statement in SQLite's dialect.
	sqlite string
	// tag is the command tag without a row count.
	tag string
	// rows says that the statement returns rows.
	rows bool
	// long says that the statement may run long without returning a row, so that
	// it needs the costlier way of cancellation.
	long bool
	// schema says that the statement changes tables.
	schema bool
	// volatile says that a write contains functions whose result differs between
	// executions; see withoutVolatile.
	volatile   bool
	parameters int
	// marker is the request marker in a comment, see markerPattern.
	marker string
	// sleep is the argument of a statement that only sleeps, in seconds.
	sleep float64
}

// markerPattern finds the marker by which load tools identify a request.
var markerPattern = regexp.MustCompile(`request[:=]\s*([A-Za-z0-9._-]+)`)

var statementKinds = map[string]statementKind{
	"SELECT": kindRead, "VALUES": kindRead, "TABLE": kindRead, "WITH": kindRead, "EXPLAIN": kindRead,
	"BEGIN": kindBegin, "START": kindBegin, "COMMIT": kindCommit, "END": kindCommit,
	"ROLLBACK": kindRollback, "ABORT": kindRollback, "SAVEPOINT": kindSavepoint, "RELEASE": kindRelease,
	"SET": kindSet, "SHOW": kindShow, "RESET": kindReset, "DISCARD": kindDiscard, "DEALLOCATE": kindDeallocate,
	"COPY": kindCopyIn,
}

// parseAll parses the statements of a simple Query.
func parseAll(sql string) []*statement {
	raw := splitStatements(sql)
	statements := make([]*statement, len(raw))
	for i := range raw {
		statements[i] = parse(raw[i])
	}
	return statements
}

func parse(raw rawStatement) *statement {
	s := &statement{kind: kindWrite, tokens: raw.tokens}
	first := raw.tokens[0]
	if raw.tokens[0].is("(") && len(raw.tokens) > 1 {
		first = raw.tokens[1]
	}
	if kind, ok := statementKinds[first.upper]; ok {
		s.kind = kind
	}
	if match := markerPattern.FindStringSubmatch(raw.comment); match != nil {
		s.marker = match[1]
	}
	s.tag = first.upper
	s.refine()
	s.countParameters()
	s.volatile = s.kind == kindWrite && !s.schema && hasWord(s.tokens, volatileWords...)
	if s.kind == kindRead || s.kind == kindWrite {
		s.sqlite = join(translate(s.tokens))
	}
	return s
}

// refine distinguishes statements that begin with the same word.
func (s *statement) refine() {
	switch s.kind {
	case kindRead:
		s.refineRead()
	case kindWrite:
		s.refineWrite()
	case kindRollback:
		if len(s.tokens) > 1 && hasWord(s.tokens, "TO") {
			s.kind = kindRollbackTo
		}
	case kindCopyIn:
		if hasWord(s.tokens, "STDOUT") {
			s.kind = kindCopyOut
		}
	case kindShow:
		s.rows = true
	case kindBegin:
		if s.tag == "START" {
			s.tag = "START TRANSACTION"
		}
	case kindDiscard:
		s.tag = "DISCARD ALL"
	}
}

func (s *statement) refineRead() {
	s.rows, s.tag = true, "SELECT"
	s.long = hasWord(s.tokens, "WITH", "JOIN", "GROUP", "PG_SLEEP", "GENERATE_SERIES")
	if verb := writeVerb(s.tokens); verb != "" {
		s.kind, s.tag = kindWrite, verb
		s.rows = hasWord(s.tokens, "RETURNING")
		return
	}
	if lockClause(s.tokens) >= 0 {
		s.kind = kindWrite
	}
	if len(s.tokens) == 5 && s.tokens[1].is("PG_SLEEP") {
		if seconds, err := strconv.ParseFloat(strings.Trim(s.tokens[3].text, "'"), 64); err == nil {
			s.kind, s.sleep = kindSleep, seconds
		}
	}
}

func (s *statement) refineWrite() {
	s.rows = hasWord(s.tokens, "RETURNING")
	switch s.tag {
	case "CREATE", "DROP", "ALTER", "TRUNCATE":
		s.schema = true
		for _, t := range s.tokens[1:] {
			if t.is("TABLE", "INDEX", "VIEW", "TRIGGER") {
				s.tag += " " + t.upper
				return
			}
		}
	}
}

// countParameters finds the highest parameter number.
func (s *statement) countParameters() {
	for _, t := range s.tokens {
		if t.kind == tokenParameter {
			n, _ := strconv.Atoi(t.text[1:])
			s.parameters = max(s.parameters, n)
		}
	}
}

func hasWord(tokens []token, words ...string) bool {
	for _, t := range tokens {
		if t.kind == tokenWord && t.is(words...) {
			return true
		}
	}
	return false
}

// writeVerb returns the data-modifying verb of a WITH statement.
func writeVerb(tokens []token) string {
	if !tokens[0].is("WITH") {
		return ""
	}
	for _, t := range tokens {
		if t.is("INSERT", "UPDATE", "DELETE") && t.kind == tokenWord {
			return t.upper
		}
	}
	return ""
}

// lockClause returns the index of FOR UPDATE, FOR SHARE and their variants.
func lockClause(tokens []token) int {
	for i := 0; i+1 < len(tokens); i++ {
		if tokens[i].is("FOR") && tokens[i+1].is("UPDATE", "SHARE", "NO", "KEY") {
			return i
		}
	}
	return -1
}
