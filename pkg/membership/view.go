// Package membership determines which boxes of a fleet are alive, while each box keeps sessions
// to a few others only.
//
// Each box reports a row of its own to its neighbours: whether it accepts work, and from which
// boxes it receives updates. Only the box itself changes its row; the others forward it
// unchanged. A box is alive if a live box receives updates from it, starting at this box. So no
// box has to declare another one dead, two reports about a box cannot contradict each other,
// and a part of the fleet that is cut off drops out as soon as its last session ends. The cost
// for a box depends on the number of its neighbours and on how often boxes come and go, not on
// the size of the fleet.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
)

// View is one box's view of the fleet. Its exported fields are set before use. It is safe for
// concurrent use.
type View struct {
	// Self describes this box.
	Self peer.Sender

	mu sync.Mutex
	// own is this box's row. It is due for an update at ownUpdateDue, unless that is zero.
	own          entry
	ownUpdateDue time.Time
	// ownUpdatedAt is when it was last updated.
	ownUpdatedAt time.Time
	// rows are the rows of other incarnations, alive or not.
	rows map[uint64]*entry
	// senders are the boxes that have an update stream to this one.
	senders map[uint64]*sender
	// changeCount numbers the changes of rows. startedAt is the time of the first change, that
	// of this box's own row, and lastChangeAt that of the last one.
	changeCount             uint64
	startedAt, lastChangeAt time.Time
	// log holds the changes in order. A row whose lastChange differs from the number has
	// changed again since.
	log []change
	// live holds the rows of the other boxes that are alive; nil if they have to be determined
	// anew. accepting holds those of them that accept work.
	live, accepting []*entry
	// version counts the changes that reset live.
	version uint64
	// candidateCache and recentCount cache results for a short time.
	candidateCache candidateCache
	recentCount    recentCount
	// all holds the values of boxes: it is iterated far more often than a box is looked up.
	all []*knownBox
	// boxes are all boxes ever listed or reported, by name.
	boxes map[string]*knownBox
	// probing is the lost box that is probed until probeUntil.
	probing    string
	probeUntil time.Time
}

// entry is a row with what this box needs to forward it.
type entry struct {
	peer.Row
	// lastChange is the number of the row's last change.
	lastChange uint64
	// knownBy are the boxes that sent this change; it need not be sent to them.
	knownBy []string
	// storeLostAt is when the box began to report that it does not reach the store.
	storeLostAt time.Time
	// alive is set if findLive last found the box alive.
	alive bool
	// box is the known box that the row is about; nil if it has no address.
	box *knownBox
	// lostAt is when the box was first found not to be alive; zero while it is alive.
	lostAt time.Time
}

// change is one change of a row, with its number.
type change struct {
	number uint64
	row    *entry
}

// sender is a box with an open update stream to this one.
type sender struct {
	peer.Sender
	// chosen is set if that box chose to keep the session itself.
	chosen bool
	// heardAt is when its last update arrived.
	heardAt time.Time
}

const (
	// lostRowTTL is how long the row of a box that is not alive is kept: an older row of the
	// box is then recognized as such. Sessions that outlast a network partition forward changes
	// only, and partitions of minutes are common.
	lostRowTTL = 10 * time.Minute
	// reannounceAfter is how long a box has to be lost for its return to count as a change
	// although its row is the same: the neighbours may have removed the row meanwhile. It is
	// far below lostRowTTL, as boxes begin to count at different times.
	reannounceAfter = lostRowTTL / 10
	// maxRows bounds the number of rows kept.
	maxRows = 8192
	// minOwnUpdateInterval is the minimum time between two updates of this box's row because of
	// its senders: while a fleet starts, a box gets a new sender every few milliseconds, and
	// each change crosses the fleet. Without this bound, each row crossed a starting fleet of
	// 350 boxes some ten times, which is 5 MB per box.
	minOwnUpdateInterval = 250 * time.Millisecond
)

// SetStatus sets whether this box has settings in force and whether it is leaving.
func (v *View) SetStatus(configured, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.own.Configured != configured || v.own.Leaving != leaving {
		v.own.Configured, v.own.Leaving = configured, leaving
		v.updateOwnRow(time.Now())
	}
}

// updateOwnRow updates this box's row and records the change. The lock is held.
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

// scheduleOwnUpdate has this box's row updated minOwnUpdateInterval after its last update. The
// lock is held.
func (v *View) scheduleOwnUpdate() {
	v.invalidate()
	if v.ownUpdateDue.IsZero() {
		v.ownUpdateDue = v.ownUpdatedAt.Add(minOwnUpdateInterval)
	}
}

// Refresh updates this box's row if that is due. It reports whether the row has to be sent to
// the others.
func (v *View) Refresh(now time.Time) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ownUpdateDue.IsZero() || now.Before(v.ownUpdateDue) {
		return false
	}
	v.updateOwnRow(now)
	return true
}

// invalidate records that the set of live boxes may have changed. The lock is held.
func (v *View) invalidate() {
	v.live = nil
	v.version++
}

// recordChange records a change of a row, which is then sent to the neighbours. The lock is
// held.
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

// HandleUpdate handles a state received from a box. It reports whether there are changes to
// send to the others.
func (v *View) HandleUpdate(from peer.Sender, state peer.State) (changed bool) {
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
	known.chosen, known.heardAt = state.Chosen, time.Now()
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

// ensureMaps makes the zero value usable. The lock is held.
func (v *View) ensureMaps() {
	if v.rows == nil {
		v.rows = map[uint64]*entry{}
		v.senders = map[uint64]*sender{}
		v.boxes = map[string]*knownBox{}
	}
}

// merge stores a row if it is newer than the known one. The lock is held.
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

// HandlePeerLost records that a box's last stream to this one has ended.
func (v *View) HandlePeerLost(from peer.Sender) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.senders[from.Incarnation] != nil {
		delete(v.senders, from.Incarnation)
		v.scheduleOwnUpdate()
	}
}

// Rows returns the rows changed since a mark, except those that the box named by to sent
// itself, and the next mark. For the first update of a stream, with mark 0, all rows are
// returned: that box may have restarted since it sent them, and lack them all.
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

// findLive determines the live boxes: those with a stream to this one, those that these receive
// updates from, and so on. The lock is held.
func (v *View) findLive() []*entry {
	if v.live != nil {
		return v.live
	}
	for _, row := range v.rows {
		row.alive = false
	}
	live := make([]*entry, 0, len(v.rows))
	byShort := make(map[uint32]*entry, len(v.rows))
	for incarnation, row := range v.rows {
		byShort[peer.ShortIncarnation(incarnation)] = row
	}
	markLive := func(short uint32) {
		if row := byShort[short]; row != nil && !row.alive {
			row.alive = true
			live = append(live, row)
		}
	}
	for incarnation := range v.senders {
		markLive(peer.ShortIncarnation(incarnation))
	}
	for i := 0; i < len(live); i++ {
		for _, short := range live[i].Heard {
			markLive(short)
		}
	}
	v.live, v.accepting = live, nil
	for _, row := range live {
		if !row.Leaving {
			v.accepting = append(v.accepting, row)
		}
	}
	v.updateLost(time.Now())
	return live
}

// updateLost records since when boxes are lost, removes rows after lostRowTTL, and records the
// return of boxes as changes. The lock is held.
func (v *View) updateLost(now time.Time) {
	for incarnation, row := range v.rows {
		switch {
		case !row.alive && row.lostAt.IsZero():
			row.lostAt = now
		case !row.alive && now.Sub(row.lostAt) > lostRowTTL:
			row.lastChange = 0
			delete(v.rows, incarnation)
		case row.alive && !row.lostAt.IsZero():
			if now.Sub(row.lostAt) > reannounceAfter {
				v.recordChange(row)
			}
			row.lostAt = time.Time{}
		}
	}
}

// EachLive calls a function for each other box that is alive and accepts work. The function
// must not keep the row.
func (v *View) EachLive(call func(*peer.Row)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	for _, row := range v.accepting {
		call(&row.Row)
	}
}

// CountLive returns the number of other boxes that are alive and accept work.
func (v *View) CountLive() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.findLive()
	return len(v.accepting)
}

const (
	// minSettleDelay is how long a starting box must have received no change before it assumes
	// that it knows the fleet: a change crosses 300 boxes in a quarter of a second.
	minSettleDelay = 300 * time.Millisecond
	// maxSettleDelay is how long after its start it assumes so in any case: boxes may come and
	// go all the time.
	maxSettleDelay = 3 * time.Second
)

// IsSettled reports whether this box has had time to learn of the fleet since it started. A box
// that receives no updates although others are listed has not: it may just be slow.
func (v *View) IsSettled(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.startedAt) > maxSettleDelay {
		return true
	}
	alone := len(v.senders) == 0 && len(v.boxes) > 0
	return !alone && now.Sub(v.lastChangeAt) > minSettleDelay
}

// Version returns a number that rises with each change of the set of live boxes or of their
// rows.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}
