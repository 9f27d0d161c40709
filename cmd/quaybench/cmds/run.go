package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/cmd/quaybench/experiment"
	"github.com/quaylead/quaylead/cmd/quaybench/load"
	"github.com/quaylead/quaylead/cmd/quaybench/measure"
	"github.com/quaylead/quaylead/pkg/settings"
)

// runOptions holds the flags of the commands that start fleets.
type runOptions struct {
	seed uint64
	out  string
}

func (o *runOptions) addFlags(command *cobra.Command) {
	command.Flags().Uint64Var(&o.seed, "seed", 1, "the seed of the trace")
	command.Flags().StringVar(&o.out, "out", "", "the folder for results; a temporary folder if empty")
}

// outputDir returns the folder for results. If it is temporary, cleanup removes
// it; otherwise cleanup does nothing.
func (o *runOptions) outputDir() (dir string, cleanup func(), err error) {
	if o.out != "" {
		dir, err := filepath.Abs(o.out)
		return dir, func() {}, err
	}
	dir, err = os.MkdirTemp("", "quaybench-")
	return dir, func() { os.RemoveAll(dir) }, err
}

func runCommand() *cobra.Command {
	opts := &runOptions{}
	command := &cobra.Command{
		Use:   "run EXPERIMENT.toml",
		Short: "Run an experiment and write result.json",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			return runOne(command, opts, e)
		},
	}
	opts.addFlags(command)
	return command
}

// runOne runs an experiment and prints its metrics.
func runOne(command *cobra.Command, opts *runOptions, e experiment.Experiment) (err error) {
	bin, err := binDir()
	if err != nil {
		return err
	}
	dir, cleanup, err := opts.outputDir()
	if err != nil {
		return err
	}
	defer cleanup()
	run := &experiment.Run{
		Experiment: e,
		Seed:       opts.seed,
		Bin:        bin,
		Dir:        dir,
		Progress:   command.ErrOrStderr(),
	}
	result, err := run.Do(command.Context())
	if err != nil {
		return err
	}
	if err := measure.Print(command.OutOrStdout(), &result); err != nil {
		return err
	}
	if !result.Passed() {
		return errCheckFailed
	}
	return nil
}

func demoCommand() *cobra.Command {
	opts := &runOptions{}
	command := &cobra.Command{
		Use:   "demo",
		Short: "Start a small fleet, send load, and print the metrics",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			err := runOne(command, opts, demoExperiment())
			if err == nil {
				fmt.Fprintln(command.OutOrStdout(), "Every count that must be zero is zero.")
			}
			if errors.Is(err, errCheckFailed) {
				fmt.Fprintln(command.OutOrStdout(), "A count that must be zero is not.")
			}
			return err
		},
	}
	opts.addFlags(command)
	return command
}

// demoExperiment returns an experiment with the default fleet, which has the size
// of today's fleet, and uneven load: three backlogged customers, one of them with
// a double share, beside a customer of the quick class and one that sends bookings.
func demoExperiment() experiment.Experiment {
	e := experiment.Default()
	e.Title = "demo"
	e.Length = settings.Duration{Duration: 15 * time.Second}
	e.Fleet.Classes = map[string]settings.Class{"quick": {Quick: true, MaxOutputTokens: 32}}
	e.Sources = []load.Source{
		{Customer: "camp-drive", Share: 2, Rate: 60, Routers: []int{0, 1, 2},
			InputTokens: [2]int{50, 400}, OutputTokens: [2]int{50, 150}},
		{Customer: "ward-3", Share: 1, Rate: 40, Routers: []int{3},
			InputTokens: [2]int{50, 400}, OutputTokens: [2]int{50, 150}},
		{Customer: "donor-desk", Share: 1, Rate: 30,
			InputTokens: [2]int{50, 200}, OutputTokens: [2]int{40, 100}},
		{Customer: "families", Share: 1, Rate: 10, Class: "quick",
			InputTokens: [2]int{20, 60}, OutputTokens: [2]int{5, 20}},
		{Customer: "bookings", Share: 1, Rate: 20, Plain: true, Keyed: true, RepeatKeys: 0.2},
	}
	return e
}
