package registry

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/route"
	"go.uber.org/zap"
)

const (
	// outageHistories is the number of histories unless QUAYLEAD_FLEETS sets another one.
	outageHistories = 100
	outageBoxes     = 7
	// outageStep is the time between two steps of a history.
	outageStep = 100 * time.Millisecond
	// minStableTime is how long a box must have been without a fault before its state is checked.
	minStableTime = 3 * time.Second
	// maxExchangeDelay is the time in which a change is forwarded over two boxes: for each, the
	// longest fetch and the time until the next step.
	maxExchangeDelay = 2 * (maxFetchMilliseconds*time.Millisecond + outageStep/2)
	// maxFetchMilliseconds is the longest time that a box takes to respond to another one.
	maxFetchMilliseconds = 250
)

var errOutage = errors.New("the store is down")

// outageBox is a box of a random fleet. It follows the store as Run does.
type outageBox struct {
	*Registry
	up bool
	// downUntil is when the box starts again; refusedUntil is until when the store refuses its
	// calls.
	downUntil, refusedUntil time.Time
	// faultAt is when the box last started or was refused by the store.
	faultAt    time.Time
	nextPollAt time.Time
	failures   int
	storeLost  bool
	followed   bool
	seenPolls  int64
	// fullRead is set when the store has lost its history.
	fullRead bool
	fetches  []dueFetch
}

type dueFetch struct {
	at   time.Time
	from int
}

// outageFleet is a random fleet with its store.
type outageFleet struct {
	*rand.Rand
	store versionedStore
	boxes []*outageBox
	// live are the servers that run and do not leave. leftAt is when the store first listed
	// another server as leaving or gone.
	live   map[string]route.Endpoint
	leftAt map[string]time.Time
	// downUntil is when the store is back; faultAt is when it was last down.
	downUntil, faultAt time.Time
	// dueWrites are the pending writes of servers; nextServer numbers new servers.
	dueWrites  []dueWrite
	nextServer int
	startedAt  time.Time
	// log describes the history; violation is the first one found.
	log       []string
	violation string
}

func (f *outageFleet) draw(low, high int) int {
	return low + f.IntN(high-low+1)
}

func (f *outageFleet) milliseconds(low, high int) time.Duration {
	return time.Duration(f.draw(low, high)) * time.Millisecond
}

func (f *outageFleet) isDown() bool { return time.Now().Before(f.downUntil) }

func (f *outageFleet) record(format string, values ...any) {
	f.log = append(f.log, fmt.Sprintf("%v ", time.Since(f.startedAt))+fmt.Sprintf(format, values...))
}

func (f *outageFleet) fail(format string, values ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf("%v ", time.Since(f.startedAt)) + fmt.Sprintf(format, values...)
	}
}

func (f *outageFleet) begin(i int) {
	f.record("box %d starts", i)
	f.boxes[i] = &outageBox{
		Registry:   &Registry{Log: zap.NewNop(), Changed: func() {}},
		up:         true,
		faultAt:    time.Now(),
		nextPollAt: time.Now(),
	}
}

func (f *outageFleet) refusesCalls(i int) bool {
	return f.isDown() || time.Now().Before(f.boxes[i].refusedUntil)
}

// isFollower is a simplified membership.View.IsFollower.
func (f *outageFleet) isFollower(i int) bool {
	reaching, lost := 0, 0
	for _, box := range f.boxes[:i] {
		switch {
		case !box.up:
		case box.storeLost:
			lost++
		default:
			reaching++
		}
	}
	return reaching+lost-min(lost, 2) < 2
}

func (f *outageFleet) isStoreLostElsewhere(i int) bool {
	for j, box := range f.boxes {
		if j != i && box.up && box.storeLost {
			return true
		}
	}
	return false
}

func (f *outageFleet) poll(i int) {
	box, now := f.boxes[i], time.Now()
	if !f.isFollower(i) && box.Directory() != nil && !box.needsOwnRead(now) {
		box.followed = false
		return
	}
	if !box.followed && box.Directory() != nil && f.isFollower(i) && f.isStoreLostElsewhere(i) {
		box.recordEndpointsFailure(errOutage)
	}
	box.followed = f.isFollower(i)
	if box.peerPolls.Load() != box.seenPolls {
		box.seenPolls = box.peerPolls.Load()
		box.nextPollAt = now.Add(f.milliseconds(400, 1200))
	}
	if now.Before(box.nextPollAt) {
		return
	}
	if f.refusesCalls(i) {
		f.record("poll of box %d fails", i)
		box.recordEndpointsFailure(errOutage)
		box.storeLost = true
		box.nextPollAt = now.Add(min(minRetryDelay<<min(box.failures, 6), maxRetryDelay))
		box.failures++
		return
	}
	box.storeLost, box.failures = false, 0
	box.recordEndpointsRead(now)
	since := box.Position()
	if since == 0 || box.fullRead {
		box.applyReadNow(f.store.present(), f.store.version, true, now)
	} else {
		box.applyReadNow(f.entriesSince(since), f.store.version, false, now)
	}
	f.record("box %d polled from %v to %v: full %v, in grace %v, known %v", i, since, f.store.version, box.fullRead, len(box.inGrace), box.Knowledge())
	box.fullRead = false
	box.nextPollAt = now.Add(f.milliseconds(400, 1200))
	box.seenPolls = box.peerPolls.Load()
}

func (f *outageFleet) receive(i, from int) {
	box, other := f.boxes[i], f.boxes[from]
	if i == from || !box.up || !other.up {
		return
	}
	wasMissing := !box.missing.due.IsZero()
	_, shouldFetch := box.ReceiveKnowledge(other.Knowledge(), other.NewestVersion())
	if !wasMissing && !box.missing.due.IsZero() {
		box.missing.due = time.Now().Add(time.Duration((minOwnReadFraction + ownReadJitterFraction*f.Float64()) * float64(defaultMaxLeavingDelay)))
	}
	if shouldFetch && len(box.fetches) == 0 {
		box.fetches = append(box.fetches, dueFetch{at: time.Now().Add(f.milliseconds(0, maxFetchMilliseconds)), from: from})
	}
}

func (f *outageFleet) fetch(i int) {
	box := f.boxes[i]
	if len(box.fetches) == 0 || time.Now().Before(box.fetches[0].at) {
		return
	}
	from := box.fetches[0].from
	box.fetches = nil
	if other := f.boxes[from]; other.up {
		entries, knowledge, _ := other.EntriesSince(box.Position())
		before := box.Knowledge()
		box.OfferEntries(valuesOf(entries), knowledge, "other")
		f.record("box %d fetched from box %d %d entries with knowledge %v: %v to %v, position %v", i, from, len(entries), knowledge, before, box.Knowledge(), box.Position())
	}
}

func (f *outageFleet) advance(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(outageStep)
		now := time.Now()
		if f.isDown() {
			f.faultAt = now
		}
		due := f.dueWrites
		f.dueWrites = nil
		for _, w := range due {
			if now.Before(w.at) {
				f.dueWrites = append(f.dueWrites, w)
				continue
			}
			w.write()
		}
		for i, box := range f.boxes {
			if !box.up {
				if now.After(box.downUntil) {
					f.begin(i)
				}
				continue
			}
			if now.Before(box.refusedUntil) {
				box.faultAt = now
			}
			f.poll(i)
			f.fetch(i)
			box.update(now, func() bool { return false })
		}
		for i := range f.boxes {
			for _, hop := range []int{1, 2, 5, 6} {
				f.receive(i, (i+hop)%len(f.boxes))
			}
		}
		f.check()
	}
}

// check finds boxes that send to endpoints for longer after their departure than allowed.
func (f *outageFleet) check() {
	now := time.Now()
	for i, box := range f.boxes {
		if !box.up || box.Directory() == nil {
			continue
		}
		if !box.divergence.due.IsZero() {
			f.fail("box %d reports a divergence from another box", i)
		}
		for _, endpoint := range box.Directory().All() {
			leftAt, hasLeft := f.leftAt[endpoint.ID]
			if !hasLeft || !endpoint.Admits() {
				continue
			}
			from := leftAt
			if stable := f.faultAt.Add(minStableTime); stable.After(from) {
				from = stable
			}
			if stable := box.faultAt.Add(minStableTime); stable.After(from) {
				from = stable
			}
			if late := now.Sub(from); late > defaultMaxLeavingDelay+maxExchangeDelay {
				f.fail("box %d sends to %s, %v after it left, %v after the last fault", i, endpoint.ID, now.Sub(leftAt), late)
			}
		}
	}
}

func (f *outageFleet) join() {
	id := fmt.Sprintf("e-%d", f.nextServer)
	f.nextServer++
	f.live[id] = route.Endpoint{ID: id, Service: "llm", Address: "10.0.0.1:80", Zone: "zone-a"}
	f.store.write(id, func(e *Entry) { e.Gone, e.Endpoint = false, f.live[id] })
}

// leave has a server leave. A silent one is removed without having been listed as leaving.
func (f *outageFleet) leave(silent bool) {
	if len(f.live) == 0 {
		return
	}
	id := f.sample(slices.Sorted(maps.Keys(f.live)))
	server := f.live[id]
	delete(f.live, id)
	write := func() {
		f.leftAt[id] = time.Now()
		f.record("%s leaves, silent %v, version %v", id, silent, f.store.version+1)
		f.store.write(id, func(e *Entry) { e.Gone, e.Endpoint = silent, server; e.Leaving = !silent })
	}
	if f.isDown() && !silent {
		f.dueWrites = append(f.dueWrites, dueWrite{at: f.downUntil, write: write})
		return
	}
	write()
	if !silent {
		f.dueWrites = append(f.dueWrites, dueWrite{at: time.Now().Add(f.milliseconds(2500, 9000)), write: func() {
			f.store.write(id, func(e *Entry) { e.Gone = true })
		}})
	}
}

// removeLive removes the row of a live server during an outage.
func (f *outageFleet) removeLive() {
	if len(f.live) == 0 || !f.isDown() {
		return
	}
	id := f.sample(slices.Sorted(maps.Keys(f.live)))
	f.store.write(id, func(e *Entry) { e.Gone = true })
	f.dueWrites = append(f.dueWrites, dueWrite{at: f.downUntil.Add(f.milliseconds(0, 2000)), write: func() {
		if server, running := f.live[id]; running {
			f.store.write(id, func(e *Entry) { e.Gone, e.Endpoint = false, server })
		}
	}})
}

func (f *outageFleet) kill(i int) {
	if f.boxes[i].up {
		f.record("box %d killed", i)
		f.boxes[i] = &outageBox{Registry: f.boxes[i].Registry, downUntil: time.Now().Add(f.milliseconds(100, 2000))}
	}
}

func (f *outageFleet) sample(names []string) string { return names[f.IntN(len(names))] }

func (f *outageFleet) entriesSince(version epoch.Version) []Entry {
	changed := f.store.since(version)
	slices.SortFunc(changed, func(a, b Entry) int { return cmp.Compare(a.Version, b.Version) })
	return changed
}

// run plays a random history and returns the first violation.
func (f *outageFleet) run() string {
	for i := range f.boxes {
		f.begin(i)
	}
	for range 6 {
		f.join()
	}
	f.advance(5 * time.Second)
	for range f.draw(1, 40) {
		switch f.draw(0, 11) {
		case 0:
			f.join()
		case 1, 2:
			f.leave(false)
		case 3, 4:
			f.leave(true)
		case 5:
			f.removeLive()
		case 6:
			f.downUntil = time.Now().Add(f.milliseconds(100, 6000))
			f.record("store down until %v", f.downUntil.Sub(f.startedAt))
		case 7:
			i := f.draw(0, len(f.boxes)-1)
			f.boxes[i].refusedUntil = time.Now().Add(f.milliseconds(100, 6000))
			f.record("box %d refused until %v", i, f.boxes[i].refusedUntil.Sub(f.startedAt))
		case 8:
			f.kill(f.draw(0, len(f.boxes)-1))
		case 9:
			for i := range f.boxes {
				if f.draw(0, 2) > 0 {
					f.kill(i)
				}
			}
		case 10:
			for _, box := range f.boxes {
				box.fullRead = true
			}
		default:
			f.store.version++
		}
		f.advance(f.milliseconds(0, 1500))
	}
	f.advance(15 * time.Second)
	for i, box := range f.boxes {
		got := map[string]route.Endpoint{}
		for _, endpoint := range box.Directory().All() {
			endpoint.Hash = 0
			if !endpoint.Leaving {
				got[endpoint.ID] = endpoint
			}
		}
		if !maps.Equal(got, f.live) {
			f.fail("box %d has %v, the servers are %v", i, slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(f.live)))
		}
	}
	return f.violation
}

// TestDrawnOutages guards against endpoints that are used too long after they left, in random
// histories of outages, of boxes that restart and of servers that leave with or without notice.
func TestDrawnOutages(t *testing.T) {
	histories := outageHistories
	if requested, err := strconv.Atoi(os.Getenv("QUAYLEAD_FLEETS")); err == nil {
		histories = requested
	}
	broken := 0
	for seed := range histories {
		synctest.Test(t, func(t *testing.T) {
			f := &outageFleet{
				Rand:  rand.New(rand.NewPCG(uint64(seed), 0)),
				store: versionedStore{entries: map[string]Entry{}},
				live:  map[string]route.Endpoint{}, leftAt: map[string]time.Time{},
				boxes: make([]*outageBox, outageBoxes), startedAt: time.Now(),
			}
			if violation := f.run(); violation != "" {
				broken++
				t.Logf("seed %d: %s; until then:\n%s", seed, violation, strings.Join(f.log, "\n"))
			}
		})
	}
	if broken > 0 {
		t.Errorf("%d of %d histories broken", broken, histories)
	}
}
