package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLimit(t *testing.T) {
	Convey("One customer alone takes at most half, so that another one is not refused", t, func() {
		b := &Budget{Size: 1000}
		So(b.Reserve("a", 500), ShouldBeTrue)
		So(b.Reserve("a", 1), ShouldBeFalse)
		So(b.Reserve("b", 250), ShouldBeTrue)
		So(b.Reserve("b", 1), ShouldBeFalse)
		So(b.Reserve("c", 125), ShouldBeTrue)
	})
	Convey("What was released can be taken again, by the same customer and by others", t, func() {
		b := &Budget{Size: 1000}
		So(b.Reserve("a", 500), ShouldBeTrue)
		b.Release("a", 500)
		So(b.Used(), ShouldEqual, 0)
		So(b.byCustomer, ShouldBeEmpty)
		So(b.Reserve("a", 500), ShouldBeTrue)
	})
	Convey("Bytes in use already count against the limit, also beyond it", t, func() {
		b := &Budget{Size: 1000}
		b.Add("a", 900)
		So(b.Reserve("a", 1), ShouldBeFalse)
		So(b.Reserve("b", 50), ShouldBeTrue)
		So(b.Reserve("b", 1), ShouldBeFalse)
	})
	Convey("A size is known not to fit before it is waited for", t, func() {
		b := &Budget{Size: 1000}
		So(b.CanFit(500), ShouldBeTrue)
		So(b.CanFit(501), ShouldBeFalse)
	})
}

// TestDrawnLoad guards against a customer that is kept from its memory by others: ten customers
// fill what they can get, in random order, and one more asks for a little.
func TestDrawnLoad(t *testing.T) {
	const size = 20 << 20
	Convey("However much some customers ask for, one more finds room, and none takes over half", t, func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := &Budget{Size: size}
			held := map[string][]int64{}
			greedy := 1 + rng.IntN(10)
			for range 3000 {
				name := fmt.Sprint("greedy-", rng.IntN(greedy))
				if len(held[name]) > 0 && rng.IntN(4) == 0 {
					b.Release(name, held[name][0])
					held[name] = held[name][1:]
					continue
				}
				bytes := 1 + rng.Int64N(100<<10)
				if b.Reserve(name, bytes) {
					held[name] = append(held[name], bytes)
				}
				if b.UsedBy(name) > size/2 {
					t.Fatalf("seed %d: %s has %d of %d bytes", seed, name, b.UsedBy(name), size)
				}
			}
			if !b.Reserve("modest", 100<<10) {
				t.Fatalf("seed %d: no room beside %d greedy customers with %d of %d bytes", seed, greedy, b.Used(), size)
			}
		}
	})
}

func TestChooseCuts(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(id uint64, customer string, bytes int64, after time.Duration) Unread {
		return Unread{ID: id, Customer: customer, Bytes: bytes, Since: start.Add(after)}
	}
	Convey("Nothing is cut while the budget is not nearly used", t, func() {
		b := &Budget{Size: 1000}
		b.Add("a", 750)
		So(b.ChooseCuts([]Unread{at(1, "a", 750, 0)}), ShouldBeEmpty)
	})
	Convey("The customer furthest over its share loses the answers unread for longest, and no more than needed", t, func() {
		b := &Budget{Size: 1000}
		b.Add("a", 500)
		b.Add("b", 400)
		cuts := b.ChooseCuts([]Unread{at(1, "a", 100, 2), at(2, "a", 100, 1), at(3, "b", 100, 0), at(4, "a", 100, 3)})
		So(cuts, ShouldResemble, []Unread{at(2, "a", 100, 1), at(1, "a", 100, 2)})
	})
	Convey("A customer within its share loses nothing, even if no one else has an unread answer", t, func() {
		b := &Budget{Size: 1000}
		b.Add("a", 800)
		b.Add("b", 100)
		So(b.ChooseCuts([]Unread{at(1, "b", 100, 0)}), ShouldBeEmpty)
	})
	Convey("Whatever is kept, cuts end when enough is free, and spare all customers within their share", t, func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 2))
			b := &Budget{Size: 1 << 20}
			var unread []Unread
			customers := 1 + rng.IntN(6)
			for id := range uint64(rng.IntN(60)) {
				answer := at(id, fmt.Sprint(rng.IntN(customers)), 1+rng.Int64N(60<<10), time.Duration(rng.IntN(1000)))
				b.Add(answer.Customer, answer.Bytes)
				unread = append(unread, answer)
			}
			allowed := int64(maxUsedShare * float64(b.Size))
			share := allowed / int64(max(1, len(b.byCustomer)))
			for _, cut := range b.ChooseCuts(unread) {
				if b.Used() <= allowed || b.UsedBy(cut.Customer) <= share {
					t.Fatalf("seed %d: %v is cut needlessly", seed, cut)
				}
				b.Release(cut.Customer, cut.Bytes)
			}
			if b.Used() > allowed {
				t.Fatalf("seed %d: %d of %d bytes are left though all could be cut", seed, b.Used(), allowed)
			}
		}
	})
}

func TestUnanswered(t *testing.T) {
	Convey("An endpoint gets no more bytes than its bound until it answers", t, func() {
		u := &Unanswered{}
		So(u.Send("a", 60, 100), ShouldBeTrue)
		So(u.Send("a", 60, 100), ShouldBeFalse)
		So(u.Send("b", 60, 100), ShouldBeTrue)
		So(u.Send("a", 40, 100), ShouldBeTrue)
		u.Answer("a", 60)
		So(u.Bytes("a"), ShouldEqual, 40)
		So(u.Send("a", 60, 100), ShouldBeTrue)
	})
	Convey("Without a bound nothing is refused, and nothing is left once all is answered", t, func() {
		u := &Unanswered{}
		So(u.Send("a", 1<<40, 0), ShouldBeTrue)
		u.Answer("a", 1<<40)
		So(u.byEndpoint, ShouldBeEmpty)
	})
}
