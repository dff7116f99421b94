package relay

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// ProtocolVersion is the version of the frames and of their bodies.
const ProtocolVersion = 1

// Kind is the type of a question.
type Kind uint8

// frame is a question, or an answer when Answer is set.
type frame struct {
	ID     uint64          `cbor:"1,keyasint"`
	Kind   Kind            `cbor:"2,keyasint,omitempty"`
	Answer bool            `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// Identity names a VM. It is the first message of a connection.
type Identity struct {
	Version     int                    `cbor:"1,keyasint" json:"-"`
	VM          ident.VMName           `cbor:"2,keyasint" json:"vm"`
	Incarnation ident.Incarnation      `cbor:"3,keyasint" json:"incarnation"`
	Zone        ident.AvailabilityZone `cbor:"4,keyasint" json:"zone"`
	Region      ident.Region           `cbor:"5,keyasint" json:"region"`
	// Address is the relay address, IP:port.
	Address string `cbor:"6,keyasint" json:"address"`
	// Cores is the processor capacity.
	Cores float64 `cbor:"7,keyasint,omitempty" json:"cores"`
}

// maxFrame is the largest frame in bytes: a caller's message of at most 1 MiB and
// the session's values beside it.
const maxFrame = 4 << 20

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Decode decodes a body. The error carries MessageMalformed.
func Decode(body []byte, into any) error {
	if err := decoding.Unmarshal(body, into); err != nil {
		return resultcode.Wrap(err, resultcode.MessageMalformed, "cannot decode a message")
	}
	return nil
}

func encode(id uint64, kind Kind, answer bool, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(frame{ID: id, Kind: kind, Answer: answer, Body: raw})
}
