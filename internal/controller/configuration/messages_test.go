package configcontroller

import (
	"expvar"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// Guards against a message that another reader would understand differently, because it holds a
// field twice, and against one that goes past the limits of the mesh.
func TestAmbiguousMessagesAreIgnored(t *testing.T) {
	for name, body := range map[string][]byte{
		"repeated field":    {0xa2, 1, 5, 1, 6},
		"indefinite length": {0xbf, 1, 5, 0xff},
		"trailing byte":     {0xa1, 1, 5, 0},
		"truncated":         {0xa1, 1},
		"tag":               {0xa1, 1, 0xc1, 5},
	} {
		c := &Controller{vars: new(expvar.Map)}
		receive(c, func(_ peer.Member, n notice) { t.Errorf("%s: received as %+v", name, n) })(peer.Member{Name: "vm-2"}, body)
		assert.Assert(t, c.vars.Get("messages_malformed") != nil, name)
	}
}
