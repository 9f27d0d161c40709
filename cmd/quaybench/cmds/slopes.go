package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/cmd/quaybench/slopes"
)

func slopesCommand() *cobra.Command {
	var (
		out    string
		length time.Duration
	)
	command := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how control grows, and work out what the large fleet spends",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			measured, err := slopes.All(command.Context(), length)
			if err != nil {
				return err
			}
			fmt.Fprint(command.OutOrStdout(), slopes.Measured(&measured), "\n", slopes.Table(&measured, slopes.TwoYears))
			text, err := json.MarshalIndent(measured, "", "  ")
			if err != nil {
				return err
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(out, "slopes.json"), append(text, '\n'), 0o644)
		},
	}
	command.Flags().StringVar(&out, "out", "out/slopes", "the folder for slopes.json")
	command.Flags().DurationVar(&length, "length", 8*time.Second, "how long each point is measured")
	return command
}
