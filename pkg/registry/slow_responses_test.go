package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/quaylead/quaylead/pkg/route"
)

// response is a pending response of the store or of another box.
type response struct {
	box *Registry
	// apply merges the response.
	apply func()
}

// slowHistory is a random history of a fleet whose calls take time.
type slowHistory struct {
	*rand.Rand
	store     versionedStore
	boxes     []*Registry
	responses []response
}

const (
	slowHistories = 400
	slowSteps     = 400
	slowBoxes     = 4
	slowEndpoints = 5
)

func (h *slowHistory) box() *Registry { return h.boxes[h.IntN(len(h.boxes))] }

// read has a box call the store.
func (h *slowHistory) read(box *Registry, full bool) {
	since, version := box.Position(), h.store.version
	full = full || since == 0
	entries := h.store.present()
	if !full {
		entries = h.store.since(since)
	}
	h.responses = append(h.responses, response{box: box, apply: func() {
		box.applyRead(entries, since, version, full, time.Now())
	}})
}

// receive has a box receive the knowledge of another one and request the entries that changed.
func (h *slowHistory) receive(box, other *Registry) {
	if _, shouldFetch := box.ReceiveKnowledge(other.Knowledge(), other.NewestVersion()); !shouldFetch {
		return
	}
	name := slices.Index(h.boxes, other)
	h.responses = append(h.responses, response{box: box, apply: func() {
		// The other box may have restarted.
		entries, knowledge, _ := h.boxes[name].EntriesSince(box.Position())
		h.responses = append(h.responses, response{box: box, apply: func() { box.OfferEntries(valuesOf(entries), knowledge, "other") }})
	}})
}

func (h *slowHistory) step() {
	id := fmt.Sprintf("engine-%d", h.IntN(slowEndpoints))
	switch h.IntN(12) {
	case 0, 1:
		h.store.write(id, func(e *Entry) {
			if e.Gone || e.Born == 0 {
				e.Born, e.Leaving = int64(h.store.version), false
			}
			e.Gone, e.Address = false, fmt.Sprint(h.store.version)
		})
	case 2:
		if row := h.store.entries[id]; row.Born != 0 && !row.Gone {
			h.store.write(id, func(e *Entry) { e.Leaving = true })
		}
	case 3:
		h.store.write(id, func(e *Entry) { e.Gone = true })
	case 4:
		h.read(h.box(), h.IntN(3) == 0)
	case 5:
		if h.IntN(4) == 0 {
			restarted := h.IntN(len(h.boxes))
			h.responses = slices.DeleteFunc(h.responses, func(a response) bool { return a.box == h.boxes[restarted] })
			h.boxes[restarted] = newRegistry()
		}
	case 6, 7, 8:
		h.receive(h.box(), h.box())
	default:
		if len(h.responses) > 0 {
			at := h.IntN(len(h.responses))
			due := h.responses[at]
			h.responses = slices.Delete(h.responses, at, at+1)
			due.apply()
		}
	}
}

// mismatch describes a box that knows all changes up to the store's version, but has other
// endpoints.
func (h *slowHistory) mismatch() string {
	for i, box := range h.boxes {
		if box.Knowledge().Known != h.store.version || box.Directory() == nil {
			continue
		}
		if !box.divergence.due.IsZero() {
			return fmt.Sprintf("box %d reports a divergence from another box", i)
		}
		got := map[string]route.Endpoint{}
		for _, endpoint := range box.Directory().All() {
			endpoint.Hash = 0
			got[endpoint.ID] = endpoint
		}
		if !maps.Equal(got, h.store.endpoints()) {
			return fmt.Sprintf("box %d has %v, the store %v", i, got, h.store.endpoints())
		}
	}
	return ""
}

// TestOldAnswersBringNothingBack guards against endpoints that have left and are used again because
// an older response came late.
func TestOldAnswersBringNothingBack(t *testing.T) {
	broken := 0
	for seed := range uint64(slowHistories) {
		h := &slowHistory{Rand: rand.New(rand.NewPCG(seed, 0)), store: versionedStore{entries: map[string]Entry{}}}
		for range slowBoxes {
			h.boxes = append(h.boxes, newRegistry())
		}
		for range slowSteps {
			h.step()
			if violation := h.mismatch(); violation != "" {
				t.Logf("seed %d: %s", seed, violation)
				broken++
				break
			}
		}
	}
	if broken > 0 {
		t.Errorf("%d of %d random histories broken", broken, slowHistories)
	}
}
