package service

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// NewClientVM returns a VM that serves the clients of a listener and has no other VMs and no
// controllers. The services need no Admission and no Now.
func NewClientVM(grace time.Duration, l net.Listener, newCodec proxy.NewCodec, services proxy.Services, dial execution.Dial) *VM {
	v := &VM{log: zerolog.Nop(), clock: clock.New(), remote: newRemoteTransactions(), ready: &http.Server{}, metrics: &http.Server{}}
	v.gracePeriod.Store(int64(grace))
	_, v.cancel = context.WithCancel(context.Background())
	v.peers = peers.New(peers.Config{Now: v.clock.Now, Log: v.log})
	v.local = execution.NewLocal(dial, v.clock.Now)
	v.relay = relay.NewServer(v, v.log)
	services.Admission, services.Now = v, v.clock.Now
	v.server = proxy.NewServer(&services, newCodec, v.log, func(proxy.Record) {})
	v.listeners = append(v.listeners, l)
	v.goroutines.Go(func() { _ = v.server.Serve(l) })
	return v
}

// ExecuteLocally executes a statement over the connections of the VM.
func (v *VM) ExecuteLocally(r execution.Request) execution.Result {
	return v.local.Execute(context.Background(), r)
}
