// Package cmds is the command line of quayctl.
package cmds

import (
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/revision"
	"github.com/quaylead/quaylead/pkg/settings"
)

// The exit statuses of quayctl.
const (
	statusOK          = 0
	statusFailed      = 1
	statusInvalid     = 2
	statusConflict    = 3
	statusUnknown     = 4
	statusUnavailable = 5
	statusUsage       = 64
)

// usageError reports an invalid command line.
type usageError struct {
	Message string
}

// Error returns the message.
func (e *usageError) Error() string { return e.Message }

// Execute runs the command line and returns the exit status.
func Execute() int {
	err := New().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "quayctl:", userMessage(err))
	}
	return exitStatus(err)
}

func exitStatus(err error) int {
	var (
		invalid     *settings.InvalidError
		conflict    *revision.ConflictError
		unknown     *revision.UnknownOutcomeError
		unavailable *platform.UnavailableError
		usage       *usageError
	)
	switch {
	case err == nil:
		return statusOK
	case errors.As(err, &invalid):
		return statusInvalid
	case errors.As(err, &conflict):
		return statusConflict
	case errors.As(err, &unknown):
		return statusUnknown
	case errors.As(err, &unavailable):
		return statusUnavailable
	case errors.As(err, &usage):
		return statusUsage
	default:
		return statusFailed
	}
}

// userMessage returns the text of an error without the trace that only developers need.
func userMessage(err error) string {
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Error()
	}
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Error()
	}
	return err.Error()
}

// options are the flags that every command has.
type options struct {
	// box is the operator address of any box.
	box string
	// platformAddress replaces the address that the box reports.
	platformAddress string
	// output is "table" or "json".
	output string
	author string
}

// New returns the tree of commands.
func New() *cobra.Command {
	opts := &options{}
	root := &cobra.Command{
		Use:   "quayctl",
		Short: "Check and apply settings, show and drain boxes",
		Long: "Check and apply settings, show and drain boxes.\n\n" +
			"Exit statuses: 0 done, 1 failed, 2 the settings are invalid, 3 another\n" +
			"acceptance came first, 4 it is not known whether the settings were accepted,\n" +
			"5 the store is unavailable, 64 the command line is invalid.",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(command *cobra.Command, args []string) error {
			if opts.output != "table" && opts.output != "json" {
				return &usageError{Message: fmt.Sprintf("--output %q is none of table, json", opts.output)}
			}
			return nil
		},
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return &usageError{Message: err.Error()}
	})
	flags := root.PersistentFlags()
	flags.StringVar(&opts.box, "box", "127.0.0.1:8081", "the operator address of any box")
	flags.StringVar(&opts.platformAddress, "platform", "", "the platform's address; by default the box is asked for it")
	flags.StringVar(&opts.output, "output", "table", "table or json")
	flags.StringVar(&opts.author, "author", defaultAuthor(), "the author of a change, for the history")
	root.AddCommand(
		checkCommand(opts),
		planCommand(opts),
		applyCommand(opts),
		historyCommand(opts),
		showCommand(opts),
		rollbackCommand(opts),
		statusCommand(opts),
		drainCommand(opts),
		lossesCommand(),
		sharesCommand(),
	)
	return root
}

func defaultAuthor() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// exactArgs is like cobra.ExactArgs, but returns a usageError.
func exactArgs(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if len(args) != count {
			return &usageError{Message: fmt.Sprintf("%s takes %d arguments, got %d", command.CommandPath(), count, len(args))}
		}
		return nil
	}
}
