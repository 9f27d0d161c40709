package slopes

import (
	"fmt"
	"strings"
)

// Target is the fleet that the users want to have in two years.
type Target struct {
	Nodes               float64
	Zones               float64
	Regions             float64
	Customers           float64
	BackloggedPart      float64
	Models              float64
	RequestsPerSecond   float64
	ConfigurationPerDay float64
}

// TwoYears is the target of the users' letter.
var TwoYears = Target{
	Nodes:               1700,
	Zones:               16,
	Regions:             6,
	Customers:           370,
	BackloggedPart:      0.1,
	Models:              22,
	RequestsPerSecond:   94000,
	ConfigurationPerDay: 22000,
}

// The limits of a node's control, and of the platform's stores.
const (
	LimitBytesPerSecond = 8000
	LimitCorePart       = 0.044
	LimitStateBytes     = 32e6
	LimitReads          = 2000
	LimitWrites         = 300
)

// ClaimedPart is assumed: the part of requests that carry an idempotency key
// and must not be repeated. The users have not said.
const ClaimedPart = 0.01

// claimWrites are the writes of one claim today: the insert and the outcome.
const claimWrites = 2

// Row is one line of the capacity table.
type Row struct {
	Role   string
	What   string
	Value  float64
	Limit  float64
	Unit   string
	Source string
}

// Over tells that the value exceeds its limit.
func (r Row) Over() bool { return r.Value > r.Limit }

// perPeer is what one more peer costs with a number of entries of news: the
// slope over peers was measured with 16 entries, and the slope over entries
// with 5 peers.
func perPeer(boxes, entries Line, samplePeers, sampleEntries, count float64) float64 {
	return boxes.Slope + entries.Slope/samplePeers*(count-sampleEntries)
}

const (
	measuredEntries = 16
	measuredPeers   = 5
)

// Rows works the table out from the slopes.
func Rows(s *Slopes, t Target) []Row {
	entries := t.Customers * t.BackloggedPart * t.Models
	peers := t.Nodes - 1
	bytes := perPeer(s.Boxes.Bytes, s.Entries.Bytes, measuredPeers, measuredEntries, entries)
	core := perPeer(s.Boxes.Core, s.Entries.Core, measuredPeers, measuredEntries, entries)
	state := perPeer(s.Boxes.State, s.Entries.State, measuredPeers, measuredEntries, entries)
	snapshot := s.SnapshotBytesPerCustomer * t.Customers
	changes := t.ConfigurationPerDay / 86400
	zoneSize := t.Nodes / t.Zones
	const (
		fromBoxes   = "Boxes and Entries"
		fromTarget  = "the target"
		fromAssumed = "ClaimedPart, assumed"
	)
	return []Row{
		{"router, full mesh", "bytes a second", peers * bytes, LimitBytesPerSecond, "B/s", fromBoxes},
		{"router, full mesh", "part of a core", peers * core, LimitCorePart, "core", fromBoxes},
		{"router, full mesh", "state", peers * state, LimitStateBytes, "B", fromBoxes},
		{"router, one relay", "bytes a second", bytes, LimitBytesPerSecond, "B/s", fromBoxes},
		{"router, one relay", "part of a core", core, LimitCorePart, "core", fromBoxes},
		{"router, one relay", "state", state, LimitStateBytes, "B", fromBoxes},
		{"zone relay, sums", "bytes a second", zoneSize * bytes, LimitBytesPerSecond, "B/s", fromBoxes},
		{"zone relay, sums", "part of a core", zoneSize * core, LimitCorePart, "core", fromBoxes},
		{"region relay, sums", "bytes a second", (t.Zones/t.Regions + t.Regions - 1) * bytes, LimitBytesPerSecond, "B/s", fromBoxes},
		{"settings, whole snapshots", "bytes a second", snapshot * changes, LimitBytesPerSecond, "B/s", "SnapshotBytesPerCustomer"},
		{"settings, polling the head", "reads of the table store a second", t.Nodes / 4, LimitReads, "1/s", fromTarget},
		{"box list, polling", "reads of the platform a second", t.Nodes / 5, LimitReads, "1/s", fromTarget},
		{"claims, one write each", "writes of the table store a second", t.RequestsPerSecond * ClaimedPart * claimWrites, LimitWrites, "1/s", fromAssumed},
		{"operators, applies", "writes of the table store a second", changes, LimitWrites, "1/s", fromTarget},
	}
}

// Table writes the rows as Markdown.
func Table(s *Slopes, t Target) string {
	var out strings.Builder
	out.WriteString("| Role | What | At the target | Limit | Within | From |\n")
	out.WriteString("| --- | --- | ---: | ---: | --- | --- |\n")
	for _, row := range Rows(s, t) {
		within := "yes"
		if row.Over() {
			within = "**no**"
		}
		fmt.Fprintf(&out, "| %s | %s | %.4g %s | %.4g %s | %s | %s |\n",
			row.Role, row.What, row.Value, row.Unit, row.Limit, row.Unit, within, row.Source)
	}
	return out.String()
}

// Measured writes the samples and lines as Markdown.
func Measured(s *Slopes) string {
	var out strings.Builder
	for _, axis := range []*Axis{&s.Boxes, &s.Entries} {
		fmt.Fprintf(&out, "Axis: %s.\n\n", axis.Name)
		out.WriteString("| Boxes | Pools | Customers in each | B/s | Core | State B |\n")
		out.WriteString("| ---: | ---: | ---: | ---: | ---: | ---: |\n")
		for _, sample := range axis.Samples {
			fmt.Fprintf(&out, "| %d | %d | %d | %.0f | %.5f | %.0f |\n", sample.Boxes, sample.Pools,
				sample.Customers, sample.BytesPerSecond, sample.CorePart, sample.StateBytes)
		}
		fmt.Fprintf(&out, "\nLines: %s, %s, %s.\n\n", lineText(axis.Bytes, "B/s"),
			lineText(axis.Core, "core"), lineText(axis.State, "B"))
	}
	fmt.Fprintf(&out, "A snapshot grows by %.0f B for each customer.\n", s.SnapshotBytesPerCustomer)
	return out.String()
}

func lineText(l Line, unit string) string {
	return fmt.Sprintf("%.4g + %.4g x %s (largest residual %.0f%%)", l.Base, l.Slope, unit, 100*l.LargestResidual)
}
