package httpserver

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request without end of its header, and against a second request that is
// hidden in the first one.
func TestRequestsAreBounded(t *testing.T) {
	seen := make(chan string, 100)
	server := New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r.URL.Path }), time.Minute)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	for request, status := range map[string]int{
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\n":                                           200,
		"GET /b HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n": 431,
		"GET /" + strings.Repeat("x", 64<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n":         431,
		"GET /c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n": 400,
		"GET /d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, identity\r\n\r\n":   501,
		"GET /e HTTP/1.1\r\nHost: x\r\nA\x00: b\r\n\r\n":                               400,
		"GET /f\r\n HTTP/1.1\r\n\r\n":                                                  400,
		"CONNECT orders key\r\n\r\n":                                                   400,
	} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, _ = fmt.Fprint(conn, request) // the server may close early
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "%.60q", request)
		assert.Equal(t, response.StatusCode, status, "%.60q", request)
		_ = response.Body.Close()
		_ = conn.Close()
	}
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, <-seen, "/a")
	assert.Assert(t, server.ReadTimeout > 0 && server.IdleTimeout > 0 && server.ReadHeaderTimeout > 0)
}

// Guards against an empty body with status 200 in place of an error.
func TestValueThatCannotBeEncoded(t *testing.T) {
	recorder := httptest.NewRecorder()
	assert.Assert(t, WriteJSON(recorder, map[string]any{"x": math.NaN()}) != nil)
	assert.Equal(t, recorder.Code, http.StatusInternalServerError)
	recorder = httptest.NewRecorder()
	assert.NilError(t, WriteJSON(recorder, map[string]any{"x": 1}))
	assert.Equal(t, recorder.Code, http.StatusOK)
	assert.Equal(t, recorder.Body.String(), "{\n  \"x\": 1\n}\n")
}
