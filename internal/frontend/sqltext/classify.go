package sqltext

import "strings"

// classify decides the class of the tokens of one statement.
func classify(sql string, tokens []token) Statement {
	first := tokens[0]
	for i := 0; first.char('(') && i+1 < len(tokens); i++ {
		first = tokens[i+1]
	}
	if first.kind != wordToken {
		return Statement{Kind: Write, Dirty: true}
	}
	switch first.text {
	case "select", "values", "table", "with":
		return query(tokens)
	case "insert", "update", "delete", "merge":
		return scanFunctions(tokens, Statement{Kind: Write, TransactionSafe: true})
	case "explain":
		return explain(tokens)
	case "copy":
		return copyStatement(tokens)
	case "set", "reset", "show":
		return setting(sql, tokens)
	case "begin", "start":
		return Statement{Kind: Begin, ReadOnly: readOnlyMode(tokens), Value: canonicalBegin(tokens)}
	case "commit", "end":
		return transactionEnd(tokens, Commit)
	case "rollback", "abort":
		return transactionEnd(tokens, Rollback)
	case "savepoint", "release":
		return Statement{Kind: TransactionControl}
	}
	return other(first.text, tokens)
}

func other(first string, tokens []token) Statement {
	switch first {
	case "prepare":
		if second(tokens).is("transaction") {
			return unsupported("two-phase commit")
		}
		return unsupported("PREPARE as a statement; use the extended protocol")
	case "execute":
		return unsupported("EXECUTE as a statement; use the extended protocol")
	case "deallocate":
		return deallocate(tokens)
	case "listen", "unlisten":
		return unsupported("LISTEN and UNLISTEN")
	case "declare":
		return declare(tokens)
	case "fetch", "move", "close":
		return Statement{Kind: Read}
	case "load":
		return unsupported("LOAD")
	case "discard":
		if second(tokens).is("all") {
			return Statement{Kind: Reset, Dirty: true}
		}
	case "create":
		return create(tokens)
	case "alter", "drop", "comment", "truncate", "grant", "revoke":
		return Statement{Kind: Write, TransactionSafe: plainDefinition(tokens), Dirty: !plainDefinition(tokens)}
	case "lock":
		return Statement{Kind: Write}
	}
	return scanFunctions(tokens, Statement{Kind: Write, Dirty: true})
}

func second(tokens []token) token { return at(tokens, 1) }

func at(tokens []token, i int) token {
	if i < len(tokens) {
		return tokens[i]
	}
	return token{}
}

func unsupported(reason string) Statement { return Statement{Kind: Unsupported, Reason: reason} }

// query classifies SELECT, VALUES, TABLE and WITH.
func query(tokens []token) Statement {
	s := Statement{Kind: Read}
	with := tokens[0].is("with")
	for i, t := range tokens {
		if t.kind != wordToken {
			continue
		}
		next := at(tokens, i+1)
		switch t.text {
		case "insert", "update", "delete", "merge":
			if with && dataModifying(tokens, i) {
				s.Kind, s.TransactionSafe = Write, true
			}
		case "into":
			s.Kind, s.Dirty = Write, true
			if next.is("temp") || next.is("temporary") {
				return unsupported("temporary tables")
			}
		case "for":
			if next.is("update") || next.is("share") || next.is("no") || next.is("key") {
				s.Kind, s.TransactionSafe = Write, true
			}
		}
	}
	return scanFunctions(tokens, s)
}

// dataModifying reports whether the word at i starts a data-modifying part of a
// WITH statement. FOR UPDATE and ON CONFLICT DO UPDATE do not start one.
func dataModifying(tokens []token, i int) bool {
	if i == 0 {
		return true
	}
	prev := tokens[i-1]
	return prev.char('(') || prev.char(')')
}

// writingFunctions are built-in functions that replicas refuse or that change
// state outside transactions.
var writingFunctions = map[string]bool{
	"nextval": true, "setval": true, "lo_create": true, "lo_creat": true, "lo_unlink": true, "lo_import": true,
	"pg_notify": true, "txid_current": true, "pg_current_xact_id": true, "pg_logical_emit_message": true,
}

// scanFunctions looks for calls of functions that need special care.
func scanFunctions(tokens []token, s Statement) Statement {
	for i, t := range tokens {
		if t.kind != wordToken && t.kind != quotedToken || !at(tokens, i+1).char('(') {
			continue
		}
		switch {
		case writingFunctions[t.text]:
			s.Kind = Write
		case t.text == "set_config" && !localConfig(tokens[i+1:]):
			return unsupported("set_config for the session; use SET")
		case sessionLock(t.text):
			return unsupported("session advisory locks; use pg_advisory_xact_lock")
		case strings.HasPrefix(t.text, "pg_advisory_xact_lock"), strings.HasPrefix(t.text, "pg_try_advisory_xact_lock"):
			s.Kind = Write
		case strings.HasPrefix(t.text, "dblink"):
			s.Dirty = true
		}
	}
	return s
}

func sessionLock(name string) bool {
	if strings.Contains(name, "_xact_") {
		return false
	}
	return strings.HasPrefix(name, "pg_advisory_lock") || strings.HasPrefix(name, "pg_try_advisory_lock") ||
		strings.HasPrefix(name, "pg_advisory_unlock")
}

// localConfig reports whether the arguments of set_config end with true.
func localConfig(arguments []token) bool {
	depth := 0
	for i, t := range arguments {
		switch {
		case t.char('('):
			depth++
		case t.char(')'):
			depth--
			if depth == 0 {
				return i > 0 && arguments[i-1].is("true")
			}
		}
	}
	return false
}

// explain classifies EXPLAIN: with ANALYZE the statement runs.
func explain(tokens []token) Statement {
	analyze := false
	for i, t := range tokens[1:] {
		switch {
		case t.is("analyze") || t.is("analyse"):
			analyze = true
		case t.kind == wordToken && statementStart[t.text]:
			inner := classify("", tokens[i+1:])
			if analyze || inner.Kind == Unsupported {
				return inner
			}
			return Statement{Kind: Read}
		}
	}
	return Statement{Kind: Write}
}

var statementStart = map[string]bool{
	"select": true, "values": true, "table": true, "with": true, "insert": true, "update": true,
	"delete": true, "merge": true, "execute": true, "create": true, "declare": true, "refresh": true,
}

func copyStatement(tokens []token) Statement {
	depth := 0
	for i, t := range tokens {
		switch {
		case t.char('('):
			depth++
		case t.char(')'):
			depth--
		case depth == 0 && t.is("from"):
			if at(tokens, i+1).is("stdin") {
				return Statement{Kind: CopyIn, TransactionSafe: true}
			}
			return Statement{Kind: Write}
		case depth == 0 && t.is("to"):
			return copyOut(tokens, i)
		}
	}
	return Statement{Kind: Write}
}

func copyOut(tokens []token, to int) Statement {
	if !at(tokens, to+1).is("stdout") {
		return Statement{Kind: Write}
	}
	if second(tokens).char('(') {
		if inner := classify("", tokens[2:to]); inner.Kind != Read {
			return Statement{Kind: Write}
		}
	}
	return Statement{Kind: CopyOut}
}

func create(tokens []token) Statement {
	i := 1
	for at(tokens, i).is("or") || at(tokens, i).is("replace") || at(tokens, i).is("local") || at(tokens, i).is("global") {
		i++
	}
	if t := at(tokens, i); t.is("temp") || t.is("temporary") {
		return unsupported("temporary tables")
	}
	plain := plainDefinition(tokens[i-1:])
	return Statement{Kind: Write, TransactionSafe: plain, Dirty: !plain}
}

// plainDefinition reports whether a definition statement can run in a transaction
// block, judged by the kind of object that the second token names.
func plainDefinition(tokens []token) bool {
	switch tokens[0].text {
	case "truncate", "comment":
		return true
	}
	switch second(tokens).text {
	case "table", "view", "schema", "function", "sequence", "trigger":
		return true
	}
	return false
}

func declare(tokens []token) Statement {
	for i, t := range tokens {
		if t.is("with") && at(tokens, i+1).is("hold") {
			return unsupported("cursors WITH HOLD")
		}
	}
	return Statement{Kind: Read}
}

func deallocate(tokens []token) Statement {
	i := 1
	if at(tokens, i).is("prepare") {
		i++
	}
	t := at(tokens, i)
	if t.kind == endToken || t.is("all") {
		return Statement{Kind: Deallocate}
	}
	return Statement{Kind: Deallocate, Name: t.text}
}
