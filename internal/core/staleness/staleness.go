// Package staleness determines the log position that a replica must have applied so that
// a read on it sees every commit older than the maximum staleness of its route.
//
// A sample is a log position that a verified primary reported in response to a request.
// It covers every commit acknowledged before the request was sent. A read that starts
// within the maximum staleness of that time, on a log that contains the position, is
// fresh enough.
package staleness

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// sampleInterval is the minimum interval between samples. Denser samples would hardly
	// lower the required position.
	sampleInterval = 25 * time.Millisecond
	// maxSamples limits the memory per group. At sampleInterval it covers 6 s.
	maxSamples = 256
)

type sample struct {
	sentAt time.Duration
	point  ident.LogPoint
}

// Samples holds the samples of one group, oldest first.
type Samples struct{ list []sample }

// Add records the position that the primary reported in response to a request sent at
// sentAt.
func (s *Samples) Add(sentAt time.Duration, point ident.LogPoint) {
	if point.IsZero() {
		return
	}
	n := len(s.list)
	if n > 0 && sentAt < s.list[n-1].sentAt+sampleInterval {
		return
	}
	if n > 0 && point.Compare(s.list[n-1].point) < 0 {
		// A late response of a replaced primary: its successor has already reported.
		return
	}
	if n == maxSamples {
		s.list = append(s.list[:0], s.list[1:]...)
	}
	s.list = append(s.list, sample{sentAt, point})
}

// Newest returns the newest recorded position with its time, or false if there is none.
func (s *Samples) Newest() (sentAt time.Duration, point ident.LogPoint, ok bool) {
	if len(s.list) == 0 {
		return 0, ident.LogPoint{}, false
	}
	last := s.list[len(s.list)-1]
	return last.sentAt, last.point, true
}

// OldestWithin returns the oldest recorded position that is fresh enough for a read that
// starts at now. The result is false if there is none.
func (s *Samples) OldestWithin(now, maxAge time.Duration) (ident.LogPoint, bool) {
	for _, sample := range s.list {
		if now-sample.sentAt <= maxAge {
			return sample.point, true
		}
	}
	return ident.LogPoint{}, false
}
