package dispatch

import (
	"fmt"
	"hash"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// writeDecisions writes each decision to a digest.
func writeDecisions(digest hash.Hash) func(Decision) {
	return func(d Decision) {
		switch d := d.(type) {
		case Grant:
			fmt.Fprintln(digest, d.Request.ID, d.Endpoint, d.Wait, d.ReadTime, d.MissingTokens)
		case Refusal:
			fmt.Fprintln(digest, d.Request.ID, d.RetryAfter, d.OverShare)
		}
	}
}

// recordedDecisions is the digest of the decisions of a pool that has no weights, no
// homes by zone and no special rule for empty caches.
const recordedDecisions = 4475363915698710087

// TestDecisionsUnchanged guards against rules that change decisions while they are switched off
// and all engines are even.
func TestDecisionsUnchanged(t *testing.T) {
	Convey("With the switches off and even engines each decision is as recorded", t, func() {
		s := newSimulation(9, 430000, 110000)
		digest, count := xxhash.New(), 0
		write := writeDecisions(digest)
		s.observe = func(d Decision) {
			count++
			write(d)
		}
		sources := append(largeCustomer("flood", 8), largeCustomer("other", 1)...)
		sources = append(sources, digestCustomer("digest", 300000)...)
		s.play(15*time.Second, sources...)
		So(count, ShouldBeGreaterThan, 3000)
		So(digest.Sum64(), ShouldEqual, uint64(recordedDecisions))
	})
}
