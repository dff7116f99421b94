package takeover

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// record is the value of a KindGroup object.
type record struct {
	// Generation is the fencing token of the holder; it only increases.
	Generation uint64       `json:"generation"`
	Holder     ident.VMName `json:"holder"`
	// Done says that the holder's change has ended.
	Done bool `json:"done"`
	// Candidate is the member that the holder asks the platform to promote. It is written
	// before the call, and stays while the call may still take effect.
	Candidate ident.UpstreamName `json:"candidate,omitempty"`
	// Orders counts the announcements of calls and resumes, each of which is written
	// before it is sent. Called is the number of the newest call.
	Orders uint64 `json:"orders,omitempty"`
	Called uint64 `json:"called,omitempty"`
	// Resuming holds the replicas that were ordered to resume and have not answered, with
	// the number of the order.
	Resuming map[ident.UpstreamName]uint64 `json:"resuming,omitempty"`
	// Primary is the newest known primary.
	Primary ident.UpstreamName `json:"primary"`
	// Holders are the addresses of the upstreams, the primary included, that may hold
	// an acknowledged commit which no other one holds. See holders.go.
	Holders map[ident.UpstreamName]string `json:"holders"`
	// Writer is unique to each write, so that a write whose answer was lost is
	// recognised.
	Writer string `json:"writer"`
}

// seenRecord is the newest record that this VM has read, and when it first did.
type seenRecord struct {
	record
	version objectapi.Version
	at      time.Duration
	// old says that it was done when this VM first looked.
	old bool
	// calledAt and resumingAt are the times at which this VM first saw the orders. Other
	// changes of the record don't move them, else VMs that take turns would wait for ever.
	calledAt   time.Duration
	resumingAt map[ident.UpstreamName]time.Duration
}

// follow returns a newer record as seen at now.
func (s seenRecord) follow(r record, version objectapi.Version, now time.Duration) seenRecord {
	next := seenRecord{record: r, version: version, at: now, old: r.Done && s.at == 0, calledAt: now, resumingAt: map[ident.UpstreamName]time.Duration{}}
	if s.at > 0 && r.Called == s.Called {
		next.calledAt = s.calledAt
	}
	for name, order := range r.Resuming {
		next.resumingAt[name] = now
		if at, known := s.resumingAt[name]; known && s.Resuming[name] == order {
			next.resumingAt[name] = at
		}
	}
	return next
}

// pending returns the candidate of a call that may still take effect.
func (s seenRecord) pending(now time.Duration) ident.UpstreamName {
	if s.Done || now >= s.calledAt+lateOrder {
		return ""
	}
	return s.Candidate
}

// unanswered returns the resumes that may still be carried out.
func (s seenRecord) unanswered(now time.Duration) map[ident.UpstreamName]uint64 {
	out := map[ident.UpstreamName]uint64{}
	for name, order := range s.Resuming {
		if now < s.resumingAt[name]+lateOrder {
			out[name] = order
		}
	}
	return out
}

var (
	errClaimed = errors.New("another VM replaces the primary")
	errResumed = errors.New("a replica was ordered to resume meanwhile")
	errPending = errors.New("an earlier call may still take effect")
)

// claim raises the generation and returns it.
func (t *attempt) claim(ctx context.Context) (uint64, error) {
	c := t.controller
	seen, err := t.read(ctx)
	if err != nil {
		return 0, err
	}
	if seen.Generation > 0 && seen.Holder != c.cfg.Self && c.respected(seen) {
		return 0, errClaimed
	}
	// The call of an earlier generation may take effect at any moment. A promotion of
	// another member that was verified before would lose what is committed after it.
	t.bound = seen.pending(c.cfg.Now())
	next := seen.record
	next.Generation, next.Holder, next.Done, next.Writer = seen.Generation+1, c.cfg.Self, false, c.cfg.UniqueID()
	next.Candidate, next.Resuming = t.bound, seen.unanswered(c.cfg.Now())
	t.record = next
	return next.Generation, t.write(ctx, next, seen.version)
}

// respected reports whether the turn of another holder is to be left alone: its claim
// while it may be at work, and the time between two holders after it. The turn of a
// VM that does not answer is not. A change that had ended before this VM first looked
// is taken for an old one.
func (c *Controller) respected(seen seenRecord) bool {
	now := c.cfg.Now()
	alive := placement.Index(c.cfg.Hubs(), seen.Holder) >= 0
	return now < seen.at+c.cfg.MinHolderInterval || alive && !seen.old && now < seen.at+claimTime
}

// read reads the group's record.
func (t *attempt) read(ctx context.Context) (seenRecord, error) {
	c := t.controller
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.cfg.Store.Get(ctx, KindGroup, string(t.group.name))
	var r record
	switch {
	case resultcode.Is(err, resultcode.PlatformNotFound):
		o = objectapi.Object{}
	case err != nil:
		return seenRecord{}, err
	default:
		if err := o.Decode(&r); err != nil {
			return seenRecord{}, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.group.record.version != o.Version || t.group.record.at == 0 {
		t.group.record = t.group.record.follow(r, o.Version, c.cfg.Now())
	}
	return t.group.record, nil
}

// write stores a record by conditional update. A write without an answer is read
// back; it may also take effect later, but then only in place of this version.
func (t *attempt) write(ctx context.Context, r record, base objectapi.Version) error {
	c := t.controller
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.cfg.Store.Put(call, KindGroup, string(t.group.name), r, base)
	if err == nil {
		c.mu.Lock()
		t.group.record = t.group.record.follow(r, o.Version, c.cfg.Now())
		c.mu.Unlock()
	}
	if err == nil || !resultcode.Is(err, resultcode.PlatformDown) {
		return err
	}
	seen, readErr := t.read(ctx)
	if readErr == nil && seen.Writer == r.Writer {
		return nil
	}
	return errors.CombineErrors(err, readErr)
}

// own reads the record and returns it if this attempt is the newest one.
func (t *attempt) own(ctx context.Context) (seenRecord, error) {
	seen, err := t.read(ctx)
	if err == nil && (seen.Generation != t.record.Generation || seen.Holder != t.controller.cfg.Self) {
		err = errClaimed
	}
	return seen, err
}

// announce records the candidate before the platform is asked to promote it.
func (t *attempt) announce(ctx context.Context, candidate ident.UpstreamName) error {
	seen, err := t.own(ctx)
	if err != nil {
		return err
	}
	if seen.Orders != t.record.Orders {
		return errResumed // which voids the proof that the candidate holds every commit
	}
	r := seen.record
	r.Orders++
	r.Called, r.Candidate, r.Writer = r.Orders, candidate, t.controller.cfg.UniqueID()
	return t.write(ctx, r, seen.version)
}

// finish marks the change as done, so that the next one need not wait.
func (t *attempt) finish(ctx context.Context, primary ident.UpstreamName) {
	seen, err := t.own(ctx)
	if err == nil {
		r := seen.record
		r.Done, r.Primary, r.Candidate, r.Writer = true, primary, "", t.controller.cfg.UniqueID()
		err = t.write(ctx, r, seen.version)
	}
	if err != nil {
		t.log(t.controller.cfg.Log.Warn()).Err(err).Msg("takeover not marked as done")
	}
}
