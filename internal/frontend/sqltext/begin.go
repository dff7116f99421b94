package sqltext

import "strings"

// transactionModes are the modes with which BEGIN cannot fail. SERIALIZABLE is
// excluded because replicas reject it.
var transactionModes = []string{
	"isolation level repeatable read", "isolation level read committed", "isolation level read uncommitted",
	"read write", "read only", "not deferrable", "deferrable",
}

// canonicalBegin returns the normalized text of a BEGIN that cannot fail outside a
// transaction block, or "". Such a BEGIN may be sent to the upstream later than
// the client sent it.
func canonicalBegin(tokens []token) string {
	words := make([]string, 0, len(tokens))
	for _, t := range tokens[1:] {
		if t.kind != wordToken && !t.isByte(',') {
			return ""
		}
		words = append(words, t.text)
	}
	rest := strings.Join(words, " ")
	if w, after, _ := strings.Cut(rest, " "); w == "transaction" || w == "work" && tokens[0].isWord("begin") {
		rest = after
	} else if tokens[0].isWord("start") {
		return ""
	}
	text := "BEGIN"
	for first := true; rest != ""; first = false {
		if !first {
			rest = strings.TrimPrefix(rest, ", ")
		}
		mode, after, ok := cutTransactionMode(rest)
		if !ok {
			return ""
		}
		text += " " + mode
		rest = after
	}
	return text
}

// cutTransactionMode returns the transaction mode that words starts with and the
// text after it.
func cutTransactionMode(words string) (mode, rest string, ok bool) {
	for _, mode := range transactionModes {
		if rest, ok := strings.CutPrefix(words, mode); ok && (rest == "" || rest[0] == ' ') {
			return mode, strings.TrimPrefix(rest, " "), true
		}
	}
	return "", "", false
}
