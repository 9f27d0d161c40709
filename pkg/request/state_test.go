package request_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/request"
)

// TestMain fixes the seed of the property tests, so that their results are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestRefusalsNeverClaimTooMuch takes random steps and compares the run status with what
// happened: it is not-run only if every attempt is proved not to have run.
func TestRefusalsNeverClaimTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var life request.Lifecycle
		repeatable := rapid.Bool().Draw(t, "repeatable")
		attempts, proved := 0, 0
		latestProved := false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := life.State()
			switch step := rapid.IntRange(0, 8).Draw(t, "step"); step {
			case 7:
				if attempts > 0 && !latestProved && before >= request.Sending {
					latestProved = true
					proved++
				}
				if before >= request.Sending {
					life.ProveNotRun()
				}
			case 8:
				err := life.Requeue(repeatable)
				if err == nil {
					// An attempt cannot be proved after the request was requeued.
					latestProved = true
				}
				if err == nil && !repeatable && proved < attempts {
					t.Fatal("a request that may have run was requeued")
				}
			default:
				to := request.State(step)
				err := life.Advance(to)
				if err == nil && to <= before {
					t.Fatalf("went back from %s to %s", before, to)
				}
				if err == nil && to == request.Sending {
					attempts++
					latestProved = false
				}
			}
			if (life.RunStatus() == request.NotRun) != (attempts == proved) {
				t.Fatalf("reports %s after %d attempts, %d proved", life.RunStatus(), attempts, proved)
			}
		}
	})
}
