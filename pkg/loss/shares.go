package loss

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// eventService is the event that boxes log about a customer's service in one second.
const eventService = "customer's service"

// sharesColumns are the amounts of that line in the order in which they apply to a
// request. All are tokens, and sums over the boxes that report.
var sharesColumns = []string{
	"Asked", "TurnedShare", "TurnedBusy", "TurnedStarting", "Hopeless", "Turned", "Unplaced", "Withdrawn", "Granted", "GivenBack", "Begun", "Answered", "GrantedElsewhere", "Counted",
}

// Shares collects what customers requested and were granted, by second.
type Shares struct {
	// Customers are the customers to include; empty means all.
	Customers []string

	rows map[sharesKey]*sharesRow
	// refusedTokens sums up the lines of single refused requests. Lines of reports may be missing from
	// a log that is cut.
	refusedTokens map[sharesKey]int64
	// earliest is the time of the earliest line of any kind; seconds count from it.
	earliest time.Time
}

// sharesKey identifies one customer's second. The second counts from the Unix epoch,
// because the earliest line may be read last.
type sharesKey struct {
	second   int64
	customer string
}

type sharesRow struct {
	sharesKey
	amounts map[string]int64
	// grantedBy are the boxes that granted something, and refusedBy those that
	// refused something without asking the dispatcher.
	grantedBy, refusedBy []string
}

// Add adds the amounts that a line reports, if any.
func (s *Shares) Add(line Line) {
	if s.earliest.IsZero() || line.Time.Before(s.earliest) {
		s.earliest = line.Time
	}
	key := sharesKey{line.Time.Unix(), line.Fields["Customer"]}
	if key.customer == "" || (len(s.Customers) > 0 && !slices.Contains(s.Customers, key.customer)) {
		return
	}
	switch line.Fields["Event"] {
	case eventRefused:
		s.addRefused(key, line.amount("Tokens"))
	case eventService:
		s.addReport(key, &line)
	}
}

func (s *Shares) addRefused(key sharesKey, tokens int64) {
	if s.refusedTokens == nil {
		s.refusedTokens = map[sharesKey]int64{}
	}
	s.refusedTokens[key] += tokens
}

func (s *Shares) addReport(key sharesKey, line *Line) {
	row := s.row(key)
	for _, column := range sharesColumns {
		row.amounts[column] += line.amount(column)
	}
	if line.amount("Granted") > 0 {
		row.grantedBy = appendUnique(row.grantedBy, line.Box)
	}
	if line.amount("TurnedShare")+line.amount("TurnedBusy")+line.amount("TurnedStarting") > 0 {
		row.refusedBy = appendUnique(row.refusedBy, line.Box)
	}
}

func (s *Shares) row(key sharesKey) *sharesRow {
	if s.rows == nil {
		s.rows = map[sharesKey]*sharesRow{}
	}
	row := s.rows[key]
	if row == nil {
		row = &sharesRow{sharesKey: key, amounts: map[string]int64{}}
		s.rows[key] = row
	}
	return row
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// amount returns a field as a whole number; 0 if it is missing or malformed.
func (l *Line) amount(field string) int64 {
	amount, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return amount
}

// kilo is the unit of the table: a large customer requests millions of tokens a second.
const kilo = 1000

// Write prints a row for each customer and second, in thousands of tokens.
func (s *Shares) Write(out io.Writer) error {
	rows := make([]*sharesRow, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *sharesRow) int {
		return cmp.Or(cmp.Compare(a.second, b.second), cmp.Compare(a.customer, b.customer))
	})
	fmt.Fprintln(out, "thousands of tokens, by customer and second in which something was refused")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "Second\tCustomer\t%s\tGrantedBy\tTurnedBy\n", strings.Join(sharesColumns, "\t"))
	for _, row := range rows {
		fmt.Fprintf(table, "%d\t%s", row.second-s.earliest.Unix(), row.customer)
		for _, column := range sharesColumns {
			fmt.Fprintf(table, "\t%d", row.amounts[column]/kilo)
		}
		fmt.Fprintf(table, "\t%s\t%s\n", formatBoxes(row.grantedBy), formatBoxes(row.refusedBy))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	s.writeMargins(out)
	return nil
}

// formatBoxes names a few boxes and counts many.
func formatBoxes(names []string) string {
	const maxNamed = 3
	switch {
	case len(names) == 0:
		return "-"
	case len(names) > maxNamed:
		return fmt.Sprintf("%d boxes", len(names))
	}
	return strings.Join(names, ",")
}
