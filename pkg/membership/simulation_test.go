package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
)

// The timing of the simulated fleet, modelled on that of the gateway.
const (
	step           = 10 * time.Millisecond
	chooseInterval = 20 * step
	heartbeat      = 100 * step
	sessionTimeout = 250 * step
	// dialTimeout is how long an attempt to open a session takes if the other box does not
	// respond.
	dialTimeout = 50 * step
)

// node is a simulated box.
type node struct {
	View
	down, frozen bool
	// partition is the part of the network that the box is in.
	partition int
	contacts  map[string]peer.Contact
	// open are its sessions by the name of the other box.
	open map[string]*session
	// dialled is when the last attempt to open a session began.
	dialled map[string]time.Time
	phase   int
}

// session carries one box's updates to another.
type session struct {
	to *node
	// incarnation is that of the other box when the session was opened.
	incarnation uint64
	from        peer.Sender
	sentAny     bool
	mark        uint64
	sentAt      time.Time
	receivedAt  time.Time
}

// fleet simulates boxes that exchange rows over sessions, with the clock of synctest.
type fleet struct {
	rand  *rand.Rand
	nodes []*node
	names map[string]*node
	steps int
	next  uint64
	// rows counts the rows sent, and messages the messages that carried them.
	rows, messages int
}

func newFleet(boxes, zones int, seed uint64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), names: map[string]*node{}}
	for i := range boxes {
		f.add(fmt.Sprintf("zone-%d-box-%d", i%zones, i), fmt.Sprintf("zone-%d", i%zones))
	}
	return f
}

// add starts a box that has read the list of the boxes added before.
func (f *fleet) add(name, zone string) *node {
	n := &node{phase: f.rand.IntN(1000)}
	f.names[name] = n
	f.nodes = append(f.nodes, n)
	n.Self = peer.Sender{Box: name, Zone: zone, PeerAddress: name, Cores: 0.2}
	f.start(n)
	return n
}

// start gives a box a new incarnation that knows only the list.
func (f *fleet) start(n *node) {
	f.next++
	self := n.Self
	self.Incarnation = f.next
	n.View = View{Self: self}
	n.SetStatus(true, false)
	n.contacts, n.open, n.dialled = nil, map[string]*session{}, map[string]time.Time{}
	n.down, n.frozen = false, false
	for _, other := range f.nodes {
		n.AddListed(other.Self)
	}
}

// kill ends a box's process: its sessions are reset.
func (f *fleet) kill(n *node) {
	n.down = true
	for _, s := range n.open {
		f.close(n, s)
	}
	for _, other := range f.nodes {
		if s := other.open[n.Self.Box]; s != nil {
			f.close(other, s)
		}
	}
}

func (f *fleet) close(n *node, s *session) {
	delete(n.open, s.to.Self.Box)
	if !s.to.down && s.sentAny && s.to.Self.Incarnation == s.incarnation {
		s.to.HandlePeerLost(s.from)
	}
}

func (f *fleet) connected(a, b *node) bool {
	return !a.down && !b.down && !a.frozen && !b.frozen && a.partition == b.partition
}

// run advances the time.
func (f *fleet) run(length time.Duration) {
	for range int(length / step) {
		time.Sleep(step)
		f.steps++
		for _, n := range f.nodes {
			if n.down || n.frozen {
				continue
			}
			at := f.steps + n.phase
			if at%int(chooseInterval/step) == 0 {
				f.choose(n)
			}
			f.dial(n)
			if at%int(n.RowsDelay()/step) == 0 {
				f.sendUpdates(n)
			}
		}
		f.closeTimedOutSessions()
	}
}

func (f *fleet) choose(n *node) {
	connected := map[string]bool{}
	for name := range n.open {
		connected[name] = true
	}
	n.contacts = n.Contacts(time.Now(), nil, connected)
	n.Refresh(time.Now())
	for name, s := range n.open {
		if _, wanted := n.contacts[name]; !wanted {
			f.close(n, s)
		}
	}
}

func (f *fleet) dial(n *node) {
	for name := range n.contacts {
		if n.open[name] != nil || time.Since(n.dialled[name]) < dialTimeout {
			continue
		}
		n.dialled[name] = time.Now()
		to := f.names[name]
		if to == nil || !f.connected(n, to) {
			continue
		}
		n.open[name] = &session{to: to, incarnation: to.Self.Incarnation, from: n.Self, receivedAt: time.Now()}
	}
}

func (f *fleet) sendUpdates(n *node) {
	for name, s := range n.open {
		contact := n.contacts[name]
		if !contact.ReceivesUpdates || !f.connected(n, s.to) || s.to.Self.Incarnation != s.incarnation {
			continue
		}
		rows, mark := n.Rows(s.mark, name)
		if len(rows) == 0 && s.sentAny && time.Since(s.sentAt) < heartbeat {
			continue
		}
		f.rows += len(rows)
		f.messages++
		s.mark, s.sentAny, s.sentAt, s.receivedAt = mark, true, time.Now(), time.Now()
		s.to.HandleUpdate(n.Self, peer.State{Revision: 1, Chosen: contact.Chosen, Rows: rows})
	}
}

// closeTimedOutSessions closes the sessions over which nothing was received for too long.
func (f *fleet) closeTimedOutSessions() {
	for _, n := range f.nodes {
		for _, s := range n.open {
			if !f.connected(n, s.to) && time.Since(s.receivedAt) > sessionTimeout {
				f.close(n, s)
			}
		}
	}
}

// isAgreed reports whether each running box finds alive exactly the boxes of its partition.
func (f *fleet) isAgreed() bool {
	up := map[int]int{}
	for _, n := range f.nodes {
		if !n.down && !n.frozen {
			up[n.partition]++
		}
	}
	for _, n := range f.nodes {
		if !n.down && !n.frozen && n.CountLive() != up[n.partition]-1 {
			return false
		}
	}
	return true
}

// agreeWithin runs until all boxes agree, and returns how long that took, or an hour if they do
// not agree within the limit.
func (f *fleet) agreeWithin(limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && !f.isAgreed() {
		f.run(minRowsDelay)
	}
	if !f.isAgreed() {
		return time.Hour
	}
	return time.Since(start)
}

func (f *fleet) maxSessions() int {
	in := map[*node]int{}
	for _, n := range f.nodes {
		for _, s := range n.open {
			in[s.to]++
		}
	}
	counts := make([]int, 0, len(f.nodes))
	for _, n := range f.nodes {
		counts = append(counts, len(n.open)+in[n])
	}
	return slices.Max(counts)
}

// shuffled returns the boxes in random order.
func (f *fleet) shuffled() []*node {
	nodes := slices.Clone(f.nodes)
	f.rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

// lastFollowers returns the two boxes of a zone that rank last for following the store.
func (f *fleet) lastFollowers(zone string) []*node {
	var nodes []*node
	for _, n := range f.nodes {
		if n.Self.Zone == zone {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *node) int {
		return cmp.Compare(ringPosition(b.Self.Box, followRing), ringPosition(a.Self.Box, followRing))
	})
	return nodes[:2]
}

// tryStore simulates five seconds in which the followers call the store, which refuses the
// given boxes.
func (f *fleet) tryStore(rejected map[*node]bool) {
	for range 10 {
		for _, n := range f.nodes {
			if n.IsFollower() && n.own.StoreLost != rejected[n] {
				n.SetStoreLost(rejected[n])
			}
		}
		f.run(time.Second / 2)
	}
}
