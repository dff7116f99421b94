package usage

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Reporter passes the report of a window to the platform. token is the fencing token of the
// holder. The error carries PlatformConflict if a higher token was seen, PlatformQuota if
// the platform accepts no more calls for the moment, and PlatformDown if the call may still
// take effect.
type Reporter interface {
	ReportUsage(ctx context.Context, holder ident.VMName, token uint64, window int64, counts map[ident.OrganisationName]uint64) error
}
