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
	// outageHistories is the number of histories unless QUAYLEAD_FLEETS says otherwise.
	outageHistories = 100
	outageBoxes     = 7
	// outageStep is the time between two moments of a history.
	outageStep = 100 * time.Millisecond
	// outageContact is how long a box has to have been without trouble to be held to account.
	minStableTime = 3 * time.Second
	// outageHops is what telling takes: two answers of another box and the step after each.
	maxExchangeDelay = 2 * (maxFetchMilliseconds*time.Millisecond + outageStep/2)
	// outageFetch is the longest time of such an answer, in milliseconds.
	maxFetchMilliseconds = 250
)

var errOutage = errors.New("the store is down")

// outageBox is a box of a drawn fleet. It follows the store as Run does.
type outageBox struct {
	*Registry
	up bool
	// downUntil is when it starts again, and refusedUntil until when the store turns it away.
	downUntil, refusedUntil time.Time
	// troubleAt is when it last had trouble of its own.
	troubleAt  time.Time
	nextPollAt time.Time
	failures   int
	lost       bool
	followed   bool
	seenPolls  int64
	// whole marks that the store forgot the history.
	fullRead bool
	fetches  []dueFetch
}

type dueFetch struct {
	at   time.Time
	from int
}

// outageFleet is a drawn fleet and its store.
type outageFleet struct {
	*rand.Rand
	store versionedStore
	boxes []*outageBox
	// live are the servers that run and do not leave; leftAt is since when the store says of
	// others that they leave or are gone.
	live   map[string]route.Endpoint
	leftAt map[string]time.Time
	// downUntil is when the store is back, and troubleAt when it was last away.
	downUntil, troubleAt time.Time
	// later is what servers write later, and next numbers them.
	dueWrites []dueWrite
	next      int
	began     time.Time
	// log tells the history, and broken what was found first.
	log    []string
	broken string
}

func (f *outageFleet) draw(least, most int) int {
	return least + f.IntN(most-least+1)
}

func (f *outageFleet) milliseconds(least, most int) time.Duration {
	return time.Duration(f.draw(least, most)) * time.Millisecond
}

func (f *outageFleet) isDown() bool { return time.Now().Before(f.downUntil) }

func (f *outageFleet) record(format string, values ...any) {
	f.log = append(f.log, fmt.Sprintf("%v ", time.Since(f.began))+fmt.Sprintf(format, values...))
}

func (f *outageFleet) fail(format string, values ...any) {
	if f.broken == "" {
		f.broken = fmt.Sprintf("%v ", time.Since(f.began)) + fmt.Sprintf(format, values...)
	}
}

func (f *outageFleet) begin(i int) {
	f.record("box %d begins", i)
	f.boxes[i] = &outageBox{
		Registry:   &Registry{Log: zap.NewNop(), Changed: func() {}},
		up:         true,
		troubleAt:  time.Now(),
		nextPollAt: time.Now(),
	}
}

func (f *outageFleet) fails(i int) bool {
	return f.isDown() || time.Now().Before(f.boxes[i].refusedUntil)
}

// follows is as the view of the fleet has it.
func (f *outageFleet) follows(i int) bool {
	reaching, lost := 0, 0
	for _, box := range f.boxes[:i] {
		switch {
		case !box.up:
		case box.lost:
			lost++
		default:
			reaching++
		}
	}
	return reaching+lost-min(lost, 2) < 2
}

func (f *outageFleet) lostElsewhere(i int) bool {
	for j, box := range f.boxes {
		if j != i && box.up && box.lost {
			return true
		}
	}
	return false
}

func (f *outageFleet) poll(i int) {
	box, now := f.boxes[i], time.Now()
	if !f.follows(i) && box.Directory() != nil && !box.needsOwnRead(now) {
		box.followed = false
		return
	}
	if !box.followed && box.Directory() != nil && f.follows(i) && f.lostElsewhere(i) {
		box.recordEndpointsFailure(errOutage)
	}
	box.followed = f.follows(i)
	if box.peerPolls.Load() != box.seenPolls {
		box.seenPolls = box.peerPolls.Load()
		box.nextPollAt = now.Add(f.milliseconds(400, 1200))
	}
	if now.Before(box.nextPollAt) {
		return
	}
	if f.fails(i) {
		f.record("box %d look fails", i)
		box.recordEndpointsFailure(errOutage)
		box.lost = true
		box.nextPollAt = now.Add(min(minRetryDelay<<min(box.failures, 6), maxRetryDelay))
		box.failures++
		return
	}
	box.lost, box.failures = false, 0
	box.recordEndpointsRead(now)
	since := box.Position()
	if since == 0 || box.fullRead {
		box.applyReadNow(f.store.present(), f.store.version, true, now)
	} else {
		box.applyReadNow(f.entriesSince(since), f.store.version, false, now)
	}
	f.record("box %d looked since %v to %v whole %v lapsed %v known %v", i, since, f.store.version, box.fullRead, len(box.inGrace), box.Knowledge())
	box.fullRead = false
	box.nextPollAt = now.Add(f.milliseconds(400, 1200))
	box.seenPolls = box.peerPolls.Load()
}

func (f *outageFleet) receive(i, from int) {
	box, other := f.boxes[i], f.boxes[from]
	if i == from || !box.up || !other.up {
		return
	}
	lacked := !box.missing.due.IsZero()
	_, ask := box.ReceiveKnowledge(other.Knowledge(), other.NewestVersion())
	if !lacked && !box.missing.due.IsZero() {
		box.missing.due = time.Now().Add(time.Duration((minOwnReadFraction + ownReadJitterFraction*f.Float64()) * float64(defaultMaxLeavingDelay)))
	}
	if ask && len(box.fetches) == 0 {
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
		entries, then, _ := other.EntriesSince(box.Position())
		before := box.Knowledge()
		box.OfferEntries(valuesOf(entries), then, "other")
		f.record("box %d fetched from %d %d entries %v: %v to %v pos %v", i, from, len(entries), then, before, box.Knowledge(), box.Position())
	}
}

func (f *outageFleet) advance(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(outageStep)
		now := time.Now()
		if f.isDown() {
			f.troubleAt = now
		}
		due := f.dueWrites
		f.dueWrites = nil
		for _, one := range due {
			if now.Before(one.at) {
				f.dueWrites = append(f.dueWrites, one)
				continue
			}
			one.write()
		}
		for i, box := range f.boxes {
			if !box.up {
				if now.After(box.downUntil) {
					f.begin(i)
				}
				continue
			}
			if now.Before(box.refusedUntil) {
				box.troubleAt = now
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

// check finds boxes that send to what left longer ago than they may.
func (f *outageFleet) check() {
	now := time.Now()
	for i, box := range f.boxes {
		if !box.up || box.Directory() == nil {
			continue
		}
		if !box.divergence.due.IsZero() {
			f.fail("box %d takes itself to differ from another one", i)
		}
		for _, endpoint := range box.Directory().All() {
			left, leaves := f.leftAt[endpoint.ID]
			if !leaves || !endpoint.Admits() {
				continue
			}
			from := left
			if stable := f.troubleAt.Add(minStableTime); stable.After(from) {
				from = stable
			}
			if touch := box.troubleAt.Add(minStableTime); touch.After(from) {
				from = touch
			}
			if late := now.Sub(from); late > defaultMaxLeavingDelay+maxExchangeDelay {
				f.fail("box %d sends to %s, %v after it left, %v after trouble", i, endpoint.ID, now.Sub(left), late)
			}
		}
	}
}

func (f *outageFleet) join() {
	id := fmt.Sprintf("e-%d", f.next)
	f.next++
	f.live[id] = route.Endpoint{ID: id, Service: "llm", Address: "10.0.0.1:80", Zone: "zone-a"}
	f.store.write(id, func(e *Entry) { e.Gone, e.Endpoint = false, f.live[id] })
}

// leave has a server leave, with a word or without.
func (f *outageFleet) leave(silent bool) {
	if len(f.live) == 0 {
		return
	}
	id := f.sample(slices.Sorted(maps.Keys(f.live)))
	server := f.live[id]
	delete(f.live, id)
	write := func() {
		f.leftAt[id] = time.Now()
		f.record("%s leaves, silent %v version %v", id, silent, f.store.version+1)
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

// lapse has the row of a server that lives go during an outage.
func (f *outageFleet) removeLive() {
	if len(f.live) == 0 || !f.isDown() {
		return
	}
	id := f.sample(slices.Sorted(maps.Keys(f.live)))
	f.store.write(id, func(e *Entry) { e.Gone = true })
	f.dueWrites = append(f.dueWrites, dueWrite{at: f.downUntil.Add(f.milliseconds(0, 2000)), write: func() {
		if server, lives := f.live[id]; lives {
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

// play draws a history and tells what broke.
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
			f.record("store down until %v", f.downUntil.Sub(f.began))
		case 7:
			i := f.draw(0, len(f.boxes)-1)
			f.boxes[i].refusedUntil = time.Now().Add(f.milliseconds(100, 6000))
			f.record("box %d refused until %v", i, f.boxes[i].refusedUntil.Sub(f.began))
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
	return f.broken
}

// TestDrawnOutages guards against endpoints that are used too long after they left, in drawn
// histories of outages, of boxes that start again and of servers that leave with a word or without.
func TestDrawnOutages(t *testing.T) {
	histories := outageHistories
	if asked, err := strconv.Atoi(os.Getenv("QUAYLEAD_FLEETS")); err == nil {
		histories = asked
	}
	broken := 0
	for seed := range histories {
		synctest.Test(t, func(t *testing.T) {
			f := &outageFleet{
				Rand:  rand.New(rand.NewPCG(uint64(seed), 0)),
				store: versionedStore{entries: map[string]Entry{}},
				live:  map[string]route.Endpoint{}, leftAt: map[string]time.Time{},
				boxes: make([]*outageBox, outageBoxes), began: time.Now(),
			}
			if why := f.run(); why != "" {
				broken++
				t.Logf("seed %d: %s; until then:\n%s", seed, why, strings.Join(f.log, "\n"))
			}
		})
	}
	if broken > 0 {
		t.Errorf("%d of %d histories broken", broken, histories)
	}
}
