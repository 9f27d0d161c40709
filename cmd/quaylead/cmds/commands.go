// Package cmds is the command line of quaylead.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/pkg/record"
	"github.com/quaylead/quaylead/pkg/router"
	"github.com/quaylead/quaylead/pkg/settings"
)

// The exit statuses of quaylead.
const (
	statusOK      = 0
	statusFailed  = 1
	statusInvalid = 2
)

// options are the flags that every command has.
type options struct {
	file      string
	overrides []string
}

// Execute runs the command line and returns the exit status.
func Execute() int {
	err := New().Execute()
	var invalid *settings.InvalidError
	switch {
	case err == nil:
		return statusOK
	case errors.As(err, &invalid):
		fmt.Fprintln(os.Stderr, invalid)
		return statusInvalid
	default:
		fmt.Fprintln(os.Stderr, "quaylead:", err)
		return statusFailed
	}
}

// New returns the tree of commands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "quaylead",
		Short:         "Route requests of many customers to one pool of endpoints",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	opts := &options{}
	flags := root.PersistentFlags()
	flags.StringVar(&opts.file, "settings", "", "the box's settings file")
	flags.StringArrayVar(&opts.overrides, "set", nil, "override a setting, as Key.Path=Value")
	root.AddCommand(serveCommand(opts), gatewayCommand(opts), checkCommand(opts))
	return root
}

func serveCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Serve callers until a signal asks to stop",
		Long: "Serve callers. SIGTERM or SIGINT begins a planned stop: readiness goes off,\n" +
			"no new work is taken, and what is in flight is finished. A second signal ends\n" +
			"the process at once.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			box, fleet, err := loadSettings(opts)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			context.AfterFunc(ctx, stop)
			metrics := &record.Metrics{}
			metrics.Publish()
			server := &router.Router{Box: box, Initial: fleet, Metrics: metrics}
			return server.Run(ctx)
		},
	}
}

func checkCommand(opts *options) *cobra.Command {
	var print bool
	command := &cobra.Command{
		Use:   "check",
		Short: "Check the settings and start nothing",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, args []string) error {
			box, fleet, err := loadSettings(opts)
			if err != nil || !print {
				return err
			}
			parts := []any{box}
			if fleet != nil {
				parts = append(parts, fleet)
			}
			for _, part := range parts {
				text, err := settings.Print(part)
				if err != nil {
					return err
				}
				fmt.Fprintln(command.OutOrStdout(), text)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&print, "print", false, "print every setting with its value in force")
	return command
}

// loadSettings reads the box's settings, and the settings tree if they name
// one.
func loadSettings(opts *options) (box settings.Box, fleet *settings.Fleet, err error) {
	if opts.file == "" {
		return box, nil, errors.New("--settings FILE is needed")
	}
	box, err = settings.LoadBox(opts.file, opts.overrides)
	if err != nil || box.Tree == "" {
		return box, nil, err
	}
	fleet, err = settings.LoadFleet(box.Tree)
	return box, fleet, err
}
