package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

func readNote(t testing.TB, path string) []byte {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return data
}

func notePaths(t testing.TB) []string {
	paths, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	return paths
}

// Guards against accepting invalid notes, rejecting valid ones, reporting problems
// without their line, and a rejected note that changes part of the configuration.
// The notes are applied in order, each to the last accepted configuration.
func TestNotes(t *testing.T) {
	current := Empty()
	for _, path := range notePaths(t) {
		t.Run(filepath.Base(path), func(t *testing.T) {
			before := Encode(current)
			var out strings.Builder
			note, problems := ParseNote(filepath.Base(path), readNote(t, path))
			var next *Configuration
			var changes []Change
			if note != nil {
				next, changes, problems = Apply(current, note)
			}
			for _, change := range changes {
				fmt.Fprintln(&out, change)
			}
			if len(problems) > 0 {
				fmt.Fprintln(&out, problems.Error())
			}
			assert.Assert(t, bytes.Equal(before, Encode(current)), "Apply modified its input configuration")
			assert.Equal(t, next == nil, strings.Contains(path, "bad"))
			if next != nil {
				current = next
				text, err := json.MarshalIndent(next, "", "  ")
				assert.NilError(t, err)
				fmt.Fprintf(&out, "%s\n", text)
			}
			golden.Assert(t, out.String(), strings.TrimSuffix(filepath.Base(path), ".ini")+".golden")
		})
	}
}

// Guards against encodings that differ between VMs or do not decode to the same
// configuration.
func TestEncodingIsDeterministic(t *testing.T) {
	note, problems := ParseNote("n", readNote(t, "testdata/01-good-first.ini"))
	assert.Equal(t, len(problems), 0)
	var first []byte
	for range 20 {
		c, _, problems := Apply(Empty(), note)
		assert.Equal(t, len(problems), 0)
		if first == nil {
			first = Encode(c)
		}
		assert.Assert(t, bytes.Equal(first, Encode(c)))
		decoded, err := Decode(first)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, c)
	}
	_, err := Decode(first[:len(first)/2])
	assert.ErrorContains(t, err, "decompress")
}

// Guards against a note or a configuration that exceeds the size limit of the platform.
func TestSizeLimits(t *testing.T) {
	_, problems := ParseNote("n", bytes.Repeat([]byte("#"), MaxNoteBytes+1))
	assert.Equal(t, problems[0].Code, resultcode.NoteTooLarge)

	c := Empty()
	keys := map[string]string{}
	for i := range 30_000 { // a random hash does not compress below 32 bytes
		sum := hash(strconv.Itoa(i))
		keys[sum[:40]] = sum
	}
	c.Organisations["o"] = Organisation{Keys: keys}
	note, problems := ParseNote("n", []byte("[note]\ntitle = t\n[add organisation p]\nrate = 1\nburst = 1\ndatabases = d\n[add database d]\n"))
	assert.Equal(t, len(problems), 0)
	_, _, problems = Apply(Empty(), note)
	assert.Equal(t, len(problems), 0)
	_, _, problems = Apply(c, note)
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Code, resultcode.NoteTooLarge)
}

// Guards against panics of the parser, problems with a line outside the file, and
// accepted notes whose configuration changes when it is encoded and decoded.
func FuzzParseNote(f *testing.F) {
	for _, path := range notePaths(f) {
		f.Add(readNote(f, path))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		note, problems := ParseNote("n", data)
		assert.Equal(t, note == nil, len(problems) > 0)
		lines := bytes.Count(data, []byte("\n")) + 1
		for _, problem := range problems {
			assert.Assert(t, problem.Line >= 0 && problem.Line <= lines && problem.Text != "")
		}
		if note == nil {
			return
		}
		if next, changes, _ := Apply(Empty(), note); next != nil {
			assert.Assert(t, len(changes) > 0)
			decoded, err := Decode(Encode(next))
			assert.NilError(t, err)
			assert.Equal(t, len(Diff(next, decoded)), 0)
		}
	})
}

func hash(s string) string {
	sum := HashKey(s)
	return fmt.Sprintf("%x", sum[:])
}

// Guards against changes that Diff misses or reports twice. Each case changes one
// field or item and expects exactly that change.
func TestDiffFindsEachField(t *testing.T) {
	make := func() *Configuration {
		c := Empty()
		c.Zones["z"] = Zone{Region: "r", State: ZoneInService, Weight: 1}
		c.Databases["d"] = Database{Upstreams: map[ident.UpstreamName]Upstream{"u": {Zone: "z", Slots: 1}, "v": {Zone: "z"}}}
		c.Organisations["o"] = Organisation{Rate: 1, Databases: []ident.GroupName{"d"}, Keys: map[string]string{"k": "1", "l": "2"}}
		return c
	}
	upstream := func(c *Configuration, change func(*Upstream)) {
		u := c.Databases["d"].Upstreams["u"]
		change(&u)
		c.Databases["d"].Upstreams["u"] = u
	}
	organisation := func(c *Configuration, change func(*Organisation)) {
		o := c.Organisations["o"]
		change(&o)
		c.Organisations["o"] = o
	}
	for want, change := range map[string]func(*Configuration){
		"change zone z":              func(c *Configuration) { c.Zones["z"] = Zone{Region: "r", State: ZoneOutOfService, Weight: 1} },
		"change database d":          func(c *Configuration) { d := c.Databases["d"]; d.Open = true; c.Databases["d"] = d },
		"add upstream d/w":           func(c *Configuration) { c.Databases["d"].Upstreams["w"] = Upstream{} },
		"withdraw upstream d/u":      func(c *Configuration) { delete(c.Databases["d"].Upstreams, "u") },
		"change upstream d/u":        func(c *Configuration) { upstream(c, func(u *Upstream) { u.Connections = 2 }) },
		"change upstream d/u (agent": func(c *Configuration) { upstream(c, func(u *Upstream) { u.Agent = "1" }) },
		"change organisation o":      func(c *Configuration) { organisation(c, func(o *Organisation) { o.Burst = 2 }) },
		"change organisation o (databases": func(c *Configuration) {
			organisation(c, func(o *Organisation) { o.Databases = []ident.GroupName{"d", "e"} })
		},
		"change key o/k":   func(c *Configuration) { c.Organisations["o"].Keys["k"] = "3" },
		"withdraw key o/l": func(c *Configuration) { delete(c.Organisations["o"].Keys, "l") },
	} {
		next := make()
		change(next)
		changes := Diff(make(), next)
		assert.Equal(t, len(changes), 1, want)
		assert.Assert(t, strings.HasPrefix(changes[0].String(), want), "%s, want %s", changes[0], want)
	}
	assert.Equal(t, len(Diff(make(), make())), 0)
}
