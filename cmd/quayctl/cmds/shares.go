package cmds

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/pkg/loss"
)

func sharesCommand() *cobra.Command {
	shares := &loss.Shares{}
	command := &cobra.Command{
		Use:   "shares [LOG...]",
		Short: "Show from boxes' logs what customers requested and got, by second",
		Long: `Shares reads the logs of boxes, from files or from standard input, and prints for each
customer and second, in thousands of tokens: what was requested from the box that dispatches,
what a box refused without asking it (over the customer's share, or because it was busy),
what was refused on arrival and after a wait, how much of that waited for certain engines while
others had room, what was withdrawn, granted and given back,
what began and what was answered; and which boxes granted and refused it. Boxes log the
customers that request most, in seconds in which something is refused.`,
		RunE: func(command *cobra.Command, files []string) error {
			return writeShares(command.OutOrStdout(), command.InOrStdin(), files, shares)
		},
	}
	command.Flags().StringSliceVar(&shares.Customers, "customer", nil, "print these customers only")
	return command
}

func writeShares(out io.Writer, in io.Reader, files []string, shares *loss.Shares) error {
	malformed, err := readLogs(in, files, shares.Add)
	if err != nil {
		return err
	}
	err = shares.Write(out)
	if malformed > 0 {
		fmt.Fprintf(out, "\n%d lines were not of a box's log\n", malformed)
	}
	return err
}
