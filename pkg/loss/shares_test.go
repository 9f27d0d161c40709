package loss

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const servicesOfOne = `Time=2026-03-05T12:08:10.000Z Level=info Event="box started" Box=box-1
Time=2026-03-05T12:08:12.000Z Level=info Event="customer's service" Service=llm/0 Customer=ward Asked=2000000 TurnedShare=0 TurnedBusy=0 Hopeless=300000 Turned=200000 Unplaced=150000 Withdrawn=0 Granted=1500000 GivenBack=100000 Begun=1400000 Answered=1200000 GrantedElsewhere=600000
Time=2026-03-05T12:08:12.100Z Level=info Event="customer's service" Service=llm/0 Customer=camp Asked=9000000 TurnedShare=1000000 Hopeless=8000000 Granted=1000000
`

const servicesOfOther = `Time=2026-03-05T12:08:12.900Z Level=info Event="customer's service" Service=llm/0 Customer=ward Asked=0 TurnedShare=4000000 TurnedBusy=70000 Granted=0
no line of a log
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
		So(strings.Fields(rows[2]), ShouldResemble, strings.Fields("2 camp 9000 1000 0 8000 0 0 0 1000 0 0 0 0 box-1 box-1"))
		So(strings.Fields(rows[3]), ShouldResemble, strings.Fields("2 ward 2000 4000 70 300 200 150 0 1500 100 1400 1200 600 box-1 box-2"))
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
