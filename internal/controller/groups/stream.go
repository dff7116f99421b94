package groupcontroller

import (
	"context"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// statusStream reads the status stream of one member.
type statusStream struct {
	group    *groupState
	name     ident.UpstreamName
	address  string
	agent    group.Agent
	ctx      context.Context
	cancel   context.CancelFunc
	lastLine atomic.Int64 // time of the last line or of opening the stream, as time.Duration
}

// startStream starts the stream of a member. The caller holds the group's lock.
func startStream(g *groupState, m routing.Member) *statusStream {
	s := &statusStream{group: g, name: m.Upstream, address: m.Agent}
	s.agent = g.controller.options.NewAgent(g.name, m.Upstream, m.Agent)
	s.ctx, s.cancel = context.WithCancel(g.ctx)
	g.controller.spawn(s.run)
	return s
}

func (s *statusStream) run() {
	if closer, ok := s.agent.(interface{ Close() }); ok {
		defer closer.Close()
	}
	for s.ctx.Err() == nil {
		opened := s.group.controller.options.Now()
		err := s.follow()
		if s.ctx.Err() != nil {
			return
		}
		s.handleError(err)
		if s.group.controller.options.Now()-opened >= MaxStreamGap {
			continue // reconnecting shows at once whether the process has ended
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(ReconnectDelay):
		}
	}
}

// follow reads one stream until it breaks or pauses for longer than MaxStreamGap.
func (s *statusStream) follow() error {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.lastLine.Store(int64(s.group.controller.options.Now()))
	watchdog := time.AfterFunc(MaxStreamGap, func() { cancel(errUnresponsive) })
	defer watchdog.Stop()
	err := s.agent.Stream(ctx, func(status group.Status) {
		now := s.group.controller.options.Now()
		if gap := now - time.Duration(s.lastLine.Swap(int64(now))); gap > MaxStreamGap {
			cancel(errUnresponsive)
		}
		if ctx.Err() != nil {
			return
		}
		watchdog.Reset(MaxStreamGap)
		s.handleStatus(status, now)
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err == nil {
		err = io.EOF
	}
	return err
}

var errUnresponsive = errors.New("member agent does not respond")

func (s *statusStream) handleStatus(status group.Status, now time.Duration) {
	if status.Upstream != s.name || status.Group != s.group.name {
		return
	}
	s.group.updateMember(s.name, func(v *routing.View, i int) *routing.View {
		return v.WithStatus(i, status, now)
	})
	s.group.promoter.handleStatus(status)
}

func (s *statusStream) handleError(err error) {
	if connectionRefused(err) {
		s.group.updateMember(s.name, (*routing.View).WithFailure)
		s.group.promoter.handleRefused(s.name)
	}
}

// connectionRefused reports whether err proves that no process listens at the address. A
// timeout does not, because it can be caused by a network partition.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
