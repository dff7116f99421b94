package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
)

// typicalSequence represents the sequence number of a long-running process, which is
// encoded in five bytes.
const typicalSequence = 1 << 20

// EncodedSize returns the size in bytes of a message with its envelope. It is used for
// capacity calculations and sends nothing.
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

// EncodedDetectorSize returns the EncodedSize of a detector message with one payload,
// or without a payload if kind is empty.
func EncodedDetectorSize(from Member, message detector.Message, kind Kind, body []byte) (int, error) {
	d := detectorBody{Message: message}
	if kind != "" {
		d.Payloads = []payload{{kind, body}}
	}
	return EncodedSize(from, kindDetector, d)
}
