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

// Partition cuts the links between the routers with these indexes and all
// others. Data is dropped in both directions; connections stay open.
func (f *Fleet) Partition(numbers []int) error {
	return f.forEachPeerLink(func(from, to int) error {
		if slices.Contains(numbers, from) == slices.Contains(numbers, to) {
			return nil
		}
		return f.Proxies.Cut(PeerLink(f.Routers[from].Name, f.Routers[to].Name))
	})
}

// Rejoin removes the faults from the links between all routers.
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

// Truth returns the ground truth of all endpoints, in order of time.
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

// Caller returns a runner that sends requests to the routers of the fleet.
func (f *Fleet) Caller(timeout time.Duration) *load.Runner {
	runner := &load.Runner{Key: Key, Model: Model, Path: BookingPath, Timeout: timeout}
	for _, router := range f.Routers {
		runner.URLs = append(runner.URLs, router.CallerURL())
	}
	return runner
}

// Quayctl runs quayctl against a router and returns its exit status and output.
func (f *Fleet) Quayctl(router int, args ...string) (status int, output string) {
	fullArgs := append([]string{"--box", f.Routers[router].OperatorAddress}, args...)
	command := exec.Command(filepath.Join(f.Bin, "quayctl"), fullArgs...)
	text, err := command.CombinedOutput()
	if command.ProcessState == nil {
		return -1, err.Error()
	}
	return command.ProcessState.ExitCode(), string(text)
}

// TreeFile returns the path of the settings tree that the fleet was started with.
func (f *Fleet) TreeFile() string {
	return filepath.Join(f.Dir, treeFileName)
}

// PlatformCounts returns the platform's counts of reads, writes and bytes.
func (f *Fleet) PlatformCounts() (counts platform.Counts, err error) {
	defer func() { err = trace.Wrap(err, "reading the platform's counts") }()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+f.Platform.Address+"/counts", callTimeout)
	if err != nil {
		return counts, err
	}
	return counts, json.Unmarshal(body, &counts)
}
