package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
)

// typicalSequence stands for the sequence number of a link that has run for a
// while: it takes five bytes.
const typicalSequence = 1 << 20

// EncodedSize returns the size of the envelope that carries body. It is for
// capacity calculations; nothing is sent.
func EncodedSize(from Member, kind Kind, body any) (int, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return 0, err
	}
	encoded, err := cbor.Marshal(Envelope{
		Version: ProtocolVersion, Kind: kind, From: from.Name, Incarnation: from.Incarnation,
		Sequence: typicalSequence, Body: raw,
	})
	return len(encoded), err
}

// EncodedDetectorSize is EncodedSize of a detector message with one payload; kind is
// empty for none.
func EncodedDetectorSize(from Member, message detector.Message, kind Kind, body []byte) (int, error) {
	d := detectorBody{Message: message}
	if kind != "" {
		d.Payloads = []payload{{kind, body}}
	}
	return EncodedSize(from, kindDetector, d)
}
