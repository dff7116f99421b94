package frontend

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against blocks that begin late taking the wrong state, and against their
// first statement failing although it could run elsewhere.
func TestBeginIsSentWithTheFirstStatement(t *testing.T) {
	r := newRig(t, true, nil)
	x := r.raw()
	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		x.query("BEGIN", "C:BEGIN Z:T")
		x.query(end, "C:"+end+" Z:I")
	}
	assert.Equal(t, len(r.primary.statements()), 0)
	x.query("BEGIN ISOLATION LEVEL REPEATABLE READ", "C:BEGIN Z:T")
	x.query("FAIL", "E:22012 Z:E")
	x.query("COMMIT", "C:ROLLBACK Z:I")
	assert.DeepEqual(t, r.primary.statements()[:3], []string{"BEGIN isolation level repeatable read", "FAIL", "COMMIT"})
	x.query("START TRANSACTION READ ONLY", "C:BEGIN Z:T")
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:T")
	x.query("INSERT a", "E:25006 Z:E")
	x.query("ROLLBACK", "C:ROLLBACK Z:I")
	assert.Equal(t, r.replica.count("SELECT 1"), 1)

	// One batch with the whole block, and one in which it begins too late.
	block := func(first string, rest ...string) (batch []pgproto3.FrontendMessage) {
		for _, sql := range append([]string{first}, rest...) {
			batch = append(batch, prepare("", sql), bindTo(""), executeIt)
		}
		return append(batch, syncIt)
	}
	x.send(block("BEGIN", "INSERT b")...)
	x.want("ParseComplete BindComplete C:BEGIN ParseComplete BindComplete C:INSERT_0_1 Z:T")
	x.query("ROLLBACK", "C:ROLLBACK Z:I")
	x.send(block("SELECT 1", "BEGIN", "INSERT c", "COMMIT")...)
	x.want("ParseComplete BindComplete D:1 C:SELECT_1 ParseComplete BindComplete C:BEGIN ParseComplete BindComplete C:INSERT_0_1 ParseComplete BindComplete C:COMMIT Z:I")
	assert.Equal(t, len(r.control.confirmed), 1)

	// The first statement moves on when its connection breaks or its upstream is
	// no longer the primary; a later one cannot.
	x.query("BEGIN", "C:BEGIN Z:T")
	r.primary.setHook(once("INSERT d"))
	x.query("INSERT d", "C:INSERT_0_1 Z:T")
	r.primary.setHook(once("INSERT e"))
	x.query("INSERT e", "E:40001 Z:E")
	x.query("ROLLBACK", "C:ROLLBACK Z:I")
	good := r.control.primary
	r.control.set(func() { r.control.primary = *r.control.replica })
	r.replica.setHook(func(sql string) bool {
		r.control.set(func() { r.control.primary = good })
		return true
	})
	x.query("BEGIN", "C:BEGIN Z:T")
	x.query("INSERT f", "C:INSERT_0_1 Z:T")
	x.query("COMMIT", "C:COMMIT Z:I")
	assert.Equal(t, len(r.control.confirmed), 2)
}

// Guards against several commits in one request being acknowledged without their
// own confirmations.
func TestEveryCommitIsConfirmed(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.query("BEGIN; INSERT a; COMMIT; INSERT b; SELECT 1", "C:BEGIN C:INSERT_0_1 C:COMMIT C:INSERT_0_1 RowDescription D:1 C:SELECT_1 Z:I")
	assert.Equal(t, len(r.control.confirmed), 2)
	var batch []pgproto3.FrontendMessage
	for _, sql := range []string{"BEGIN", "INSERT c", "COMMIT", "INSERT d"} {
		batch = append(batch, prepare("", sql), bindTo(""), executeIt)
	}
	x.send(append(batch, syncIt)...)
	for _, tag := range []string{"BEGIN", "INSERT_0_1", "COMMIT", "INSERT_0_1"} {
		x.want("ParseComplete BindComplete C:" + tag)
	}
	x.want("Z:I")
	assert.Equal(t, len(r.control.confirmed), 4)
}
