package measure

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// Print writes a result as a table.
func Print(out io.Writer, r *Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("Measure", "Value")
	row("FairnessGap", "%.0f weighted tokens (%s, %s)", r.FairnessGap, r.FairnessPair[0], r.FairnessPair[1])
	row("FairnessBound", "%.0f weighted tokens", r.FairnessBound)
	row("Utilisation", "%.3f over %.1f s with work waiting", r.Utilisation, r.WaitingSeconds)
	row("ControlBytesPerSecond", "%.0f for each box", r.ControlBytesPerSecond)
	row("Overhead", "p50 %.3f ms, p99 %.3f ms", r.OverheadP50, r.OverheadP99)
	for _, class := range sortedKeys(r.FirstToken) {
		first, between := r.FirstToken[class], r.BetweenTokens[class]
		row("FirstToken "+class, "p50 %.1f ms, p95 %.1f ms, p99 %.1f ms of %d", first.P50, first.P95, first.P99, first.Count)
		if between.Count > 0 {
			row("BetweenTokens "+class, "p50 %.1f ms, p95 %.1f ms", between.P50, between.P95)
		}
	}
	row("Requests", "%d, %d answered whole, %d visibly cut", r.Requests, r.Whole, r.VisiblyCut)
	for _, code := range sortedKeys(r.Refusals) {
		row("Refusals "+code, "%d", r.Refusals[code])
	}
	for _, customer := range sortedKeys(r.Service) {
		row("Service "+customer, "%.0f weighted tokens", r.Service[customer])
	}
	row("DoubleRuns", "%d", r.DoubleRuns)
	row("FalseNotRun", "%d", r.FalseNotRun)
	row("CutAnswers", "%d", r.CutAnswers)
	row("CrossedAnswers", "%d", r.CrossedAnswers)
	row("StarvedCustomers", "%d", r.StarvedCustomers)
	if s := r.Settings; s != nil {
		row("Acceptances", "%d, %d conflicts, %d unknown", s.Acceptances, s.Conflicts, s.Unknown)
		row("InForce", "p50 %.0f ms, p99 %.0f ms", s.InForceP50, s.InForceP99)
		row("LostAcceptances", "%d", s.LostAcceptances)
		row("DoubleAcceptances", "%d", s.DoubleAcceptances)
		row("Reverts", "%d", s.Reverts)
	}
	return table.Flush()
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
