package cmds

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/quaylead/quaylead/pkg/loss"
)

// lossesOptions are the flags of quayctl losses.
type lossesOptions struct {
	// request is the ID of the request whose lines are printed; if empty, the tables are printed.
	request string
	// maxRows bounds the rows of each table.
	maxRows int
}

// defaultRows is chosen so that the five tables fit on a screen.
const defaultRows = 12

func lossesCommand() *cobra.Command {
	options := lossesOptions{}
	command := &cobra.Command{
		Use:   "losses [LOG...]",
		Short: "Show from boxes' logs which requests were not served well, and why",
		Long: `Losses reads the logs of boxes, from files or from standard input, and prints how many
requests were refused, late, cut or failed, by cause, customer, route, endpoint and
second. With --request it prints all lines of one request, in order, of all boxes.
Lines that are not from a box's log are counted and skipped.`,
		RunE: func(command *cobra.Command, files []string) error {
			return options.run(command.OutOrStdout(), command.InOrStdin(), files)
		},
	}
	command.Flags().StringVar(&options.request, "request", "", "print the lines of this request")
	command.Flags().IntVar(&options.maxRows, "rows", defaultRows, "rows of each table")
	return command
}

func (o *lossesOptions) run(out io.Writer, in io.Reader, files []string) error {
	report := &loss.Report{}
	var lines []loss.Line
	add := func(line loss.Line) {
		report.Add(line)
		if o.request != "" && line.Fields["Request"] == o.request {
			lines = append(lines, line)
		}
	}
	malformed, err := readLogs(in, files, add)
	if err != nil {
		return err
	}
	if o.request == "" {
		err = report.Write(out, o.maxRows)
	} else {
		printLines(out, lines)
	}
	if malformed > 0 {
		fmt.Fprintf(out, "\n%d lines were not of a box's log\n", malformed)
	}
	return err
}

// readLogs reads log files, each of which is named after its box, or standard input if there are
// none. It returns the number of lines that it could not parse.
func readLogs(in io.Reader, files []string, add func(loss.Line)) (malformed int, err error) {
	if len(files) == 0 {
		return loss.Read(in, "", add)
	}
	for _, name := range files {
		count, err := readLog(name, add)
		if err != nil {
			return malformed, err
		}
		malformed += count
	}
	return malformed, nil
}

func readLog(name string, add func(loss.Line)) (malformed int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	box := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return loss.Read(file, box, add)
}

func printLines(out io.Writer, lines []loss.Line) {
	slices.SortStableFunc(lines, func(a, b loss.Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, line := range lines {
		fmt.Fprintln(out, line.Box, line.Text)
	}
}
