package dispatch

import "time"

// OtherGroupUsage is what a customer requested through one router, and was granted, in the other
// groups of engines of a service, within the window over which shares are counted, as extrapolated by
// History.RecentTotal. A customer's prompts may go to few groups only; its share is counted over all
// of them.
type OtherGroupUsage struct {
	Requested, Granted float64
}

// otherGroupTotals sums up what all boxes reported of a customer.
type otherGroupTotals struct {
	// byBox is keyed by the hash of the name of the reporting box.
	byBox map[uint64]reportedUsage
	sum   OtherGroupUsage
}

type reportedUsage struct {
	OtherGroupUsage
	at time.Time
}

// record applies the usage that a box reported with a request.
func (e *otherGroupTotals) record(box uint64, usage OtherGroupUsage, now time.Time) {
	previous, ok := e.byBox[box]
	if !ok && usage == (OtherGroupUsage{}) {
		return
	}
	if e.byBox == nil {
		e.byBox = map[uint64]reportedUsage{}
	}
	e.byBox[box] = reportedUsage{usage, now}
	e.sum.Requested += usage.Requested - previous.Requested
	e.sum.Granted += usage.Granted - previous.Granted
}

// advance drops reports older than what they report.
func (e *otherGroupTotals) advance(now time.Time, length time.Duration) {
	for box, usage := range e.byBox {
		if now.Sub(usage.at) > length*recentBuckets/windowBuckets {
			delete(e.byBox, box)
			e.sum.Requested -= usage.Requested
			e.sum.Granted -= usage.Granted
		}
	}
	if len(e.byBox) == 0 {
		e.sum = OtherGroupUsage{}
	}
}

// totalGranted returns what the customer was granted over all groups.
func (a *account) totalGranted() float64 { return a.granted.sum + a.otherGroups.sum.Granted }

// totalRequested returns what the customer requested over all groups.
func (a *account) totalRequested() float64 { return a.requested.sum + a.otherGroups.sum.Requested }
