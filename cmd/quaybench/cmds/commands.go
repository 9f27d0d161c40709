// Package cmds implements the command line of quaybench.
package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
)

// errCheckFailed is returned if a count that must be zero is not.
var errCheckFailed = errors.New("a count that must be zero is not")

// Execute runs the command line and returns the exit status.
func Execute() int {
	if err := New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quaybench:", err)
		return 1
	}
	return 0
}

// New returns the root command with all subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "quaybench",
		Short:         "Run small fleets on one machine under load and faults, and measure them",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), runCommand(), compareCommand(), experimentsCommand(), upCommand(), matrixCommand(), soakCommand())
	return root
}

// binDir returns the folder of the running program, which holds the other
// programs too.
func binDir() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(path), nil
}
