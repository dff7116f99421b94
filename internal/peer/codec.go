package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// maxFrameBytes is the largest frame in bytes. It holds a configuration of the
// platform's value limit of 1 MB with some room.
const maxFrameBytes = 2 << 20

// maxNameBytes limits names in bytes, so that a peer cannot grow counters and logs.
const maxNameBytes = 255

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 16,
		MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// hello is the first frame of a connection in each direction.
const kindHello Kind = "hello"

// kindDetector carries detector messages and their payloads.
const kindDetector Kind = "detector"

// payload is a registered piggyback.
type payload struct {
	Kind Kind   `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// detectorBody is the body of kindDetector.
type detectorBody struct {
	Message  detector.Message `cbor:"1,keyasint"`
	Payloads []payload        `cbor:"2,keyasint,omitempty"`
}

// Decode decodes the body of a message with the limits of the mesh. The error
// carries MessageMalformed.
func Decode(body []byte, into any) error {
	if err := decodeMode.Unmarshal(body, into); err != nil {
		return resultcode.Wrap(err, resultcode.MessageMalformed, "cannot decode a message body")
	}
	return nil
}

// decodeEnvelope decodes one frame. Errors carry MessageMalformed or
// MessageVersion. The version is checked before the rest of the frame, whose form
// may differ in another version.
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
