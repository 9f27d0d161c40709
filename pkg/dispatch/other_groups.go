package dispatch

import "time"

// Elsewhere is what one router's requests of a customer asked for and got in the other groups
// of engines of a service, within the window over which shares are counted. Prompts of a
// customer may fall on few groups: what counts is what it gets over all of them.
type OtherGroupUsage struct {
	Requested, Granted float64
}

// elsewhere is what all routers told of a customer.
type otherGroupTotals struct {
	// byRouter is by the name's hash of the box that told.
	byBox map[uint64]reportedUsage
	sum   OtherGroupUsage
}

type reportedUsage struct {
	OtherGroupUsage
	at time.Time
}

// note takes what a router tells with a request.
func (e *otherGroupTotals) record(from uint64, told OtherGroupUsage, now time.Time) {
	before, had := e.byBox[from]
	if !had && told == (OtherGroupUsage{}) {
		return
	}
	if e.byBox == nil {
		e.byBox = map[uint64]reportedUsage{}
	}
	e.byBox[from] = reportedUsage{told, now}
	e.sum.Requested += told.Requested - before.Requested
	e.sum.Granted += told.Granted - before.Granted
}

// advance drops what was told before the window.
func (e *otherGroupTotals) advance(now time.Time, length time.Duration) {
	for from, told := range e.byBox {
		if now.Sub(told.at) > length {
			delete(e.byBox, from)
			e.sum.Requested -= told.Requested
			e.sum.Granted -= told.Granted
		}
	}
	if len(e.byBox) == 0 {
		e.sum = OtherGroupUsage{}
	}
}

// got is what the customer was granted over all groups.
func (a *account) totalGranted() float64 { return a.granted.sum + a.otherGroups.sum.Granted }

// wanted is what it asked for over all groups.
func (a *account) totalRequested() float64 { return a.requested.sum + a.otherGroups.sum.Requested }
