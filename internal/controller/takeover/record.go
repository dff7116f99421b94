package takeover

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// record is the value of a KindGroup object.
type record struct {
	// Generation is the fencing token of the holder; it only increases, see
	// objectapi.NextGeneration.
	Generation uint64       `json:"generation"`
	Holder     ident.VMName `json:"holder"`
	// Done means that the holder's change has ended.
	Done bool `json:"done"`
	// Candidate is the member that the holder requests the platform to promote. It is
	// written before the call, and kept while the call may still take effect.
	Candidate ident.UpstreamName `json:"candidate,omitempty"`
	// CommandCount is the number of calls and resume commands announced, each before it is
	// sent. CallNumber is its value at the newest call.
	CommandCount uint64 `json:"orders,omitempty"`
	CallNumber   uint64 `json:"called,omitempty"`
	// Resuming holds the replicas that were commanded to resume and have not responded,
	// with the value of CommandCount at the command.
	Resuming map[ident.UpstreamName]uint64 `json:"resuming,omitempty"`
	// Demoted means that the primary has stepped down and the announced candidate holds its
	// whole log, so that a repeated call for the candidate needs no further proof.
	Demoted bool `json:"demoted,omitempty"`
	// Primary is the newest known primary. PrimaryCall is the value of CallNumber up to which
	// no call has made another member primary: if they are equal, none has since.
	Primary     ident.UpstreamName `json:"primary"`
	PrimaryCall uint64             `json:"primary_call,omitempty"`
	// Holders are the commit holders with their addresses: the upstreams, including the
	// primary, that may hold an acknowledged commit that no other one holds.
	Holders map[ident.UpstreamName]string `json:"holders"`
	// Logs describes the logs of the commit holders.
	Logs map[ident.UpstreamName]holderLog `json:"logs,omitempty"`
	// Writer is unique to each write, so that a write whose response was lost can be
	// recognised.
	Writer string `json:"writer"`
}

// holderLog identifies the log of a commit holder. A member that starts again under its name
// has an empty log, and is not the one that holds the commits.
type holderLog struct {
	// Incarnation is zero if it is not known.
	Incarnation int64                  `json:"born"`
	Zone        ident.AvailabilityZone `json:"zone"`
}

// addHolders returns the record with the registered upstreams among its commit holders. The
// logs of those that it has already are kept.
func (r record) addHolders(registered []catalog.Upstream) record {
	r.Holders, r.Logs = maps.Clone(r.Holders), maps.Clone(r.Logs)
	if r.Holders == nil {
		r.Holders = map[ident.UpstreamName]string{}
	}
	if r.Logs == nil {
		r.Logs = map[ident.UpstreamName]holderLog{}
	}
	for _, u := range registered {
		r.Holders[u.Name] = u.Address
		if _, known := r.Logs[u.Name]; !known {
			r.Logs[u.Name] = holderLog{Incarnation: u.Incarnation, Zone: u.Zone}
		}
	}
	return r
}

// logLost reports whether an upstream has started again since its log was recorded.
func (r record) logLost(u catalog.Upstream) bool {
	log, known := r.Logs[u.Name]
	return known && log.Incarnation != 0 && u.Incarnation != 0 && log.Incarnation != u.Incarnation
}

// seenRecord is the newest record that this VM has read, and when it first read it.
type seenRecord struct {
	record
	version objectapi.Version
	at      time.Duration
	// doneAtFirstRead means that the change was done when this VM first read the record.
	doneAtFirstRead bool
	// callSeenAt and resumeSeenAt are the times at which this VM first saw the call and the
	// resume commands. Other changes of the record do not reset them, or VMs that claim
	// the group alternately would wait forever.
	callSeenAt   time.Duration
	resumeSeenAt map[ident.UpstreamName]time.Duration
	// unsaved means that the record holds what the store lost when it came back from an older
	// copy.
	unsaved bool
}

// restored returns the state after an older record was read in a new era of the store, in
// which the changes known since are lost: calls and resume commands that may still take
// effect remain announced, and commit holders remain.
func (s seenRecord) restored(r record, version objectapi.Version, now time.Duration) seenRecord {
	merged := r
	merged.Generation, merged.CommandCount = max(r.Generation, s.Generation), max(r.CommandCount, s.CommandCount)
	if candidate := s.pendingCandidate(now); candidate != "" {
		merged.Candidate, merged.Demoted, merged.Done = candidate, s.Demoted, false
	}
	if r.CallNumber < s.CallNumber {
		merged.CallNumber, merged.PrimaryCall = s.CallNumber, s.PrimaryCall
	}
	merged = merged.addHolders(nil)
	merged.Resuming = maps.Clone(r.Resuming)
	if merged.Resuming == nil {
		merged.Resuming = map[ident.UpstreamName]uint64{}
	}
	maps.Copy(merged.Resuming, s.pendingResumes(now))
	maps.Copy(merged.Holders, s.Holders)
	maps.Copy(merged.Logs, s.Logs)
	if s.Primary != "" {
		merged.Primary = s.Primary
	}
	next := s.next(merged, version, now)
	next.unsaved = merged.Candidate != r.Candidate || merged.Primary != r.Primary || merged.CallNumber != r.CallNumber ||
		!maps.Equal(merged.Resuming, r.Resuming) || !maps.Equal(merged.Holders, r.Holders) || !maps.Equal(merged.Logs, r.Logs)
	return next
}

// next returns the state after a newer record was read at now.
func (s seenRecord) next(r record, version objectapi.Version, now time.Duration) seenRecord {
	next := seenRecord{record: r, version: version, at: now, doneAtFirstRead: r.Done && s.at == 0, callSeenAt: now, resumeSeenAt: map[ident.UpstreamName]time.Duration{}}
	if s.at > 0 && r.CallNumber == s.CallNumber {
		next.callSeenAt = s.callSeenAt
	}
	for name, command := range r.Resuming {
		next.resumeSeenAt[name] = now
		if at, known := s.resumeSeenAt[name]; known && s.Resuming[name] == command {
			next.resumeSeenAt[name] = at
		}
	}
	return next
}

// pendingCandidate returns the candidate of a call that may still take effect.
func (s seenRecord) pendingCandidate(now time.Duration) ident.UpstreamName {
	if s.Done || now >= s.callSeenAt+maxCommandDelay {
		return ""
	}
	return s.Candidate
}

// pendingResumes returns the resume commands that may still be executed.
func (s seenRecord) pendingResumes(now time.Duration) map[ident.UpstreamName]uint64 {
	out := map[ident.UpstreamName]uint64{}
	for name, command := range s.Resuming {
		if now < s.resumeSeenAt[name]+maxCommandDelay {
			out[name] = command
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
	if seen.Generation > 0 && seen.Holder != c.cfg.Self && c.claimActive(seen) {
		return 0, errClaimed
	}
	// The call of an earlier generation may take effect at any time. Promoting another
	// member, verified before that, would lose what is committed after it.
	t.boundCandidate = seen.pendingCandidate(c.cfg.Now())
	t.holdersKnown = len(seen.Holders) > 0
	next := seen.record.addHolders(t.registered())
	next.Generation, next.Holder, next.Done, next.Writer = objectapi.NextGeneration(seen.Generation, seen.version), c.cfg.Self, false, c.cfg.UniqueID()
	next.Candidate, next.Resuming = t.boundCandidate, seen.pendingResumes(c.cfg.Now())
	next.Demoted = seen.Demoted && t.boundCandidate != ""
	t.record = next
	return next.Generation, t.write(ctx, next, seen.version)
}

// claimActive reports whether the claim of another holder still excludes this VM: for
// MinHolderInterval after this VM first read the record, and for claimTimeout if the
// holder is a live hub. A change that was done before this VM first read the record is
// assumed to be old.
func (c *Controller) claimActive(seen seenRecord) bool {
	now := c.cfg.Now()
	alive := placement.Index(c.cfg.Hubs(), seen.Holder) >= 0
	return now < seen.at+c.cfg.MinHolderInterval || alive && !seen.doneAtFirstRead && now < seen.at+claimTimeout
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
	case err != nil:
		return seenRecord{}, err
	default:
		if err := o.Decode(&r); err != nil {
			return seenRecord{}, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch known := t.group.record; {
	case known.at > 0 && o.Version.Era() > known.version.Era():
		t.group.record = known.restored(r, o.Version, c.cfg.Now())
	case known.version != o.Version || known.at == 0:
		t.group.record = known.next(r, o.Version, c.cfg.Now())
	}
	return t.group.record, nil
}

// write stores a record by conditional update. A write without a response is read back;
// it may also take effect later, but only while the object has the version base.
func (t *attempt) write(ctx context.Context, r record, base objectapi.Version) error {
	c := t.controller
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.cfg.Store.Put(call, KindGroup, string(t.group.name), r, base)
	if err == nil {
		c.mu.Lock()
		t.group.record = t.group.record.next(r, o.Version, c.cfg.Now())
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

// readOwn reads the record and returns errClaimed if this attempt is not the newest one.
func (t *attempt) readOwn(ctx context.Context) (seenRecord, error) {
	seen, err := t.read(ctx)
	if err == nil && (seen.Generation != t.record.Generation || seen.Holder != t.controller.cfg.Self) {
		err = errClaimed
	}
	return seen, err
}

// announce records the candidate before the platform is called to promote it.
func (t *attempt) announce(ctx context.Context, candidate ident.UpstreamName) error {
	seen, err := t.readOwn(ctx)
	if err != nil {
		return err
	}
	if seen.CommandCount != t.record.CommandCount {
		return errResumed // which invalidates the proof that the candidate holds every commit
	}
	r := seen.record
	r.CommandCount++
	r.CallNumber, r.Candidate, r.Writer = r.CommandCount, candidate, t.controller.cfg.UniqueID()
	r.Demoted = t.proof == proofDemoted
	return t.write(ctx, r, seen.version)
}

// withdraw withdraws the announced candidate after a call that certainly takes no effect.
func (t *attempt) withdraw(ctx context.Context, seen seenRecord) error {
	r := seen.record
	r.Candidate, r.Demoted, r.Writer = "", false, t.controller.cfg.UniqueID()
	t.confirmPrimary(&r)
	return t.write(ctx, r, seen.version)
}

// confirmPrimary records that the primary which has stepped down in this attempt is still the
// newest one. No call of another attempt may be pending.
func (t *attempt) confirmPrimary(r *record) {
	if t.demoted != "" && t.boundCandidate == "" {
		r.Primary, r.PrimaryCall = t.demoted, r.CallNumber
	}
}

// markDone marks the change as done, so that the next one does not have to wait.
func (t *attempt) markDone(ctx context.Context, primary ident.UpstreamName) {
	seen, err := t.readOwn(ctx)
	if err == nil {
		r := seen.record
		r.Done, r.Primary, r.PrimaryCall, r.Writer = true, primary, r.CallNumber, t.controller.cfg.UniqueID()
		r.Candidate, r.Demoted = "", false
		err = t.write(ctx, r, seen.version)
	}
	if err != nil {
		t.log(t.controller.cfg.Log.Warn()).Err(err).Msg("takeover not marked as done")
	}
}
