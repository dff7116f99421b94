package soak

import (
	"math/rand/v2"
	"strings"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// oddNames and oddData are allowed bytes of fields: all but line ends, and in names also no
// blanks. They must reach members unchanged.
var (
	oddNames = []string{"\t", "\x00", "\xff\xfe", "\xc3", "\u0085\u2028", "\v\f", "-", "=", "QUERY", platformtest.PositionPrefix, `"'\`, "\x1b[2J", "\u00e9"}
	oddData  = []string{
		"", " ", "  ", "x ", " x", "\t", "x\t \t", "\x00", "\x00\x00 ", "\xff\xfe\xfd", "\xc3", "\u0085\u2028", "\v\f", "\\r\\n",
		"QUERY f1 WRITE other not-sent", "first QUERY f2 COMMIT", platformtest.PositionPrefix + " 9.9 READ other", "READY I -", "\x1b[2J", "\u00e9 \U0001f980",
	}
)

// breaks are bytes that make the boundaries of the message invalid that they are inserted into.
var breaks = []string{"\n", "\r", "\r\r", "\n\n", "\n\r", "\x00\n", " \n", "\t\r ", "\xff\n"}

// forged are messages behind a break. None of them may be taken for a message.
var forged = []string{
	"QUERY %ID WRITE other not-sent", "QUERY %ID READ other", "QUERY %ID COMMIT", "QUERY %ID BEGIN", "QUERY %ID SET v not-sent",
	"QUERY %ID ROLLBACK", "CONNECT orders key-main\r\nQUERY %ID WRITE other not-sent", "QUIT", "READY I -",
	"COMPLETE -\r\nREADY I -\r\nQUERY %ID WRITE other not-sent", "QUERY - DISCARD\r\nQUERY - STEPDOWN 9",
}

// tooMany are the numbers of bytes above the maximum size.
var tooMany = []int{1, 2, 100, 64 << 10, 300 << 10}

// largeShare is the part of the odd messages that are about as large as is allowed.
const largeShare = 0.06

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// soundMessage returns a message that some field of may be broken.
func soundMessage(rng *rand.Rand, id string) string {
	name, data := pick(rng, oddNames), pick(rng, oddData)
	return pick(rng, []string{
		"QUERY " + id + " READ item" + name, "QUERY " + id + " WRITE item" + name + " " + data, "QUERY " + id + " SET n" + name + " " + data,
		"QUERY " + id + " PARSE s" + name + " WRITE shape" + data, "QUERY " + id + " EXECUTE s" + name + " item " + data,
		"QUERY " + id + " CLOSE s" + name, "QUERY " + id + " BEGIN", "QUERY " + id + " COMMIT", "QUERY " + id + " ROLLBACK",
		"QUERY " + id + " " + platformtest.PositionPrefix + " 1.1 READ item", "QUERY " + id, "HELLO " + data, "",
	})
}

// startupMessage returns a first message of a connection.
func startupMessage(rng *rand.Rand) string {
	return pick(rng, []string{
		"CONNECT " + primaryRoute + " " + mainKey, "CONNECT " + pick(rng, oddNames) + " " + mainKey,
		"CONNECT " + primaryRoute + " " + pick(rng, oddNames), "HELLO " + pick(rng, oddData), "",
	})
}

// broken returns the bytes of a message with invalid boundaries: a sound message with a break at
// any place, a forged message behind it in most cases.
func broken(rng *rand.Rand, message, forgedID string) string {
	at := rng.IntN(len(message) + 1)
	if blanks := strings.Count(message, " "); blanks > 0 && rng.IntN(2) == 0 { // at the end of a field
		at = 0
		for range 1 + rng.IntN(blanks) {
			at += strings.IndexByte(message[at:], ' ') + 1
		}
		at--
	} else if rng.IntN(3) == 0 {
		at = len(message)
	}
	inserted := pick(rng, breaks)
	if rng.IntN(3) > 0 {
		inserted += strings.ReplaceAll(pick(rng, forged), "%ID", forgedID) + pick(rng, []string{"", "\r\n"})
	}
	return message[:at] + inserted + message[at:] + "\r\n"
}

// tooLarge returns the bytes of a message above the maximum size, with a forged message at or
// right behind its end. start is the beginning of the message.
func tooLarge(rng *rand.Rand, start, forgedID string) string {
	end := pick(rng, []string{"\r\n", ""})
	return filled(start, platformtest.MaxMessageBytes+pick(rng, tooMany)) + end + "QUERY " + forgedID + " WRITE other not-sent\r\n"
}

// largeStart returns the beginning of a message whose last field has any length.
func largeStart(rng *rand.Rand, id string) string {
	return pick(rng, []string{
		"QUERY " + id + " WRITE item ", "QUERY " + id + " READ ", "QUERY " + id + " SET v ", "QUERY " + id + " PARSE s1 WRITE ",
		"QUERY " + id + " EXECUTE s1 ", "QUERY " + id + " CLOSE ", "HELLO ", "QUERY ",
	})
}

// filled returns a text of length bytes.
func filled(text string, length int) string { return text + strings.Repeat("x", length-len(text)) }

// refusedStartup returns a first message with valid boundaries that no VM may accept, and a
// statement behind it.
func refusedStartup(rng *rand.Rand, id string) string {
	name := pick(rng, oddNames)
	return pick(rng, []string{
		"CONNECT orders key-main ", "CONNECT orders\tkey-main", "CONNECT orders key-main" + name, "CONNECT orders" + name + " key-main",
		"CONNECT " + name + "orders key-main", "connect orders key-main", "CONNECT  orders key-main", "CONNECT orders  key-main", "CONNECT orders",
		" CONNECT orders key-main", "CONNECT", "HELLO " + name, "", "QUERY " + id + " WRITE other not-sent",
	}) + "\r\nQUERY " + id + " WRITE other not-sent\r\n"
}

// invalidStatement returns a message with valid boundaries that is not understood.
func invalidStatement(rng *rand.Rand, id string) string {
	return pick(rng, []string{
		"HELLO " + pick(rng, oddData), "", " ", "\x00", "query " + id + " READ item", "QUERY\t" + id + " READ item", "QUERY " + id, "QUERY  READ item",
		"QUERY - READ item", "QUERY " + id + " READ ", "QUERY " + id + "  READ item", "QUERY " + id + " WRITE  data", "QUERY " + id + " PARSE s1",
		"QUERY " + id + " PARSE s1 OTHER shape", "QUERY " + id + " EXECUTE s1", "QUERY " + id + " CLOSE ", "QUERY " + id + " CLOSE a b",
		"QUERY " + id + " SET ", "QUERY " + id + " BEGIN WRITE", "QUERY " + id + " COMMIT ", "QUERY " + id + " ROLLBACK\t",
		"QUERY " + id + " " + platformtest.PositionPrefix + " 1.1 READ item", "QUERY " + id + " STATUS", "QUERY " + id + " PAUSE 9", "QUERY " + id + " DISCARD",
		"QUERY " + id + " " + pick(rng, oddData), "READY I -", "ROW x",
	})
}

// pieces cuts bytes into pieces, a third of them not at all. Line ends are cut, too.
func pieces(rng *rand.Rand, text string) []string {
	var parts []string
	for n := rng.IntN(3) * (1 + rng.IntN(3)); n > 0 && len(text) > 1; n-- {
		at := 1 + rng.IntN(len(text)-1)
		if rng.IntN(3) == 0 {
			at = len(text) - 1
		}
		parts, text = append(parts, text[:at]), text[at:]
	}
	return append(parts, text)
}
