package membership

import "time"

const (
	// followersEach is the number of boxes of an availability zone that follow the
	// store for all. Calls of the store are dear and limited; a zone's store may turn
	// one away, and one may be gone for the seconds until the others notice.
	followersEach = 2
	// mostPassedOver is the number of boxes of a zone, out of reach of the store, that
	// others stand in for: in an outage of the store as few try as this and
	// followersEach. Where a third of the boxes is turned away, so are all four of a
	// zone in 1 of 80 zones, and other zones follow.
	mostPassedOver = 2
	// passMore is the time after which they stand in for one more, while the first of
	// these does not come back: where the store serves few boxes, one of them is found,
	// and in an outage for all the number of those that try grows slowly.
	passMore = 2 * time.Second
	// followRing is the ring that ranks the boxes for following the store, other than
	// those of contacts.
	followRing = 1000
)

// Follows tells whether it falls to this box to follow the store.
func (v *View) Follows() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.search()
	before := ahead{}
	own := position(v.Self.Box, followRing)
	for _, one := range v.takers {
		if one.Zone != v.Self.Zone || one.box == nil || one.box.follows >= own {
			continue
		}
		before.count(one)
	}
	return before.standing() < followersEach
}

// ahead counts boxes that come before another one.
type ahead struct {
	reaching, lost int
	// longest is how long one of those that do not reach the store has not.
	longest time.Duration
}

func (a *ahead) count(one *entry) {
	if one.StoreLost {
		a.lost++
		a.longest = max(a.longest, time.Since(one.storeLostAt))
		return
	}
	a.reaching++
}

// standing are those for which no other box stands in.
func (a *ahead) standing() int {
	passedOver := min(a.lost, mostPassedOver+int(a.longest/passMore))
	return a.reaching + a.lost - passedOver
}

// Turn is the number of other boxes that come before this one where all have just started and
// some have to read the store first: those that live, and those that are listed and were not
// heard of yet. Those with more processor time come first: reading a large table and telling it
// takes a small box many times as long, and all wait for it. A box of a large fleet knows a part
// of the list only, so that somewhat more boxes find themselves to be among the first.
func (v *View) Turn() (count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prepare()
	v.noteLive()
	now := time.Now()
	for _, box := range v.all {
		if (box.alive || (!box.heardOf && now.After(box.failedUntil))) && v.readsFirst(box) {
			count++
		}
	}
	return count
}

// Ahead is the number of boxes before this one, as of Turn, that are alive and reach the store,
// or for which no other one stands in.
func (v *View) Ahead() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prepare()
	v.search()
	before := ahead{}
	for _, one := range v.takers {
		if one.box != nil && v.readsFirst(one.box) {
			before.count(one)
		}
	}
	return before.standing()
}

// readsFirst tells whether a box comes before this one in the order of Turn.
func (v *View) readsFirst(box *candidate) bool {
	if box.cores != v.Self.Cores {
		return box.cores > v.Self.Cores
	}
	return box.follows < position(v.Self.Box, followRing)
}

// Followers is the number of boxes that follow the store, or try to.
func (v *View) Followers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.search()
	zones := map[string]int{v.Self.Zone: 1}
	for _, one := range v.takers {
		zones[one.Zone]++
	}
	followers := 0
	for _, boxes := range zones {
		followers += min(boxes, followersEach)
	}
	return followers
}

// NoteStore notes whether this box's calls of the store fail.
func (v *View) NoteStore(lost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own.StoreLost = lost
	v.changeOwn(time.Now())
}

// StoreLost tells whether the calls of another box that is alive fail.
func (v *View) StoreLost() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, one := range v.search() {
		if one.StoreLost {
			return true
		}
	}
	return false
}
