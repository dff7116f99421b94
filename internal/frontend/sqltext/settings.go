package sqltext

// classifySetting classifies SET, RESET and SHOW.
func classifySetting(sql string, tokens []token) Statement {
	switch tokens[0].text {
	case "show":
		name, _ := settingName(tokens[1:])
		return Statement{Kind: Show, Name: name}
	case "reset":
		name, _ := settingName(tokens[1:])
		if name == "all" {
			name = ""
		}
		return Statement{Kind: Reset, Name: name}
	}
	return classifySet(sql, tokens[1:])
}

func classifySet(sql string, tokens []token) Statement {
	s := Statement{Kind: Set}
	switch t := tokenAt(tokens, 0); {
	case t.isWord("local"):
		s.Local = true
		tokens = tokens[1:]
	case t.isWord("session") && tokenAt(tokens, 1).isWord("characteristics"):
		return classifyCharacteristics(tokens[2:])
	case t.isWord("session") && !tokenAt(tokens, 1).isWord("authorization"):
		tokens = tokens[1:]
	}
	switch t := tokenAt(tokens, 0); {
	case t.isWord("transaction"):
		if hasReadMode(tokens, "write") {
			return unsupported("SET TRANSACTION READ WRITE; use BEGIN READ WRITE")
		}
		return Statement{Kind: TransactionControl, ReadOnly: hasReadMode(tokens, "only")}
	case t.isWord("constraints"):
		return Statement{Kind: TransactionControl}
	case t.isWord("session"), t.isWord("role"):
		return unsupported("SET ROLE and SET SESSION AUTHORIZATION")
	}
	name, used := settingName(tokens)
	s.Name = name
	rest := tokens[used:]
	if t := tokenAt(rest, 0); t.isByte('=') || t.isWord("to") {
		rest = rest[1:]
	}
	return classifySetValue(sql, s, rest)
}

// classifyCharacteristics returns SET SESSION CHARACTERISTICS as a Set of the
// setting that it changes, so that the setting can be applied to each upstream
// connection that the session uses.
func classifyCharacteristics(tokens []token) Statement {
	isolation := ""
	for i, t := range tokens {
		if t.isWord("level") {
			isolation = tokenAt(tokens, i+1).text
			if next := tokenAt(tokens, i+2); next.kind == wordToken {
				isolation += " " + next.text
			}
		}
	}
	mode := hasReadMode(tokens, "only") || hasReadMode(tokens, "write")
	switch {
	case isolation != "" && !mode:
		return Statement{Kind: Set, Name: "default_transaction_isolation", Value: "'" + isolation + "'", Literal: isolation}
	case isolation == "" && hasReadMode(tokens, "only"):
		return Statement{Kind: Set, Name: "default_transaction_read_only", Value: "on", Literal: "on"}
	case isolation == "" && mode:
		return Statement{Kind: Set, Name: "default_transaction_read_only", Value: "off", Literal: "off"}
	}
	return unsupported("SET SESSION CHARACTERISTICS with several modes")
}

// hasReadMode reports whether the tokens hold the mode READ ONLY or READ WRITE,
// selected by word ("only" or "write").
func hasReadMode(tokens []token, word string) bool {
	for i, t := range tokens {
		if t.isWord("read") && tokenAt(tokens, i+1).isWord(word) {
			return true
		}
	}
	return false
}

// classifySetValue adds the value tokens to s, a Set whose Name is known, and
// changes the class for settings that control the transaction or the role.
func classifySetValue(sql string, s Statement, rest []token) Statement {
	if len(rest) == 0 {
		s.Kind = Write
		return s
	}
	s.Default = rest[0].isWord("default")
	if sql != "" {
		s.Value = sql[rest[0].start:rest[len(rest)-1].end]
	}
	switch {
	case len(rest) == 1:
		s.Literal = rest[0].text
	case len(rest) == 2 && rest[0].isByte('-'):
		s.Literal = "-" + rest[1].text
	}
	switch s.Name {
	case "transaction_read_only":
		if s.Literal != "on" {
			return unsupported("transaction_read_only other than on; use BEGIN READ WRITE")
		}
		return Statement{Kind: TransactionControl, ReadOnly: true}
	case "transaction_isolation", "transaction_deferrable":
		return Statement{Kind: TransactionControl}
	case "role", "session_authorization":
		return unsupported("SET ROLE and SET SESSION AUTHORIZATION")
	}
	if s.Name == "standard_conforming_strings" && s.Literal != "on" && !s.Default {
		return unsupported("standard_conforming_strings other than on")
	}
	return s
}

// settingName returns the name of a setting, which may have two parts, and the
// number of tokens that it spans.
func settingName(tokens []token) (string, int) {
	switch first := tokenAt(tokens, 0); {
	case first.kind == endToken:
		return "", 0
	case first.isWord("time") && tokenAt(tokens, 1).isWord("zone"):
		return "timezone", 2
	case first.isWord("names"):
		return "client_encoding", 1
	case first.isWord("schema"):
		return "search_path", 1
	case tokenAt(tokens, 1).isByte('.') && len(tokens) > 2:
		return lowerASCII(first.text) + "." + lowerASCII(tokens[2].text), 3
	default:
		return lowerASCII(first.text), 1
	}
}

func lowerASCII(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c | 0x20
		}
	}
	return string(b)
}

// hasReadOnlyMode reports whether READ ONLY is the last access mode in the tokens.
func hasReadOnlyMode(tokens []token) bool {
	readOnly := false
	for i, t := range tokens {
		if t.isWord("read") {
			switch next := tokenAt(tokens, i+1); {
			case next.isWord("only"):
				readOnly = true
			case next.isWord("write"):
				readOnly = false
			}
		}
	}
	return readOnly
}

// classifyTransactionEnd classifies COMMIT, END, ROLLBACK and ABORT.
func classifyTransactionEnd(tokens []token, kind Kind) Statement {
	s := Statement{Kind: kind}
	for i, t := range tokens {
		switch {
		case t.isWord("prepared"):
			return unsupported("two-phase commit")
		case t.isWord("to"):
			return Statement{Kind: TransactionControl}
		case t.isWord("chain") && i > 0 && tokens[i-1].isWord("and"):
			s.Chain = true
		}
	}
	return s
}
