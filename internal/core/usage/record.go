package usage

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Record is the value of the object that names the reporter and holds what it reports.
type Record struct {
	// Generation is the fencing token of the holder, see objectapi.NextGeneration.
	Generation uint64       `json:"generation"`
	Holder     ident.VMName `json:"holder"`
	// Writer is unique to each write, so that a write whose response was lost can be
	// recognised.
	Writer string `json:"writer"`
	// Window is the newest window that may have been sent or that is never sent; zero if
	// there is none yet. The windows before it are never sent for the first time.
	Window int64 `json:"window"`
	// Counts are the complete counts of Window. They are null if it must not be sent,
	// because the store has lost what was recorded of it.
	Counts Totals `json:"counts"`
}

// of reports whether the record was written in the era of a version. If it was not, the
// store came back from a copy and may have lost newer records.
func (r Record) of(version objectapi.Version) bool {
	return objectapi.GenerationEra(r.Generation) >= version.Era()
}

// seenRecord is the newest record that was read, and when it was first read.
type seenRecord struct {
	Record
	version objectapi.Version
	at      time.Duration
	known   bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// NoAction means that nothing is to be done now.
	NoAction ActionKind = iota
	// ReadRecord reads the record, see Reporter.RecordRead.
	ReadRecord
	// WriteRecord stores Action.Record if the object has the version Action.Base, see
	// Reporter.RecordWritten.
	WriteRecord
	// SendReport passes the counts of Action.Record to the platform before Action.NotAfter,
	// see Reporter.ReportSent.
	SendReport
)

// Action is what the Reporter wants to be done. Its result must be passed on before the next
// call of Reporter.Next.
type Action struct {
	Kind   ActionKind
	Record Record
	Base   objectapi.Version
	// Claims is set for a write that raises the generation.
	Claims bool
	// NotAfter is the time, on the monotonic clock, after which the report must not be sent.
	NotAfter time.Duration
	// Missing holds the VMs without whose final snapshot a window is closed.
	Missing []ident.VMName
}

// Outcome is what is known of a write or a report.
type Outcome uint8

const (
	// Succeeded means that the call took effect.
	Succeeded Outcome = iota + 1
	// Conflicted means that another version or a higher generation was found.
	Conflicted
	// Uncertain means that the call may have taken effect or may still do so.
	Uncertain
	// HadNoEffect means that the call was refused for another reason or not sent.
	HadNoEffect
)

// ReporterStats are the numbers of windows since the start.
type ReporterStats struct {
	// Reported windows were accepted in time for the first time by this VM, Late ones after
	// they were due. Repeated counts reports that were sent again.
	Reported, Late, Repeated uint64
	// Missed windows were due before the platform accepted them. Skipped ones were never
	// sent.
	Missed, Skipped uint64
}
