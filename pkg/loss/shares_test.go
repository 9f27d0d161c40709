package loss

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const servicesOfOne = `Time=2026-03-05T12:08:10.000Z Level=info Event="box started" Box=box-1
Time=2026-03-05T12:08:12.000Z Level=info Event="customer's service" Service=llm/0 Customer=ward Asked=2000000 TurnedShare=0 TurnedBusy=0 Hopeless=300000 Turned=200000 Unplaced=150000 Withdrawn=0 Granted=1500000 GivenBack=100000 Begun=1400000 Answered=1200000 GrantedElsewhere=600000 Counted=5000000
Time=2026-03-05T12:08:12.100Z Level=info Event="customer's service" Service=llm/0 Customer=camp Asked=9000000 TurnedShare=1000000 Hopeless=8000000 Granted=1000000
`

const servicesOfOther = `Time=2026-03-05T12:08:12.900Z Level=info Event="customer's service" Service=llm/0 Customer=ward Asked=0 TurnedShare=4000000 TurnedBusy=70000 Granted=0
no line of a log
Time=2026-03-05T12:08:12.950Z Level=info Event="customer's service" Service=llm/0 Asked=9 Granted=9
`

func TestShares(t *testing.T) {
	read := func(shares *Shares) string {
		for box, log := range map[string]string{"box-1": servicesOfOne, "box-2": servicesOfOther} {
			_, err := Read(strings.NewReader(log), box, shares.Add)
			So(err, ShouldBeNil)
		}
		out := &strings.Builder{}
		So(shares.Write(out), ShouldBeNil)
		return out.String()
	}
	Convey("What several boxes report of a customer's second is one row, with the boxes that decided", t, func() {
		rows := strings.Split(strings.TrimSpace(read(&Shares{})), "\n")
		So(rows, ShouldHaveLength, 4)
		So(strings.Fields(rows[2]), ShouldResemble, strings.Fields("2 camp 9000 1000 0 0 8000 0 0 0 1000 0 0 0 0 0 box-1 box-1"))
		So(strings.Fields(rows[3]), ShouldResemble, strings.Fields("2 ward 2000 4000 70 0 300 200 150 0 1500 100 1400 1200 600 5000 box-1 box-2"))
	})
	Convey("Only the customers asked for are shown", t, func() {
		So(read(&Shares{Customers: []string{"camp"}}), ShouldNotContainSubstring, "ward")
	})
	Convey("Many boxes are counted, a few named", t, func() {
		So(formatBoxes(nil), ShouldEqual, "-")
		So(formatBoxes([]string{"a", "b"}), ShouldEqual, "a,b")
		So(formatBoxes([]string{"a", "b", "c", "d"}), ShouldEqual, "4 boxes")
	})
}

func TestLeastServedCustomer(t *testing.T) {
	Convey("Customers are compared over six seconds, by what began at engines", t, func() {
		shares, log := &Shares{}, &strings.Builder{}
		for second := range 7 {
			fmt.Fprintf(log, "Time=2026-03-05T12:08:%02d.000Z Event=\"customer's service\" Customer=ward Asked=9000 TurnedBusy=1000 Granted=6000 Begun=2000\n", second)
			fmt.Fprintf(log, "Time=2026-03-05T12:08:%02d.000Z Event=\"customer's service\" Customer=camp Asked=9000 Hopeless=1000 Granted=5000 Begun=5000\n", second)
		}
		_, err := Read(strings.NewReader(log.String()), "box-1", shares.Add)
		So(err, ShouldBeNil)
		margins := shares.margins()
		So(margins, ShouldHaveLength, 2)
		So(margins[0].customer, ShouldEqual, "ward")
		So(margins[0].fraction(), ShouldEqual, 0.4)
		So(margins[1].fraction(), ShouldEqual, 1)
	})
	Convey("Requests whose refusals only their own lines tell count as requested", t, func() {
		log := &strings.Builder{}
		for second := range marginSpan {
			fmt.Fprintf(log, "Time=2026-03-05T12:08:%02d.000Z Event=\"customer's service\" Customer=camp Asked=8000 Hopeless=1000 Begun=4000\n", second)
			fmt.Fprintf(log, "Time=2026-03-05T12:08:%02d.100Z Event=\"customer's service\" Customer=ward Asked=1000 Begun=1000\n", second)
			fmt.Fprintf(log, "Time=2026-03-05T12:08:%02d.200Z Event=\"request refused\" Customer=ward Tokens=9000\n", second)
		}
		shares := &Shares{}
		_, err := Read(strings.NewReader(log.String()), "box-1", shares.Add)
		So(err, ShouldBeNil)
		least := shares.margins()[0]
		So(least.customer, ShouldEqual, "ward")
		So(least.fraction(), ShouldAlmostEqual, 0.25)
	})
	Convey("A customer that is not refused anything in one of the seconds is not compared", t, func() {
		shares := &Shares{}
		_, err := Read(strings.NewReader(servicesOfOne), "box-1", shares.Add)
		So(err, ShouldBeNil)
		So(shares.margins(), ShouldBeEmpty)
	})
}
