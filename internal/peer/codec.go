package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// maxFrameBytes is the maximum size of a frame. It must hold a configuration, which
// the platform limits to 1 MB, plus overhead.
const maxFrameBytes = 2 << 20

// maxNameBytes limits the length of names, so that a peer cannot inflate counters and
// logs.
const maxNameBytes = 255

// decodeMode accepts strings that are not UTF-8, as the encoder does.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 16,
		MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// kindHello is the kind of the first frame that each side of a connection sends.
const kindHello Kind = "hello"

// kindDetector is the kind of failure detector messages and their piggybacked
// payloads.
const kindDetector Kind = "detector"

// payload is the encoded form of one piggybacked payload.
type payload struct {
	Kind Kind   `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// detectorBody is the body of kindDetector.
type detectorBody struct {
	Message  detector.Message `cbor:"1,keyasint"`
	Payloads []payload        `cbor:"2,keyasint,omitempty"`
}

// Decode decodes a message body into a value and enforces the limits of the mesh.
// Errors carry MessageMalformed.
func Decode(body []byte, into any) error {
	if err := decodeMode.Unmarshal(body, into); err != nil {
		return resultcode.Wrap(err, resultcode.MessageMalformed, "cannot decode a message body")
	}
	return nil
}

// decodeEnvelope decodes one frame. Errors carry MessageMalformed or
// MessageVersion. The version is checked before the rest of the frame is decoded,
// because another version may use a different format.
func decodeEnvelope(frame []byte) (Envelope, error) {
	var head struct {
		Version int `cbor:"1,keyasint"`
	}
	if len(frame) > maxFrameBytes {
		return Envelope{}, resultcode.New(resultcode.MessageMalformed, "frame of %d bytes exceeds the limit", len(frame))
	}
	if err := Decode(frame, &head); err != nil {
		return Envelope{}, err
	}
	if head.Version != ProtocolVersion {
		return Envelope{}, resultcode.New(resultcode.MessageVersion, "protocol version %d, want %d", head.Version, ProtocolVersion)
	}
	var e Envelope
	if err := Decode(frame, &e); err != nil {
		return Envelope{}, err
	}
	if e.Kind == "" || len(e.Kind) > maxNameBytes || e.From == "" || len(e.From) > maxNameBytes || len(e.Body) == 0 {
		return Envelope{}, resultcode.New(resultcode.MessageMalformed, "envelope without a valid kind, sender or body")
	}
	return e, nil
}
