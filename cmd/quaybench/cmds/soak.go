package cmds

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/cmd/quaybench/soak"
)

// errGuaranteeViolated is returned if a soak run found a violation.
var errGuaranteeViolated = errors.New("a guarantee was violated")

func soakCommand() *cobra.Command {
	opts := &runOptions{}
	run := &soak.Soak{}
	command := &cobra.Command{
		Use:   "soak",
		Short: "Inject random faults into a fleet of real processes and check its guarantees",
		Long: "Starts routers as processes beside stand-ins of the platform, injects faults into\n" +
			"links and processes, as drawn from the seed, and checks what callers and endpoints\n" +
			"observe. The last line is the verdict. The logs of a failed run are kept.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) (err error) {
			if run.Bin, err = binDir(); err != nil {
				return err
			}
			dir, cleanup, err := opts.outputDir()
			if err != nil {
				return err
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			run.Dir, run.Seed, run.Progress = dir, opts.seed, command.ErrOrStderr()
			verdict, err := run.Run(command.Context())
			if err != nil {
				return err
			}
			return printVerdict(command, run, verdict, cleanup)
		},
	}
	opts.addFlags(command)
	command.Flags().DurationVar(&run.Length, "length", 30*time.Second, "the time during which faults are started")
	command.Flags().IntVar(&run.Boxes, "boxes", 5, "the number of routers")
	command.Flags().IntVar(&run.Callers, "callers", 24, "the number of callers")
	return command
}

func printVerdict(command *cobra.Command, run *soak.Soak, verdict soak.Verdict, cleanup func()) error {
	out := command.OutOrStdout()
	for _, line := range verdict.Violations {
		fmt.Fprintln(out, "broken:", line)
	}
	outcome := "passed"
	if len(verdict.Violations) > 0 {
		outcome = "FAILED, logs in " + run.Dir
	} else {
		cleanup()
	}
	fmt.Fprintf(out, "soak seed %d: %d faults, %d requests, %d answered, %d of %d streams taken up, %d parts crashed %d servers at most, %d broken: %s\n",
		run.Seed, verdict.Faults, verdict.Requests, verdict.Completed, verdict.Continued, verdict.TakenUp,
		verdict.CrashingParts, verdict.MostPartCrashes, len(verdict.Violations), outcome)
	if len(verdict.Violations) > 0 {
		return errGuaranteeViolated
	}
	return nil
}
