package ending

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// observations returns all combinations.
func observations() (all []Observation) {
	addresses := []Address{AddressUnknown, AddressAccepts, AddressRefuses}
	for bits := range 1 << 5 {
		isSet := func(bit int) bool { return bits&(1<<bit) != 0 }
		for _, address := range addresses {
			all = append(all, Observation{
				IsAlive: isSet(0), IsOpen: isSet(1), IsInterrupted: isSet(2), IsLeaving: isSet(3), IsSettled: isSet(4),
				Address: address,
			})
		}
	}
	return all
}

// rules are the expected verdicts. The first one that applies decides.
var rules = []struct {
	name    string
	applies func(o Observation) bool
	verdict Verdict
}{
	{"an endpoint that sends on lives", func(o Observation) bool { return o.IsAlive }, Whole},
	{"one that holds a connection open for long enough lives", func(o Observation) bool { return o.IsOpen && o.IsSettled }, Whole},
	{"one that holds a connection open may be closing them", func(o Observation) bool { return o.IsOpen }, Undecided},
	{"nothing is known of an address that was not reached", func(o Observation) bool { return o.Address == AddressUnknown }, Undecided},
	{"one that is gone without notice crashed", func(o Observation) bool { return o.Address == AddressRefuses && !o.IsLeaving }, Cut},
	{"one that is gone before it finished others crashed", func(o Observation) bool { return o.Address == AddressRefuses && o.IsInterrupted }, Cut},
	{"others that ended with it are not recorded at once", func(o Observation) bool { return !o.IsSettled }, Undecided},
	{"one that is gone with notice may have ended as planned", func(o Observation) bool { return o.Address == AddressRefuses }, Unproven},
	{"one that accepts may be another process, if it had not finished others", func(o Observation) bool { return o.IsInterrupted }, Unproven},
	{"one that accepts lives", func(Observation) bool { return true }, Whole},
}

func TestVerdict(t *testing.T) {
	Convey("Each combination of observations has the verdict of the first rule that applies", t, func() {
		for _, o := range observations() {
			for _, rule := range rules {
				if rule.applies(o) {
					SoMsg(fmt.Sprintf("%s: %+v", rule.name, o), o.Verdict(), ShouldEqual, rule.verdict)
					break
				}
			}
		}
	})
	Convey("Nothing but a sign of life makes a response whole whose endpoint is gone", t, func() {
		for _, o := range observations() {
			if o.Address == AddressRefuses && !o.IsAlive && !o.IsOpen {
				So(o.Verdict(), ShouldNotEqual, Whole)
			}
		}
	})
}
