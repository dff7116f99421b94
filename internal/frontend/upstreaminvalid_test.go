package frontend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic and against messages of an upstream with an invalid body that are taken
// for a response.
func TestInvalidMessagesOfUpstreams(t *testing.T) {
	ready := frame('Z', []byte{'I'})
	for name, response := range map[string][]byte{
		"CommandComplete without a body":  append(frame('C', nil), ready...),
		"CommandComplete without its NUL": append(frame('C', []byte("SELECT 1")), ready...),
		"CommandComplete with two texts":  append(frame('C', []byte("SELECT 1\x00x\x00")), ready...),
		"unknown transaction status":      append(tagFrame("SELECT 1"), frame('Z', []byte{'x'})...),
		"ReadyForQuery without a status":  append(tagFrame("SELECT 1"), frame('Z', nil)...),
		"ParameterStatus with a rest":     append(append(frame('S', []byte("a\x00b\x00c")), tagFrame("SELECT 1")...), ready...),
		"length below 4":                  {'C', 0, 0, 0, 3},
		"negative length":                 {'C', 0xff, 0xff, 0xff, 0xff},
		"ErrorResponse above the limit":   frame('E', append([]byte("C22012\x00M"), make([]byte, 17<<20)...)),
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newScriptedRig(t, func(sql string) ([]byte, bool) {
				if sql == "SELECT first" {
					return append(tagFrame(sql), frame('Z', []byte{'T'})...), false
				}
				return response, false
			}, nil)
			x := r.raw()
			x.query("BEGIN", "C:BEGIN Z:T")
			x.query("SELECT first", "C:SELECT_first Z:T")
			x.query("SELECT 1", "E:40001 Z:E")
			x.query("ROLLBACK", "C:ROLLBACK Z:I")
			r.control.set(func() { assert.Assert(t, r.control.failures > 0) })
		})
	}
}
