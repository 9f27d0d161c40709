package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/pool"
	"github.com/quaylead/quaylead/pkg/settings"
)

func TestStranded(t *testing.T) {
	Convey("Given a request that waits in the queue of the only endpoint it could go to", t, func() {
		rules := settings.BuiltinDefaults().Pool
		rules.Endpoints = map[string]settings.Endpoint{
			"slow":  {Address: "slow", Slots: 1},
			"other": {Address: "other", Slots: 1, Leaving: true},
		}
		customers := map[string]settings.Customer{"ward": settings.BuiltinDefaults().Customer}
		s := &pool.Schedule{Rand: rand.New(rand.NewPCG(1, 1))}
		s.Configure(rules, customers)
		now := time.Unix(0, 0)
		ticket := &pool.Ticket{Customer: "ward", Streamed: true, Arrived: now, Granted: make(chan struct{}, 1)}
		So(s.Enqueue(ticket, now), ShouldBeNil)
		So(s.Next(now), ShouldEqual, ticket)
		later := now.Add(2 * time.Second)
		Convey("it stays while no other endpoint is free", func() {
			So(s.IsStranded(ticket, later), ShouldBeFalse)
		})
		Convey("when another is free, it goes there, once it has waited long enough", func() {
			rules.Endpoints["other"] = settings.Endpoint{Address: "other", Slots: 1}
			s.Configure(rules, customers)
			So(s.IsStranded(ticket, now), ShouldBeFalse)
			So(s.IsStranded(ticket, later), ShouldBeTrue)
			s.Finish(ticket, pool.Moved{}, later)
			So(s.Enqueue(ticket, later), ShouldBeNil)
			So(s.Next(later), ShouldEqual, ticket)
			So(ticket.Endpoint.Name, ShouldEqual, "other")
		})
		Convey("it stays once it has begun", func() {
			rules.Endpoints["other"] = settings.Endpoint{Address: "other", Slots: 1}
			s.Configure(rules, customers)
			s.Begin(ticket)
			So(s.IsStranded(ticket, later), ShouldBeFalse)
		})
	})
}
