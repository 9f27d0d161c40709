package suspension

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTotal(t *testing.T) {
	Convey("The total does not grow while the machine is not suspended", t, func() {
		before, err := Total()
		So(err, ShouldBeNil)
		time.Sleep(20 * time.Millisecond)
		after, err := Total()
		So(err, ShouldBeNil)
		So((after - before).Abs(), ShouldBeLessThan, 10*time.Millisecond)
	})
}
