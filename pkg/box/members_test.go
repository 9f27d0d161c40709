package box_test

import (
	"encoding/json"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/box"
	"github.com/quaylead/quaylead/pkg/peer"
)

// TestLiveIsNotSharedWithNews encodes members, as an operator's call does, while
// updates of them are recorded. If Live shared a map with its caller, the runtime
// would end the process for iterating over it during a write.
func TestLiveIsNotSharedWithNews(t *testing.T) {
	var members box.Members
	from := peer.Sender{Box: "box-1", Incarnation: 1}
	group := errgroup.Group{}
	group.Go(func() error {
		for i := range 20000 {
			members.HandleUpdate(from, peer.State{Pools: map[string]peer.PoolState{"a": {Demand: i}}}, false, time.Now())
		}
		return nil
	})
	group.Go(func() error {
		for range 5000 {
			if _, err := json.Marshal(members.Live()); err != nil {
				return err
			}
		}
		return nil
	})
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}
