// Package membership keeps which boxes of a fleet are alive, where each box has
// sessions to a few others only.
//
// Each box tells its neighbours a row of its own: whether it takes work, and which
// boxes tell it of themselves. Only the box itself changes its row; the others pass
// it on as it is. A box is alive where it is heard by a box that is alive, from this
// box on. So no box has to declare another one dead, two accounts of a box can not
// contradict each other, and a part of the fleet that is cut off drops out at once
// with the last session to it. The cost of this to a box follows from the number of its
// neighbours and from how often boxes come and go, not from the size of the fleet.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
)

// View is what one box knows of the fleet. Its exported fields are set before use. It
// is safe for concurrent use.
type View struct {
	// Self introduces this box.
	Self peer.Sender

	mu sync.Mutex
	// own is this box's row. It is told anew at ownDue, where that is not zero.
	own          entry
	ownUpdateDue time.Time
	// ownAt is when it last changed.
	ownUpdatedAt time.Time
	// rows are those of other incarnations, alive or not.
	rows map[uint64]*entry
	// heard are the boxes that tell this one of themselves.
	senders map[uint64]*sender
	// clock counts what became news, startedAt is when this box's row first did, and
	// newsAt when any last did.
	changeCount             uint64
	startedAt, lastChangeAt time.Time
	// log holds the changes in the order of the clock; that a row has changed again
	// since is told by its own news.
	log []change
	// live holds the rows of the other boxes that are alive; nil after a change.
	// Takers are those of them that take work.
	live, accepting []*entry
	// version counts the changes after which live is nil.
	version uint64
	// standing and recent hold what was last found of the fleet, for a while.
	candidateCache candidateCache
	recentCount    recentCount
	// all are the candidates in boxes: they are looked over far more often than looked up.
	all []*knownBox
	// boxes are all that were ever heard of, by name.
	boxes map[string]*knownBox
	// probe is a lost box that is being tried, until probeUntil.
	probing    string
	probeUntil time.Time
}

// entry is a row with what this box needs for passing it on.
type entry struct {
	peer.Row
	// news is the clock when it last changed.
	lastChange uint64
	// from are the boxes that told the change; they need not be told it.
	knownBy []string
	// storeLostAt is since when the box says that it does not reach the store.
	storeLostAt time.Time
	// reached marks that the last search found the box alive.
	alive bool
	// box is what is known of the box as one to have a session to; nil where it has no address.
	box *knownBox
	// lostAt is when the box was first found not to be alive; zero while it is.
	lostAt time.Time
}

// change is what became news when the clock stood at a value.
type change struct {
	number uint64
	row    *entry
}

// source is a box with an open stream to this one.
type sender struct {
	peer.Sender
	// chosen is set where that box keeps the session by its own choice.
	chosen bool
}

const (
	// keepLost is how long the row of a box that is not alive is kept, so that an
	// older account of it is known for what it is. Sessions that last from before a
	// cut pass on changes only, and cuts of minutes are ordinary.
	lostRowTTL = 10 * time.Minute
	// newsAfter is how long a box has to be lost for its return to be news to the
	// neighbours, though its row is as it was: they may have forgotten it meanwhile.
	// It is far from keepLost, as boxes start to count at different times.
	reannounceAfter = lostRowTTL / 10
	// mostRows bounds the rows that are kept.
	maxRows = 8192
	// ownLeast is the least time between two changes of this box's row because of
	// whom it hears: while a fleet starts, a box hears another one every few
	// milliseconds, and each change crosses the fleet. Without it, each row crossed a
	// starting fleet of 350 some ten times, 5 MB for each box.
	minOwnUpdateInterval = 250 * time.Millisecond
)

// Configure notes what is in force at this box.
func (v *View) SetStatus(configured, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.own.Configured != configured || v.own.Leaving != leaving {
		v.own.Configured, v.own.Leaving = configured, leaving
		v.updateOwnRow(time.Now())
	}
}

// changeOwn makes this box's row news. The lock is held.
func (v *View) updateOwnRow(now time.Time) {
	v.ownUpdatedAt, v.ownUpdateDue = now, time.Time{}
	v.own.Sender = v.Self
	v.own.Sequence++
	v.recordChange(&v.own)
	v.own.Heard = v.own.Heard[:0:0]
	for incarnation := range v.senders {
		v.own.Heard = append(v.own.Heard, peer.ShortIncarnation(incarnation))
	}
	slices.Sort(v.own.Heard)
	v.invalidate()
}

// changeOwnSoon does so when the last change is long enough ago. The lock is held.
func (v *View) scheduleOwnUpdate() {
	v.invalidate()
	if v.ownUpdateDue.IsZero() {
		v.ownUpdateDue = v.ownUpdatedAt.Add(minOwnUpdateInterval)
	}
}

// Refresh has this box's row told anew where that is due. It reports whether it is news
// for the others.
func (v *View) Refresh(now time.Time) (news bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ownUpdateDue.IsZero() || now.Before(v.ownUpdateDue) {
		return false
	}
	v.updateOwnRow(now)
	return true
}

// changed notes that other boxes may be alive than before. The lock is held.
func (v *View) invalidate() {
	v.live = nil
	v.version++
}

// noteNews has a row told to the neighbours. The lock is held.
func (v *View) recordChange(row *entry) {
	v.changeCount++
	row.lastChange = v.changeCount
	v.lastChangeAt = time.Now()
	if v.startedAt.IsZero() {
		v.startedAt = v.lastChangeAt
	}
	if len(v.log) > 2*(len(v.rows)+1) {
		v.log = slices.DeleteFunc(v.log, func(c change) bool { return c.row.lastChange != c.number })
	}
	v.log = append(v.log, change{number: v.changeCount, row: row})
}

// Hear takes what a box tells on a stream to this one. It reports whether something
// became news for the others.
func (v *View) HandleUpdate(from peer.Sender, state peer.State) (news bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	before := v.changeCount
	if from.Incarnation == v.Self.Incarnation {
		return false
	}
	known := v.senders[from.Incarnation]
	if known == nil {
		known = &sender{Sender: from}
		v.senders[from.Incarnation] = known
		v.scheduleOwnUpdate()
	}
	known.chosen = state.Chosen
	if v.rows[from.Incarnation] == nil {
		v.merge(&peer.Row{Sender: from, Leaving: state.Leaving, Configured: state.Revision > 0}, from.Box)
	}
	for i := range state.Rows {
		v.merge(&state.Rows[i], from.Box)
	}
	if v.changeCount != before {
		v.invalidate()
	}
	return v.changeCount != before
}

func (v *View) ensureMaps() {
	if v.rows == nil {
		v.rows = map[uint64]*entry{}
		v.senders = map[uint64]*sender{}
		v.boxes = map[string]*knownBox{}
	}
}

// merge takes a row if it is newer than what is known. The lock is held.
func (v *View) merge(row *peer.Row, from string) {
	if row.Incarnation == v.Self.Incarnation {
		return
	}
	known := v.rows[row.Incarnation]
	if known != nil && known.Sequence == row.Sequence {
		if !slices.Contains(known.knownBy, from) {
			known.knownBy = append(known.knownBy, from)
		}
		return
	}
	if known != nil && known.Sequence > row.Sequence {
		return
	}
	if known == nil {
		if len(v.rows) >= maxRows {
			return
		}
		known = &entry{}
		v.rows[row.Incarnation] = known
	}
	if row.StoreLost && !known.StoreLost {
		known.storeLostAt = time.Now()
	}
	known.Row = *row
	known.knownBy = append(known.knownBy[:0], from)
	v.recordChange(known)
	known.box = v.addBox(row.Sender)
}

// Silent notes that a box's last stream to this one has ended.
func (v *View) HandlePeerLost(from peer.Sender) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.senders[from.Incarnation] != nil {
		delete(v.senders, from.Incarnation)
		v.scheduleOwnUpdate()
	}
}

// Rows are those with news since a mark, but for what a box told itself. The first ones of a
// stream are all: the box may have started again since it told them, and know none of them.
func (v *View) Rows(since uint64, to string) (rows []peer.Row, mark uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.own.Sequence == 0 {
		v.updateOwnRow(time.Now())
	}
	first, _ := slices.BinarySearchFunc(v.log, since, func(c change, since uint64) int { return cmp.Compare(c.number, since+1) })
	for _, c := range v.log[first:] {
		if c.row.lastChange == c.number && c.row.Box != to && (since == 0 || !slices.Contains(c.row.knownBy, to)) {
			rows = append(rows, c.row.Row)
		}
	}
	return rows, v.changeCount
}

// search finds the boxes that are alive: those heard here, those that they hear, and
// so on. The lock is held.
func (v *View) findLive() []*entry {
	if v.live != nil {
		return v.live
	}
	for _, one := range v.rows {
		one.alive = false
	}
	live := make([]*entry, 0, len(v.rows))
	byShort := make(map[uint32]*entry, len(v.rows))
	for incarnation, one := range v.rows {
		byShort[peer.ShortIncarnation(incarnation)] = one
	}
	reach := func(short uint32) {
		if one := byShort[short]; one != nil && !one.alive {
			one.alive = true
			live = append(live, one)
		}
	}
	for incarnation := range v.senders {
		reach(peer.ShortIncarnation(incarnation))
	}
	for i := 0; i < len(live); i++ {
		for _, short := range live[i].Heard {
			reach(short)
		}
	}
	v.live, v.accepting = live, nil
	for _, one := range live {
		if !one.Leaving {
			v.accepting = append(v.accepting, one)
		}
	}
	v.updateLost(time.Now())
	return live
}

// noteLost notes since when boxes are lost, and what their return makes news. The lock
// is held.
func (v *View) updateLost(now time.Time) {
	for incarnation, one := range v.rows {
		switch {
		case !one.alive && one.lostAt.IsZero():
			one.lostAt = now
		case !one.alive && now.Sub(one.lostAt) > lostRowTTL:
			one.lastChange = 0
			delete(v.rows, incarnation)
		case one.alive && !one.lostAt.IsZero():
			if now.Sub(one.lostAt) > reannounceAfter {
				v.recordChange(one)
			}
			one.lostAt = time.Time{}
		}
	}
}

// EachLive calls a function with each other box that is alive and takes work. The
// function may keep nothing of it.
func (v *View) EachLive(call func(*peer.Row)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	for _, one := range v.accepting {
		call(&one.Row)
	}
}

// CountLive is the number of other boxes that are alive and take work.
func (v *View) CountLive() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	return len(v.accepting)
}

const (
	// settleTime is how long no news has to come for a starting box to believe that it
	// knows the fleet: news crosses 300 boxes in a quarter of a second.
	minSettleDelay = 300 * time.Millisecond
	// settleMost is when it believes so in any case: boxes may come and go all the
	// time.
	maxSettleDelay = 3 * time.Second
)

// Settled tells whether this box, since it started, has had time to learn of the fleet.
// One that hears nobody, though others are listed, has not: it may just be slow.
func (v *View) IsSettled(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.startedAt) > maxSettleDelay {
		return true
	}
	alone := len(v.senders) == 0 && len(v.boxes) > 0
	return !alone && now.Sub(v.lastChangeAt) > minSettleDelay
}

// Version rises with each change of the boxes that are alive or of what they say.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}
