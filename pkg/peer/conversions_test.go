package peer

import (
	"flag"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// TestMain fixes the seed of the properties, so that a run gives the same verdict
// each time.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestUpdatesAddUp holds that the listener knows what the teller said, however
// its accounts change from message to message.
func TestUpdatesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		encoder, decoder := newEncoder(), decoder{}
		heard := map[string]CustomerState{}
		truth := map[string]CustomerState{}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
			account := truth[name]
			account.Served += rapid.Uint64Range(0, 1<<40).Draw(t, "growth")
			account.Pending = rapid.Uint64Range(0, 1<<40).Draw(t, "pending")
			account.Waiting = rapid.Uint32Range(0, 1000).Draw(t, "waiting")
			truth[name] = account
			customers := map[string]CustomerState{}
			for name, account := range truth {
				customers[name] = account
			}
			update, _ := encoder.encode(State{Pools: map[string]PoolState{"p": {Customers: customers}}})
			state, err := decoder.decode(update)
			if err != nil {
				t.Fatal(err)
			}
			for name, account := range state.Pools["p"].Customers {
				heard[name] = account
			}
		}
		for name, want := range truth {
			want.Pending -= want.Pending % PendingUnit
			if heard[name] != want {
				t.Fatalf("%s was heard as %+v, is %+v", name, heard[name], want)
			}
		}
	})
}

// FuzzUpdate holds that no message of a peer breaks the decoder.
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
			// An error is as good an answer as any.
			_, _ = decoder.decode(update)
		}
	})
}
