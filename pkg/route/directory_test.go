package route

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"
)

func newChanges(count int) (wanted []Change) {
	for i := range count {
		e := &Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.1:%d", i)}
		e.Hash = xxhash.Sum64String(e.ID)
		wanted = append(wanted, Change{After: e})
	}
	return wanted
}

func TestDirectory(t *testing.T) {
	Convey("A change does not modify the previous directory", t, func() {
		before, changes := (*Directory)(nil).With(newChanges(100))
		So(changes, ShouldHaveLength, 100)
		moved := &Endpoint{ID: "e-7", Service: "api", Address: "10.0.0.2:1"}
		after, changes := before.With([]Change{{After: moved}, {Before: &Endpoint{ID: "e-8"}}, {Before: &Endpoint{ID: "none"}}})
		So(changes, ShouldHaveLength, 2)
		So(changes[0].Before.Service, ShouldEqual, "llm")
		So(changes[1].Before.ID, ShouldEqual, "e-8")
		So(before.EndpointsOf("llm"), ShouldHaveLength, 100)
		So(before.EndpointsOf("api"), ShouldBeEmpty)
		So(after.EndpointsOf("llm"), ShouldHaveLength, 98)
		So(after.EndpointsOf("api"), ShouldHaveLength, 1)
		_, listed := after.Find("e-8")
		So(listed, ShouldBeFalse)
		found, _ := before.Find("e-7")
		So(found.Service, ShouldEqual, "llm")
	})
	Convey("Each endpoint is in one group, and doubling the number of groups splits each in two", t, func() {
		d, _ := (*Directory)(nil).With(newChanges(1000))
		for _, groups := range []int{1, 2, 8, 64} {
			seen := 0
			for group := range groups {
				d.EachInGroup("llm", group, groups, func(e *Endpoint) bool {
					seen++
					if e.GroupOf(groups) != group || e.GroupOf(2*groups)/2 != group {
						t.Fatalf("%s is in group %d of %d and %d of %d", e.ID, e.GroupOf(groups), groups, e.GroupOf(2*groups), 2*groups)
					}
					return true
				})
			}
			So(seen, ShouldEqual, 1000)
		}
	})
	Convey("The cost of a change does not grow with the number of endpoints", t, func() {
		cost := func(count int) float64 {
			d, _ := (*Directory)(nil).With(newChanges(count))
			change := newChanges(1)
			return testing.AllocsPerRun(100, func() { d.With(change) })
		}
		So(cost(10000), ShouldBeLessThan, 2*cost(1000))
	})
}
