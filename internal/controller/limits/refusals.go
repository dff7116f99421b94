package limits

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// maxRefusalTime limits the time for which a refusal is remembered. Rates and share units
// may change later.
const maxRefusalTime = time.Second

// refusalKey identifies the requests that a holder refuses.
type refusalKey struct {
	organisation ident.OrganisationName
	class        int
}

// refusal is the last refusal of a holder.
type refusal struct {
	holder ident.VMName
	until  time.Duration
}

// recordRefusal remembers that a holder has no token before retryAfter has passed. The time
// counts from the sending of the request, which is not later than the decision.
func (c *Controller) recordRefusal(sentAt time.Duration, holder ident.VMName, r TakeRequest, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals[refusalKey{r.Organisation, shares.PriorityClass(r.Priority)}] = refusal{holder, sentAt + min(retryAfter, maxRefusalTime)}
}

// refusedBy reports whether a holder is known to have no token for such a request now.
func (c *Controller) refusedBy(holder ident.VMName, organisation ident.OrganisationName, priority int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := refusalKey{organisation, shares.PriorityClass(priority)}
	r, ok := c.refusals[key]
	if !ok {
		return false
	}
	if c.cfg.Now() >= r.until {
		delete(c.refusals, key)
		return false
	}
	return r.holder == holder
}
