package loss

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report collects losses and prints tables of them.
type Report struct {
	losses []Loss
	// earliest is the time of the earliest line of any kind; seconds count from it.
	earliest time.Time
}

// Add adds the loss that a line reports, if any.
func (r *Report) Add(line Line) {
	if r.earliest.IsZero() || line.Time.Before(r.earliest) {
		r.earliest = line.Time
	}
	if loss, ok := Classify(&line); ok {
		r.losses = append(r.losses, loss)
	}
}

// UnknownFraction returns the fraction of the losses without a known cause.
func (r *Report) UnknownFraction() float64 {
	if len(r.losses) == 0 {
		return 0
	}
	unknown := 0
	for i := range r.losses {
		if r.losses[i].Cause == UnknownCause {
			unknown++
		}
	}
	return float64(unknown) / float64(len(r.losses))
}

// grouping is one table of a report.
type grouping struct {
	title string
	key   func(*Loss) string
}

func (r *Report) groupings() []grouping {
	return []grouping{
		{"Cause", func(l *Loss) string { return string(l.Outcome) + ": " + l.Cause }},
		{"Customer", func(l *Loss) string { return l.Customer }},
		{"Route", func(l *Loss) string { return l.Route }},
		{"Endpoint", func(l *Loss) string { return l.Endpoint }},
		{"Second", func(l *Loss) string {
			return fmt.Sprintf("%5d", int(l.Time.Sub(r.earliest).Seconds()))
		}},
	}
}

// tableRow is one row of a table.
type tableRow struct {
	key       string
	total     int
	byOutcome map[Outcome]int
}

var outcomes = []Outcome{Refused, Late, Cut, Failed}

// Write prints the tables, each with at most maxRows rows, the largest first.
func (r *Report) Write(out io.Writer, maxRows int) error {
	fmt.Fprintf(out, "%d requests were refused, late, cut or failed; of %.1f in 100 the cause is unknown\n", len(r.losses), 100*r.UnknownFraction())
	for _, by := range r.groupings() {
		fmt.Fprintln(out)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(table, "%s\tTotal\tPart", by.title)
		for _, outcome := range outcomes {
			fmt.Fprintf(table, "\t%s", outcome)
		}
		fmt.Fprintln(table)
		for _, row := range r.topRows(by.key, maxRows) {
			fmt.Fprintf(table, "%s\t%d\t%.3f", row.key, row.total, float64(row.total)/float64(len(r.losses)))
			for _, outcome := range outcomes {
				fmt.Fprintf(table, "\t%d", row.byOutcome[outcome])
			}
			fmt.Fprintln(table)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) topRows(key func(*Loss) string, maxRows int) []*tableRow {
	byKey := map[string]*tableRow{}
	for i := range r.losses {
		name := key(&r.losses[i])
		if name == "" {
			name = "-"
		}
		row := byKey[name]
		if row == nil {
			row = &tableRow{key: name, byOutcome: map[Outcome]int{}}
			byKey[name] = row
		}
		row.total++
		row.byOutcome[r.losses[i].Outcome]++
	}
	rows := make([]*tableRow, 0, len(byKey))
	for _, row := range byKey {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *tableRow) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.key, b.key))
	})
	return rows[:min(maxRows, len(rows))]
}
