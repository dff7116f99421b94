package relay

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/framing"
)

// frameReader passes messages through a WebSocket connection to readFrame.
type frameReader struct {
	socket *websocket.Conn
	read   chan readResult
}

type readResult struct {
	frame frame
	err   error
}

func startFrameReader(t testing.TB) *frameReader {
	r := &frameReader{read: make(chan readResult)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		socket, err := websocket.Accept(w, request, nil)
		if err != nil {
			return
		}
		defer socket.CloseNow()
		socket.SetReadLimit(MaxFrameBytes)
		for {
			var f frame
			err := readFrame(context.Background(), socket, &f)
			if err != nil && framing.ReasonOf(err) == "" {
				return
			}
			r.read <- readResult{f, err}
		}
	}))
	t.Cleanup(server.Close)
	socket, _, err := websocket.Dial(context.Background(), "ws://"+server.Listener.Addr().String(), nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.CloseNow() })
	r.socket = socket
	return r
}

func (r *frameReader) pass(t testing.TB, form websocket.MessageType, message []byte) readResult {
	assert.NilError(t, r.socket.Write(context.Background(), form, message))
	return <-r.read
}

// Guards against a message between VMs that is read as another one than was sent: one that is not
// exactly one item, or whose fields change. Guards also against one that takes a part of the next.
func FuzzRelayFrame(f *testing.F) {
	request, err := encodeRequest(7, 2, execution.Request{Mode: execution.Begin, ID: "q", Text: "WRITE a \x00\xff\r\n b", TransactionID: "t"})
	assert.NilError(f, err)
	response, err := encodeResponse(7, execution.Result{Outcome: execution.Done, Rows: []string{"\xfe", ""}, Tag: "tag"})
	assert.NilError(f, err)
	failure, err := encodeResponse(7, Rejected)
	assert.NilError(f, err)
	for _, seed := range [][]byte{request, response, failure, nil, {0xf6}, {0xa0}, {0xbf, 0xff}, request[:len(request)-1], append(request[:len(request):len(request)], 0), append(request[:len(request):len(request)], response...)} {
		f.Add(false, seed)
		f.Add(true, seed)
	}
	r := startFrameReader(f)
	f.Fuzz(func(t *testing.T, text bool, message []byte) {
		if len(message) > MaxFrameBytes {
			return
		}
		form := websocket.MessageBinary
		if text {
			form = websocket.MessageText
		}
		got := r.pass(t, form, message)
		if got.err == nil {
			assert.Assert(t, !text)
			assert.Assert(t, cbor.Wellformed(message) == nil && message[0]>>5 == mapType, "a part of the message is read")
			again, err := encode(got.frame)
			assert.NilError(t, err)
			second := r.pass(t, websocket.MessageBinary, again)
			assert.NilError(t, second.err)
			assert.DeepEqual(t, second.frame, got.frame)
		} else {
			assert.Equal(t, framing.ReasonOf(got.err), framing.Encoding)
		}
		assert.DeepEqual(t, r.pass(t, websocket.MessageBinary, request).frame.Body, bodyOf(t, request))
	})
}

// bodyOf returns the body of an encoded frame.
func bodyOf(t testing.TB, message []byte) cbor.RawMessage {
	var f frame
	assert.NilError(t, Decode(message, &f))
	return f.Body
}

// Guards against fields of a statement or of its result that do not arrive as they were sent, and
// against fields that run into each other.
func FuzzRelayFields(f *testing.F) {
	f.Add("q1", "WRITE a b", "name", "value", []byte("row\x00row"))
	f.Add("", "READ \xff\xfe", "n\r\n", "\x80", []byte{0})
	f.Add("a\nQUERY b", "", "", "", []byte(strings.Repeat("\x00", 300)))
	f.Fuzz(func(t *testing.T, id, text, name, value string, rows []byte) {
		sent := execution.Request{Mode: execution.Single, ID: id, Text: text, SessionValues: map[string]string{name: value},
			Prepared: &execution.Prepared{Name: value, Text: name}}
		result := execution.Result{Outcome: execution.Failed, Detail: text, Tag: id}
		for _, row := range bytes.Split(rows, []byte{0}) {
			result.Rows = append(result.Rows, string(row))
		}
		message, err := encodeRequest(3, 2, sent)
		if len(id)+len(text)+2*len(name)+2*len(value) > MaxFrameBytes-1000 {
			return
		}
		assert.NilError(t, err)
		var carried frame
		assert.NilError(t, Decode(message, &carried))
		var gotRequest execution.Request
		assert.NilError(t, Decode(carried.Body, &gotRequest))
		assert.DeepEqual(t, gotRequest, sent)
		message, err = encodeResponse(3, result)
		if len(rows)*2+len(text)+len(id) > MaxFrameBytes-1000 {
			return
		}
		assert.NilError(t, err)
		carried = frame{}
		assert.NilError(t, Decode(message, &carried))
		var gotResult execution.Result
		assert.NilError(t, Decode(carried.Body, &gotResult))
		assert.DeepEqual(t, gotResult, result)
	})
}
