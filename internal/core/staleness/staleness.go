// Package staleness finds the log position that a read must see so that it misses no
// commit older than its route allows.
//
// A sample is a position that a proved primary reported in answer to a question. It
// contains every commit acknowledged before the question was sent. A read that
// starts within the allowed age of that time, on a log that holds the position, is
// fresh enough.
package staleness

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// spacing thins the samples; a finer choice gains little.
	spacing = 25 * time.Millisecond
	// maxSamples bounds the memory of one group; with the spacing it covers 6 s.
	maxSamples = 256
)

type sample struct {
	at    time.Duration
	point ident.LogPoint
}

// Samples are the samples of one group, oldest first.
type Samples struct{ list []sample }

// Add records the position that the primary reported to a question sent at a time.
func (s *Samples) Add(sentAt time.Duration, point ident.LogPoint) {
	if point.IsZero() {
		return
	}
	n := len(s.list)
	if n > 0 && sentAt < s.list[n-1].at+spacing {
		return
	}
	if n > 0 && point.Compare(s.list[n-1].point) < 0 {
		// An answer of a replaced primary: a later primary has reported already.
		return
	}
	if n == maxSamples {
		s.list = append(s.list[:0], s.list[1:]...)
	}
	s.list = append(s.list, sample{sentAt, point})
}

// OldestWithin returns the oldest position that is fresh enough for a read that starts at
// now; false without one.
func (s *Samples) OldestWithin(now, maxAge time.Duration) (ident.LogPoint, bool) {
	for _, sample := range s.list {
		if now-sample.at <= maxAge {
			return sample.point, true
		}
	}
	return ident.LogPoint{}, false
}
