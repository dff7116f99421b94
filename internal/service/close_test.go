package service_test

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/service"
	"github.com/rosemarywall/rosemarywall/platform"
)

// Guards against a response that is lost because the connection is closed while input of the
// client is unread, which resets it.
func TestLastResponseArrivesThoughInputIsUnread(t *testing.T) {
	large := strings.Repeat("x", platform.MaxLineBytes-len("ROW \r\n"))
	unread := strings.Repeat("QUERY unread READ "+strings.Repeat("y", 1<<12)+"\r\n", 64)
	for name, c := range map[string]struct{ send, want string }{
		"startup that is refused": {"CONNECT\r\n" + unread, "ERROR MALFORMED"},
		"end of the session":      {"CONNECT orders k\r\nQUERY q READ large\r\nQUIT\r\n" + unread, large},
		"fault in a statement":    {"CONNECT orders k\r\nQUERY q READ panic\r\n" + unread, "ERROR INDOUBT"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			u := &upstream{large: large}
			vm := service.NewClientVM(grace, l, platform.NewCodec, proxy.Services{Authoriser: u, Limiter: u, Router: u}, nil)
			defer vm.Close()
			conn, err := net.Dial("tcp4", l.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			go func() { _, _ = conn.Write([]byte(c.send)) }()
			time.Sleep(50 * time.Millisecond) // a client that reads slowly
			in, found := bufio.NewReader(conn), false
			for !found {
				line, err := in.ReadString('\n')
				if err != nil {
					t.Fatalf("the response is lost: %v", err)
				}
				found = strings.Contains(line, c.want)
			}
		})
	}
}
