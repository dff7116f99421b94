package sqltext

// Kind is the class of a statement.
type Kind uint8

// Statement classes.
const (
	// Empty contains no token.
	Empty Kind = iota
	// Read changes nothing and takes no row lock.
	Read
	// Write may change data.
	Write
	// Begin starts a transaction block.
	Begin
	// Commit is COMMIT or END.
	Commit
	// Rollback is ROLLBACK or ABORT of the whole transaction.
	Rollback
	// TransactionControl is other transaction control, such as SAVEPOINT.
	TransactionControl
	// Set changes a session setting.
	Set
	// Reset restores a session setting, or all of them when Name is empty.
	Reset
	// Show reads a setting.
	Show
	// CopyIn is COPY FROM STDIN.
	CopyIn
	// CopyOut is COPY TO STDOUT.
	CopyOut
	// Deallocate removes prepared statements; Name is empty for all of them.
	Deallocate
	// Unsupported needs session state that pooled connections cannot preserve.
	Unsupported
)

// Statement is a classified statement.
type Statement struct {
	Kind Kind
	// ReadOnly marks a Begin or TransactionControl that makes the transaction read-only.
	ReadOnly bool
	// Local marks SET LOCAL, which is undone at the end of the transaction.
	Local bool
	// Name is the setting of Set, Reset and Show, in lower case, or the prepared
	// statement of Deallocate.
	Name string
	// Value is the value of a Set as written. Literal is the decoded value if it is
	// a single string, word or number. For a Begin that cannot fail outside a
	// transaction block, Value is its normalized text.
	Value, Literal string
	// Default marks SET ... TO DEFAULT.
	Default bool
	// Reason says what is unsupported. It contains no text from the statement.
	Reason string
	// TransactionSafe marks a single data-modifying statement that can run inside a
	// transaction block with the same effect.
	TransactionSafe bool
	// Dirty marks a statement that may leave state in the upstream's session.
	Dirty bool
	// Chain marks COMMIT or ROLLBACK AND CHAIN.
	Chain bool
	// Start and End are the byte offsets that delimit the statement in the input.
	Start, End int
}

// AllReadOnly reports whether a query string that consists of these statements can
// run on a replica, starting outside a transaction block.
func AllReadOnly(list []Statement) bool {
	readOnlyBlock := false
	for _, s := range list {
		switch s.Kind {
		case Empty, Read, Show, CopyOut:
		case Set, Reset:
			if len(list) > 1 && (s.Name == "" || s.Name == "default_transaction_read_only") {
				return false // later statements could write
			}
		case Begin:
			if !s.ReadOnly {
				return false
			}
			readOnlyBlock = true
		case Commit, Rollback:
			if s.Chain || !readOnlyBlock {
				return false
			}
			readOnlyBlock = false
		default:
			if !readOnlyBlock || s.Kind != TransactionControl {
				return false
			}
		}
	}
	return true
}

// Parse splits a query string into statements and classifies them. The result
// contains an Empty statement only if there is no other statement.
func Parse(sql string) []Statement {
	l := lexer{in: sql}
	var out []Statement
	var buffer [32]token
	for {
		tokens, more := statementTokens(&l, buffer[:0])
		if len(tokens) > 0 {
			s := classify(sql, tokens)
			s.Start, s.End = tokens[0].start, tokens[len(tokens)-1].end
			out = append(out, s)
		}
		if !more {
			break
		}
	}
	if l.ambiguous {
		return []Statement{unsupported("a dollar sign directly behind a number with letters")}
	}
	if len(out) == 0 {
		out = append(out, Statement{Kind: Empty})
	}
	return out
}

// statementTokens reads the tokens up to the next semicolon outside parentheses and
// BEGIN ATOMIC bodies. It reports whether more input may follow.
func statementTokens(l *lexer, tokens []token) (_ []token, more bool) {
	atomic, depth := 0, 0
	for {
		t := l.next()
		switch {
		case t.kind == endToken:
			return tokens, false
		case t.isByte('('):
			depth++
		case t.isByte(')'):
			depth--
		case t.isWord("atomic"):
			// The body of a SQL-standard function contains semicolons up to END.
			if n := len(tokens); n > 0 && tokens[0].isWord("create") && tokens[n-1].isWord("begin") {
				atomic++
			}
		case t.isWord("end") && atomic > 0:
			atomic--
		case t.isWord("case") && atomic > 0:
			atomic++
		case t.isByte(';') && atomic == 0 && depth <= 0:
			return tokens, true
		}
		tokens = append(tokens, t)
	}
}
