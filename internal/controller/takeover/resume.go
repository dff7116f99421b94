package takeover

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// abort ends an attempt whose call certainly takes no effect, and resumes the replicas
// that it has paused.
func (t *attempt) abort(ctx context.Context) {
	seen, err := t.readOwn(ctx)
	if err != nil {
		t.log(t.controller.cfg.Log.Info()).Err(err).Msg("replicas not resumed")
		return
	}
	announced := seen.Candidate
	if t.boundCandidate == "" {
		seen.Candidate = "" // the call of this attempt was refused or not made
		t.confirmPrimary(&seen.record)
	}
	if t.resume(ctx, seen) || announced == "" || t.boundCandidate != "" {
		return
	}
	if err := t.withdraw(ctx, seen); err != nil {
		t.log(t.controller.cfg.Log.Info()).Err(err).Msg("candidate not withdrawn")
	}
}

// resume resumes the replicas that this VM has paused, and reports whether there are any.
// The command is announced first:
// it may be executed late, and a takeover that relies on a pause has to know of it. It
// is not sent while a call that relies on the pauses may take effect.
func (t *attempt) resume(ctx context.Context, seen seenRecord) bool {
	c := t.controller
	c.mu.Lock()
	targets := maps.Clone(t.group.paused)
	c.mu.Unlock()
	if len(targets) == 0 {
		return false
	}
	start := c.cfg.Now()
	err := t.announceResume(ctx, seen, slices.Collect(maps.Keys(targets)))
	if took := c.cfg.Now() - start; err == nil && took > maxAnnouncementAge {
		err = errors.Newf("announcing the resume command took %s", took)
	}
	if err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Int("replicas", len(targets)).Msg("replicas not resumed")
		return true
	}
	t.log(c.cfg.Log.Info()).Int("replicas", len(targets)).Msg("replicas resumed")
	t.recordResumed(ctx, t.sendResume(ctx, targets))
	return true
}

func (t *attempt) announceResume(ctx context.Context, seen seenRecord, names []ident.UpstreamName) error {
	now := t.controller.cfg.Now()
	if seen.pendingCandidate(now) != "" {
		return errPending
	}
	r := seen.record
	r.CommandCount++
	r.Candidate, r.Demoted, r.Resuming, r.Writer = "", false, seen.pendingResumes(now), t.controller.cfg.UniqueID()
	for _, name := range names {
		r.Resuming[name] = r.CommandCount
	}
	return t.write(ctx, r, seen.version)
}

// sendResume sends resume commands and returns the replicas that have responded.
func (t *attempt) sendResume(ctx context.Context, targets map[ident.UpstreamName]execution.Target) []ident.UpstreamName {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var resumed []ident.UpstreamName
	for name, target := range targets {
		t.goRun(&wg, "resume command", func() {
			if _, err := t.status(ctx, target, statement.Command{Kind: statement.ResumeCommand}); err != nil {
				t.log(t.controller.cfg.Log.Warn()).Err(err).Str("upstream", string(name)).Msg("replica not resumed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			resumed = append(resumed, name)
		})
	}
	wg.Wait()
	return resumed
}

// recordResumed records the responses, so that a pause of these replicas is valid again.
func (t *attempt) recordResumed(ctx context.Context, resumed []ident.UpstreamName) {
	c := t.controller
	c.mu.Lock()
	for _, name := range resumed {
		delete(t.group.paused, name)
	}
	seen := t.group.record
	c.mu.Unlock()
	if len(resumed) == 0 {
		return
	}
	r := seen.record
	r.Resuming, r.Writer = maps.Clone(r.Resuming), c.cfg.UniqueID()
	for _, name := range resumed {
		delete(r.Resuming, name)
	}
	if err := t.write(ctx, r, seen.version); err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Msg("responses of resumed replicas not recorded")
	}
}
