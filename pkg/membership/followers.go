package membership

import "time"

const (
	// followersPerZone is the number of boxes of an availability zone that follow the store for
	// all others. Calls of the store are expensive and rate-limited; a zone's store may refuse
	// one of the two, or one may be gone for the seconds until the others notice.
	followersPerZone = 2
	// maxReplaced is the number of boxes of a zone that cannot reach the store and are replaced
	// by others: in an outage of the store, no more boxes try it than this plus
	// followersPerZone. If the store refuses a third of the boxes, it refuses all four of a
	// zone in 1 of 80 zones, and other zones still follow.
	maxReplaced = 2
	// replaceInterval is the time after which one more box is replaced while the one lost first
	// does not recover. So if the store serves only a few boxes, one of them is found, and in
	// an outage for all the number of boxes that try grows slowly.
	replaceInterval = 2 * time.Second
	// followRing is the ring that ranks the boxes for following the store. It is not one of the
	// contact rings.
	followRing = 1000
)

// IsFollower reports whether this box has to follow the store.
func (v *View) IsFollower() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	preceding := predecessors{}
	own := ringPosition(v.Self.Box, followRing)
	for _, row := range v.accepting {
		if row.Zone != v.Self.Zone || row.box == nil || row.box.followPosition >= own {
			continue
		}
		preceding.add(row)
	}
	return preceding.countNotReplaced() < followersPerZone
}

// predecessors counts the boxes that rank before another one, by whether they reach the store.
type predecessors struct {
	withStore, withoutStore int
	// longestLost is the longest time for which one of those without the store has not reached
	// it.
	longestLost time.Duration
}

func (p *predecessors) add(row *entry) {
	if row.StoreLost {
		p.withoutStore++
		p.longestLost = max(p.longestLost, time.Since(row.storeLostAt))
		return
	}
	p.withStore++
}

// countNotReplaced returns the number of boxes that are not replaced by others.
func (p *predecessors) countNotReplaced() int {
	replaced := min(p.withoutStore, maxReplaced+int(p.longestLost/replaceInterval))
	return p.withStore + p.withoutStore - replaced
}

// StartRank returns the number of other boxes that come before this one when all have just
// started and some have to read the store first: those that are alive, and those that are
// listed and have sent no row yet. Boxes with more processor time come first: reading a large
// table and forwarding it takes a small box many times as long, and all others wait for it. A
// box of a large fleet knows only a part of the list, so somewhat more boxes than intended find
// themselves among the first.
func (v *View) StartRank() (count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	v.updateAlive()
	now := time.Now()
	for _, box := range v.all {
		if (box.alive || (!box.hasRow && now.After(box.excludedUntil))) && v.ranksBefore(box) {
			count++
		}
	}
	return count
}

// LiveAhead returns the number of boxes of a lower StartRank that are alive and reach the
// store, or are not replaced by another one.
func (v *View) LiveAhead() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	v.findLive()
	preceding := predecessors{}
	for _, row := range v.accepting {
		if row.box != nil && v.ranksBefore(row.box) {
			preceding.add(row)
		}
	}
	return preceding.countNotReplaced()
}

// ranksBefore reports whether a box comes before this one in the order of StartRank. The lock
// is held.
func (v *View) ranksBefore(box *knownBox) bool {
	if box.cores != v.Self.Cores {
		return box.cores > v.Self.Cores
	}
	return box.followPosition < ringPosition(v.Self.Box, followRing)
}

// CountFollowers returns the number of boxes that follow the store, or try to.
func (v *View) CountFollowers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	zones := map[string]int{v.Self.Zone: 1}
	for _, row := range v.accepting {
		zones[row.Zone]++
	}
	followers := 0
	for _, boxes := range zones {
		followers += min(boxes, followersPerZone)
	}
	return followers
}

// SetStoreLost sets whether this box's calls of the store fail.
func (v *View) SetStoreLost(lost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own.StoreLost = lost
	v.updateOwnRow(time.Now())
}

// IsInTouch reports whether what this box knows of the platform is up to date: its calls of the
// store succeed, or it receives updates of at least half of the other boxes. Those in a smaller
// part of a divided fleet may all have missed the same change.
func (v *View) IsInTouch() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.own.StoreLost || 2*len(v.findLive()) >= len(v.all)
}

// HearsMost reports whether at least half of the other boxes are alive, and one of them has sent this
// box an update since a time. A box without others hears all of them.
func (v *View) HearsMost(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if 2*len(v.findLive()) < len(v.all) {
		return false
	}
	for _, known := range v.senders {
		if !known.heardAt.Before(since) {
			return true
		}
	}
	return len(v.all) == 0
}

// AnyStoreLost reports whether the store calls of any other live box fail.
func (v *View) AnyStoreLost() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, row := range v.findLive() {
		if row.StoreLost {
			return true
		}
	}
	return false
}
