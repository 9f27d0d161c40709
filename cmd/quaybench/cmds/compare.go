package cmds

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/cmd/quaybench/experiment"
	"github.com/quaylead/quaylead/cmd/quaybench/measure"
)

func compareCommand() *cobra.Command {
	opts := &runOptions{}
	var rounds int
	command := &cobra.Command{
		Use:   "compare A.toml B.toml",
		Short: "Run two experiments alternately and print the ratios for each round",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return opts.compare(command, args, rounds)
		},
	}
	opts.addFlags(command)
	command.Flags().IntVar(&rounds, "rounds", 3, "the number of rounds; each runs both experiments once")
	return command
}

// compare runs both experiments alternately, so that noise of the machine
// affects both alike. Within a round both use the same seed.
func (o *runOptions) compare(command *cobra.Command, files []string, rounds int) error {
	dir, cleanup, err := o.outputDir()
	if err != nil {
		return err
	}
	defer cleanup()
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Round\tMeasure\tA\tB\tB/A")
	for round := range rounds {
		var results [2]measure.Result
		for i, file := range files {
			e, err := experiment.Load(file)
			if err != nil {
				return err
			}
			out := filepath.Join(dir, fmt.Sprintf("%d-%s", round, "AB"[i:i+1]))
			results[i], err = o.runQuietly(command.Context(), e, out, o.seed+uint64(round))
			if err != nil {
				return err
			}
		}
		for _, line := range ratios(&results[0], &results[1]) {
			fmt.Fprintf(table, "%d\t%s\n", round+1, line)
		}
	}
	return table.Flush()
}

// runQuietly runs an experiment without progress lines.
func (o *runOptions) runQuietly(ctx context.Context, e experiment.Experiment, dir string, seed uint64) (result measure.Result, err error) {
	bin, err := binDir()
	if err != nil {
		return result, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return result, err
	}
	run := &experiment.Run{Experiment: e, Seed: seed, Bin: bin, Dir: dir}
	return run.Do(ctx)
}

// ratios returns a table row for each metric: its name, both values and B/A.
func ratios(a, b *measure.Result) (lines []string) {
	addLine := func(name string, x, y float64) {
		lines = append(lines, fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f", name, x, y, y/x))
	}
	addLine("FairnessGap", a.FairnessGap, b.FairnessGap)
	addLine("Utilisation", a.Utilisation, b.Utilisation)
	addLine("ControlBytesPerSecond", a.ControlBytesPerSecond, b.ControlBytesPerSecond)
	addLine("TokensPerSecond", a.TokensPerSecond, b.TokensPerSecond)
	for class, first := range a.FirstToken {
		addLine("FirstTokenP50 "+class, first.P50, b.FirstToken[class].P50)
		addLine("FirstTokenP99 "+class, first.P99, b.FirstToken[class].P99)
	}
	return lines
}

func experimentsCommand() *cobra.Command {
	opts := &runOptions{}
	command := &cobra.Command{
		Use:   "experiments FILE...",
		Short: "Run each experiment, then again with a single router and queue, and print a table",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return opts.experiments(command, args)
		},
	}
	opts.addFlags(command)
	return command
}

// experiments prints a row for each file. It returns errCheckFailed if a count
// that must be zero is not. Other metrics do not make it fail.
func (o *runOptions) experiments(command *cobra.Command, files []string) error {
	dir, cleanup, err := o.outputDir()
	if err != nil {
		return err
	}
	defer cleanup()
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Experiment\tFairnessGap\tBound\tToOneQueue\tUtilisation\tControlB/s\tStarved\tQuickP99ms\tZero")
	allPassed := true
	for _, file := range files {
		row, passed, err := o.experimentRow(command, dir, file)
		if err != nil {
			return trace.Wrap(err, "experiment %s", file)
		}
		fmt.Fprintln(table, row)
		allPassed = allPassed && passed
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if !allPassed {
		return errCheckFailed
	}
	return nil
}

func (o *runOptions) experimentRow(command *cobra.Command, dir, file string) (row string, passed bool, err error) {
	e, err := experiment.Load(file)
	if err != nil {
		return "", false, err
	}
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	fmt.Fprintln(command.ErrOrStderr(), "running", name)
	result, err := o.runQuietly(command.Context(), e, filepath.Join(dir, name), o.seed)
	if err != nil {
		return "", false, err
	}
	oneQueue, err := o.runQuietly(command.Context(), e.OneQueue(), filepath.Join(dir, name+"-one-queue"), o.seed)
	if err != nil {
		return "", false, err
	}
	row = fmt.Sprintf("%s\t%.0f\t%.0f\t%.2f\t%.3f\t%.0f\t%d\t%.0f\t%v",
		name, result.FairnessGap, result.FairnessBound, result.FairnessGap/oneQueue.FairnessGap,
		result.Utilisation, result.ControlBytesPerSecond, result.StarvedCustomers,
		result.FirstToken["quick"].P99, result.Passed())
	return row, result.Passed(), nil
}
