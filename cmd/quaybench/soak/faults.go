package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/cmd/quaybench/fault"
	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/platform/standin"
)

// injection is one of killed, paused, stopped, hungUp, linkFault, storeFault,
// forgotten, restored, serverFault, leaving, departing, vanishing, blackout, configured and deadly.
type injection interface {
	fmt.Stringer
	injection()
}

// killed ends processes at once; they start again after the fault's time.
type killed struct{ boxes []*box }

// paused stops a process in its tracks for a time.
type paused struct{ box *box }

// stopped ends a process as planned, and starts it again.
type stopped struct{ box *box }

// hungUp has a process read its settings again.
type reloaded struct{ box *box }

// linkFault is one of a proxy: of the way from a box to the store, or from all
// boxes to a server.
type linkFault struct {
	link string
	// box is set for its way to the store.
	box         *box
	description string
	toxic       fault.Toxic
}

// storeFault is one of the store itself.
type storeFault struct {
	description string
	fault       standin.StoreFault
}

// forgotten has the store forget its history.
type historyLost struct{}

// restored takes the store away for a moment, and brings it back from a copy as old as the
// fault's time. What servers and the operator had written since is written again.
type storeRestored struct{ outage, rewriteDelay time.Duration }

// serverFault is one of a server itself.
type serverFault struct {
	server      *server
	description string
	fault       standin.ServerFault
}

// leaving takes a server away as planned, after another one came.
type serverLeaves struct{ server *server }

// departing takes a server away that says so in its answers alone, after another one came:
// its row stays as it was.
type serverLeavesByResponses struct{ server *server }

// vanishing takes a server away without a word, after another one came: its row goes, and it serves on.
type entryRemoved struct{ server *server }

// blackout ends all boxes in one moment. While they return the store is slow, and a server vanishes.
type allBoxesKilled struct {
	server *server
	// slow is the store's delay, and vanishes when the server does, from the return on.
	storeDelay, entryRemovedAfter time.Duration
}

// configured has a new configuration accepted.
type reconfigured struct{}

// deadly has one request come again and again, to any box, that ends the servers of a
// service which run it.
type crashingRequest struct {
	service string
	number  int
	// pause is the longest time between two.
	maxPause time.Duration
	seed     uint64
	// together has it come to all boxes at once each time.
	allBoxes bool
}

func (killed) injection()                  {}
func (paused) injection()                  {}
func (stopped) injection()                 {}
func (reloaded) injection()                {}
func (linkFault) injection()               {}
func (storeFault) injection()              {}
func (historyLost) injection()             {}
func (storeRestored) injection()           {}
func (serverFault) injection()             {}
func (serverLeaves) injection()            {}
func (serverLeavesByResponses) injection() {}
func (entryRemoved) injection()            {}
func (allBoxesKilled) injection()          {}
func (reconfigured) injection()            {}
func (crashingRequest) injection()         {}

// String names the fault for the log of a run.
func (f killed) String() string {
	return fmt.Sprintf("%d boxes killed, %s first", len(f.boxes), f.boxes[0].Name)
}
func (f paused) String() string      { return f.box.Name + " paused" }
func (f stopped) String() string     { return f.box.Name + " stopped as planned" }
func (f reloaded) String() string    { return f.box.Name + " told to read its settings" }
func (f linkFault) String() string   { return f.link + " " + f.description }
func (f storeFault) String() string  { return "store " + f.description }
func (f historyLost) String() string { return "store forgets its history" }
func (f storeRestored) String() string {
	return fmt.Sprintf("store restored from a copy, away for %s, written again within %s", f.outage, f.rewriteDelay)
}
func (f serverFault) String() string             { return f.server.ID + " " + f.description }
func (f serverLeaves) String() string            { return f.server.ID + " leaves" }
func (f serverLeavesByResponses) String() string { return f.server.ID + " leaves by its answers" }
func (f entryRemoved) String() string            { return f.server.ID + " leaves without a word" }
func (f allBoxesKilled) String() string {
	return fmt.Sprintf("all boxes killed, the store slow by %s, %s leaves without a word %s after", f.storeDelay, f.server.ID, f.entryRemovedAfter)
}
func (f reconfigured) String() string { return "a new configuration" }
func (f crashingRequest) String() string {
	return fmt.Sprintf("a request that ends servers of %s, again within %s each time, at all boxes at once: %t", f.service, f.maxPause, f.allBoxes)
}

func drawFault(rng *rand.Rand, w *world) injection {
	b := w.boxes[rng.IntN(len(w.boxes))]
	s := w.drawServer(rng)
	switch rng.IntN(22) {
	case 0:
		return killed{boxes: []*box{b}}
	case 1:
		shuffled := slices.Clone(w.boxes)
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		return killed{boxes: shuffled[:1+rng.IntN(len(shuffled))]}
	case 2, 3:
		return paused{box: b}
	case 4, 5:
		return stopped{box: b}
	case 6:
		return reloaded{box: b}
	case 7:
		return drawLinkFault(rng, storeLink(b.Name), b)
	case 8:
		return drawLinkFault(rng, s.ID, nil)
	case 9:
		return drawStoreFault(rng)
	case 10:
		return serverLeaves{server: s}
	case 11:
		return reconfigured{}
	case 12:
		return crashingRequest{
			service:  []string{"llm", "api"}[rng.IntN(2)],
			number:   rng.IntN(1 << 30),
			maxPause: time.Duration(50+rng.IntN(800)) * time.Millisecond,
			seed:     rng.Uint64(),

			allBoxes: rng.IntN(2) == 0,
		}
	case 13:
		return serverLeavesByResponses{server: s}
	case 14, 15:
		return storeRestored{
			outage:       time.Duration(50+rng.IntN(1500)) * time.Millisecond,
			rewriteDelay: time.Duration(rng.IntN(1500)) * time.Millisecond,
		}
	case 16, 17:
		return entryRemoved{server: s}
	case 18:
		return allBoxesKilled{
			server:            s,
			storeDelay:        time.Duration(rng.IntN(600)) * time.Millisecond,
			entryRemovedAfter: time.Duration(rng.IntN(1500)) * time.Millisecond,
		}
	default:
		return drawServerFault(rng, s)
	}
}

func drawLinkFault(rng *rand.Rand, link string, b *box) injection {
	f := linkFault{link: link, box: b}
	switch rng.IntN(4) {
	case 0:
		f.description, f.toxic = "delayed", fault.Toxic{Type: "latency", Attributes: map[string]int{"latency": 20 + rng.IntN(600)}}
	case 1:
		f.description, f.toxic = "reset", fault.Toxic{Type: "reset_peer", Attributes: map[string]int{"timeout": rng.IntN(300)}}
	case 2:
		f.description, f.toxic = "cut one way", fault.Toxic{Type: "timeout", Upstream: rng.IntN(2) == 0, Attributes: map[string]int{"timeout": 0}}
	default:
		f.description = "silenced"
	}
	return f
}

func drawStoreFault(rng *rand.Rand) injection {
	switch rng.IntN(5) {
	case 0:
		return storeFault{description: "busy", fault: standin.StoreFault{Busy: true}}
	case 1:
		return storeFault{description: "silent", fault: standin.StoreFault{Silent: true}}
	case 2:
		return storeFault{description: "loses answers", fault: standin.StoreFault{LoseAnswers: true}}
	case 3:
		return storeFault{description: "slow", fault: standin.StoreFault{Delay: time.Duration(50+rng.IntN(800)) * time.Millisecond}}
	default:
		return historyLost{}
	}
}

func drawServerFault(rng *rand.Rand, s *server) injection {
	probability := 0.05 + 0.9*rng.Float64()
	switch rng.IntN(9) {
	case 7, 8:
		rest := fmt.Sprintf("%.1f", 0.5+3.5*rng.Float64())
		return serverFault{server: s, description: "asks for " + rest + " s of rest", fault: standin.ServerFault{Full: true, RetryAfter: rest}}
	case 0:
		return serverFault{server: s, description: "full", fault: standin.ServerFault{Full: true}}
	case 1:
		return serverFault{server: s, description: "errors", fault: standin.ServerFault{Errors: probability}}
	case 2:
		return serverFault{server: s, description: "loses answers", fault: standin.ServerFault{Lost: probability}}
	case 3:
		return serverFault{server: s, description: "cuts answers", fault: standin.ServerFault{Cut: probability}}
	case 4:
		return serverFault{server: s, description: "sends surplus answers", fault: standin.ServerFault{Surplus: probability}}
	case 5:
		return serverFault{server: s, description: "hangs", fault: standin.ServerFault{Hang: probability}}
	default:
		return serverFault{server: s, description: "slow", fault: standin.ServerFault{Delay: time.Duration(rng.IntN(700)) * time.Millisecond}}
	}
}

func (w *world) drawServer(rng *rand.Rand) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		if s := w.servers[rng.IntN(len(w.servers))]; s.leftAt.IsZero() {
			return s
		}
	}
}

// play begins a fault, waits, and ends it, also when the context has ended.
func inject(ctx context.Context, w *world, f injection, length time.Duration) error {
	switch f := f.(type) {
	case killed:
		group := errgroup.Group{}
		for _, b := range f.boxes {
			group.Go(func() error { return b.killFor(ctx, length) })
		}
		return group.Wait()
	case paused:
		return f.box.pauseFor(ctx, length)
	case stopped:
		return f.box.stopAsPlanned()
	case reloaded:
		f.box.processMu.Lock()
		defer f.box.processMu.Unlock()
		return f.box.Signal(syscall.SIGHUP)
	case linkFault:
		if f.box != nil {
			f.box.recordFault(length)
		} else {
			w.recordSharedFault(length)
			w.recordLinkFault(length)
		}
		return w.breakLink(ctx, f, length)
	case storeFault:
		w.recordSharedFault(length)
		w.store.SetFault(f.fault)
		_ = interval.Wait(ctx, length)
		w.store.SetFault(standin.StoreFault{})
	case historyLost:
		w.store.ForgetHistory()
	case storeRestored:
		w.restore(ctx, f, length)
	case serverFault:
		w.recordSharedFault(length)
		f.server.SetFault(f.fault)
		_ = interval.Wait(ctx, length)
		f.server.SetFault(standin.ServerFault{})
	case serverLeaves:
		return w.leaveAsPlanned(ctx, f.server)
	case serverLeavesByResponses:
		return w.leaveByResponses(f.server)
	case entryRemoved:
		return w.removeEntry(f.server)
	case allBoxesKilled:
		return w.killAllBoxes(ctx, f, length)
	case reconfigured:
		return w.writeConfiguration()
	case crashingRequest:
		w.recordSharedFault(length)
		w.sendCrashing(ctx, f, length)
	}
	return nil
}

func (w *world) restore(ctx context.Context, f storeRestored, age time.Duration) {
	snapshot := w.store.Snapshot()
	_ = interval.Wait(ctx, age)
	w.recordSharedFault(f.outage + f.rewriteDelay + rewriteSettleDelay)
	w.store.SetFault(standin.StoreFault{Silent: true})
	_ = interval.Wait(ctx, f.outage)
	w.store.Restore(snapshot)
	w.store.SetFault(standin.StoreFault{})
	_ = interval.Wait(ctx, f.rewriteDelay)
	w.store.RewriteMissing()
}

// rewrittenIn is how long what is written again may take to be known.
const rewriteSettleDelay = 2 * time.Second

func (w *world) breakLink(ctx context.Context, f linkFault, length time.Duration) error {
	if f.toxic.Type == "" {
		if err := w.grid.Cut(f.link); err != nil {
			return w.reportSkipped(f, err)
		}
	} else if err := w.grid.Inject(f.link, f.toxic); err != nil {
		return w.reportSkipped(f, err)
	}
	_ = interval.Wait(ctx, length)
	return w.grid.Heal(f.link)
}

// alreadyBroken passes over a fault of a link that has one of its kind: that one
// goes on.
func (w *world) reportSkipped(f linkFault, err error) error {
	fmt.Fprintf(w.soak.Progress, "        %s not broken again: %v\n", f.link, err)
	return nil
}

func (b *box) killFor(ctx context.Context, length time.Duration) error {
	b.processMu.Lock()
	defer b.processMu.Unlock()
	b.recordFault(length)
	b.Kill()
	_ = interval.Wait(ctx, length)
	return b.start()
}

func (b *box) pauseFor(ctx context.Context, length time.Duration) error {
	b.processMu.Lock()
	defer b.processMu.Unlock()
	b.recordFault(length)
	if err := b.Pause(); err != nil {
		return err
	}
	_ = interval.Wait(ctx, length)
	return b.Continue()
}

// stopAsPlanned ends a process with its time for that, and starts it again.
func (b *box) stopAsPlanned() error {
	b.processMu.Lock()
	defer b.processMu.Unlock()
	b.mu.Lock()
	b.stops = append(b.stops, stop{incarnation: b.starts, began: time.Now()})
	b.mu.Unlock()
	if err := b.Terminate(); err != nil {
		return err
	}
	b.Wait()
	return b.start()
}

// takeAway lets a server leave: it says so, serves on, and ends.
func (w *world) leaveAsPlanned(ctx context.Context, s *server) error {
	if err := w.addServer(s.Service); err != nil {
		return err
	}
	if err := w.store.Register(s.Server, s.proxyAddress, true); err != nil {
		return err
	}
	w.mu.Lock()
	alreadyLeft := !s.leftAt.IsZero()
	if !alreadyLeft {
		s.leftAt = time.Now()
	}
	w.mu.Unlock()
	if alreadyLeft {
		return nil
	}
	_ = interval.Wait(ctx, leavingEntryTTL)
	w.store.Unregister(s.ID)
	return nil
}

// vanish takes the entry of a server away, which serves on.
func (w *world) removeEntry(s *server) error {
	if err := w.addServer(s.Service); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.leftAt.IsZero() {
		s.leftAt = time.Now()
		w.store.Unregister(s.ID)
	}
	return nil
}

func (w *world) killAllBoxes(ctx context.Context, f allBoxesKilled, length time.Duration) error {
	group := errgroup.Group{}
	for _, b := range w.boxes {
		group.Go(func() error { return b.killFor(ctx, length) })
	}
	_ = interval.Wait(ctx, length)
	w.recordSharedFault(f.entryRemovedAfter + rewriteSettleDelay)
	w.store.SetFault(standin.StoreFault{Delay: f.storeDelay})
	_ = interval.Wait(ctx, f.entryRemovedAfter)
	err := w.removeEntry(f.server)
	_ = interval.Wait(ctx, rewriteSettleDelay)
	w.store.SetFault(standin.StoreFault{})
	return errors.Join(err, group.Wait())
}

// leavingTime is how long a leaving server's entry stays; it serves on until the
// end of the run, so that work sent to it all the same is seen.
const leavingEntryTTL = 3 * time.Second
