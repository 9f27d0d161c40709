package fleet

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/cmd/quaystand/platform"
	"github.com/quaylead/quaylead/cmd/quaystand/truth"
)

// Partition cuts the routers with these numbers off from all others: nothing
// passes either way, and nobody is told.
func (f *Fleet) Partition(numbers []int) error {
	return f.forEachPeerLink(func(from, to int) error {
		if slices.Contains(numbers, from) == slices.Contains(numbers, to) {
			return nil
		}
		return f.Proxies.Cut(PeerLink(f.Routers[from].Name, f.Routers[to].Name))
	})
}

// Rejoin heals the links between all routers.
func (f *Fleet) Rejoin() error {
	return f.forEachPeerLink(func(from, to int) error {
		return f.Proxies.Heal(PeerLink(f.Routers[from].Name, f.Routers[to].Name))
	})
}

func (f *Fleet) forEachPeerLink(visit func(from, to int) error) error {
	for from := range f.Routers {
		for to := range f.Routers {
			if from == to {
				continue
			}
			if err := visit(from, to); err != nil {
				return err
			}
		}
	}
	return nil
}

// Truth reads the ground truth of all endpoints, in order of time.
func (f *Fleet) Truth() (events []truth.Event, err error) {
	for _, process := range slices.Concat(f.Engines, f.Services) {
		processEvents, err := truth.Read(f.TruthFile(process.Name))
		if err != nil {
			return nil, err
		}
		events = append(events, processEvents...)
	}
	slices.SortStableFunc(events, func(a, b truth.Event) int { return a.At.Compare(b.At) })
	return events, nil
}

// Caller makes callers of this fleet.
func (f *Fleet) Caller(timeout time.Duration) *load.Runner {
	runner := &load.Runner{Key: Key, Model: Model, Path: BookingPath, Timeout: timeout}
	for _, router := range f.Routers {
		runner.URLs = append(runner.URLs, router.CallerURL())
	}
	return runner
}

// Quayctl runs an operator's command against a router,
// and returns its exit status and what it printed.
func (f *Fleet) Quayctl(router int, args ...string) (status int, output string) {
	fullArgs := append([]string{"--box", f.Routers[router].OperatorAddress}, args...)
	command := exec.Command(filepath.Join(f.Bin, "quayctl"), fullArgs...)
	text, err := command.CombinedOutput()
	if command.ProcessState == nil {
		return -1, err.Error()
	}
	return command.ProcessState.ExitCode(), string(text)
}

// TreeFile is the settings tree that the fleet was started with.
func (f *Fleet) TreeFile() string {
	return filepath.Join(f.Dir, treeFileName)
}

// PlatformCounts reads how often the platform was called.
func (f *Fleet) PlatformCounts() (counts platform.Counts, err error) {
	defer func() { err = trace.Wrap(err, "reading the platform's counts") }()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+f.Platform.Address+"/counts", callTimeout)
	if err != nil {
		return counts, err
	}
	return counts, json.Unmarshal(body, &counts)
}
