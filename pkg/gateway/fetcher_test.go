package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
)

// TestFetcher announces a version from several boxes at once.
func TestFetcher(t *testing.T) {
	type scenario struct {
		// failing are the boxes from which fetches fail.
		failing map[string]bool
		asked   int
	}
	for name, p := range map[string]*scenario{
		"One fetch is made for a version that many boxes announce":                   {asked: 1},
		"If the fetch from the first box fails, another box is asked, and only then": {failing: map[string]bool{"box-8": true}, asked: 2},
		"Boxes that all fail are asked once each, until they announce it again":      {failing: map[string]bool{"box-7": true, "box-8": true, "box-9": true}, asked: 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				known, asked := uint64(1), 0
				f := &fetcher{localVersion: func() uint64 { return known }}
				f.fetch = func(from string, version uint64) {
					asked++
					time.Sleep(10 * time.Millisecond)
					if !p.failing[from] {
						known = version
					}
				}
				group := errgroup.Group{}
				// The highest version is fetched first.
				for version, box := range map[uint64]string{7: "box-7", 9: "box-8", 8: "box-9"} {
					if len(p.failing) == 0 {
						version = 9
					}
					if f.addSource(box, version) {
						group.Go(func() error {
							synctest.Wait()
							return f.run()
						})
					}
				}
				So(group.Wait(), ShouldBeNil)
				So(asked, ShouldEqual, p.asked)
				So(f.addSource("box-1", 20), ShouldBeTrue)
			})
		})
	}
}
