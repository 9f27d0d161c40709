package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// churn restarts a fraction of a fleet's boxes each second. It returns the messages and rows
// that a box sends in a second, and how long it takes until all boxes agree after the last
// restart.
func churn(boxes int, fraction float64) (messages, rows float64, agreed time.Duration) {
	f := newFleet(boxes, zones, 11)
	f.run(4 * time.Second)
	const length = 2 * time.Second
	f.messages, f.rows = 0, 0
	restartInterval := time.Duration(float64(time.Second) / (fraction * float64(boxes)))
	nodes, next := f.shuffled(), time.Duration(0)
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		for ; next <= elapsed; next += restartInterval {
			n := nodes[0]
			nodes = nodes[1:]
			f.kill(n)
			f.start(n)
		}
		f.run(step)
	}
	perBox := float64(boxes) * length.Seconds()
	messages, rows = float64(f.messages)/perBox, float64(f.rows)/perBox
	return messages, rows, f.agreeWithin(10 * time.Second)
}

// TestChurn bounds the messages that restarts of boxes cause at the others, and the time until
// all boxes agree.
func TestChurn(t *testing.T) {
	const fraction = 0.01
	counts := map[int]float64{}
	for _, boxes := range []int{300, 600} {
		synctest.Test(t, func(t *testing.T) {
			messages, rows, agreed := churn(boxes, fraction)
			t.Logf("%d boxes, %.0f restarts per second: a box sends %.0f messages with %.0f rows per second; all agree %s after the last restart", boxes, fraction*float64(boxes), messages, rows, agreed)
			counts[boxes] = messages
			Convey(fmt.Sprintf("All %d boxes agree within seconds", boxes), t, func() {
				So(agreed, ShouldBeLessThan, 3*time.Second)
			})
		})
	}
	Convey("The messages of a box do not grow with the fleet if the same fraction of it restarts", t, func() {
		So(counts[600], ShouldBeLessThan, 1.25*counts[300])
	})
}
