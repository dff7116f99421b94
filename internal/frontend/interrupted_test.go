package frontend

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against a message that is lost, cut or run twice when an order interrupts the wait for
// its rest, at every byte.
func TestInterruptedMessageRunsOnce(t *testing.T) {
	encode := func(list ...pgproto3.FrontendMessage) (out []byte) {
		for _, m := range list {
			var err error
			out, err = m.Encode(out)
			assert.NilError(t, err)
		}
		return out
	}
	inputs := map[string]struct {
		input []byte
		want  string
	}{
		"query": {encode(&pgproto3.Query{String: "INSERT a"}), "C:INSERT_0_1 Z:I"},
		"batch": {encode(prepare("", "INSERT a"), bindTo(""), executeIt, syncIt), "ParseComplete BindComplete C:INSERT_0_1 Z:I"},
	}
	orders := map[string]struct {
		give func(r *rig)
		ends bool
	}{
		"reload": {func(r *rig) { r.server.Shed(); r.server.Shed() }, true},
		"stop":   {func(r *rig) { r.drain() }, true},
		"cancel": {func(r *rig) {
			r.server.mu.Lock()
			var keys []cancelKey
			for key := range r.server.cancels {
				keys = append(keys, key)
			}
			r.server.mu.Unlock()
			for _, key := range keys {
				r.server.cancel(append([]byte{4, 0xd2, 0x16, 0x2e}, key[:]...))
			}
		}, false},
	}
	for name, in := range inputs {
		for order, o := range orders {
			t.Run(fmt.Sprint(name, " ", order), func(t *testing.T) {
				for cut := 1; cut < len(in.input); cut++ {
					r := newRig(t, false, nil)
					x := r.raw()
					x.write(in.input[:cut])
					o.give(r)
					x.write(in.input[cut:])
					x.want(in.want)
					if o.ends {
						x.wantEnd()
					} else {
						x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
					}
					assert.Equal(t, r.primary.count("INSERT a"), 1, "cut at %d", cut)
				}
			})
		}
	}
}
