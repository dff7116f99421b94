package frontend

import "testing"

// Guards against a transaction that ends without an error, because the upstream ended between
// CommandComplete and ReadyForQuery.
func TestUpstreamEndsBeforeReadyForQuery(t *testing.T) {
	r, _ := newScriptedRig(t, func(sql string) ([]byte, bool) {
		if sql == "SELECT first" {
			return append(tagFrame(sql), frame('Z', []byte{'T'})...), false
		}
		return tagFrame("SELECT 1"), true
	}, nil)
	x := r.raw()
	x.query("BEGIN", "C:BEGIN Z:T")
	x.query("SELECT first", "C:SELECT_first Z:T")
	x.query("SELECT 1", "E:40001 Z:E")
	x.query("ROLLBACK", "C:ROLLBACK Z:I")
}
