// Package cmds is the command line of quaybench.
package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
)

// errNotZero reports that a count that must be zero is not.
var errCheckFailed = errors.New("a count that must be zero is not")

// Execute runs the command line and returns the exit status.
func Execute() int {
	if err := New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quaybench:", err)
		return 1
	}
	return 0
}

// New returns the tree of commands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "quaybench",
		Short:         "Load, break and measure small fleets on one machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), runCommand(), compareCommand(), experimentsCommand(), upCommand(), matrixCommand(), soakCommand())
	return root
}

// binDir is where the other programs lie: beside this one.
func binDir() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(path), nil
}
