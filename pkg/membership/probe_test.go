package membership

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/peer"
)

// TestProbes checks that some boxes, but not all, probe a lost one.
func TestProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A lost box is probed by a few others at a time", t, func() {
			f := newFleet(boxCount, zones, 5)
			f.run(6 * time.Second)
			lost := f.nodes[7]
			f.kill(lost)
			f.run(2 * neighbourTTL)
			totalProbers, maxProbers := 0, 0
			const seconds = 10
			for range seconds {
				f.run(probeInterval)
				probers := 0
				for _, n := range f.nodes {
					if _, wanted := n.contacts[lost.Self.Box]; wanted && n != lost {
						probers++
					}
				}
				totalProbers, maxProbers = totalProbers+probers, max(maxProbers, probers)
			}
			t.Logf("%d boxes probe it at a time, %d at most", totalProbers/seconds, maxProbers)
			So(totalProbers, ShouldBeGreaterThan, 0)
			So(maxProbers, ShouldBeLessThan, 8*probersPerBox)
		})
	})
}

func TestTurn(t *testing.T) {
	Convey("When all boxes have just started, those with more processor time come first", t, func() {
		fleet := map[string]float64{"small-1": 0.2, "small-2": 0.2, "large-1": 1.6, "large-2": 1.6, "small-3": 0.2}
		turns := map[int]string{}
		for own, cores := range fleet {
			v := &View{Self: peer.Sender{Box: own, PeerAddress: own, Incarnation: 1, Cores: cores}}
			v.SetStatus(true, false)
			for other, cores := range fleet {
				v.AddListed(peer.Sender{Box: other, PeerAddress: other, Cores: cores})
			}
			turns[v.StartRank()] = own
		}
		So(turns, ShouldHaveLength, len(fleet))
		So([]string{turns[0], turns[1]}, ShouldContain, "large-1")
		So([]string{turns[0], turns[1]}, ShouldContain, "large-2")
	})
}
