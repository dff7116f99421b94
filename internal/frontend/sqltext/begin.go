package sqltext

import "strings"

// transactionModes are the modes of BEGIN that cannot fail by themselves.
// SERIALIZABLE is left out, because replicas refuse it.
var transactionModes = []string{
	"isolation level repeatable read", "isolation level read committed", "isolation level read uncommitted",
	"read write", "read only", "not deferrable", "deferrable",
}

// canonicalBegin returns the text of a BEGIN that is certain to succeed outside a
// transaction block, or "". Such a BEGIN may be sent later than the caller did.
func canonicalBegin(tokens []token) string {
	words := make([]string, 0, len(tokens))
	for _, t := range tokens[1:] {
		if t.kind != wordToken && !t.char(',') {
			return ""
		}
		words = append(words, t.text)
	}
	rest := strings.Join(words, " ")
	if w, after, _ := strings.Cut(rest, " "); w == "transaction" || w == "work" && tokens[0].is("begin") {
		rest = after
	} else if tokens[0].is("start") {
		return ""
	}
	text := "BEGIN"
	for first := true; rest != ""; first = false {
		if !first {
			rest = strings.TrimPrefix(rest, ", ")
		}
		mode, after, ok := cutMode(rest)
		if !ok {
			return ""
		}
		text += " " + mode
		rest = after
	}
	return text
}

// cutMode splits a transaction mode off the front of the words.
func cutMode(words string) (mode, rest string, ok bool) {
	for _, mode := range transactionModes {
		if rest, ok := strings.CutPrefix(words, mode); ok && (rest == "" || rest[0] == ' ') {
			return mode, strings.TrimPrefix(rest, " "), true
		}
	}
	return "", "", false
}
