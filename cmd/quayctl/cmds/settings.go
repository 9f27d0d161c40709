package cmds

import (
	"crypto/rand"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/pkg/revision"
	"github.com/quaylead/quaylead/pkg/settings"
)

func checkCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check TREE",
		Short: "Check a tree and list everything wrong with it",
		Args:  exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			_, err := settings.LoadFleet(args[0])
			return err
		},
	}
}

func planCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "plan TREE",
		Short: "Show what applying a tree would change",
		Args:  exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			fleet, err := settings.LoadFleet(args[0])
			if err != nil {
				return err
			}
			repository, err := opts.repository()
			if err != nil {
				return err
			}
			_, accepted, err := readAcceptedFleet(repository)
			if err != nil {
				return err
			}
			return opts.printChanges(command, accepted, fleet)
		},
	}
}

func (o *options) printChanges(command *cobra.Command, before, after *settings.Fleet) error {
	changes, err := settings.Difference(before, after)
	if err != nil {
		return err
	}
	return o.print(command, changes, func(out *table) {
		out.row("PATH", "BEFORE", "AFTER")
		for _, change := range changes {
			out.row(change.Path, change.Before, change.After)
		}
	})
}

// readAcceptedFleet reads the accepted settings; fleet is nil if there are none.
func readAcceptedFleet(repository revision.Repository) (head revision.Head, fleet *settings.Fleet, err error) {
	head, _, err = repository.Head()
	if err != nil || head.Revision == 0 {
		return head, nil, err
	}
	fleet, err = readFleet(repository, head)
	return head, fleet, err
}

func readFleet(repository revision.Repository, head revision.Head) (*settings.Fleet, error) {
	snapshot, err := repository.Snapshot(head)
	if err != nil {
		return nil, err
	}
	return settings.DecodeSnapshot(snapshot)
}

// acceptTimeout bounds the retries that determine the outcome of a write when the store fails.
const acceptTimeout = 15 * time.Second

// accept writes settings as the revision that follows baseRevision. On a conflict it prints the
// paths in which the revision that was accepted first differs from these settings.
func (o *options) accept(command *cobra.Command, repository revision.Repository, fleet *settings.Fleet, baseRevision uint64, message string) error {
	head, err := repository.Accept(revision.Proposal{
		Fleet:    fleet,
		Expect:   baseRevision,
		Author:   o.author,
		Message:  message,
		Nonce:    rand.Text(),
		Deadline: time.Now().Add(acceptTimeout),
	})
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		return o.explainConflict(command, repository, fleet, conflict)
	}
	if err != nil {
		return err
	}
	if o.platformAddress == "" {
		o.requestHeadCheck()
	}
	return o.print(command, head, func(out *table) {
		out.row("REVISION", "AUTHOR", "MESSAGE")
		out.row(fmt.Sprint(head.Revision), head.Author, head.Message)
	})
}

// explainConflict prints how the settings differ from the revision that was accepted first.
func (o *options) explainConflict(command *cobra.Command, repository revision.Repository, fleet *settings.Fleet, conflict *revision.ConflictError) error {
	if conflict.Found.Revision == 0 {
		return conflict
	}
	found, err := readFleet(repository, conflict.Found)
	if err != nil {
		return trace.NewAggregate(conflict, err)
	}
	if err := o.printChanges(command, found, fleet); err != nil {
		return trace.NewAggregate(conflict, err)
	}
	return conflict
}

func applyCommand(opts *options) *cobra.Command {
	var (
		expect  int64
		wait    bool
		message string
	)
	command := &cobra.Command{
		Use:   "apply TREE",
		Short: "Apply a tree as the fleet's settings",
		Args:  exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			fleet, err := settings.LoadFleet(args[0])
			if err != nil {
				return err
			}
			repository, err := opts.repository()
			if err != nil {
				return err
			}
			baseRevision := uint64(max(expect, 0))
			if expect < 0 {
				head, _, err := repository.Head()
				if err != nil {
					return err
				}
				baseRevision = head.Revision
			}
			if err := opts.accept(command, repository, fleet, baseRevision, message); err != nil {
				return err
			}
			if wait {
				return opts.awaitInForce(command, baseRevision+1)
			}
			return nil
		},
	}
	command.Flags().Int64Var(&expect, "expect", -1, "the revision that this follows; by default the accepted one")
	command.Flags().BoolVar(&wait, "wait", false, "wait until the settings are in force on every live box")
	command.Flags().StringVar(&message, "message", "", "what is changed and why, for the history")
	return command
}

const (
	// waitTimeout bounds the wait until settings are in force.
	waitTimeout = 30 * time.Second
	// waitInterval is the time between two reads of the boxes' status.
	waitInterval = 100 * time.Millisecond
)

// awaitInForce waits until the revision is in force on every live box. After waitTimeout it
// returns an error that names the boxes on which it is not.
func (o *options) awaitInForce(command *cobra.Command, number uint64) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		rows, err := o.fetchBoxes()
		if err != nil {
			return err
		}
		behind := boxesBehind(rows, number)
		if len(behind) == 0 {
			fmt.Fprintf(command.ErrOrStderr(), "revision %d is in force on %d boxes\n", number, len(rows))
			return nil
		}
		if time.Now().After(deadline) {
			return trace.LimitExceeded("revision %d is accepted but not in force on %s", number, strings.Join(behind, ", "))
		}
		time.Sleep(waitInterval)
	}
}

func boxesBehind(rows []boxRow, number uint64) (behind []string) {
	for _, row := range rows {
		if row.Revision < number {
			behind = append(behind, row.Box)
		}
	}
	return behind
}

func historyCommand(opts *options) *cobra.Command {
	var count uint64
	command := &cobra.Command{
		Use:   "history",
		Short: "Show the accepted revisions and their authors, newest first",
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, args []string) error {
			repository, err := opts.repository()
			if err != nil {
				return err
			}
			head, _, err := repository.Head()
			if err != nil {
				return err
			}
			var entries []revision.Head
			for number := head.Revision; number > 0 && head.Revision-number < count; number-- {
				entry, err := repository.Entry(number)
				if err != nil {
					return err
				}
				entries = append(entries, entry)
			}
			return opts.print(command, entries, func(out *table) {
				out.row("REVISION", "AT", "AUTHOR", "MESSAGE")
				for _, entry := range entries {
					out.row(fmt.Sprint(entry.Revision), entry.At.Format(time.RFC3339), entry.Author, entry.Message)
				}
			})
		},
	}
	command.Flags().Uint64Var(&count, "count", 20, "how many revisions")
	return command
}

// readEntry reads the history entry of a revision; 0 means the accepted one.
func readEntry(repository revision.Repository, number uint64) (revision.Head, error) {
	if number > 0 {
		return repository.Entry(number)
	}
	head, _, err := repository.Head()
	return head, err
}

func showCommand(opts *options) *cobra.Command {
	var (
		path   string
		number uint64
	)
	command := &cobra.Command{
		Use:   "show",
		Short: "Show accepted settings, value by value",
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, args []string) error {
			repository, err := opts.repository()
			if err != nil {
				return err
			}
			head, err := readEntry(repository, number)
			if err != nil {
				return err
			}
			if head.Revision == 0 {
				return trace.NotFound("no settings were accepted yet")
			}
			fleet, err := readFleet(repository, head)
			if err != nil {
				return err
			}
			values, err := settings.Flatten(fleet)
			if err != nil {
				return err
			}
			return opts.printValues(command, values, path)
		},
	}
	command.Flags().StringVar(&path, "path", "", "show only this key path and what is below it")
	command.Flags().Uint64Var(&number, "revision", 0, "the revision; by default the accepted one")
	return command
}

func (o *options) printValues(command *cobra.Command, values map[string]string, path string) error {
	var paths []string
	for candidate := range values {
		if path == "" || candidate == path || strings.HasPrefix(candidate, path+".") {
			paths = append(paths, candidate)
		}
	}
	sort.Strings(paths)
	selected := make(map[string]string, len(paths))
	for _, candidate := range paths {
		selected[candidate] = values[candidate]
	}
	return o.print(command, selected, func(out *table) {
		out.row("PATH", "VALUE")
		for _, candidate := range paths {
			out.row(candidate, values[candidate])
		}
	})
}

func rollbackCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Apply the settings of an old revision as a new one",
		Args:  exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || number == 0 {
				return &usageError{Message: fmt.Sprintf("%q is not a revision", args[0])}
			}
			repository, err := opts.repository()
			if err != nil {
				return err
			}
			head, _, err := repository.Head()
			if err != nil {
				return err
			}
			entry, err := repository.Entry(number)
			if err != nil {
				return err
			}
			fleet, err := readFleet(repository, entry)
			if err != nil {
				return err
			}
			return opts.accept(command, repository, fleet, head.Revision, fmt.Sprintf("rollback to %d", number))
		},
	}
}
