package execution

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// Guards against a body of another kind that is run as a statement: without a text, a target or a
// transaction.
func TestIncompleteRequestsAreInvalid(t *testing.T) {
	complete := Request{Target: Target{Address: "127.0.0.1:1"}, Text: "READ a"}
	for _, mode := range []Mode{Single, LeaderRead, Begin, Continue} {
		r := complete
		r.Mode = mode
		if mode >= Begin {
			r.TransactionID = "t"
		}
		assert.Assert(t, r.Valid(), "%v", mode)
		for _, change := range []func(*Request){
			func(r *Request) { r.Mode = 0 }, func(r *Request) { r.Mode = Continue + 1 }, func(r *Request) { r.Text = "" },
			func(r *Request) { r.Target.Address = "" },
			func(r *Request) {
				r.TransactionID = map[bool]string{true: "", false: "t"}[mode >= Begin]
			},
		} {
			changed := r
			change(&changed)
			assert.Assert(t, !changed.Valid(), "%+v", changed)
		}
	}
	for _, body := range [][]byte{{0xa0}, {0xf6}} {
		var r Request
		assert.NilError(t, cbor.Unmarshal(body, &r))
		assert.Assert(t, !r.Valid())
	}
}

// Guards against an outcome or a reason of a newer VM that makes this one panic when it logs it.
func TestUnknownValuesHaveNames(t *testing.T) {
	for i := range 256 {
		assert.Assert(t, Reason(i).String() != "")
		assert.Assert(t, Outcome(i).String() != "" || i == 0)
	}
	assert.Assert(t, !Result{}.Valid() && !Result{Outcome: Unknown + 1}.Valid())
	for _, outcome := range []Outcome{Done, NotRun, Failed, Unknown} {
		assert.Assert(t, Result{Outcome: outcome}.Valid())
	}
}
