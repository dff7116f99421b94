// Package sessiontoken encodes the position that a session has written as text,
// so that the session can read its own writes through any VM. A token is base64
// of CBOR {1: group, 2: term, 3: position}. A forged token affects only the
// freshness that reads of its own session ask for.
package sessiontoken

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// maxText bounds the text of a token in bytes.
	maxText = 256
	// maxGroup bounds the group name in bytes; PostgreSQL's names have at most 63.
	maxGroup = 63
)

// Token is a position in the log of a group.
type Token struct {
	Group    ident.GroupName `cbor:"1,keyasint"`
	Term     ident.Term      `cbor:"2,keyasint"`
	Position ident.Position  `cbor:"3,keyasint"`
}

// Point returns the log point of the token.
func (t Token) Point() ident.LogPoint { return ident.LogPoint{Term: t.Term, Position: t.Position} }

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 4, MaxMapPairs: 16, MaxArrayElements: 16, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the text of a token.
func Encode(t Token) string {
	body, err := encoder.Marshal(t)
	if err != nil {
		panic(err) // the type has no value that cannot be encoded
	}
	return base64.StdEncoding.EncodeToString(body)
}

// Decode parses the text of a token. Errors carry InvalidSetting and never repeat
// the text.
func Decode(text string) (Token, error) {
	var t Token
	if len(text) > maxText {
		return t, invalid("longer than %d bytes", maxText)
	}
	body, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, invalid("not base64")
	}
	if err := decoder.Unmarshal(body, &t); err != nil {
		return Token{}, invalid("not the expected CBOR")
	}
	if t.Group == "" || len(t.Group) > maxGroup || t.Term == 0 {
		return Token{}, invalid("group or term missing or out of bounds")
	}
	return t, nil
}

func invalid(format string, args ...any) error {
	return resultcode.New(resultcode.InvalidSetting, "session token: "+format, args...)
}
