package membership

import "time"

const (
	// newsDelayLeast is how long news of boxes waits for more of it, in a small fleet. It
	// crosses 300 boxes in four or five hops.
	minRowsDelay = 50 * time.Millisecond
	// newsDelayEach is added for each box from newsDelayFrom boxes on: more of them come and
	// go, and each passes on what it hears to all its neighbours. So the messages of a box stay
	// about the same where as large a part of the fleet comes and goes.
	rowsDelayPerBox    = 300 * time.Microsecond
	rowsDelayThreshold = 300
	// newsDelayMost bounds it: a box that is gone is to be known within a second or two.
	maxRowsDelay = 300 * time.Millisecond
)

// NewsDelay is how long news of boxes waits for more of it before it is passed on.
func (v *View) RowsDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	more := time.Duration(max(0, len(v.boxes)-rowsDelayThreshold)) * rowsDelayPerBox
	return min(minRowsDelay+more, maxRowsDelay)
}
