package cmds

import (
	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/cmd/quaybench/matrix"
)

func matrixCommand() *cobra.Command {
	opts := &runOptions{}
	var names []string
	command := &cobra.Command{
		Use:   "matrix",
		Short: "Inject every fault before and during requests, and check the outcome",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			bin, err := binDir()
			if err != nil {
				return err
			}
			dir, cleanup, err := opts.outputDir()
			if err != nil {
				return err
			}
			defer cleanup()
			m := &matrix.Matrix{Bin: bin, Dir: dir, Faults: matrix.FaultsNamed(names), Progress: command.ErrOrStderr()}
			cells, err := m.Run(command.Context())
			if err != nil {
				return err
			}
			passed, err := matrix.Print(command.OutOrStdout(), cells)
			if err == nil && !passed {
				err = errCheckFailed
			}
			return err
		},
	}
	command.Flags().StringVar(&opts.out, "out", "", "the folder for logs; a temporary folder if empty")
	command.Flags().StringArrayVar(&names, "fault", nil, "run only the fault of this name; may be repeated")
	return command
}
