package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against untrusted frames that crash the decoder, that are accepted without a
// kind, sender or body, or that are rejected without a result code.
func FuzzDecodeEnvelope(f *testing.F) {
	body, err := cbor.Marshal(detectorBody{
		Message:  detector.Message{Type: detector.Ping, Probe: 3, Records: []detector.Record{{Member: Member{Name: "vm-1", Zone: "a"}}}},
		Payloads: []payload{{Kind: "note", Body: []byte("v7")}},
	})
	assert.NilError(f, err)
	frame, err := cbor.Marshal(Envelope{Version: ProtocolVersion, Kind: kindDetector, From: "vm-1", Incarnation: 2, Sequence: 9, Body: body})
	assert.NilError(f, err)
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Fuzz(func(t *testing.T, bytes []byte) {
		e, err := decodeEnvelope(bytes)
		if err != nil {
			code := resultcode.Of(err)
			assert.Assert(t, code == resultcode.MessageMalformed || code == resultcode.MessageVersion)
			return
		}
		assert.Assert(t, e.Version == ProtocolVersion && e.Kind != "" && e.From != "" && len(e.Body) > 0)
		var decoded detectorBody
		if err := Decode(e.Body, &decoded); err != nil {
			assert.Assert(t, resultcode.Is(err, resultcode.MessageMalformed))
		}
	})
}
