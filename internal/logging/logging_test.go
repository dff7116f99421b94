package logging

import (
	"bytes"
	"errors"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against events that span lines or fields that cannot be split apart.
func TestEventIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info")
	assert.NilError(t, err)
	log.Debug().Msg("dropped below the level")
	log.Warn().Str("zone", "ruse-a").Int("callers", 3).Err(errors.New("broken\npipe")).Msg("caller closed")
	want := regexp.MustCompile(`^time=\S+ level=warn event="caller closed" error="broken\\npipe" callers=3 zone=ruse-a\n$`)
	assert.Assert(t, want.MatchString(out.String()), out.String())
}

// Guards against a misspelt level that silently logs nothing.
func TestUnknownLevelIsRefused(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud")
	assert.Assert(t, err != nil)
}
