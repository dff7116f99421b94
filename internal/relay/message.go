package relay

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// ProtocolVersion is the version of the encoding of frames and bodies.
const ProtocolVersion = 1

// Kind is the type of a request.
type Kind uint8

// frame is a request, or a response if Response is set.
type frame struct {
	ID       uint64          `cbor:"1,keyasint"`
	Kind     Kind            `cbor:"2,keyasint,omitempty"`
	Response bool            `cbor:"3,keyasint,omitempty"`
	Body     cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// Failure is set in a response without a body.
	Failure Failure `cbor:"5,keyasint,omitempty"`
}

// Failure is the reason why a request has no result.
type Failure uint8

const (
	// Rejected means that the request could not be decoded, or that the VM handles too many
	// requests of the connection. It was not handled.
	Rejected Failure = iota + 1
	// Failed means that the handler failed. The request may have been handled in part.
	Failed
)

// Identity describes a VM. It is the first message that a client sends on a connection.
type Identity struct {
	Version     int                    `cbor:"1,keyasint" json:"-"`
	VM          ident.VMName           `cbor:"2,keyasint" json:"vm"`
	Incarnation ident.Incarnation      `cbor:"3,keyasint" json:"incarnation"`
	Zone        ident.AvailabilityZone `cbor:"4,keyasint" json:"zone"`
	Region      ident.Region           `cbor:"5,keyasint" json:"region"`
	// Address is the listen address of the relay server, IP:port.
	Address string `cbor:"6,keyasint" json:"address"`
	// Cores is the processor capacity in cores; zero means unknown.
	Cores float64 `cbor:"7,keyasint,omitempty" json:"cores"`
}

// maxFrameBytes is the maximum size of a frame. It holds a client message of at most
// 1 MiB and the session variables that are sent with it.
const maxFrameBytes = 4 << 20

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17,
		UTF8: cbor.UTF8DecodeInvalid, // statements and rows hold any bytes
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Decode decodes a frame or a body. The error carries MessageMalformed.
func Decode(body []byte, into any) error {
	if err := decodeMode.Unmarshal(body, into); err != nil {
		return resultcode.Wrap(err, resultcode.MessageMalformed, "cannot decode a message")
	}
	return nil
}

func encodeRequest(id uint64, kind Kind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(frame{ID: id, Kind: kind, Body: raw})
}

// encodeResponse encodes a body, or a Failure as the body of the response.
func encodeResponse(id uint64, body any) ([]byte, error) {
	if failure, ok := body.(Failure); ok {
		return cbor.Marshal(frame{ID: id, Response: true, Failure: failure})
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(frame{ID: id, Response: true, Body: raw})
}
