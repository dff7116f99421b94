package routing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against a decoder that panics, accepts a second form of a token, or
// returns values outside the bounds.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(Token{Group: "deckbook", Point: ident.LogPoint{Term: 3, Position: 42}}))
	f.Add(Encode(Token{Group: "g", Point: ident.LogPoint{Term: MaxTokenTerm, Position: MaxTokenOffset}}))
	f.Add("")
	f.Add("gA")
	f.Add(strings.Repeat("A", MaxTokenLength+1))
	f.Fuzz(func(t *testing.T, text string) {
		token, err := Decode(text)
		if err != nil {
			assert.Assert(t, resultcode.Is(err, resultcode.InvalidSetting))
			return
		}
		assert.Equal(t, Encode(token), text)
		assert.Assert(t, token.Point.Term > 0 && token.Point.Term <= MaxTokenTerm && token.Point.Position <= MaxTokenOffset)
		assert.Assert(t, token.Group != "" && len(token.Group) <= MaxGroupName)
	})
}

// Guards against tokens of the largest allowed values being refused.
func TestTokenBounds(t *testing.T) {
	largest := Token{
		Group: ident.GroupName(strings.Repeat("g", MaxGroupName)),
		Point: ident.LogPoint{Term: MaxTokenTerm, Position: MaxTokenOffset},
	}
	got, err := Decode(Encode(largest))
	assert.NilError(t, err)
	assert.Equal(t, got, largest)
	for _, bad := range []Token{
		{Group: "", Point: ident.LogPoint{Term: 1}},
		{Group: "g"},
		{Group: largest.Group + "g", Point: ident.LogPoint{Term: 1}},
		{Group: "g", Point: ident.LogPoint{Term: MaxTokenTerm + 1}},
		{Group: "g", Point: ident.LogPoint{Term: 1, Position: MaxTokenOffset + 1}},
	} {
		_, err := Decode(Encode(bad))
		assert.Assert(t, resultcode.Is(err, resultcode.InvalidSetting))
	}
}
