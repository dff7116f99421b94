package routing

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Bounds of a session token. The position bound keeps arithmetic on the positions of
// forged tokens far from overflow.
const (
	MaxTokenLength     = 256 // base64 characters
	MaxGroupNameLength = 63  // bytes, the limit of PostgreSQL identifiers
	MaxTokenTerm       = 1 << 62
	MaxTokenPosition   = 1 << 62
)

// Token is a session token. It identifies the newest acknowledged write of a session.
type Token struct {
	Group ident.GroupName
	Point ident.LogPoint
}

type wireToken struct {
	_        struct{} `cbor:",toarray"`
	Group    string
	Term     uint64
	Position uint64
}

var tokenDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeToken returns the token as CBOR in unpadded URL-safe base64.
func EncodeToken(token Token) string {
	data, err := cbor.Marshal(wireToken{
		Group: string(token.Group), Term: uint64(token.Point.Term), Position: uint64(token.Point.Position),
	})
	if err != nil {
		panic(err) // cannot fail: the struct has only a string and integers
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// DecodeToken parses a token. Every error carries InvalidSetting. It accepts only the
// canonical form that EncodeToken returns.
func DecodeToken(text string) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, resultcode.New(resultcode.InvalidSetting, "session token is longer than %d characters", MaxTokenLength)
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, resultcode.New(resultcode.InvalidSetting, "session token is not base64")
	}
	var wire wireToken
	if err := tokenDecoder.Unmarshal(data, &wire); err != nil {
		return Token{}, resultcode.New(resultcode.InvalidSetting, "session token is malformed")
	}
	if wire.Group == "" || len(wire.Group) > MaxGroupNameLength || wire.Term == 0 || wire.Term > MaxTokenTerm || wire.Position > MaxTokenPosition {
		return Token{}, resultcode.New(resultcode.InvalidSetting, "session token has a field that is out of range")
	}
	token := Token{
		Group: ident.GroupName(wire.Group),
		Point: ident.LogPoint{Term: ident.Term(wire.Term), Position: ident.Position(wire.Position)},
	}
	if EncodeToken(token) != text {
		return Token{}, resultcode.New(resultcode.InvalidSetting, "session token is not in canonical form")
	}
	return token, nil
}
