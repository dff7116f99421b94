package sqltext

import "strings"

// classify classifies the tokens of one statement. Value is set only if sql, the
// text that the token offsets refer to, is not empty.
func classify(sql string, tokens []token) Statement {
	first := tokens[0]
	for i := 0; first.isByte('(') && i+1 < len(tokens); i++ {
		first = tokens[i+1]
	}
	if first.kind != wordToken {
		return Statement{Kind: Write, Dirty: true}
	}
	switch first.text {
	case "select", "values", "table", "with":
		return classifyQuery(tokens)
	case "insert", "update", "delete", "merge":
		return scanFunctions(tokens, Statement{Kind: Write, TransactionSafe: true})
	case "explain":
		return classifyExplain(tokens)
	case "copy":
		return classifyCopy(tokens)
	case "set", "reset", "show":
		return classifySetting(sql, tokens)
	case "begin", "start":
		return Statement{Kind: Begin, ReadOnly: hasReadOnlyMode(tokens), Value: canonicalBegin(tokens)}
	case "commit", "end":
		return classifyTransactionEnd(tokens, Commit)
	case "rollback", "abort":
		return classifyTransactionEnd(tokens, Rollback)
	case "savepoint", "release":
		return Statement{Kind: TransactionControl}
	}
	return classifyOther(first.text, tokens)
}

// classifyOther classifies statements by their first keyword if classify has no
// case for it.
func classifyOther(first string, tokens []token) Statement {
	switch first {
	case "prepare":
		if secondToken(tokens).isWord("transaction") {
			return unsupported("two-phase commit")
		}
		return unsupported("PREPARE as a statement; use the extended protocol")
	case "execute":
		return unsupported("EXECUTE as a statement; use the extended protocol")
	case "deallocate":
		return classifyDeallocate(tokens)
	case "listen", "unlisten":
		return unsupported("LISTEN and UNLISTEN")
	case "declare":
		return classifyDeclare(tokens)
	case "fetch", "move", "close":
		return Statement{Kind: Read}
	case "load":
		return unsupported("LOAD")
	case "discard":
		if secondToken(tokens).isWord("all") {
			return Statement{Kind: Reset, Dirty: true}
		}
	case "create":
		return classifyCreate(tokens)
	case "alter", "drop", "comment", "truncate", "grant", "revoke":
		return Statement{Kind: Write, TransactionSafe: transactionSafeDDL(tokens), Dirty: !transactionSafeDDL(tokens)}
	case "lock":
		return Statement{Kind: Write}
	}
	return scanFunctions(tokens, Statement{Kind: Write, Dirty: true})
}

func secondToken(tokens []token) token { return tokenAt(tokens, 1) }

// tokenAt returns the token at index i, or an endToken if there is none.
func tokenAt(tokens []token, i int) token {
	if i < len(tokens) {
		return tokens[i]
	}
	return token{}
}

func unsupported(reason string) Statement { return Statement{Kind: Unsupported, Reason: reason} }

// classifyQuery classifies SELECT, VALUES, TABLE and WITH.
func classifyQuery(tokens []token) Statement {
	s := Statement{Kind: Read}
	first := 0
	for first < len(tokens)-1 && tokens[first].isByte('(') {
		first++
	}
	with := tokens[first].isWord("with")
	for i, t := range tokens {
		if t.kind != wordToken {
			continue
		}
		next := tokenAt(tokens, i+1)
		switch t.text {
		case "insert", "update", "delete", "merge":
			if with && startsDataModification(tokens, i) {
				s.Kind, s.TransactionSafe = Write, true
			}
		case "into":
			s.Kind, s.Dirty = Write, true
			if next.isWord("temp") || next.isWord("temporary") {
				return unsupported("temporary tables")
			}
		case "for":
			if next.isWord("update") || next.isWord("share") || next.isWord("no") || next.isWord("key") {
				s.Kind, s.TransactionSafe = Write, true
			}
		}
	}
	return scanFunctions(tokens, s)
}

// startsDataModification reports whether the word at index i starts a
// data-modifying part of a WITH statement. The UPDATE in FOR UPDATE and in
// ON CONFLICT DO UPDATE does not.
func startsDataModification(tokens []token, i int) bool {
	if i == 0 {
		return true
	}
	prev := tokens[i-1]
	return prev.isByte('(') || prev.isByte(')')
}

// writingFunctions are built-in functions that replicas reject or that change
// state outside the transaction.
var writingFunctions = map[string]bool{
	"nextval": true, "setval": true, "lo_create": true, "lo_creat": true, "lo_unlink": true, "lo_import": true,
	"pg_notify": true, "txid_current": true, "pg_current_xact_id": true, "pg_logical_emit_message": true,
}

// scanFunctions adjusts s for calls of functions that write, take session locks or
// may leave state in the session.
func scanFunctions(tokens []token, s Statement) Statement {
	for i, t := range tokens {
		if t.kind != wordToken && t.kind != quotedToken || !tokenAt(tokens, i+1).isByte('(') {
			continue
		}
		switch {
		case writingFunctions[t.text]:
			s.Kind = Write
		case t.text == "set_config" && !isLocalConfig(tokens[i+1:]):
			return unsupported("set_config for the session; use SET")
		case isSessionLock(t.text):
			return unsupported("session advisory locks; use pg_advisory_xact_lock")
		case strings.HasPrefix(t.text, "pg_advisory_xact_lock"), strings.HasPrefix(t.text, "pg_try_advisory_xact_lock"):
			s.Kind = Write
		case strings.HasPrefix(t.text, "dblink"):
			s.Dirty = true
		}
	}
	return s
}

func isSessionLock(name string) bool {
	if strings.Contains(name, "_xact_") {
		return false
	}
	return strings.HasPrefix(name, "pg_advisory_lock") || strings.HasPrefix(name, "pg_try_advisory_lock") ||
		strings.HasPrefix(name, "pg_advisory_unlock")
}

// isLocalConfig reports whether the last argument of set_config is true, which
// limits the setting to the transaction.
func isLocalConfig(arguments []token) bool {
	depth := 0
	for i, t := range arguments {
		switch {
		case t.isByte('('):
			depth++
		case t.isByte(')'):
			depth--
			if depth == 0 {
				return i > 0 && arguments[i-1].isWord("true")
			}
		}
	}
	return false
}

// classifyExplain classifies EXPLAIN. With ANALYZE the inner statement is
// executed, so its class applies.
func classifyExplain(tokens []token) Statement {
	analyze := false
	for i, t := range tokens[1:] {
		switch {
		case t.isWord("analyze") || t.isWord("analyse"):
			analyze = true
		case t.kind == wordToken && statementKeywords[t.text]:
			inner := classify("", tokens[i+1:])
			if analyze || inner.Kind == Unsupported {
				return inner
			}
			return Statement{Kind: Read}
		}
	}
	return Statement{Kind: Write}
}

// statementKeywords are the keywords that start the inner statement of EXPLAIN.
var statementKeywords = map[string]bool{
	"select": true, "values": true, "table": true, "with": true, "insert": true, "update": true,
	"delete": true, "merge": true, "execute": true, "create": true, "declare": true, "refresh": true,
}

func classifyCopy(tokens []token) Statement {
	depth := 0
	for i, t := range tokens {
		switch {
		case t.isByte('('):
			depth++
		case t.isByte(')'):
			depth--
		case depth == 0 && t.isWord("from"):
			if tokenAt(tokens, i+1).isWord("stdin") {
				return Statement{Kind: CopyIn, TransactionSafe: true}
			}
			return Statement{Kind: Write}
		case depth == 0 && t.isWord("to"):
			return classifyCopyTo(tokens, i)
		}
	}
	return Statement{Kind: Write}
}

func classifyCopyTo(tokens []token, to int) Statement {
	if !tokenAt(tokens, to+1).isWord("stdout") {
		return Statement{Kind: Write}
	}
	if secondToken(tokens).isByte('(') {
		if inner := classify("", tokens[2:to]); inner.Kind != Read {
			return Statement{Kind: Write}
		}
	}
	return Statement{Kind: CopyOut}
}

func classifyCreate(tokens []token) Statement {
	i := 1
	for tokenAt(tokens, i).isWord("or") || tokenAt(tokens, i).isWord("replace") || tokenAt(tokens, i).isWord("local") || tokenAt(tokens, i).isWord("global") {
		i++
	}
	if t := tokenAt(tokens, i); t.isWord("temp") || t.isWord("temporary") {
		return unsupported("temporary tables")
	}
	plain := transactionSafeDDL(tokens[i-1:])
	return Statement{Kind: Write, TransactionSafe: plain, Dirty: !plain}
}

// transactionSafeDDL reports whether a DDL statement can run in a transaction
// block. Except for TRUNCATE and COMMENT it decides by the object type, which is
// the second token.
func transactionSafeDDL(tokens []token) bool {
	switch tokens[0].text {
	case "truncate", "comment":
		return true
	}
	switch secondToken(tokens).text {
	case "table", "view", "schema", "function", "sequence", "trigger":
		return true
	}
	return false
}

func classifyDeclare(tokens []token) Statement {
	for i, t := range tokens {
		if t.isWord("with") && tokenAt(tokens, i+1).isWord("hold") {
			return unsupported("cursors WITH HOLD")
		}
	}
	return Statement{Kind: Read}
}

func classifyDeallocate(tokens []token) Statement {
	i := 1
	if tokenAt(tokens, i).isWord("prepare") {
		i++
	}
	t := tokenAt(tokens, i)
	if t.kind == endToken || t.isWord("all") {
		return Statement{Kind: Deallocate}
	}
	return Statement{Kind: Deallocate, Name: t.text}
}
