package peer

import (
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against unintended changes of which frames are rejected, and of the result
// codes and messages.
func TestRefusalsOfFrames(t *testing.T) {
	body, err := cbor.Marshal("text")
	assert.NilError(t, err)
	frame := func(e Envelope) []byte {
		encoded, err := cbor.Marshal(e)
		assert.NilError(t, err)
		return encoded
	}
	var out strings.Builder
	for _, c := range []struct {
		name  string
		frame []byte
	}{
		{"newer protocol version", frame(Envelope{Version: ProtocolVersion + 1, Kind: "note", From: "vm", Body: body})},
		{"no sender", frame(Envelope{Version: ProtocolVersion, Kind: "note", Body: body})},
		{"not CBOR", []byte("GET / HTTP/1.1")},
		{"too large", make([]byte, maxFrameBytes+1)},
	} {
		_, err := decodeEnvelope(c.frame)
		assert.Assert(t, err != nil, c.name)
		out.WriteString(c.name + ": " + withoutCause(err) + "\n")
	}
	out.WriteString("no certificate: " + withoutCause(verifyName(nil, "vm")) + "\n")
	golden.Assert(t, out.String(), "refusals.golden")
}

// withoutCause removes the text of the wrapped error, which may come from a library.
func withoutCause(err error) string {
	text := err.Error()
	if cause := errors.Unwrap(err); cause != nil {
		text = strings.TrimSuffix(text, ": "+cause.Error())
	}
	return text
}
