package routing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against a decoder that panics, accepts a non-canonical encoding, or returns
// values out of bounds.
func FuzzDecodeToken(f *testing.F) {
	f.Add(EncodeToken(Token{Group: "deckbook", Point: ident.LogPoint{Term: 3, Position: 42}}))
	f.Add(EncodeToken(Token{Group: "g", Point: ident.LogPoint{Term: MaxTokenTerm, Position: MaxTokenPosition}}))
	f.Add("")
	f.Add("gA")
	f.Add(strings.Repeat("A", MaxTokenLength+1))
	f.Fuzz(func(t *testing.T, text string) {
		token, err := DecodeToken(text)
		if err != nil {
			assert.Assert(t, resultcode.Is(err, resultcode.InvalidSetting))
			return
		}
		assert.Equal(t, EncodeToken(token), text)
		assert.Assert(t, token.Point.Term > 0 && token.Point.Term <= MaxTokenTerm && token.Point.Position <= MaxTokenPosition)
		assert.Assert(t, token.Group != "" && len(token.Group) <= MaxGroupNameLength)
	})
}

// Guards against rejecting a token with the largest allowed values, and against
// accepting one beyond them.
func TestTokenBounds(t *testing.T) {
	largest := Token{
		Group: ident.GroupName(strings.Repeat("g", MaxGroupNameLength)),
		Point: ident.LogPoint{Term: MaxTokenTerm, Position: MaxTokenPosition},
	}
	got, err := DecodeToken(EncodeToken(largest))
	assert.NilError(t, err)
	assert.Equal(t, got, largest)
	for _, bad := range []Token{
		{Group: "", Point: ident.LogPoint{Term: 1}},
		{Group: "g"},
		{Group: largest.Group + "g", Point: ident.LogPoint{Term: 1}},
		{Group: "g", Point: ident.LogPoint{Term: MaxTokenTerm + 1}},
		{Group: "g", Point: ident.LogPoint{Term: 1, Position: MaxTokenPosition + 1}},
	} {
		_, err := DecodeToken(EncodeToken(bad))
		assert.Assert(t, resultcode.Is(err, resultcode.InvalidSetting))
	}
}
