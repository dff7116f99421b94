package load

import (
	"fmt"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// KeyBound is how long after its withdrawal a key may still be served: F = 3 s and
// the guard of 2 s of docs/design.md.
const KeyBound = 5 * time.Second

// Violation is one proved breach of a promise.
type Violation struct {
	Promise string `json:"promise"`
	// ID names the request, or the organisation for a rate.
	ID     string        `json:"id"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// judge finds the breaches of one promise.
type judge struct {
	promise string
	find    func(*History) []Violation
}

// judges lists all promises in the order in which they are reported.
var judges = []judge{
	{"stale_reads", staleReads},
	{"lost_writes", lostWrites},
	{"doubled_writes", doubledWrites},
	{"foreign_answers", foreignAnswers},
	{"false_not_run", falseNotRun},
	{"late_key_uses", lateKeyUses},
	{"over_rate", overRate},
}

// Judge returns the number of violations of every promise, and all violations.
func Judge(h *History) (map[string]int, []Violation) {
	counts := map[string]int{}
	var all []Violation
	for _, j := range judges {
		found := j.find(h)
		for i := range found {
			found[i].Promise = j.promise
		}
		counts[j.promise] = len(found)
		all = append(all, found...)
	}
	return counts, all
}

// each collects the violation that check finds in a record; an empty text means none.
func each(h *History, check func(*Record) string) []Violation {
	var found []Violation
	for i := range h.Records {
		r := &h.Records[i]
		if text := check(r); text != "" {
			detail := fmt.Sprintf("%s of session %d (%s, %s) through %s: %s", r.Kind, r.Session, r.Organisation, r.Group, r.VM, text)
			found = append(found, Violation{ID: r.ID, At: r.Done, Detail: detail})
		}
	}
	return found
}

// staleReads finds reads that miss an acknowledged write of their own session.
func staleReads(h *History) []Violation {
	return each(h, func(r *Record) string {
		if r.Outcome != OK || r.Kind != Read || r.Seen >= r.Needed || r.Fault != "" {
			return ""
		}
		return fmt.Sprintf("saw row %d where row %d was acknowledged", r.Seen, r.Needed)
	})
}

// lostWrites finds acknowledged writes that the final primary does not hold.
func lostWrites(h *History) []Violation {
	return each(h, func(r *Record) string {
		if r.Outcome != OK || !r.Kind.writes() || h.Executions[r.ID].Present {
			return ""
		}
		return fmt.Sprintf("acknowledged row %d is not in the final primary", r.Number)
	})
}

// doubledWrites finds writes that took effect more than once.
func doubledWrites(h *History) []Violation {
	return each(h, func(r *Record) string {
		if n := h.Executions[r.ID].Committed; r.Kind.writes() && n > 1 {
			return fmt.Sprintf("committed %d times, after earlier refusals %v", n, r.Earlier)
		}
		return ""
	})
}

// foreignAnswers finds answers that are not the whole answer to their own request.
func foreignAnswers(h *History) []Violation {
	return each(h, func(r *Record) string {
		switch {
		case r.Outcome != OK:
			return ""
		case r.Fault != "":
			return r.Fault
		case r.Echo != "" && r.Echo != r.ID:
			return "answer belongs to " + r.Echo
		case r.Rows != r.Whole:
			return fmt.Sprintf("answer has %d rows instead of %d", r.Rows, r.Whole)
		case r.Kind == Read && r.Seen > r.Tried:
			return fmt.Sprintf("saw row %d where at most row %d was written", r.Seen, r.Tried)
		}
		return ""
	})
}

// falseNotRun finds writes that were refused as not run and took effect. Reads have
// no effect, and a transaction that was rolled back has none either.
func falseNotRun(h *History) []Violation {
	return each(h, func(r *Record) string {
		e := h.Executions[r.ID]
		if r.Outcome != NotRun || !r.Kind.writes() || (e.Committed == 0 && !e.Present) {
			return ""
		}
		return fmt.Sprintf("refused with %s %s but committed", r.Code, r.SQLState)
	})
}

// lateKeyUses finds requests that were sent more than KeyBound after the withdrawal
// of their key and served.
func lateKeyUses(h *History) []Violation {
	return each(h, func(r *Record) string {
		for _, w := range h.Withdrawals {
			late := r.Sent - w.Accepted
			if r.Outcome == OK && r.Organisation == w.Organisation && r.Key == w.Key && late > KeyBound {
				return fmt.Sprintf("served %s after the withdrawal of key %s", late, w.Key)
			}
		}
		return ""
	})
}

// wrongful reports whether a refusal for the rate is wrongful, given whether the
// offered load was inside the rate.
func wrongful(r *Record, inside bool) bool {
	return r.Outcome == NotRun && r.Code == resultcode.RateExceeded && inside
}
