package frontend

import (
	"crypto/tls"
	"encoding/binary"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against bytes that were sent before the TLS handshake and are read as if they had been
// sent inside it.
func TestBytesBeforeHandshakeAreRejected(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t, 1)}} })
	for _, behind := range [][]byte{{0}, binary.BigEndian.AppendUint32(nil, 8), frame('Q', []byte("INSERT x\x00"))} {
		c := r.dial()
		x := &raw{t, c, pgproto3.NewFrontend(c, c)}
		x.write([]byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f}, behind)
		x.wantRejected(stateMalformed)
	}
	assert.Equal(t, r.primary.count("INSERT x"), 0)
}
