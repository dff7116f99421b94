package usage

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

const (
	// closeDivisor divides Windows.Late to give the time after the end of a window at which
	// it is closed although final snapshots are missing. The rest is left for retries.
	closeDivisor = 2
	// collectTime is the time for which a VM that begins to act waits for missing final
	// snapshots. The sources send it what they hold twice a second, and messages that were
	// lost once more after a second.
	collectTime = 3 * time.Second
	// discoveryTime is the time for which a VM that begins to act closes no window although
	// all hubs that it knows are final: one that has just started knows only those that have
	// responded to a probe, and sources on the others have not sent it anything yet.
	discoveryTime = 2 * time.Second
	// maxProofAge is the greatest time between the beginning of the write or read that
	// proves the claim and the sending of a report.
	maxProofAge = 700 * time.Millisecond
	// rankDelay is the delay between the claims of VMs of successive ranks. It exceeds the
	// time of a read and a write of the store.
	rankDelay = 400 * time.Millisecond
	// maxActiveRank is the highest rank that acts while windows stay unrecorded, so that an
	// outage of the store does not make all hubs read the record.
	maxActiveRank = 2
	// maxStepInterval is the greatest time between two calls of Next, a store call or report
	// in between included. A VM that was frozen for longer has missed messages.
	maxStepInterval = 3500 * time.Millisecond
	// minorityNumerator and minorityDenominator give the part of Late after which a VM that
	// reaches only a minority of the hubs acts. The others record the window before, and it
	// would record its own counts only.
	minorityNumerator, minorityDenominator = 3, 5
	// storeRetryDelay and reportRetryDelay are the delays after a failed call. The platform
	// accepts 50 reports a second.
	storeRetryDelay  = 500 * time.Millisecond
	reportRetryDelay = time.Second
)

// ReporterConfig holds the settings of a Reporter.
type ReporterConfig struct {
	Self    ident.VMName
	Windows Windows
	// Lease is the time for which a claim is respected after it was first read.
	Lease time.Duration
	// UniqueID returns an identifier that no other write of any VM has.
	UniqueID func() string
}

// View is what the Reporter's VM knows about the fleet.
type View struct {
	// Rank is the rank of this VM among the live hubs. It is negative if the VM is no hub.
	Rank int
	// Minority is set if at most half of the hubs, live or not, respond to this VM.
	Minority bool
	// Hubs are the live hubs.
	Hubs []ident.VMName
	// Alive reports whether a VM responds.
	Alive func(ident.VMName) bool
	// Unsettled is the oldest window of this VM's own counts that is not known to be
	// recorded. It is valid if HasUnsettled is set.
	Unsettled    int64
	HasUnsettled bool
}

// Reporter decides what the VM that reports reads, records and sends. Times named now are
// on the monotonic clock, and those named unix are estimates of the true time since the
// start of 1970. One action is in progress at a time.
type Reporter struct {
	cfg       ReporterConfig
	collector *Collector

	seen seenRecord
	// best is the record of the newest window that this VM has seen in any era, and highest
	// the highest generation.
	best    Record
	highest uint64
	// mustRead is set if the record may have changed, and notBefore is the earliest time of
	// the next action.
	mustRead  bool
	notBefore time.Duration

	// holds is set while the newest record seen is one of this process. It was then proved
	// at provedAt and written by a write that began at writtenAt.
	holds               bool
	provedAt, writtenAt time.Duration
	// acts is set while this VM acts as the reporter, since actsSince. steppedAt is the time
	// of the newest call of Next.
	acts                 bool
	actsSince, steppedAt time.Duration
	// continuing is set after a restore of the store if this VM was the reporter and no
	// other one can have claimed since, see observe.
	continuing bool
	// adopted is the writer of the newest record of this process.
	adopted string
	// attempted is the record of the newest write, whose outcome may be uncertain.
	attempted Record
	// writers are the identifiers of the writes that may have taken effect or still may,
	// with the times at which they began.
	writers map[string]time.Duration
	// refused is the highest generation that the platform has refused.
	refused uint64

	// pending is set while the recorded window is not known to be accepted, and inherited if
	// it was recorded before the claim. attempts is the number of reports sent for it.
	pending, inherited bool
	attempts           int
	// accepted is the newest window that the platform has accepted from this VM.
	accepted int64
	stats    ReporterStats
}

// NewReporter returns a Reporter that reports what a collector holds.
func NewReporter(cfg ReporterConfig, collector *Collector) *Reporter {
	return &Reporter{cfg: cfg, collector: collector, mustRead: true, writers: map[string]time.Duration{}}
}

// Holds reports whether this VM is the reporter, as far as it knows.
func (r *Reporter) Holds() bool { return r.holds }

// Generation returns the generation of this VM's claim, or zero without one.
func (r *Reporter) Generation() uint64 {
	if !r.holds {
		return 0
	}
	return r.seen.Generation
}

// Stats returns the numbers of windows since the start.
func (r *Reporter) Stats() ReporterStats { return r.stats }

// Next returns the next action.
func (r *Reporter) Next(now, unix time.Duration, v View) Action {
	if active := r.active(unix, v); active != r.acts || now > r.steppedAt+maxStepInterval {
		r.acts, r.actsSince = active, now
	}
	r.steppedAt = now
	if now < r.notBefore || !r.acts {
		return Action{}
	}
	switch {
	case r.mustRead:
		return Action{Kind: ReadRecord}
	case !r.holds:
		return r.claim(now, unix, v)
	case r.pending && r.attempts > 0 && unix >= r.cfg.Windows.Due(r.seen.Window):
		r.pending = false
		r.stats.Missed++
	case r.pending:
		return r.send(now)
	}
	return r.close(now, unix, v)
}

// active reports whether this VM acts as the reporter: the first hub, and others if windows
// stay unrecorded although they should be closed.
func (r *Reporter) active(unix time.Duration, v View) bool {
	late := r.cfg.Windows.Late
	patience := late/closeDivisor + time.Duration(v.Rank)*rankDelay
	switch {
	case v.Rank < 0 || v.Rank > maxActiveRank:
		return false
	case v.Minority:
		patience = late*minorityNumerator/minorityDenominator + time.Duration(v.Rank)*rankDelay
	case v.Rank == 0:
		return true
	}
	return v.HasUnsettled && unix >= r.cfg.Windows.End(max(v.Unsettled, r.collector.settled+1))+patience
}

// claim returns the write that makes this VM the reporter, once the claim of another one has
// been respected for long enough.
func (r *Reporter) claim(now, unix time.Duration, v View) Action {
	current := r.seen.of(r.seen.version)
	free := r.continuing || current && (r.seen.Generation == 0 || r.seen.Holder == r.cfg.Self)
	if !free && now < r.seen.at+r.cfg.Lease+time.Duration(v.Rank)*rankDelay {
		return Action{}
	}
	next := r.seen.Record
	if r.best.Window > next.Window {
		next.Window, next.Counts = r.best.Window, r.best.Counts
	}
	ended := r.cfg.Windows.At(unix) - 1
	switch {
	case !current && !r.continuing:
		// The store may have lost the records of the windows that have ended.
		if lost := max(ended, r.collector.NewestFinal(), r.collector.settled); lost > next.Window {
			next.Window, next.Counts = lost, nil
		}
	case r.continuing && r.collector.settled > next.Window:
		// Another VM has seen a write of this one that was uncertain here and is lost now. The
		// sources have dropped its counts, and nothing of it was sent.
		next.Window, next.Counts = r.collector.settled, nil
		if r.attempted.Window == next.Window {
			next.Counts = r.attempted.Counts
		}
	case next.Window == 0: // the first report is that of the newest window that has ended
		next.Window = ended - 1
		if oldest, ok := r.collector.Oldest(0); ok {
			next.Window = min(next.Window, oldest-1)
		}
	}
	next.Generation = objectapi.NextGeneration(max(r.highest, r.refused), r.seen.version)
	return r.write(now, next, Action{Claims: true})
}

// write returns the write of a record.
func (r *Reporter) write(now time.Duration, next Record, a Action) Action {
	next.Holder, next.Writer = r.cfg.Self, r.cfg.UniqueID()
	r.writers[next.Writer] = now
	r.attempted = next
	a.Kind, a.Record, a.Base = WriteRecord, next, r.seen.version
	return a
}

// send returns the report of the recorded window, or the read that proves the claim again.
func (r *Reporter) send(now time.Duration) Action {
	if now > r.provedAt+maxProofAge {
		return Action{Kind: ReadRecord}
	}
	return Action{Kind: SendReport, Record: r.seen.Record, NotAfter: r.provedAt + maxProofAge}
}

// close returns the write that records the next window once it is closed: all live sources
// have sent their final snapshots, or the time for them is over.
func (r *Reporter) close(now, unix time.Duration, v View) Action {
	w := r.cfg.Windows
	window := r.nextWindow(unix)
	if unix < w.End(window) {
		return Action{}
	}
	missing := r.collector.Missing(window, v.Hubs, v.Alive)
	over := unix >= w.End(window)+w.Late/closeDivisor && now >= r.actsSince+collectTime
	if (len(missing) > 0 || v.Minority || now < r.actsSince+discoveryTime) && !over {
		return Action{}
	}
	next := r.seen.Record
	next.Window, next.Counts = window, r.collector.Totals(window)
	return r.write(now, next, Action{Missing: missing})
}

// nextWindow returns the next window to report. Windows without counts that are overdue are
// skipped, or a fleet that was off for a day would report all of it.
func (r *Reporter) nextWindow(unix time.Duration) int64 {
	next := max(r.seen.Window, r.collector.settled) + 1
	notDue := r.cfg.Windows.At(unix - r.cfg.Windows.Late)
	if next >= notDue {
		return next
	}
	if oldest, ok := r.collector.Oldest(next); ok {
		return min(oldest, notDue)
	}
	return notDue
}

// RecordRead applies the result of a read that began at startedAt. A missing object is a
// zero record.
func (r *Reporter) RecordRead(startedAt, now time.Duration, record Record, version objectapi.Version) {
	r.mustRead = false
	r.observe(now, record, version)
	r.adopt(startedAt)
}

// ReadFailed records that the record could not be read.
func (r *Reporter) ReadFailed(now time.Duration) { r.notBefore = now + storeRetryDelay }

// RecordWritten applies the outcome of the write of an action, which began at startedAt.
// version is valid if it succeeded.
func (r *Reporter) RecordWritten(startedAt, now time.Duration, a Action, outcome Outcome, version objectapi.Version) {
	switch outcome {
	case Succeeded:
		former := r.seen.Window
		r.observe(now, a.Record, version)
		r.adopt(startedAt)
		if former > 0 {
			r.stats.Skipped += skipped(former, a.Record)
		}
	case Conflicted:
		r.mustRead = true
	case Uncertain:
		r.mustRead, r.notBefore = true, now+storeRetryDelay
	case HadNoEffect:
		r.notBefore = now + storeRetryDelay
	}
}

// skipped returns the number of windows after a former one that a record passes over.
func skipped(former int64, record Record) uint64 {
	n := record.Window - former
	if n > 0 && record.Counts != nil {
		n--
	}
	return uint64(max(0, n))
}

// observe records the newest record. A version of a new era means that the store came back
// from a copy. The others respect each record for the lease after they first read it, so that
// none of them can have claimed within it after this VM's last write.
func (r *Reporter) observe(now time.Duration, record Record, version objectapi.Version) {
	changed := !r.seen.known || version != r.seen.version
	if changed {
		restored := r.seen.known && version.Era() > r.seen.version.Era()
		r.continuing = restored && !record.of(version) && r.holds && now <= r.writtenAt+r.cfg.Lease
		r.seen = seenRecord{Record: record, version: version, at: now, known: true}
	}
	if record.Window > r.best.Window {
		r.best = record
	}
	r.highest = max(r.highest, record.Generation)
	r.collector.Settle(record.Window)
}

// adopt determines whether the newest record is this VM's own. startedAt is the beginning of
// the call that has shown it.
func (r *Reporter) adopt(startedAt time.Duration) {
	writtenAt, own := r.writers[r.seen.Writer]
	if !own || !r.seen.of(r.seen.version) || r.seen.Generation <= r.refused {
		r.holds, r.pending = false, false
		return
	}
	if !r.holds || r.seen.Writer != r.adopted {
		r.adopted = r.seen.Writer
		r.writers = map[string]time.Duration{r.seen.Writer: writtenAt}
		r.inherited = !r.holds
		r.attempts = 0
		r.pending = r.seen.Counts != nil && r.seen.Window > r.accepted
	}
	r.holds, r.provedAt, r.writtenAt = true, startedAt, writtenAt
}

// ReportSent applies the outcome of the report of an action.
func (r *Reporter) ReportSent(now, unix time.Duration, a Action, outcome Outcome) {
	if r.attempts > 0 || r.inherited {
		r.stats.Repeated++
	}
	r.attempts++
	switch outcome {
	case Succeeded:
		r.pending, r.accepted = false, a.Record.Window
		switch {
		case r.inherited:
		case unix >= r.cfg.Windows.Due(a.Record.Window):
			r.stats.Late++
		default:
			r.stats.Reported++
		}
	case Conflicted:
		r.refused = max(r.refused, a.Record.Generation)
		r.holds, r.pending, r.mustRead, r.notBefore = false, false, true, now+r.cfg.Lease
	default:
		r.notBefore = now + reportRetryDelay
	}
}
