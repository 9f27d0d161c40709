package peer

import (
	"flag"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestUpdatesAddUp checks that the decoder arrives at the encoded state, however the accounts
// change from update to update.
func TestUpdatesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		encoder, decoder := newEncoder(), decoder{}
		received := map[string]CustomerState{}
		expected := map[string]CustomerState{}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
			account := expected[name]
			account.Served += rapid.Uint64Range(0, 1<<40).Draw(t, "growth")
			account.Pending = rapid.Uint64Range(0, 1<<40).Draw(t, "pending")
			account.Waiting = rapid.Uint32Range(0, 1000).Draw(t, "waiting")
			expected[name] = account
			customers := map[string]CustomerState{}
			for name, account := range expected {
				customers[name] = account
			}
			update, _ := encoder.encode(State{Pools: map[string]PoolState{"p": {Customers: customers}}})
			state, err := decoder.decode(update)
			if err != nil {
				t.Fatal(err)
			}
			for name, account := range state.Pools["p"].Customers {
				received[name] = account
			}
		}
		for name, customer := range expected {
			customer.Pending -= customer.Pending % PendingUnit
			if received[name] != customer {
				t.Fatalf("%s was received as %+v, expected %+v", name, received[name], customer)
			}
		}
	})
}

// FuzzUpdate checks that no message from a peer makes the decoder panic.
func FuzzUpdate(f *testing.F) {
	valid, err := proto.Marshal(&peerpb.Update{Pools: []*peerpb.PoolUpdate{{
		Customers: []uint32{1}, Served: []uint64{5}, Pending: []int64{-1}, Waiting: []int32{-3},
	}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, text []byte) {
		update := &peerpb.Update{}
		if proto.Unmarshal(text, update) != nil {
			return
		}
		decoder := decoder{}
		for range 2 {
			// An error is accepted, a panic is not.
			_, _ = decoder.decode(update)
		}
	})
}
