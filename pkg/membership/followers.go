package membership

import "time"

const (
	// followersEach is the number of boxes of an availability zone that follow the
	// store for all. Calls of the store are dear and limited; a zone's store may turn
	// one away, and one may be gone for the seconds until the others notice.
	followersPerZone = 2
	// mostPassedOver is the number of boxes of a zone, out of reach of the store, that
	// others stand in for: in an outage of the store as few try as this and
	// followersEach. Where a third of the boxes is turned away, so are all four of a
	// zone in 1 of 80 zones, and other zones follow.
	maxReplaced = 2
	// passMore is the time after which they stand in for one more, while the first of
	// these does not come back: where the store serves few boxes, one of them is found,
	// and in an outage for all the number of those that try grows slowly.
	replaceInterval = 2 * time.Second
	// followRing is the ring that ranks the boxes for following the store, other than
	// those of contacts.
	followRing = 1000
)

// Follows tells whether it falls to this box to follow the store.
func (v *View) IsFollower() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	before := predecessors{}
	own := ringPosition(v.Self.Box, followRing)
	for _, one := range v.accepting {
		if one.Zone != v.Self.Zone || one.box == nil || one.box.followPosition >= own {
			continue
		}
		before.count(one)
	}
	return before.notReplaced() < followersPerZone
}

// ahead counts boxes that come before another one.
type predecessors struct {
	withStore, withoutStore int
	// longest is how long one of those that do not reach the store has not.
	longestLost time.Duration
}

func (a *predecessors) count(one *entry) {
	if one.StoreLost {
		a.withoutStore++
		a.longestLost = max(a.longestLost, time.Since(one.storeLostAt))
		return
	}
	a.withStore++
}

// standing are those for which no other box stands in.
func (a *predecessors) notReplaced() int {
	passedOver := min(a.withoutStore, maxReplaced+int(a.longestLost/replaceInterval))
	return a.withStore + a.withoutStore - passedOver
}

// Turn is the number of other boxes that come before this one where all have just started and
// some have to read the store first: those that live, and those that are listed and were not
// heard of yet. Those with more processor time come first: reading a large table and telling it
// takes a small box many times as long, and all wait for it. A box of a large fleet knows a part
// of the list only, so that somewhat more boxes find themselves to be among the first.
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

// Ahead is the number of boxes before this one, as of Turn, that are alive and reach the store,
// or for which no other one stands in.
func (v *View) LiveAhead() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	v.findLive()
	before := predecessors{}
	for _, one := range v.accepting {
		if one.box != nil && v.ranksBefore(one.box) {
			before.count(one)
		}
	}
	return before.notReplaced()
}

// readsFirst tells whether a box comes before this one in the order of Turn.
func (v *View) ranksBefore(box *knownBox) bool {
	if box.cores != v.Self.Cores {
		return box.cores > v.Self.Cores
	}
	return box.followPosition < ringPosition(v.Self.Box, followRing)
}

// Followers is the number of boxes that follow the store, or try to.
func (v *View) CountFollowers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	zones := map[string]int{v.Self.Zone: 1}
	for _, one := range v.accepting {
		zones[one.Zone]++
	}
	followers := 0
	for _, boxes := range zones {
		followers += min(boxes, followersPerZone)
	}
	return followers
}

// NoteStore notes whether this box's calls of the store fail.
func (v *View) SetStoreLost(lost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own.StoreLost = lost
	v.updateOwnRow(time.Now())
}

// StoreLost tells whether the calls of another box that is alive fail.
func (v *View) AnyStoreLost() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, one := range v.findLive() {
		if one.StoreLost {
			return true
		}
	}
	return false
}
