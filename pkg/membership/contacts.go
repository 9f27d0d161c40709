package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/peer"
)

// candidate is a box to which a session may be kept.
type knownBox struct {
	name, address, zone string
	// rings are its positions on the rings of contacts, and follows that on the ring that
	// ranks the boxes for following the store.
	ringPositions  [zoneRings + fleetRings]uint64
	followPosition uint64
	// hash is of the name.
	hash uint64
	// incarnation is its start, as it was last heard of; 0 where it is only listed.
	incarnation uint64
	cores       float64
	// wantedAt is since when a session is wanted and does not stand; zero otherwise.
	openingSince time.Time
	// failedUntil is how long it is left out, after no session could be opened,
	// failures times in a row.
	excludedUntil time.Time
	failures      int
	// chosenUntil is how long its session is kept, after it was last a neighbour, and
	// askedUntil the same after it was last wanted for asking.
	neighbourUntil, requestedUntil time.Time
	// alive and heardOf tell of its rows.
	alive, hasRow bool
}

const (
	// meshMost is the number of boxes up to which all keep sessions to all: as many
	// as the neighbours that a box of a large fleet has about.
	maxMeshBoxes = 12
	// zoneRings is the number of rings of the boxes of one availability zone, and
	// fleetRings that of the rings of all boxes. A box keeps sessions to the next one
	// on each ring, and so has two neighbours on each. Random rings make a graph in
	// which any box is some five hops from any other of 300, and which stays in one
	// piece when a third of the boxes die (TestManyBoxesLost). Bytes between zones are
	// dear, so most edges are within them.
	zoneRings  = 2
	fleetRings = 1
	// openTime is how long a session may take to open before another neighbour is
	// chosen: more than the time-out of a connection attempt, and one more attempt.
	openTimeout = 800 * time.Millisecond
	// failFor is how long a box is left out to which no session could be opened; it
	// doubles, up to failLongest, while none can: lists name boxes that are long gone.
	minExclusion = 2 * time.Second
	maxExclusion = time.Minute
	// linger is how long a session to a former neighbour is kept, so that the graph
	// stays in one piece while the boxes learn of each other.
	neighbourTTL = 3 * time.Second
	// askedLinger is the same for a session to a box that was asked: another request may
	// follow soon. What is under way on it wants it by itself.
	requestedTTL = 500 * time.Millisecond
	// probeFor is how long one lost box is tried before the next one: each side of a
	// cut tries some, so after it any two parts of a large fleet find each other
	// within a second or two.
	probeInterval = time.Second
	// probesEach is how many boxes try a lost one in that time. Where few are lost, all others
	// would else try the same ones: a box that came back had sessions from hundreds, each of
	// which told it the whole fleet.
	probersPerBox = 3
)

// Listed notes a box that a list names. It may be dead.
func (v *View) AddListed(box peer.Sender) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	v.addBox(box)
}

// meet notes where a box is reached; nil where that is not known. The lock is held.
func (v *View) addBox(box peer.Sender) *knownBox {
	name, address := box.Box, box.PeerAddress
	known := v.boxes[name]
	if name == v.Self.Box || address == "" {
		return known
	}
	if known == nil {
		known = newKnownBox(name)
		v.boxes[name] = known
		v.all = append(v.all, known)
	}
	if known.address != address {
		known.excludedUntil, known.openingSince, known.failures = time.Time{}, time.Time{}, 0
	}
	known.address, known.zone, known.cores = address, box.Zone, box.Cores
	known.incarnation = cmp.Or(box.Incarnation, known.incarnation)
	return known
}

func newKnownBox(name string) *knownBox {
	c := &knownBox{name: name, hash: xxhash.Sum64String(name), followPosition: ringPosition(name, followRing)}
	for ring := range c.ringPositions {
		c.ringPositions[ring] = ringPosition(name, ring)
	}
	return c
}

// Contacts are the boxes to which this one keeps sessions: its neighbours, those
// that chose this one, a lost box that is tried, and those wanted for other reasons.
// Reached are the boxes to which a session stands.
func (v *View) Contacts(now time.Time, wanted []string, reached map[string]bool) map[string]peer.Contact {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	v.updateFailures(now, reached)
	v.updateAlive()
	contacts := map[string]peer.Contact{}
	for _, box := range v.neighbours(now) {
		box.neighbourUntil = now.Add(neighbourTTL)
		contacts[box.name] = peer.Contact{Address: box.address, SendsUpdates: true, Chosen: true}
	}
	v.addFormerNeighbours(contacts, now)
	v.addReciprocal(contacts)
	if box := v.probeTarget(now); box != nil && contacts[box.name].Address == "" {
		contacts[box.name] = peer.Contact{Address: box.address, SendsUpdates: true, Chosen: true}
	}
	v.addRequested(contacts, wanted, now)
	v.updateOpening(contacts, now, reached)
	return contacts
}

// noteFailures leaves out boxes whose sessions do not open. The lock is held.
func (v *View) updateFailures(now time.Time, reached map[string]bool) {
	for _, box := range v.all {
		switch {
		case box.openingSince.IsZero():
		case reached[box.name]:
			box.openingSince = time.Time{}
			box.failures = 0
		case now.Sub(box.openingSince) > openTimeout:
			box.openingSince = time.Time{}
			box.excludedUntil = now.Add(min(minExclusion<<min(box.failures, 8), maxExclusion))
			box.failures++
			box.neighbourUntil = time.Time{}
		}
	}
}

// noteWanted starts the time that sessions have for opening. The lock is held.
func (v *View) updateOpening(contacts map[string]peer.Contact, now time.Time, reached map[string]bool) {
	for _, box := range v.all {
		if box.openingSince.IsZero() {
			continue
		}
		if _, wanted := contacts[box.name]; !wanted {
			box.openingSince = time.Time{}
		}
	}
	for name := range contacts {
		if box := v.boxes[name]; box != nil && box.openingSince.IsZero() && !reached[name] {
			box.openingSince = now
		}
	}
}

// noteLive tells the candidates which of them are alive. The lock is held.
func (v *View) updateAlive() {
	for _, box := range v.all {
		box.alive, box.hasRow = false, false
	}
	v.findLive()
	for _, one := range v.rows {
		if box := one.box; box != nil {
			box.hasRow = true
			box.alive = box.alive || one.alive
		}
	}
}

// neighbours are the boxes that this one chooses itself. The lock is held.
func (v *View) neighbours(now time.Time) []*knownBox {
	var usable []*knownBox
	for _, box := range v.all {
		// Boxes that are only listed are tried: their row comes with the session.
		if (box.alive || !box.hasRow) && now.After(box.excludedUntil) {
			usable = append(usable, box)
		}
	}
	if len(usable) <= maxMeshBoxes {
		return usable
	}
	chosen := map[*knownBox]bool{}
	for ring := range zoneRings + fleetRings {
		if box := v.nextOnRing(usable, ring, ring < zoneRings); box != nil {
			chosen[box] = true
		}
	}
	neighbours := make([]*knownBox, 0, len(chosen))
	for box := range chosen {
		neighbours = append(neighbours, box)
	}
	return neighbours
}

// next is the box that follows this one on a ring. The lock is held.
func (v *View) nextOnRing(usable []*knownBox, ring int, ownZone bool) *knownBox {
	own := ringPosition(v.Self.Box, ring)
	var best *knownBox
	var bestGap uint64
	for _, box := range usable {
		if ownZone && box.zone != v.Self.Zone {
			continue
		}
		if gap := box.ringPositions[ring] - own; best == nil || gap < bestGap {
			best, bestGap = box, gap
		}
	}
	return best
}

// position is where a box stands on a ring.
func ringPosition(box string, ring int) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], xxhash.Sum64String(box))
	binary.LittleEndian.PutUint64(bytes[8:], uint64(ring))
	return xxhash.Sum64(bytes[:])
}

// addFormer keeps sessions to former neighbours for a while. The lock is held.
func (v *View) addFormerNeighbours(contacts map[string]peer.Contact, now time.Time) {
	for _, box := range v.all {
		if now.Before(box.neighbourUntil) && contacts[box.name].Address == "" {
			contacts[box.name] = peer.Contact{Address: box.address, SendsUpdates: true, Chosen: true}
		}
	}
}

// addAnswers adds the boxes that chose this one: news goes both ways. The lock is held.
func (v *View) addReciprocal(contacts map[string]peer.Contact) {
	for _, from := range v.senders {
		if from.chosen && from.Box != v.Self.Box && contacts[from.Box].Address == "" {
			contacts[from.Box] = peer.Contact{Address: from.PeerAddress, SendsUpdates: true}
		}
	}
}

// addAsked adds the boxes wanted for asking, and for a while those that were: requests
// may be under way on their sessions. The lock is held.
func (v *View) addRequested(contacts map[string]peer.Contact, wanted []string, now time.Time) {
	for _, name := range wanted {
		if box := v.boxes[name]; box != nil {
			box.requestedUntil = now.Add(requestedTTL)
		}
	}
	for _, box := range v.all {
		if now.Before(box.requestedUntil) && contacts[box.name].Address == "" {
			contacts[box.name] = peer.Contact{Address: box.address}
		}
	}
}

// probed is the lost box that is tried now; nil where none is lost. The lock is held.
func (v *View) probeTarget(now time.Time) *knownBox {
	if now.Before(v.probeUntil) {
		return v.boxes[v.probing]
	}
	v.probing, v.probeUntil = "", now.Add(probeInterval)
	var lost []*knownBox
	for _, box := range v.all {
		if !box.alive {
			lost = append(lost, box)
		}
	}
	if len(lost) == 0 || rand.Float64()*float64(len(v.all)-len(lost)+1) > probersPerBox*float64(len(lost)) {
		return nil
	}
	box := lost[rand.IntN(len(lost))]
	v.probing = box.name
	return box
}
