package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quaylead/quaylead/pkg/peer"
)

// knownBox is a box to which a session may be kept.
type knownBox struct {
	name, address, zone string
	// ringPositions are its positions on the contact rings, and followPosition is its position
	// on the ring that ranks the boxes for following the store.
	ringPositions  [zoneRings + fleetRings]uint64
	followPosition uint64
	// hash is the hash of the name.
	hash uint64
	// incarnation is the one last reported; 0 if the box is only listed.
	incarnation uint64
	cores       float64
	// openingSince is the time since which a session is wanted and not open; zero otherwise.
	openingSince time.Time
	// excludedUntil is the time until which the box is excluded because no session could be
	// opened, which failed failures times in a row.
	excludedUntil time.Time
	failures      int
	// neighbourUntil is the time until which its session is kept after it was last a neighbour,
	// and requestedUntil the same after a session for requests was last wanted.
	neighbourUntil, requestedUntil time.Time
	// alive is set if any of its rows is alive, and hasRow if there is a row.
	alive, hasRow bool
}

const (
	// maxMeshBoxes is the number of boxes up to which each one keeps sessions to all others:
	// about as many as the neighbours of a box in a large fleet.
	maxMeshBoxes = 12
	// zoneRings is the number of rings of the boxes of one availability zone, and fleetRings
	// that of the rings of all boxes. A box keeps sessions to the next box on each ring, and so
	// has two neighbours on each. Random rings form a graph in which any two of 300 boxes are
	// some five hops apart, and which stays connected when a third of the boxes die
	// (TestManyBoxesLost). Traffic between zones is expensive, so most edges are within them.
	zoneRings  = 2
	fleetRings = 1
	// openTimeout is how long a session may take to open before another neighbour is chosen:
	// longer than the timeout of one connection attempt, plus one more attempt.
	openTimeout = 800 * time.Millisecond
	// minExclusion is how long a box is excluded to which no session could be opened. It
	// doubles, up to maxExclusion, while none can: lists contain boxes that are long gone.
	minExclusion = 2 * time.Second
	maxExclusion = time.Minute
	// neighbourTTL is how long a session to a former neighbour is kept, so that the graph stays
	// connected while the boxes learn of each other.
	neighbourTTL = 3 * time.Second
	// requestedTTL is the same for a session that was wanted for requests: another request may
	// follow soon. A request in progress keeps the session wanted by itself.
	requestedTTL = 500 * time.Millisecond
	// probeInterval is how long one lost box is tried before the next one. Each side of a
	// network partition tries some, so that any two parts of a large fleet find each other
	// within a second or two after it heals.
	probeInterval = time.Second
	// probersPerBox is how many boxes, on average, try each lost box in one interval. If few
	// boxes are lost, all others would otherwise try the same ones: a box that recovered
	// received sessions from hundreds of boxes, each of which sent it the rows of the whole
	// fleet.
	probersPerBox = 3
)

// AddListed adds a box from a list of boxes. It may be dead.
func (v *View) AddListed(box peer.Sender) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	v.addBox(box)
}

// addBox records the address of a box. It returns nil for a box without a known address. The
// lock is held.
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
	box := &knownBox{name: name, hash: xxhash.Sum64String(name), followPosition: ringPosition(name, followRing)}
	for ring := range box.ringPositions {
		box.ringPositions[ring] = ringPosition(name, ring)
	}
	return box
}

// Contacts returns the boxes to which this one keeps sessions: its neighbours, the boxes that
// chose this one, a lost box that is probed, and the requested ones. The connected boxes are
// those to which a session is open.
func (v *View) Contacts(now time.Time, requested []string, connected map[string]bool) map[string]peer.Contact {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureMaps()
	v.updateFailures(now, connected)
	v.updateAlive()
	contacts := map[string]peer.Contact{}
	for _, box := range v.neighbours(now) {
		box.neighbourUntil = now.Add(neighbourTTL)
		contacts[box.name] = peer.Contact{Address: box.address, ReceivesUpdates: true, Chosen: true}
	}
	v.addFormerNeighbours(contacts, now)
	v.addReciprocal(contacts)
	if box := v.probeTarget(now); box != nil && contacts[box.name].Address == "" {
		contacts[box.name] = peer.Contact{Address: box.address, ReceivesUpdates: true, Chosen: true}
	}
	v.addRequested(contacts, requested, now)
	v.updateOpening(contacts, now, connected)
	return contacts
}

// updateFailures excludes boxes whose sessions do not open in time. The lock is held.
func (v *View) updateFailures(now time.Time, connected map[string]bool) {
	for _, box := range v.all {
		switch {
		case box.openingSince.IsZero():
		case connected[box.name]:
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

// updateOpening records since when the sessions to contacts are being opened. The lock is held.
func (v *View) updateOpening(contacts map[string]peer.Contact, now time.Time, connected map[string]bool) {
	for _, box := range v.all {
		if box.openingSince.IsZero() {
			continue
		}
		if _, wanted := contacts[box.name]; !wanted {
			box.openingSince = time.Time{}
		}
	}
	for name := range contacts {
		if box := v.boxes[name]; box != nil && box.openingSince.IsZero() && !connected[name] {
			box.openingSince = now
		}
	}
}

// updateAlive updates alive and hasRow of all known boxes. The lock is held.
func (v *View) updateAlive() {
	for _, box := range v.all {
		box.alive, box.hasRow = false, false
	}
	v.findLive()
	for _, row := range v.rows {
		if box := row.box; box != nil {
			box.hasRow = true
			box.alive = box.alive || row.alive
		}
	}
}

// neighbours returns the boxes that this one chooses itself. The lock is held.
func (v *View) neighbours(now time.Time) []*knownBox {
	var usable []*knownBox
	for _, box := range v.all {
		// Boxes that are only listed are tried, too: their rows arrive with the session.
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

// nextOnRing returns the box that follows this one on a ring. The lock is held.
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

// ringPosition returns the position of a box on a ring.
func ringPosition(box string, ring int) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], xxhash.Sum64String(box))
	binary.LittleEndian.PutUint64(bytes[8:], uint64(ring))
	return xxhash.Sum64(bytes[:])
}

// addFormerNeighbours keeps the sessions to former neighbours for neighbourTTL. The lock is
// held.
func (v *View) addFormerNeighbours(contacts map[string]peer.Contact, now time.Time) {
	for _, box := range v.all {
		if now.Before(box.neighbourUntil) && contacts[box.name].Address == "" {
			contacts[box.name] = peer.Contact{Address: box.address, ReceivesUpdates: true, Chosen: true}
		}
	}
}

// addReciprocal adds the boxes that chose this one, as updates flow in both directions. The
// lock is held.
func (v *View) addReciprocal(contacts map[string]peer.Contact) {
	for _, from := range v.senders {
		if from.chosen && from.Box != v.Self.Box && contacts[from.Box].Address == "" {
			contacts[from.Box] = peer.Contact{Address: from.PeerAddress, ReceivesUpdates: true}
		}
	}
}

// addRequested adds the boxes to which sessions for requests are wanted, or were within
// requestedTTL: requests may be in progress on them. The lock is held.
func (v *View) addRequested(contacts map[string]peer.Contact, requested []string, now time.Time) {
	for _, name := range requested {
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

// probeTarget returns the lost box that is probed now, or nil. The lock is held.
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
