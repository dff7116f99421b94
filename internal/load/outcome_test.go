package load

import (
	"io"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// A misread refusal would hide false "not run" answers and wrongful refusals.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		err     error
		outcome Outcome
		code    resultcode.Code
	}{
		{&pgconn.PgError{Code: "53400", Detail: "RW1008 rate_exceeded; not run"}, NotRun, resultcode.RateExceeded},
		{&pgconn.PgError{Code: "08007", Detail: "RW1012 outcome_unknown; outcome unknown"}, Unknown, resultcode.OutcomeUnknown},
		{&pgconn.PgError{Code: "25006", Message: "read-only"}, Failed, 0},
		{io.ErrUnexpectedEOF, Unknown, 0},
	} {
		outcome, code, _, _ := classify(c.err)
		assert.Equal(t, outcome, c.outcome, "%v", c.err)
		assert.Equal(t, code, c.code, "%v", c.err)
	}
}

// The process must end with an error for a violation, a fault that was not carried
// out, and a run in which nothing was answered.
func TestBroken(t *testing.T) {
	answered := Measures{Answered: 1}
	assert.Assert(t, !(&Result{Measures: answered}).Broken())
	assert.Assert(t, (&Result{Measures: answered, Violations: []Violation{{}}}).Broken())
	assert.Assert(t, (&Result{Measures: answered, Events: []Event{{Error: "no VM"}}}).Broken())
	assert.Assert(t, (&Result{}).Broken())
}

// A symbolic target that stays unresolved would make a fault fail on one installation.
func TestResolve(t *testing.T) {
	for _, name := range Names() {
		s, err := Embedded(name)
		assert.NilError(t, err)
		for _, cfg := range []fleet.Config{fleet.Testeno(), fleet.LoneStar()} {
			resolved := s.resolve(cfg)
			for _, f := range resolved.Faults {
				for _, symbol := range []string{"database-", "zone-", "organisation-"} {
					assert.Assert(t, !strings.HasPrefix(f.Target, symbol), "%s: %s", name, f.Target)
				}
			}
			for organisation := range resolved.Organisations {
				assert.Assert(t, !strings.HasPrefix(string(organisation), "organisation-"), "%s: %s", name, organisation)
			}
		}
	}
}
