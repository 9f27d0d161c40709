package gateway

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestRetryBudgetHoldsForTheFleet has the boxes of a fleet take retries as often as they can
// and refund a fraction of them unsent. In no window may they send more than the budget of the
// whole fleet, although they do not coordinate.
func TestRetryBudgetHoldsForTheFleet(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		boxes := rapid.IntRange(1, 300).Draw(r, "boxes")
		steps := rapid.SliceOfN(rapid.IntRange(0, 40), 50, 200).Draw(r, "requests")
		greedy := rapid.IntRange(0, 300).Draw(r, "greedy")
		synctest.Test(t, func(*testing.T) {
			checkBudget(r, boxes, steps, greedy)
		})
	})
}

func checkBudget(t *rapid.T, boxes int, steps []int, greedy int) {
	const step = 250 * time.Millisecond
	settings := Settings{RetryRatio: 0.2, RetryExtra: 58, RetryWindow: 10 * time.Second}
	// Boxes draw independently; rapid would also generate cases in which all draw the same number.
	draws := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "lots")))
	fleet := make([]*retryBudget, boxes)
	for i := range fleet {
		fleet[i] = &retryBudget{
			settings:   settings,
			peers:      func() int { return boxes - 1 },
			randomDraw: draws.Float64(),
		}
	}
	unsent := rapid.Float64Range(0, 1).Draw(t, "unsent")
	requests, repeats := make([]int, len(steps)), make([]int, len(steps))
	for at, count := range steps {
		for n := range count {
			fleet[n%boxes].earn("s")
			requests[at]++
		}
		for n := range greedy {
			taken, ok := fleet[n%boxes].take("s")
			if !ok {
				continue
			}
			if draws.Float64() < unsent {
				fleet[n%boxes].refund("s", taken)
				continue
			}
			repeats[at]++
		}
		time.Sleep(step)
	}
	inWindow := int(settings.RetryWindow / step)
	for end := range steps {
		begin := max(0, end-inWindow+1)
		allowed := settings.RetryRatio*float64(sum(requests[begin:end+1])) + settings.RetryExtra
		if got := sum(repeats[begin : end+1]); float64(got) > allowed {
			t.Fatalf("%d repeated sends in a window, %f allowed, %d boxes", got, allowed, boxes)
		}
	}
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}
