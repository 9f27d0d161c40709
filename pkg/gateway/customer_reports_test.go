package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/route"
)

func TestTakeServices(t *testing.T) {
	start := time.Unix(1000, 0)
	scheduled := func(customers int) *scheduler {
		s := &scheduler{pool: &dispatch.Pool{Rules: dispatch.DefaultRules()}}
		s.pool.Configure(route.Service{Name: "llm", Engine: &route.Engine{}}, 0)
		for i := range customers {
			for n := range i + 1 {
				s.pool.Submit(&dispatch.Request{
					ID:       fmt.Sprint(i, "/", n),
					Customer: fmt.Sprint("c", i),
					Prompt:   dispatch.Prompt{Parts: []dispatch.Part{{ID: 1, Tokens: 100}}},
					Deadline: start.Add(time.Minute),
				}, start)
			}
		}
		return s
	}
	Convey("Nothing is reported for a second in which nothing is refused", t, func() {
		So(scheduled(3).takeCustomerReports(), ShouldBeEmpty)
	})
	Convey("A refusal by this box itself is reported, together with the demand of other customers", t, func() {
		s := scheduled(1)
		s.recordLocalRefusal("flood", 500, dispatch.RefusedOverShare)
		s.recordLocalRefusal("flood", 30, dispatch.RefusedBusy)
		s.recordLocalRefusal("flood", 7, dispatch.RefusedStarting)
		reports := s.takeCustomerReports()
		So(reports, ShouldHaveLength, 2)
		So(reports[0].Customer, ShouldEqual, "flood")
		So(reports[0].localRefusals, ShouldResemble, localRefusals{overShare: 500, overloaded: 30, starting: 7})
		So(reports[1].Customer, ShouldEqual, "c0")
		So(s.takeCustomerReports(), ShouldBeEmpty)
	})
	Convey("With many customers, only those with the largest demand are reported", t, func() {
		s := scheduled(5 * maxReportedCustomers)
		s.recordLocalRefusal("c0", 1, dispatch.RefusedOverShare)
		reports := s.takeCustomerReports()
		So(reports, ShouldHaveLength, maxReportedCustomers)
		So(reports[0].Customer, ShouldEqual, fmt.Sprint("c", 5*maxReportedCustomers-1))
	})
}
