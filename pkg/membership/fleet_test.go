package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/peer"
)

const (
	// All tests passed with 300 boxes and three seeds as well, in four minutes.
	boxCount, zones = 120, 5
	// seeds is the number of random fleets that each test simulates.
	seeds = 1
)

func inFleet(t *testing.T, what string, check func(f *fleet)) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("%s (seed %d)", what, seed), t, func() {
				f := newFleet(boxCount, zones, seed)
				So(f.agreeWithin(2*time.Second), ShouldBeLessThan, time.Second)
				f.run(2 * neighbourTTL)
				check(f)
			})
		})
	}
}

func TestSessionsAreFew(t *testing.T) {
	inFleet(t, "Boxes of a large fleet keep few sessions, and send nothing but heartbeats while nothing changes", func(f *fleet) {
		So(f.maxSessions(), ShouldBeLessThanOrEqualTo, 32)
		before := f.rows
		f.run(5 * time.Second)
		So(f.rows, ShouldEqual, before)
	})
}

func TestManyBoxesLost(t *testing.T) {
	inFleet(t, "A third of the boxes die at once: the others agree on the live boxes", func(f *fleet) {
		for _, n := range f.shuffled()[:boxCount/3] {
			f.kill(n)
		}
		So(f.agreeWithin(5*time.Second), ShouldBeLessThan, time.Second)
	})
}

func TestZoneCutOff(t *testing.T) {
	inFleet(t, "A zone is cut off: each side finds the other lost, and both find each other again", func(f *fleet) {
		for _, n := range f.nodes {
			if n.Self.Zone == "zone-1" {
				n.partition = 1
			}
		}
		So(f.agreeWithin(10*time.Second), ShouldBeLessThan, sessionTimeout+time.Second)
		f.run(30 * time.Second)
		for _, n := range f.nodes {
			n.partition = 0
		}
		So(f.agreeWithin(20*time.Second), ShouldBeLessThan, 3*time.Second)
	})
}

func TestLongCut(t *testing.T) {
	inFleet(t, "A zone is cut off until its rows are removed: boxes that joined meanwhile learn of it, too", func(f *fleet) {
		for _, n := range f.nodes {
			if n.Self.Zone == "zone-1" {
				n.partition = 1
			}
		}
		f.run(30 * time.Second)
		f.add("zone-0-late", "zone-0")
		time.Sleep(lostRowTTL + time.Minute)
		f.run(5 * time.Second)
		for _, n := range f.nodes {
			n.partition = 0
		}
		So(f.agreeWithin(20*time.Second), ShouldBeLessThan, 4*time.Second)
	})
}

func TestAllKilled(t *testing.T) {
	inFleet(t, "All boxes are killed and come back: they agree within a second", func(f *fleet) {
		for _, n := range f.nodes {
			f.kill(n)
		}
		f.run(time.Second)
		for _, n := range f.nodes {
			f.start(n)
		}
		So(f.agreeWithin(5*time.Second), ShouldBeLessThan, time.Second)
	})
}

func TestManyBoxesJoin(t *testing.T) {
	inFleet(t, "Four fifths more boxes join at once", func(f *fleet) {
		for i := range boxCount * 4 / 5 {
			f.add(fmt.Sprintf("zone-%d-new-%d", i%zones, i), fmt.Sprintf("zone-%d", i%zones))
		}
		So(f.agreeWithin(10*time.Second), ShouldBeLessThan, 2*time.Second)
		f.run(2 * neighbourTTL)
		So(f.maxSessions(), ShouldBeLessThanOrEqualTo, 32)
	})
}

func TestFrozenBoxes(t *testing.T) {
	inFleet(t, "Frozen boxes are found lost, and their outdated rows change nothing when they resume", func(f *fleet) {
		frozen := f.shuffled()[:boxCount/10]
		for _, n := range frozen {
			n.frozen = true
		}
		So(f.agreeWithin(10*time.Second), ShouldBeLessThan, sessionTimeout+time.Second)
		gone := f.shuffled()[:boxCount/10]
		for _, n := range gone {
			if !n.frozen {
				f.kill(n)
			}
		}
		f.run(5 * time.Second)
		for _, n := range frozen {
			n.frozen = false
		}
		So(f.agreeWithin(10*time.Second), ShouldBeLessThan, 3*time.Second)
	})
}

func TestRollingRestart(t *testing.T) {
	inFleet(t, "Boxes restart one after the other, with the same names", func(f *fleet) {
		for _, n := range f.shuffled()[:10] {
			f.kill(n)
			f.run(20 * step)
			f.start(n)
			f.run(5 * step)
		}
		So(f.agreeWithin(5*time.Second), ShouldBeLessThan, time.Second)
	})
}

// TestLeaving checks that no box counts a leaving one.
func TestLeaving(t *testing.T) {
	inFleet(t, "A leaving box accepts no work", func(f *fleet) {
		leaving := f.nodes[f.rand.IntN(boxCount)]
		leaving.SetStatus(true, true)
		f.run(time.Second)
		for _, n := range f.nodes {
			expected := boxCount - 2
			if n == leaving {
				expected = boxCount - 1
			}
			So(n.CountLive(), ShouldEqual, expected)
		}
	})
}

// TestSmallFleet checks that all boxes of a small fleet keep sessions to all others.
func TestSmallFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, 3, 1)
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			if len(n.open) != 8 {
				names := slices.SortedFunc(func(yield func(string) bool) {
					for name := range n.open {
						if !yield(name) {
							return
						}
					}
				}, cmp.Compare[string])
				t.Errorf("%s has sessions to %v", n.Self.Box, names)
			}
		}
	})
}

// TestFollowers checks that few boxes of each zone follow the store, and that others replace
// those that do not reach it.
func TestFollowers(t *testing.T) {
	inFleet(t, "Few boxes of each zone follow the store, and others if it refuses these", func(f *fleet) {
		following := func() (reaching, trying int) {
			for _, n := range f.nodes {
				if n.IsFollower() {
					trying++
					if !n.own.StoreLost {
						reaching++
					}
				}
			}
			return reaching, trying
		}
		reaching, trying := following()
		So(reaching, ShouldEqual, zones*followersPerZone)
		So(f.nodes[0].CountFollowers(), ShouldEqual, zones*followersPerZone)
		So(trying, ShouldEqual, reaching)
		// The store refuses a third of the boxes.
		rejected := map[*node]bool{}
		for _, n := range f.shuffled()[:boxCount/3] {
			rejected[n] = true
		}
		f.tryStore(rejected)
		reaching, trying = following()
		So(reaching, ShouldBeGreaterThanOrEqualTo, zones)
		So(trying, ShouldBeLessThanOrEqualTo, zones*(followersPerZone+maxReplaced+3))
		// It serves only the two boxes of a zone that rank last.
		for _, n := range f.nodes {
			rejected[n] = true
		}
		last := f.lastFollowers("zone-1")
		delete(rejected, last[0])
		delete(rejected, last[1])
		for range 8 * boxCount / zones / 10 {
			f.tryStore(rejected)
		}
		reaching, _ = following()
		So(reaching, ShouldBeGreaterThanOrEqualTo, 1)
		f.tryStore(nil)
		// It fails for all boxes and recovers.
		for _, n := range f.nodes {
			rejected[n] = true
		}
		f.tryStore(rejected)
		_, trying = following()
		// In the five seconds, some more boxes begin to try.
		So(trying, ShouldBeLessThanOrEqualTo, zones*(followersPerZone+maxReplaced+3))
		f.tryStore(nil)
		reaching, trying = following()
		So(reaching, ShouldEqual, zones*followersPerZone)
		So(trying, ShouldEqual, reaching)
	})
}

// TestSettled checks when a starting box assumes that it knows the fleet.
func TestSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A box knows the fleet once no more changes arrive", t, func() {
			alone := &View{Self: peer.Sender{Box: "a", Incarnation: 1}}
			alone.SetStatus(true, false)
			slow := &View{Self: peer.Sender{Box: "a", Incarnation: 1}}
			slow.AddListed(peer.Sender{Box: "b", PeerAddress: "b"})
			slow.SetStatus(true, false)
			So(alone.IsSettled(time.Now()), ShouldBeFalse)
			time.Sleep(minSettleDelay + step)
			So(alone.IsSettled(time.Now()), ShouldBeTrue)
			So(slow.IsSettled(time.Now()), ShouldBeFalse)
			slow.HandleUpdate(peer.Sender{Box: "b", Incarnation: 2, PeerAddress: "b"}, peer.State{Revision: 1})
			So(slow.IsSettled(time.Now()), ShouldBeFalse)
			time.Sleep(minSettleDelay + step)
			So(slow.IsSettled(time.Now()), ShouldBeTrue)
			onlyListed := 0
			slow.AddListed(peer.Sender{Box: "c", PeerAddress: "c"})
			for _, box := range slow.Candidates(time.Now()) {
				if !box.Alive {
					onlyListed++
				}
			}
			So(onlyListed, ShouldEqual, 1)
			isolated := &View{Self: peer.Sender{Box: "a", Incarnation: 1}}
			isolated.AddListed(peer.Sender{Box: "b", PeerAddress: "b"})
			isolated.SetStatus(true, false)
			time.Sleep(maxSettleDelay + step)
			So(isolated.IsSettled(time.Now()), ShouldBeTrue)
		})
	})
}

// TestAskedBoxes checks that a session for requests is kept for requestedTTL after it was last
// wanted.
func TestAskedBoxes(t *testing.T) {
	inFleet(t, "A session for requests is kept while it is wanted, and for requestedTTL after that", func(f *fleet) {
		n := f.nodes[0]
		requested := ""
		for _, other := range f.nodes {
			if _, neighbour := n.contacts[other.Self.Box]; !neighbour && other != n {
				requested = other.Self.Box
			}
		}
		now := time.Now()
		contact, found := n.Contacts(now, []string{requested}, nil)[requested]
		So(found, ShouldBeTrue)
		So(contact.ReceivesUpdates, ShouldBeFalse)
		_, found = n.Contacts(now.Add(requestedTTL-time.Millisecond), nil, nil)[requested]
		So(found, ShouldBeTrue)
		_, found = n.Contacts(now.Add(requestedTTL+time.Millisecond), nil, nil)[requested]
		So(found, ShouldBeFalse)
	})
}

func TestCutOffBoxIsOutOfTouch(t *testing.T) {
	inFleet(t, "A box that loses the store is in touch while it receives updates of half of the fleet", func(f *fleet) {
		large, small := f.nodes[0], f.nodes[1]
		So(large.IsInTouch(), ShouldBeTrue)
		for i, n := range f.nodes {
			if n != large && (n == small || i%3 == 0) {
				n.partition = 1
			}
			n.SetStoreLost(true)
		}
		f.run(5 * time.Second)
		So(large.IsInTouch(), ShouldBeTrue)
		So(small.IsInTouch(), ShouldBeFalse)
		small.SetStoreLost(false)
		So(small.IsInTouch(), ShouldBeTrue)
	})
}
