package peers

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/recovery"
)

// In a large fleet the hubs of other zones are probed every few seconds, so the loss of a
// hub would be noticed only after many requests to it have timed out. A VM from which a
// request gets no response is therefore probed at once, and is suspect if it does not
// respond to that probe. Nothing new is sent to a suspect VM while there are others, and
// reads that wait for it are sent to another VM. Its connection stays open, and writes and
// transactions continue to wait, because it may only be slow. Whether it is dead is for
// the regular probe to decide.

const (
	// silenceLimit is the time for which a VM may send nothing while a request waits for it
	// before it is probed. It exceeds a round trip between regions and most statements.
	silenceLimit = 150 * time.Millisecond
	// suspicionTimeout limits the response to that probe. A VM whose processor share is used
	// up pauses for up to a tenth of a second.
	suspicionTimeout = 250 * time.Millisecond
)

// watchSilence probes a VM if it sends nothing for silenceLimit. The caller must call stop
// when its request has ended.
func (p *Peers) watchSilence(q *peer) (stop func() bool) {
	return time.AfterFunc(silenceLimit, func() {
		recovery.Run(p.cfg.Log, "probe silent peer", func() { p.probeSilent(q) })
	}).Stop
}

// probeSilent probes a VM that has sent nothing for silenceLimit until it responds or is
// known to be dead, and makes it suspect if it does not respond to the first probe.
func (p *Peers) probeSilent(q *peer) {
	startedAt := p.cfg.Now()
	if !p.beginSilenceProbe(q, startedAt) {
		return
	}
	defer p.endSilenceProbe(q)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), suspicionTimeout)
		var response ProbeResponse
		err := q.client.Call(ctx, KindProbe, ProbeRequest{}, &response)
		cancel()
		if err == nil {
			p.noteResponse(q)
		}
		if err == nil || !p.suspectSince(q, startedAt) {
			return
		}
		time.Sleep(suspicionTimeout - (p.cfg.Now()-startedAt)%suspicionTimeout) // the call may have failed at once
	}
}

// suspectSince makes a VM suspect unless it has responded after startedAt. It returns false
// once the VM has responded, is known to be dead or has been removed.
func (p *Peers) suspectSince(q *peer, startedAt time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.respondedAt() >= startedAt || p.peers[q.identity.VM] != q || !q.alive || p.ctx.Err() != nil {
		return false
	}
	if !q.suspect {
		q.suspect = true
		q.endTrust()
		p.cfg.Log.Info().Str("peer", string(q.identity.VM)).Dur("silent_ms", p.cfg.Now()-q.respondedAt()).Msg("peer suspected")
		p.updateHubs()
	}
	return true
}

func (p *Peers) endSilenceProbe(q *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.silenceProbe = false
}

// beginSilenceProbe reports whether a probe of a silent VM is due and none is in progress.
func (p *Peers) beginSilenceProbe(q *peer, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.silenceProbe || q.suspect || !q.alive || now < q.respondedAt()+silenceLimit {
		return false
	}
	q.silenceProbe = true
	return true
}

// noteResponse records that a VM has responded to a request, and ends a suspicion.
func (p *Peers) noteResponse(q *peer) {
	q.lastResponse.Store(int64(p.cfg.Now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.suspect {
		q.suspect = false
		q.trust, q.endTrust = context.WithCancel(context.Background())
		p.updateHubs()
	}
}

// untilSuspect returns a context that also ends when the VM becomes suspect.
func (p *Peers) untilSuspect(ctx context.Context, q *peer) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	trust := q.trust
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(trust, cancel)
	return ctx, func() { stop(); cancel() }
}
