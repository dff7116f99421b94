package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// boundedAge is the age of data that reads of bounded routes may have.
const boundedAge = 1500 * time.Millisecond

// outcome is what a caller was told about a write.
type outcome uint8

const (
	unknown outcome = iota
	succeeded
	refused // with the promise that nothing is kept
)

// acknowledged is a write that its caller was told of.
type acknowledged struct {
	value int
	at    time.Time
}

// history collects what callers saw. Each item has one writer, whose values increase.
type history struct {
	mu         sync.Mutex
	writes     map[string][]acknowledged // by item
	outcomes   map[string]outcome        // by id of the write or the commit
	violations []string
	reads      int
	succeeded  int
}

func newHistory() *history {
	return &history{writes: map[string][]acknowledged{}, outcomes: map[string]outcome{}}
}

func (h *history) violate(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, arguments...))
}

// wrote records the answer to a write or a commit and returns what it says.
func (h *history) wrote(id, item string, value int, reply platformtest.Reply, err error) outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	told := unknown
	switch {
	case err == nil && reply.Code == "":
		told = succeeded
		h.writes[item] = append(h.writes[item], acknowledged{value, time.Now()})
		h.succeeded++
	case err == nil && platformtest.GuaranteesNoEffect(reply.Code):
		told = refused
	}
	h.outcomes[id] = told
	return told
}

// notCommitted records a statement of a transaction that no client commits.
func (h *history) notCommitted(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[id] = refused
}

// least returns the value that a read which starts now must see at least, if it may
// miss what was acknowledged within age.
func (h *history) least(item string, age time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	writes, limit := h.writes[item], time.Now().Add(-age)
	for i := len(writes) - 1; i >= 0; i-- {
		if !writes[i].at.After(limit) {
			return writes[i].value
		}
	}
	return 0
}

func (h *history) read() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
}

// check compares what callers were told of their writes with the log of the group.
func (h *history) check(committed map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, told := range h.outcomes {
		switch n := committed[id]; {
		case told == succeeded && n == 0:
			h.violations = append(h.violations, fmt.Sprintf("write %q was acknowledged and is lost", id))
		case told == refused && n > 0:
			h.violations = append(h.violations, fmt.Sprintf("write %q was refused or not committed and is kept", id))
		}
	}
}

// checkRevoked reports statements of an organisation that ran after its key was
// withdrawn for the bound.
func (h *history) checkRevoked(organisation string, withdrawn time.Time, arrivals []time.Time) {
	for _, at := range arrivals {
		if at.After(withdrawn.Add(revokeBound)) {
			h.violate("%s ran %v after its key was withdrawn", organisation, at.Sub(withdrawn))
			return
		}
	}
}

// checkRate reports a window in which an organisation got more than its rate allows.
func (h *history) checkRate(organisation string, rate, burst float64, arrivals []time.Time) {
	const window = 5 * time.Second
	limit := int((rate*window.Seconds()+burst)*1.1 + 20)
	first := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > window {
			first++
		}
		if n := i - first + 1; n > limit {
			h.violate("%s ran %d statements in %v, %d are allowed", organisation, n, window, limit)
			return
		}
	}
}
