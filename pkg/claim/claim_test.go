package claim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/claim"
	"github.com/quaylead/quaylead/pkg/platform"
)

// fakeStore is a table store whose calls can fail before or after they take effect, by a plan
// with one entry for each call.
type fakeStore struct {
	rows    map[string]platform.Row
	objects map[string][]byte
	version int
	plan    []callResult
}

// callResult is what happens to one call.
type callResult int

const (
	succeeds callResult = iota
	lostRequest
	lostResponse
)

var errLost = &platform.UnavailableError{Err: errors.New("lost")}

func (s *fakeStore) nextResult() callResult {
	if len(s.plan) == 0 {
		return succeeds
	}
	first := s.plan[0]
	s.plan = s.plan[1:]
	return first
}

func (s *fakeStore) call(effect func() error) error {
	switch s.nextResult() {
	case lostRequest:
		return errLost
	case lostResponse:
		// The call takes effect and its response is lost.
		_ = effect()
		return errLost
	}
	return effect()
}

func (s *fakeStore) Get(table, key string) (row platform.Row, err error) {
	err = s.call(func() error {
		found, ok := s.rows[key]
		if !ok {
			return &platform.NotFoundError{Path: key}
		}
		row = found
		return nil
	})
	return row, err
}

func (s *fakeStore) Put(table, key string, value []byte, when platform.Condition) (version string, err error) {
	err = s.call(func() error {
		found, known := s.rows[key]
		switch when := when.(type) {
		case platform.Absent:
			if known {
				return &platform.ConflictError{Key: key}
			}
		case platform.Current:
			if found.Version != when.Version {
				return &platform.ConflictError{Key: key}
			}
		}
		s.version++
		version = fmt.Sprint(s.version)
		s.rows[key] = platform.Row{Value: value, Version: version}
		return nil
	})
	return version, err
}

func (s *fakeStore) Delete(table, key, version string) error {
	return s.call(func() error {
		if s.rows[key].Version != version {
			return &platform.ConflictError{Key: key}
		}
		delete(s.rows, key)
		return nil
	})
}

func (s *fakeStore) PutObject(key string, value []byte) error {
	return s.call(func() error { s.objects[key] = value; return nil })
}

func (s *fakeStore) GetObject(key string) (value []byte, err error) {
	err = s.call(func() error { value = s.objects[key]; return nil })
	return value, err
}

func newStore(plan ...callResult) *fakeStore {
	return &fakeStore{rows: map[string]platform.Row{}, objects: map[string][]byte{}, plan: plan}
}

func registry(store *fakeStore, box string) *claim.Registry {
	count := 0
	return &claim.Registry{Store: store, Box: box, NewNonce: func() string {
		count++
		return fmt.Sprintf("%s-%d", box, count)
	}}
}

var key = claim.Key{Customer: "ward", Pool: "booking-api", Value: "one"}

// step is an action of one of two routers with the same key.
type step int

const (
	takeA step = iota
	takeB
	settleA
	releaseA
)

// scenario is two routers with one store, and the number of times that the call was sent.
type scenario struct {
	store *fakeStore
	a, b  *claim.Registry
	heldA *claim.Claim
	runs  int
}

func (w *scenario) do(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	switch s {
	case takeA, takeB:
		router := w.a
		if s == takeB {
			router = w.b
		}
		result, err := router.Take(ctx, key, "digest")
		if err != nil {
			return
		}
		taken, ok := result.(claim.Taken)
		if !ok {
			return
		}
		if s == takeA {
			w.heldA = taken.Claim
			return
		}
		w.runs++
	case settleA:
		if w.heldA != nil {
			w.runs++
			w.a.Settle(w.heldA, claim.Outcome{Status: 200, Body: []byte("done")})
			w.heldA = nil
		}
	case releaseA:
		if w.heldA != nil {
			w.a.Release(w.heldA)
			w.heldA = nil
		}
	}
}

// TestNoInterleavingRunsTwice tries every order of four steps by two routers with every result
// of the first four calls to the store. Router A may be paused for any time between its claim
// and its call.
func TestNoInterleavingRunsTwice(t *testing.T) {
	const depth = 4
	explored := 0
	synctest.Test(t, func(t *testing.T) {
		for order := range 1 << (2 * depth) {
			for results := range 81 {
				w := &scenario{store: newStore(planOf(results)...)}
				w.a, w.b = registry(w.store, "a"), registry(w.store, "b")
				for i := range depth {
					w.do(step(order >> (2 * i) & 3))
				}
				explored++
				if w.runs > 1 {
					t.Fatalf("order %x with results %d ran the call %d times", order, results, w.runs)
				}
			}
		}
	})
	if explored != 256*81 {
		t.Fatalf("explored %d", explored)
	}
}

func planOf(number int) (plan []callResult) {
	for range 4 {
		plan = append(plan, callResult(number%3))
		number /= 3
	}
	return plan
}

func TestOutcomes(t *testing.T) {
	Convey("Given a settled claim", t, func() {
		store := newStore()
		first := registry(store, "a")
		result, err := first.Take(t.Context(), key, "digest")
		So(err, ShouldBeNil)
		large := make([]byte, 100<<10)
		first.Settle(result.(claim.Taken).Claim, claim.Outcome{Status: 201, Body: large})
		Convey("a repeated call at any router gets the complete outcome", func() {
			result, err := registry(store, "b").Take(t.Context(), key, "digest")
			So(err, ShouldBeNil)
			stored := result.(claim.Stored)
			So(stored.Outcome.Status, ShouldEqual, 201)
			So(len(stored.Outcome.Body), ShouldEqual, len(large))
		})
		Convey("a different request with the same key is recognized", func() {
			result, err := registry(store, "b").Take(t.Context(), key, "other")
			So(err, ShouldBeNil)
			So(result, ShouldHaveSameTypeAs, claim.Reused{})
		})
	})
	Convey("An outcome that the store did not accept is written later", t, func() {
		synctest.Test(t, func(t *testing.T) {
			store := newStore(succeeds, lostRequest)
			r := registry(store, "a")
			result, err := r.Take(t.Context(), key, "digest")
			if err != nil {
				t.Fatal(err)
			}
			r.Settle(result.(claim.Taken).Claim, claim.Outcome{Status: 200})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if err := r.Run(ctx); err != nil {
				t.Fatal(err)
			}
			repeated, err := registry(store, "b").Take(t.Context(), key, "digest")
			if _, ok := repeated.(claim.Stored); !ok || err != nil {
				t.Fatalf("got %T, %v", repeated, err)
			}
		})
	})
}
