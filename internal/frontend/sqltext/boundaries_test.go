package sqltext

import (
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against statements that the upstream runs and that are taken for a part of a string, a
// comment or a function body, and against the reverse.
func TestStatementBoundaries(t *testing.T) {
	for sql, want := range map[string][]Kind{
		"select 1 as a$b$c; delete from t; select 2 as a$b$c":   {Read, Write, Read},
		"select 1 as a$$; delete from t where b = $$x$$":        {Read, Write},
		"select $1a$x$; delete from t; select 2 as a$x$":        {Read, Write, Read},
		"select $1; delete from t":                              {Read, Write},
		"select 1$x$; delete from t; $x$":                       {Read},
		"select 1 -- x\r; delete from t":                        {Read, Write},
		"select 1 -- x\n; delete from t":                        {Read, Write},
		"select E'a'\n'\\''; delete from t --'":                 {Read, Write},
		"select E'a' -- b\n '\\''; delete from t --'":           {Read, Write},
		"select E'a'\n'\\'; delete from t; --'":                 {Read},
		"select E'a' '\\''; delete from t --'":                  {Read},
		"select 'a'\n'\\''; delete from t --'":                  {Read},
		"select begin atomic from t; delete from t":             {Read, Write},
		"create function f() begin atomic select 1; end; begin": {Write, Begin},
		"select e$'x'; delete from t":                           {Read, Write},
		"select 'a''b;'; delete from t":                         {Read, Write},
		"select \"a;\"\"b\"; delete from t":                     {Read, Write},
		"select 1a$x$; delete from t; $x$":                      {Unsupported},
		"select 0x1f$x$; delete from t; $x$":                    {Unsupported},
		"rollbac\u212a":                                         {Write},
	} {
		var got []Kind
		for _, s := range Parse(sql) {
			got = append(got, s.Kind)
		}
		assert.DeepEqual(t, got, want)
	}
}

// Guards against a data-modifying WITH that is sent to a replica.
func TestWithInParentheses(t *testing.T) {
	for sql, want := range map[string]Kind{
		"(with a as (delete from t returning *) select * from a)":             Write,
		"((with a as (delete from t returning *) select * from a) limit 1)":   Write,
		"(with a as (select 1) select * from a)":                              Read,
		"explain analyze (with a as (insert into t select 1) select 1)":       Write,
		"copy ((with a as (delete from t returning *) table a)) to stdout":    Write,
		"(select 1) union (select 2)":                                         Read,
		"select '1'::timestamp with time zone, (delete) from t":               Read,
		"(with a as (select 1 for update) select * from a) union all table t": Write,
	} {
		assert.Equal(t, Parse(sql)[0].Kind, want, sql)
	}
}

// Guards against a client that occupies a VM with one string of very many parts, whose text would
// be copied again for each of them.
func TestStringOfManyPartsIsCopiedOnce(t *testing.T) {
	const parts = 100_000
	text := "select E'a'" + strings.Repeat("\n'a'", parts)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	assert.Equal(t, len(Parse(text)), 1)
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 64<<20, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
}
