package cmds

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// table writes rows as aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

// print writes a value as JSON, or as the table that writeRows writes.
func (o *options) print(command *cobra.Command, value any, writeRows func(out *table)) error {
	if o.output == "json" {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	out := &table{writer: tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)}
	writeRows(out)
	return out.writer.Flush()
}
