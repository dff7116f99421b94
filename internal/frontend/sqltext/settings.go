package sqltext

// setting classifies SET, RESET and SHOW.
func setting(sql string, tokens []token) Statement {
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
	return set(sql, tokens[1:])
}

func set(sql string, tokens []token) Statement {
	s := Statement{Kind: Set}
	switch t := at(tokens, 0); {
	case t.is("local"):
		s.Local = true
		tokens = tokens[1:]
	case t.is("session") && at(tokens, 1).is("characteristics"):
		return characteristics(tokens[2:])
	case t.is("session") && !at(tokens, 1).is("authorization"):
		tokens = tokens[1:]
	}
	switch t := at(tokens, 0); {
	case t.is("transaction"):
		if hasMode(tokens, "write") {
			return unsupported("SET TRANSACTION READ WRITE; use BEGIN READ WRITE")
		}
		return Statement{Kind: TransactionControl, ReadOnly: hasMode(tokens, "only")}
	case t.is("constraints"):
		return Statement{Kind: TransactionControl}
	case t.is("session"), t.is("role"):
		return unsupported("SET ROLE and SET SESSION AUTHORIZATION")
	}
	name, used := settingName(tokens)
	s.Name = name
	rest := tokens[used:]
	if t := at(rest, 0); t.char('=') || t.is("to") {
		rest = rest[1:]
	}
	return setValue(sql, s, rest)
}

// characteristics turns SET SESSION CHARACTERISTICS into the setting that it
// changes, so that the setting can follow the session.
func characteristics(tokens []token) Statement {
	isolation := ""
	for i, t := range tokens {
		if t.is("level") {
			isolation = at(tokens, i+1).text
			if next := at(tokens, i+2); next.kind == wordToken {
				isolation += " " + next.text
			}
		}
	}
	mode := hasMode(tokens, "only") || hasMode(tokens, "write")
	switch {
	case isolation != "" && !mode:
		return Statement{Kind: Set, Name: "default_transaction_isolation", Value: "'" + isolation + "'", Literal: isolation}
	case isolation == "" && hasMode(tokens, "only"):
		return Statement{Kind: Set, Name: "default_transaction_read_only", Value: "on", Literal: "on"}
	case isolation == "" && mode:
		return Statement{Kind: Set, Name: "default_transaction_read_only", Value: "off", Literal: "off"}
	}
	return unsupported("SET SESSION CHARACTERISTICS with several modes")
}

// hasMode reports whether READ is followed by the word.
func hasMode(tokens []token, word string) bool {
	for i, t := range tokens {
		if t.is("read") && at(tokens, i+1).is(word) {
			return true
		}
	}
	return false
}

func setValue(sql string, s Statement, rest []token) Statement {
	if len(rest) == 0 {
		s.Kind = Write
		return s
	}
	s.Default = rest[0].is("default")
	if sql != "" {
		s.Value = sql[rest[0].start:rest[len(rest)-1].end]
	}
	switch {
	case len(rest) == 1:
		s.Literal = rest[0].text
	case len(rest) == 2 && rest[0].char('-'):
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

// settingName reads a setting's name, which may have two parts, and returns the
// number of tokens that it takes.
func settingName(tokens []token) (string, int) {
	switch first := at(tokens, 0); {
	case first.kind == endToken:
		return "", 0
	case first.is("time") && at(tokens, 1).is("zone"):
		return "timezone", 2
	case first.is("names"):
		return "client_encoding", 1
	case first.is("schema"):
		return "search_path", 1
	case at(tokens, 1).char('.') && len(tokens) > 2:
		return lower(first.text) + "." + lower(tokens[2].text), 3
	default:
		return lower(first.text), 1
	}
}

func lower(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c | 0x20
		}
	}
	return string(b)
}

// readOnlyMode reports whether the last transaction mode given is READ ONLY.
func readOnlyMode(tokens []token) bool {
	readOnly := false
	for i, t := range tokens {
		if t.is("read") {
			switch next := at(tokens, i+1); {
			case next.is("only"):
				readOnly = true
			case next.is("write"):
				readOnly = false
			}
		}
	}
	return readOnly
}

// transactionEnd classifies COMMIT, END, ROLLBACK and ABORT.
func transactionEnd(tokens []token, kind Kind) Statement {
	s := Statement{Kind: kind}
	for i, t := range tokens {
		switch {
		case t.is("prepared"):
			return unsupported("two-phase commit")
		case t.is("to"):
			return Statement{Kind: TransactionControl}
		case t.is("chain") && i > 0 && tokens[i-1].is("and"):
			s.Chain = true
		}
	}
	return s
}
