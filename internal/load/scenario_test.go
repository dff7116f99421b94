package load

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// A scenario that does not parse would only be noticed by the person who needs it.
func TestEmbeddedScenariosParse(t *testing.T) {
	assert.Assert(t, len(Names()) > 0)
	for _, name := range Names() {
		s, err := Embedded(name)
		assert.NilError(t, err, name)
		assert.Assert(t, s.Title != "", name)
		for _, f := range s.Faults {
			assert.Assert(t, f.At+f.For <= s.Duration, "%s: fault %s lasts longer than the load", name, f.Name)
		}
	}
}

// Mistakes must be reported with their line, not ignored.
func TestScenarioMistakes(t *testing.T) {
	valid := "[scenario]\ninstallation = testeno\nduration = 1s\n"
	for addition, problem := range map[string]string{
		"slow = 3":                                 ":4: RW3002",
		"load = many":                              ":4: RW3003",
		"baselines = none":                         ":4: RW3003",
		"[fault a]\nat = 1s":                       ":4: RW3004",
		"[fault a]\naction = explode":              ":5: RW3003",
		"[fault a]\naction = overload\nvalue = no": ":4: RW3003",
		"[weather]":                                ":4: RW3002",
	} {
		_, err := Parse("test.ini", []byte(valid+addition))
		assert.Assert(t, err != nil && strings.Contains(err.Error(), problem), "%s: %v", addition, err)
	}
	_, err := Parse("test.ini", []byte("[scenario]\n"))
	assert.ErrorContains(t, err, "no installation")
	assert.ErrorContains(t, err, "no duration")
}

// Guards the whole path: real requests are answered, and no judge complains about a
// run without faults. It judges no time.
func TestShortScenario(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a fleet")
	}
	s, err := Parse("short.ini", []byte("[scenario]\ninstallation = testeno\nduration = 1s\nsettle = 200ms\nsessions = 4\nload = 0.1\ntransactions = 0.1\n"))
	assert.NilError(t, err)
	result, err := Run(t.Context(), s, Options{Seed: 1, Log: zerolog.Nop()})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
	for _, kind := range []Kind{Read, Write} {
		assert.Assert(t, result.Measures.Latencies[kind].Answered > 0, "no %s was answered: %v", kind, result.Measures.Outcomes)
	}
	for _, r := range result.History.Records {
		if r.Outcome == OK && r.Kind.writes() {
			assert.Assert(t, result.History.Executions[r.ID].Present, r.ID)
		}
	}
}
