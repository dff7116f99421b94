package configcontroller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against a note whose body breaks off, or is too large, and that is taken for a whole
// one, and against an error that does not say what was wrong.
func TestIncompleteNotesAreRefused(t *testing.T) {
	c := &Controller{}
	server := httptest.NewServer(c.Handler())
	defer server.Close()
	note := "[note]\ntitle = t\n\n[add database db]\nopen = yes\n"
	head := "POST /v1/notes?file=n HTTP/1.1\r\nHost: x\r\n"
	for request, want := range map[string]resultcode.Code{
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(note)+10, note):                                                              resultcode.NoteSyntax,
		head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(note), note):                                               resultcode.NoteSyntax,
		head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nzz\r\n", len(note), note):                                         resultcode.NoteSyntax,
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", configuration.MaxNoteBytes+2, strings.Repeat("#", configuration.MaxNoteBytes+2)): resultcode.NoteTooLarge,
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s\x00", len(note)+1, note):                                                           resultcode.NoteSyntax,
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s\ufeff%s", 2*len(note)+3, note, note):                                               resultcode.NoteSyntax,
	} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		_, _ = fmt.Fprint(conn, request)
		_ = conn.(*net.TCPConn).CloseWrite()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "%.80q", request)
		var result Result
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&result), "%.80q", request)
		assert.Equal(t, result.Code, want, "%.80q", request)
		assert.Equal(t, result.Outcome, OutcomeRefused)
		assert.Assert(t, response.StatusCode >= 400)
		if want == resultcode.NoteTooLarge {
			assert.Assert(t, !strings.Contains(result.Problems.Error(), fmt.Sprint(configuration.MaxNoteBytes+1)), "a size that the note does not have: %v", result.Problems)
		}
		_ = conn.Close()
	}
}
