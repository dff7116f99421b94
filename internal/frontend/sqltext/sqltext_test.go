package sqltext

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against writes classified as reads, reads classified as writes, and
// statements with unsupported session state that are not rejected.
func TestClassify(t *testing.T) {
	for sql, want := range map[string]Kind{
		"":                                       Empty,
		" ; -- nothing":                          Empty,
		"select 1":                               Read,
		"/* a /* nested */ b */ SELECT 1":        Read,
		"(select 1) union (select 2)":            Read,
		"values (1)":                             Read,
		"table t":                                Read,
		"with a as (select 1) select * from a":   Read,
		"select 'for update', \"insert\" from t": Read,
		"select $$ into t; $$":                   Read,
		"select $x$ $$ for update $x$, $1":       Read,
		"select e'it\\'s for update'":            Read,
		"select * from t for no key update":      Write,
		"select * from t for share":              Write,
		"select * into b from t":                 Write,
		"select * into temp b from t":            Unsupported,
		"with a as (delete from t returning *) select * from a":  Write,
		"with a as (select 1) insert into t select * from a":     Write,
		"with a as (select 1 as update) select * from a":         Read,
		"insert into t values (1) on conflict do update set a=1": Write,
		"select nextval('s')":                                 Write,
		"select pg_try_advisory_lock(1)":                      Unsupported,
		"select pg_advisory_xact_lock(1)":                     Write,
		"select set_config('a', 'b', true)":                   Read,
		"select set_config('a', f(1, false), false)":          Unsupported,
		"explain select 1":                                    Read,
		"explain insert into t values (1)":                    Read,
		"explain (analyze, verbose) insert into t values (1)": Write,
		"explain analyze select 1":                            Read,
		"copy t from stdin":                                   CopyIn,
		"copy t (a, b) from stdin with (format binary)":       CopyIn,
		"copy t to stdout":                                    CopyOut,
		"copy (select a from b) to stdout":                    CopyOut,
		"copy (delete from b returning a) to stdout":          Write,
		"copy t from '/tmp/x'":                                Write,
		"begin isolation level serializable, read only":       Begin,
		"start transaction":                                   Begin,
		"end":                                                 Commit,
		"commit prepared 'x'":                                 Unsupported,
		"abort":                                               Rollback,
		"rollback to savepoint a":                             TransactionControl,
		"savepoint a":                                         TransactionControl,
		"set transaction read only":                           TransactionControl,
		"set transaction read write":                          Unsupported,
		"set transaction_read_only = off":                     Unsupported,
		"set role = 'x'":                                      Unsupported,
		"set a.b to 'c'":                                      Set,
		"set session authorization x":                         Unsupported,
		"set standard_conforming_strings = off":               Unsupported,
		"reset all":                                           Reset,
		"discard all":                                         Reset,
		"show timezone":                                       Show,
		"deallocate prepare a":                                Deallocate,
		"prepare transaction 'x'":                             Unsupported,
		"create local temporary table t (a int)":              Unsupported,
		"create or replace temp view v as select 1":           Unsupported,
		"create table temp_x (temp int)":                      Write,
		"listen c":                                            Unsupported,
		"notify c":                                            Write,
		"declare c cursor for select 1":                       Read,
		"declare c cursor with hold for select 1":             Unsupported,
		"truncate t":                                          Write,
		"do $$ begin perform 1; end $$":                       Write,
		"create function f() returns int begin atomic select case when true then 1 end; select 2; end": Write,
	} {
		list := Parse(sql)
		assert.Equal(t, len(list), 1, sql)
		assert.Equal(t, list[0].Kind, want, sql)
	}
}

// Guards against settings recorded under a wrong name or with a wrong value.
func TestSettings(t *testing.T) {
	for sql, want := range map[string]Statement{
		"SET TIME ZONE 'UTC'":         {Kind: Set, Name: "timezone", Value: "'UTC'", Literal: "UTC"},
		"set Names 'utf8'":            {Kind: Set, Name: "client_encoding", Value: "'utf8'", Literal: "utf8"},
		"SET LOCAL a = on":            {Kind: Set, Name: "a", Value: "on", Literal: "on", Local: true},
		"SET search_path TO a, \"B\"": {Kind: Set, Name: "search_path", Value: `a, "B"`},
		"SET A.\"B\" = -1":            {Kind: Set, Name: "a.b", Value: "-1", Literal: "-1"},
		"SET SESSION x TO DEFAULT":    {Kind: Set, Name: "x", Value: "DEFAULT", Literal: "default", Default: true},
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY":                      {Kind: Set, Name: "default_transaction_read_only", Value: "on", Literal: "on"},
		"set session characteristics as transaction isolation level read committed": {Kind: Set, Name: "default_transaction_isolation", Value: "'read committed'", Literal: "read committed"},
		"RESET a.b":                      {Kind: Reset, Name: "a.b"},
		"SET x = E'a''b' /* comment */ ": {Kind: Set, Name: "x", Value: "E'a''b'", Literal: "a'b"},
	} {
		got := Parse(sql)[0]
		got.Start, got.End = 0, 0
		assert.DeepEqual(t, got, want)
	}
}

// Guards against deferring a BEGIN that may fail: the statements after it would
// run outside a transaction.
func TestCanonicalBegin(t *testing.T) {
	for sql, want := range map[string]string{
		"begin": "BEGIN", "BEGIN WORK": "BEGIN", "start transaction": "BEGIN", "start work": "", "start": "", "begin;": "BEGIN",
		"begin transaction isolation level repeatable read, read only": "BEGIN isolation level repeatable read read only",
		"begin read write not deferrable":                              "BEGIN read write not deferrable",
		"begin isolation level serializable":                           "", "begin read": "", "begin , read only": "", "begin 'x'": "", "begin read onlyx": "",
	} {
		assert.Equal(t, Parse(sql)[0].Value, want, sql)
	}
}

// Guards against sending a multi-statement query to a replica if one statement
// writes, and to the primary if none does.
func TestAllReadOnly(t *testing.T) {
	for sql, want := range map[string]bool{
		"select 1; select 2":                                  true,
		"select 1; insert into t values (';')":                false,
		"begin read only; select 1; savepoint a; end":         true,
		"begin read only; select 1; end; savepoint a":         false,
		"begin; select 1; commit":                             false,
		"start transaction read only, read write":             false,
		"begin read only; commit and chain; select 1;":        false,
		"set default_transaction_read_only = off; select f()": false,
		"set a = 1; select 1":                                 true,
	} {
		assert.Equal(t, AllReadOnly(Parse(sql)), want, sql)
	}
}

// Guards against panics, infinite loops and statement offsets outside the input.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"select 'a", "$$", "$1$a$", "/* /*", "e'\\", "begin atomic; end;", "set a.", "copy (", "explain (", "((((", "with", "select set_config((("} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		for _, s := range Parse(sql) {
			if s.Start < 0 || s.End < s.Start || s.End > len(sql) {
				t.Fatalf("statement offsets [%d, %d) out of range for an input of %d bytes", s.Start, s.End, len(sql))
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Parse("SELECT id, name FROM orders WHERE customer = $1 ORDER BY id LIMIT 10")
	}
}
