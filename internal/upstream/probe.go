package upstream

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/request"
)

const (
	probeTimeout = time.Second
	// probeCacheDuration is how long the result of a probe is reused.
	probeCacheDuration = time.Second
	// sslRequestCode is the request code of an SSLRequest.
	sslRequestCode = 80877103
)

// probe caches whether an upstream responds.
type probe struct {
	mu        sync.Mutex
	checkedAt time.Duration
	known     bool
	responds  bool
}

// Responds probes whether the upstream still responds. Requests that have waited long
// for a response need it, because an upstream that is paused or partitioned does not
// close its connections. The probe is an SSLRequest, which takes no connection slot.
// It takes up to 1 s; concurrent calls share its result.
func (p *Pools) Responds(target request.Target) bool {
	b := &p.pool(target).probe
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known && p.cfg.Now()-b.checkedAt < probeCacheDuration {
		return b.responds
	}
	b.responds = p.sendProbe(target.Address)
	b.known, b.checkedAt = true, p.cfg.Now()
	return b.responds
}

func (p *Pools) sendProbe(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(probeTimeout))
	_, err = requestTLS(conn)
	return err == nil
}

// requestTLS sends an SSLRequest and reports whether the upstream accepts TLS.
func requestTLS(conn net.Conn) (bool, error) {
	packet := binary.BigEndian.AppendUint32(nil, 8)
	if _, err := conn.Write(binary.BigEndian.AppendUint32(packet, sslRequestCode)); err != nil {
		return false, err
	}
	var response [1]byte
	_, err := conn.Read(response[:])
	return response[0] == 'S', err
}
