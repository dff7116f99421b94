package soak

import (
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// Kinds of faults of the usage reports.
const (
	// LoseReports loses the responses of reports. Calls may be carried out seconds later.
	LoseReports Kind = "lose-reports"
	CutDuties   Kind = "cut-duties" // of one VM
)

// usageKinds have a random source of their own, so that they leave the other faults of a seed
// as they are.
var usageKinds = []Kind{LoseReports, CutDuties}

// usageStream is the random stream of usageKinds.
const usageStream = seriesStream + 1

// usageBounds are those of the usage reports, short enough for several windows in a run.
// Clients have at most one statement each at the border of a window that may count in the
// next one, which is less than a quarter of the statements of a window.
var usageBounds = platformtest.UsageBounds{Window: 2 * time.Second, Late: 6 * time.Second, Lease: time.Second, Error: 0.25}

// loseReports loses the responses of reports for a time. Half of the faults delay the calls,
// which are then carried out after newer ones.
func (f *fleet) loseReports(fault Fault) {
	lost := platformtest.UsageFault{LoseResponse: true}
	if fault.Target%2 == 0 {
		lost.Delay = fault.For
	}
	f.duties.Usage().SetFault(func(platformtest.UsageCall) platformtest.UsageFault { return lost })
	time.Sleep(fault.For)
	f.duties.Usage().SetFault(func(platformtest.UsageCall) platformtest.UsageFault { return platformtest.UsageFault{} })
}

// watchUsage waits for a window that begins after the last fault, and checks that it is
// reported and right. Before, windows may miss what killed VMs had counted and what VMs sent
// to members that never received it.
func (f *fleet) watchUsage(limit time.Duration) {
	length := int64(usageBounds.Window)
	from := time.Unix(0, (platformtest.WindowOf(time.Now(), usageBounds.Window)+1)*length)
	until := from.Add(usageBounds.Window)
	for deadline := until.Add(limit); ; time.Sleep(100 * time.Millisecond) {
		s := f.duties.Usage().Summary(from, until)
		late := time.Now().After(deadline)
		if s.Missed > 0 && !late {
			continue
		}
		if s.Missed+s.Wrong > 0 {
			f.history.violate("usage after the last fault, %v after the end of the window: %v", time.Since(until), s.Details)
		}
		return
	}
}
