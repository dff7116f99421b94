package limits

import (
	"slices"
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// leads caches whether this VM is the holder that is asked first for an organisation. The
// buckets are refreshed 20 times a second, and ranking the holders for thousands of
// organisations each time would take a fifth of a core.
type leads struct {
	mu      sync.Mutex
	holders []placement.VM
	known   map[ident.OrganisationName]bool
}

func (l *leads) contains(holders []placement.VM, self ident.VMName, organisation ident.OrganisationName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil || !slices.Equal(l.holders, holders) {
		l.holders, l.known = slices.Clone(holders), map[ident.OrganisationName]bool{}
	}
	lead, ok := l.known[organisation]
	if !ok {
		lead = placement.RankOf(holders, takeKey(organisation), self) == 0
		l.known[organisation] = lead
	}
	return lead
}
