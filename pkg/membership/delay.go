package membership

import "time"

const (
	// minRowsDelay is how long changed rows wait for others in a small fleet. A change crosses
	// 300 boxes in four or five hops.
	minRowsDelay = 50 * time.Millisecond
	// rowsDelayPerBox is added for each box above rowsDelayThreshold: a larger fleet has more
	// boxes that come and go, and each box forwards the changes that it receives to all its
	// neighbours. With the delay, the number of messages of a box stays about the same if the
	// same fraction of the fleet comes and goes.
	rowsDelayPerBox    = 300 * time.Microsecond
	rowsDelayThreshold = 300
	// maxRowsDelay bounds the delay: the loss of a box has to be known within a second or two.
	maxRowsDelay = 300 * time.Millisecond
)

// RowsDelay returns how long changed rows wait for others before they are sent.
func (v *View) RowsDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	more := time.Duration(max(0, len(v.boxes)-rowsDelayThreshold)) * rowsDelayPerBox
	return min(minRowsDelay+more, maxRowsDelay)
}
