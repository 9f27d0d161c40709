package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/quaylead/quaylead/pkg/peer"
)

// viewOf returns the view of a box that has the rows of all others.
func viewOf(boxes int) *View {
	v := &View{Self: peer.Sender{Box: "box-0", Zone: "zone-0", PeerAddress: "box-0", Incarnation: 1}}
	v.SetStatus(true, false)
	var rows []peer.Row
	for i := 1; i < boxes; i++ {
		row := peer.Row{Sequence: 1, Configured: true, Sender: peer.Sender{
			Box:         fmt.Sprintf("box-%d", i),
			Zone:        fmt.Sprintf("zone-%d", i%5),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			Incarnation: uint64(i + 1),
			Cores:       0.2,
		}}
		for k := 1; k <= 7; k++ {
			row.Heard = append(row.Heard, peer.ShortIncarnation(uint64((i+k*13)%boxes+1)))
		}
		rows = append(rows, row)
	}
	v.HandleUpdate(rows[0].Sender, peer.State{Revision: 1, Rows: rows})
	return v
}

// BenchmarkContacts measures the choice of contacts in an unchanged fleet, which each box makes
// five times a second.
func BenchmarkContacts(b *testing.B) {
	for _, boxes := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			v := viewOf(boxes)
			b.ReportAllocs()
			for b.Loop() {
				v.Contacts(time.Now(), nil, nil)
			}
		})
	}
}

// BenchmarkChange measures the handling of one changed row, including the choice of contacts.
func BenchmarkChange(b *testing.B) {
	for _, boxes := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			v := viewOf(boxes)
			from := peer.Sender{Box: "box-1", Zone: "zone-1", PeerAddress: "10.0.0.1:1", Incarnation: 2}
			row := peer.Row{Sequence: 1, Configured: true, Sender: peer.Sender{Box: "box-2", Zone: "zone-2", PeerAddress: "10.0.0.2:1", Incarnation: 3}}
			b.ReportAllocs()
			for b.Loop() {
				row.Sequence++
				v.HandleUpdate(from, peer.State{Revision: 1, Rows: []peer.Row{row}})
				v.Contacts(time.Now(), nil, nil)
			}
		})
	}
}
