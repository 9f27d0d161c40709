package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// TestSourceAddress guards against requests that tell an engine to copy from one that is gone or
// must get no traffic.
func TestSourceAddress(t *testing.T) {
	to := &route.Endpoint{ID: "to", Service: "llm", Address: "10.0.0.1:1"}
	addressOf := func(source *route.Endpoint) string {
		directory, _ := (*route.Directory)(nil).With([]route.Change{{After: to}, {After: source}})
		return sourceAddress(directory, source.ID, to)
	}
	source := route.Endpoint{ID: "from", Service: "llm", Address: "10.0.0.2:1"}
	Convey("The address of a listed source is used, also while it leaves", t, func() {
		So(addressOf(&source), ShouldEqual, "10.0.0.2:1")
		leaving := source
		leaving.Facts = lifecycle.Facts{Leaving: true}
		So(addressOf(&leaving), ShouldEqual, "10.0.0.2:1")
	})
	Convey("None is used if the source is gone, evacuated, of another service or release, or the engine itself", t, func() {
		So(sourceAddress(nil, "from", to), ShouldBeEmpty)
		evacuated, other, newer := source, source, source
		newer.Release = "v2"
		So(addressOf(&newer), ShouldBeEmpty)
		evacuated.Facts = lifecycle.Facts{Evacuated: true}
		other.Service = "other"
		So(addressOf(&evacuated), ShouldBeEmpty)
		So(addressOf(&other), ShouldBeEmpty)
		So(addressOf(to), ShouldBeEmpty)
	})
}

// TestLeavingMembers guards against groups that do not learn which engines are leaving, or learn
// it although nothing is copied from these.
func TestLeavingMembers(t *testing.T) {
	copying := route.Service{Name: "llm", Engine: &route.Engine{TokenBytes: 18432, CopiesCache: true}}
	directory, _ := (*route.Directory)(nil).With([]route.Change{
		{After: &route.Endpoint{ID: "stays", Service: "llm"}},
		{After: &route.Endpoint{ID: "leaves", Service: "llm", Facts: lifecycle.Facts{Leaving: true}}},
	})
	members := func(service route.Service) (ids, leaving []string) {
		p := &pool{name: "llm", service: service, directory: directory, groups: make([]*scheduler, 1)}
		endpoints, gone := p.members(0)
		for _, e := range endpoints {
			ids = append(ids, e.ID)
		}
		for _, e := range gone {
			leaving = append(leaving, e.ID)
		}
		return ids, leaving
	}
	Convey("Leaving engines are listed apart if others can copy from them", t, func() {
		ids, leaving := members(copying)
		So(ids, ShouldResemble, []string{"stays"})
		So(leaving, ShouldResemble, []string{"leaves"})
		ids, leaving = members(route.Service{Name: "llm", Engine: &route.Engine{}})
		So(ids, ShouldResemble, []string{"stays"})
		So(leaving, ShouldBeEmpty)
	})
}
