package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a page that differs from the settings that the program accepts.
func TestPageMatchesTable(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "configuration.md")
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(Page()), 0o644))
	}
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page())
}

// Guards against a file of which only the first problem is reported, and
// against a problem without its line.
func TestProblemsAreReportedTogether(t *testing.T) {
	s, problems := Load(filepath.Join("testdata", "bad.ini"))
	assert.Assert(t, s == nil)
	golden.Assert(t, problems.Error()+"\n", "bad.golden")
	assert.Assert(t, !strings.Contains(problems.Error(), "swordfish"))
}

// Guards against a valid file being refused, a wrong default, and a password
// that appears in a log or dump.
func TestGoodFile(t *testing.T) {
	s, problems := Load(filepath.Join("testdata", "good.ini"))
	assert.Equal(t, len(problems), 0, problems.Error())
	dump, err := json.MarshalIndent(s, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(dump)+"\n", "good.golden")
	for _, printed := range []string{string(dump), fmt.Sprintf("%v %+v %#v", s, *s, *s)} {
		assert.Assert(t, !strings.Contains(printed, "swordfish"))
	}
	assert.Equal(t, s.Upstreams.Password.Reveal(), "swordfish;1")
}

// Guards against combinations that would listen without the TLS that was asked for.
func TestCombinations(t *testing.T) {
	good, err := os.ReadFile(filepath.Join("testdata", "good.ini"))
	assert.NilError(t, err)
	for _, change := range [][3]string{
		{"tls_key = /etc/rosemarywall/callers.key\n", "", "tls_certificate and tls_key need each other"},
		{"tls_key = /etc/rosemarywall/callers.key\ntls_certificate = /etc/rosemarywall/callers.pem\n", "", "tls_required needs tls_certificate"},
		{"advertise = 192.0.2.4:7100\n", "", "advertise is needed"},
	} {
		text := strings.Replace(string(good), change[0], change[1], 1)
		assert.Assert(t, text != string(good))
		_, problems := Parse("x.ini", []byte(text))
		assert.Equal(t, len(problems), 1)
		assert.ErrorContains(t, problems, change[2])
	}
}
