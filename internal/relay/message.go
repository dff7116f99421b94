package relay

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/framing"
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
	// ResponseTooLarge means that the request was handled and that its response exceeds the
	// maximum size of a frame.
	ResponseTooLarge
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

// MaxFrameBytes is the maximum size of a request or a response in bytes. It holds a client message
// and a prepared statement of at most 1 MiB each, and the session values that are sent with them.
const MaxFrameBytes = 4 << 20

// decodeMode accepts strings that are not UTF-8, because statements, rows and session values are
// any bytes. The size of the frame alone limits the number of their elements.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 16, MaxArrayElements: MaxFrameBytes, MaxMapPairs: MaxFrameBytes, UTF8: cbor.UTF8DecodeInvalid,
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

// readFrame reads a frame into f. The error is a framing.Error if the frame is invalid. After any
// error the connection cannot be used any more: its next message is not known.
func readFrame(ctx context.Context, socket *websocket.Conn, into any) error {
	form, message, err := socket.Read(ctx)
	switch {
	case errors.Is(err, websocket.ErrMessageTooBig):
		return framing.New(framing.TooLarge, "a message between VMs exceeds %d bytes", MaxFrameBytes)
	case err != nil:
		return err
	case form != websocket.MessageBinary:
		return framing.New(framing.Encoding, "a message between VMs is not binary")
	case len(message) == 0 || message[0]>>5 != mapType: // null would leave into as it is
		return framing.New(framing.Encoding, "a message between VMs is no map")
	}
	if err := Decode(message, into); err != nil {
		return framing.New(framing.Encoding, "a message between VMs cannot be decoded: %v", err)
	}
	return nil
}

// mapType is the major type of a CBOR map, which all frames are.
const mapType = 5

// encodeRequest returns the frame of a request. The error is a framing.Error if it exceeds the
// maximum size.
func encodeRequest(id uint64, kind Kind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return encode(frame{ID: id, Kind: kind, Body: raw})
}

// encodeResponse encodes a body, or a Failure as the body of the response. The error is a
// framing.Error if the frame exceeds the maximum size.
func encodeResponse(id uint64, body any) ([]byte, error) {
	if failure, ok := body.(Failure); ok {
		return encode(frame{ID: id, Response: true, Failure: failure})
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return encode(frame{ID: id, Response: true, Body: raw})
}

func encode(f frame) ([]byte, error) {
	message, err := cbor.Marshal(f)
	if err == nil && len(message) > MaxFrameBytes {
		return nil, framing.New(framing.TooLarge, "a message between VMs has %d bytes, the maximum is %d", len(message), MaxFrameBytes)
	}
	return message, err
}
