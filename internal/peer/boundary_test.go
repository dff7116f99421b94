package peer

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// fieldsBody is a body with fields that hold any bytes.
type fieldsBody struct {
	Text   string            `cbor:"1,keyasint"`
	Bytes  []byte            `cbor:"2,keyasint"`
	Values map[string]string `cbor:"3,keyasint"`
}

// Guards against fields of messages between VMs that are refused or changed because of their
// bytes.
func TestFieldsKeepAllBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	texts := make([]string, 0, 512)
	for b := range 256 {
		text := make([]byte, random.IntN(40))
		for i := range text {
			text[i] = byte(random.Uint32())
		}
		texts = append(texts, string([]byte{byte(b)}), string(text))
	}
	m := &Network{cfg: Config{Self: Member{Name: "vm-1", Incarnation: 1}}}
	for _, text := range texts {
		sent := fieldsBody{Text: text, Bytes: []byte(text), Values: map[string]string{text: text}}
		frame, err := m.encode(Kind("k"+text), sent)
		assert.NilError(t, err)
		e, err := decodeEnvelope(frame)
		assert.NilError(t, err, "%q", text)
		assert.Equal(t, e.Kind, Kind("k"+text))
		var received fieldsBody
		assert.NilError(t, Decode(e.Body, &received), "%q", text)
		assert.DeepEqual(t, received, sent)
		_, err = decodeEnvelope(append(frame, 0))
		assert.Assert(t, resultcode.Is(err, resultcode.MessageMalformed), "a frame with a trailing byte: %v", err)
		_, err = decodeEnvelope(frame[:len(frame)-1])
		assert.Assert(t, resultcode.Is(err, resultcode.MessageMalformed), "a truncated frame: %v", err)
	}
}

// Guards against a message above the maximum size that is queued, or that ends the connection
// and takes others with it, and against a maximum that sender and receiver count differently.
func TestTooLargeMessagesAreNotSent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var got recorder[int]
		one, two := f.newNetwork("vm-1", "a", 1, nil), f.newNetwork("vm-2", "a", 1, nil)
		two.Handle("text", func(_ Member, body cbor.RawMessage) {
			var text string
			assert.Check(t, Decode(body, &text))
			got.add(len(text))
		})
		one.Start()
		two.Start()
		defer one.Close()
		defer two.Close()
		time.Sleep(3 * time.Second)
		connects := one.counters.connects.Value()
		empty, err := one.encode("text", strings.Repeat("x", maxFrameBytes/2))
		assert.NilError(t, err)
		largest := maxFrameBytes/2 + maxFrameBytes - len(empty)
		for _, size := range []int{1, largest + 1, 2, 4 * maxFrameBytes, largest, 3} {
			err := one.Send(context.Background(), "vm-2", "text", strings.Repeat("x", size))
			assert.Equal(t, resultcode.Is(err, resultcode.MessageTooLarge), size > largest, "%d bytes: %v", size, err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.DeepEqual(t, got.take(), []int{1, 2, largest, 3})
		assert.Equal(t, one.counters.connects.Value(), connects, "the connection ended")
		assert.Equal(t, two.counters.refused.String(), "{}")
	})
}
