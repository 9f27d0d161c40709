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
type hungUp struct{ box *box }

// linkFault is one of a proxy: of the way from a box to the store, or from all
// boxes to a server.
type linkFault struct {
	link string
	// box is set for its way to the store.
	box   *box
	how   string
	toxic fault.Toxic
}

// storeFault is one of the store itself.
type storeFault struct {
	how   string
	fault standin.StoreFault
}

// forgotten has the store forget its history.
type forgotten struct{}

// restored takes the store away for a moment, and brings it back from a copy as old as the
// fault's time. What servers and the operator had written since is written again.
type restored struct{ away, again time.Duration }

// serverFault is one of a server itself.
type serverFault struct {
	server *server
	how    string
	fault  standin.ServerFault
}

// leaving takes a server away as planned, after another one came.
type leaving struct{ server *server }

// departing takes a server away that says so in its answers alone, after another one came:
// its row stays as it was.
type departing struct{ server *server }

// vanishing takes a server away without a word, after another one came: its row goes, and it serves on.
type vanishing struct{ server *server }

// blackout ends all boxes in one moment. While they return the store is slow, and a server vanishes.
type blackout struct {
	server *server
	// slow is the store's delay, and vanishes when the server does, from the return on.
	slow, vanishes time.Duration
}

// configured has a new configuration accepted.
type configured struct{}

// deadly has one request come again and again, to any box, that ends the servers of a
// service which run it.
type deadly struct {
	service string
	number  int
	// pause is the longest time between two.
	pause time.Duration
	seed  uint64
	// together has it come to all boxes at once each time.
	together bool
}

func (killed) injection()      {}
func (paused) injection()      {}
func (stopped) injection()     {}
func (hungUp) injection()      {}
func (linkFault) injection()   {}
func (storeFault) injection()  {}
func (forgotten) injection()   {}
func (restored) injection()    {}
func (serverFault) injection() {}
func (leaving) injection()     {}
func (departing) injection()   {}
func (vanishing) injection()   {}
func (blackout) injection()    {}
func (configured) injection()  {}
func (deadly) injection()      {}

// String names the fault for the log of a run.
func (f killed) String() string {
	return fmt.Sprintf("%d boxes killed, %s first", len(f.boxes), f.boxes[0].Name)
}
func (f paused) String() string     { return f.box.Name + " paused" }
func (f stopped) String() string    { return f.box.Name + " stopped as planned" }
func (f hungUp) String() string     { return f.box.Name + " told to read its settings" }
func (f linkFault) String() string  { return f.link + " " + f.how }
func (f storeFault) String() string { return "store " + f.how }
func (f forgotten) String() string  { return "store forgets its history" }
func (f restored) String() string {
	return fmt.Sprintf("store restored from a copy, away for %s, written again within %s", f.away, f.again)
}
func (f serverFault) String() string { return f.server.ID + " " + f.how }
func (f leaving) String() string     { return f.server.ID + " leaves" }
func (f departing) String() string   { return f.server.ID + " leaves by its answers" }
func (f vanishing) String() string   { return f.server.ID + " leaves without a word" }
func (f blackout) String() string {
	return fmt.Sprintf("all boxes killed, the store slow by %s, %s leaves without a word %s after", f.slow, f.server.ID, f.vanishes)
}
func (f configured) String() string { return "a new configuration" }
func (f deadly) String() string {
	return fmt.Sprintf("a request that ends servers of %s, again within %s each time, at all boxes at once: %t", f.service, f.pause, f.together)
}

func drawFault(draw *rand.Rand, w *world) injection {
	b := w.boxes[draw.IntN(len(w.boxes))]
	s := w.drawServer(draw)
	switch draw.IntN(22) {
	case 0:
		return killed{boxes: []*box{b}}
	case 1:
		shuffled := slices.Clone(w.boxes)
		draw.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		return killed{boxes: shuffled[:1+draw.IntN(len(shuffled))]}
	case 2, 3:
		return paused{box: b}
	case 4, 5:
		return stopped{box: b}
	case 6:
		return hungUp{box: b}
	case 7:
		return drawLink(draw, storeLink(b.Name), b)
	case 8:
		return drawLink(draw, s.ID, nil)
	case 9:
		return drawStoreFault(draw)
	case 10:
		return leaving{server: s}
	case 11:
		return configured{}
	case 12:
		return deadly{
			service: []string{"llm", "api"}[draw.IntN(2)],
			number:  draw.IntN(1 << 30),
			pause:   time.Duration(50+draw.IntN(800)) * time.Millisecond,
			seed:    draw.Uint64(),

			together: draw.IntN(2) == 0,
		}
	case 13:
		return departing{server: s}
	case 14, 15:
		return restored{
			away:  time.Duration(50+draw.IntN(1500)) * time.Millisecond,
			again: time.Duration(draw.IntN(1500)) * time.Millisecond,
		}
	case 16, 17:
		return vanishing{server: s}
	case 18:
		return blackout{
			server:   s,
			slow:     time.Duration(draw.IntN(600)) * time.Millisecond,
			vanishes: time.Duration(draw.IntN(1500)) * time.Millisecond,
		}
	default:
		return drawServerFault(draw, s)
	}
}

func drawLink(draw *rand.Rand, link string, b *box) injection {
	f := linkFault{link: link, box: b}
	switch draw.IntN(4) {
	case 0:
		f.how, f.toxic = "delayed", fault.Toxic{Type: "latency", Attributes: map[string]int{"latency": 20 + draw.IntN(600)}}
	case 1:
		f.how, f.toxic = "reset", fault.Toxic{Type: "reset_peer", Attributes: map[string]int{"timeout": draw.IntN(300)}}
	case 2:
		f.how, f.toxic = "cut one way", fault.Toxic{Type: "timeout", Upstream: draw.IntN(2) == 0, Attributes: map[string]int{"timeout": 0}}
	default:
		f.how = "silenced"
	}
	return f
}

func drawStoreFault(draw *rand.Rand) injection {
	switch draw.IntN(5) {
	case 0:
		return storeFault{how: "busy", fault: standin.StoreFault{Busy: true}}
	case 1:
		return storeFault{how: "silent", fault: standin.StoreFault{Silent: true}}
	case 2:
		return storeFault{how: "loses answers", fault: standin.StoreFault{LoseAnswers: true}}
	case 3:
		return storeFault{how: "slow", fault: standin.StoreFault{Delay: time.Duration(50+draw.IntN(800)) * time.Millisecond}}
	default:
		return forgotten{}
	}
}

func drawServerFault(draw *rand.Rand, s *server) injection {
	part := 0.05 + 0.9*draw.Float64()
	switch draw.IntN(9) {
	case 7, 8:
		rest := fmt.Sprintf("%.1f", 0.5+3.5*draw.Float64())
		return serverFault{server: s, how: "asks for " + rest + " s of rest", fault: standin.ServerFault{Full: true, RetryAfter: rest}}
	case 0:
		return serverFault{server: s, how: "full", fault: standin.ServerFault{Full: true}}
	case 1:
		return serverFault{server: s, how: "errors", fault: standin.ServerFault{Errors: part}}
	case 2:
		return serverFault{server: s, how: "loses answers", fault: standin.ServerFault{Lost: part}}
	case 3:
		return serverFault{server: s, how: "cuts answers", fault: standin.ServerFault{Cut: part}}
	case 4:
		return serverFault{server: s, how: "sends surplus answers", fault: standin.ServerFault{Surplus: part}}
	case 5:
		return serverFault{server: s, how: "hangs", fault: standin.ServerFault{Hang: part}}
	default:
		return serverFault{server: s, how: "slow", fault: standin.ServerFault{Slow: time.Duration(draw.IntN(700)) * time.Millisecond}}
	}
}

func (w *world) drawServer(draw *rand.Rand) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		if s := w.servers[draw.IntN(len(w.servers))]; s.left.IsZero() {
			return s
		}
	}
}

// play begins a fault, waits, and ends it, also when the context has ended.
func play(ctx context.Context, w *world, f injection, length time.Duration) error {
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
	case hungUp:
		f.box.signals.Lock()
		defer f.box.signals.Unlock()
		return f.box.Signal(syscall.SIGHUP)
	case linkFault:
		if f.box != nil {
			f.box.trouble(length)
		} else {
			w.trouble(length)
			w.linkTrouble(length)
		}
		return w.breakLink(ctx, f, length)
	case storeFault:
		w.trouble(length)
		w.store.SetFault(f.fault)
		_ = interval.Wait(ctx, length)
		w.store.SetFault(standin.StoreFault{})
	case forgotten:
		w.store.ForgetHistory()
	case restored:
		w.restore(ctx, f, length)
	case serverFault:
		w.trouble(length)
		f.server.SetFault(f.fault)
		_ = interval.Wait(ctx, length)
		f.server.SetFault(standin.ServerFault{})
	case leaving:
		return w.takeAway(ctx, f.server)
	case departing:
		return w.depart(f.server)
	case vanishing:
		return w.vanish(f.server)
	case blackout:
		return w.blackOut(ctx, f, length)
	case configured:
		return w.accept()
	case deadly:
		w.trouble(length)
		w.sendDeadly(ctx, f, length)
	}
	return nil
}

func (w *world) restore(ctx context.Context, f restored, age time.Duration) {
	from := w.store.Copy()
	_ = interval.Wait(ctx, age)
	w.trouble(f.away + f.again + rewrittenIn)
	w.store.SetFault(standin.StoreFault{Silent: true})
	_ = interval.Wait(ctx, f.away)
	w.store.Restore(from)
	w.store.SetFault(standin.StoreFault{})
	_ = interval.Wait(ctx, f.again)
	w.store.WriteAgain()
}

// rewrittenIn is how long what is written again may take to be known.
const rewrittenIn = 2 * time.Second

func (w *world) breakLink(ctx context.Context, f linkFault, length time.Duration) error {
	if f.toxic.Type == "" {
		if err := w.grid.Cut(f.link); err != nil {
			return w.alreadyBroken(f, err)
		}
	} else if err := w.grid.Inject(f.link, f.toxic); err != nil {
		return w.alreadyBroken(f, err)
	}
	_ = interval.Wait(ctx, length)
	return w.grid.Heal(f.link)
}

// alreadyBroken passes over a fault of a link that has one of its kind: that one
// goes on.
func (w *world) alreadyBroken(f linkFault, err error) error {
	fmt.Fprintf(w.soak.Progress, "        %s not broken again: %v\n", f.link, err)
	return nil
}

func (b *box) killFor(ctx context.Context, length time.Duration) error {
	b.signals.Lock()
	defer b.signals.Unlock()
	b.trouble(length)
	b.Kill()
	_ = interval.Wait(ctx, length)
	return b.start()
}

func (b *box) pauseFor(ctx context.Context, length time.Duration) error {
	b.signals.Lock()
	defer b.signals.Unlock()
	b.trouble(length)
	if err := b.Pause(); err != nil {
		return err
	}
	_ = interval.Wait(ctx, length)
	return b.Continue()
}

// stopAsPlanned ends a process with its time for that, and starts it again.
func (b *box) stopAsPlanned() error {
	b.signals.Lock()
	defer b.signals.Unlock()
	b.mu.Lock()
	b.stops = append(b.stops, stop{life: b.lives, began: time.Now()})
	b.mu.Unlock()
	if err := b.Terminate(); err != nil {
		return err
	}
	b.Wait()
	return b.start()
}

// takeAway lets a server leave: it says so, serves on, and ends.
func (w *world) takeAway(ctx context.Context, s *server) error {
	if err := w.addServer(s.Service); err != nil {
		return err
	}
	if err := w.store.Register(s.Server, s.reached, true); err != nil {
		return err
	}
	w.mu.Lock()
	already := !s.left.IsZero()
	if !already {
		s.left = time.Now()
	}
	w.mu.Unlock()
	if already {
		return nil
	}
	_ = interval.Wait(ctx, leavingTime)
	w.store.Unregister(s.ID)
	return nil
}

// vanish takes the entry of a server away, which serves on.
func (w *world) vanish(s *server) error {
	if err := w.addServer(s.Service); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.left.IsZero() {
		s.left = time.Now()
		w.store.Unregister(s.ID)
	}
	return nil
}

func (w *world) blackOut(ctx context.Context, f blackout, length time.Duration) error {
	group := errgroup.Group{}
	for _, b := range w.boxes {
		group.Go(func() error { return b.killFor(ctx, length) })
	}
	_ = interval.Wait(ctx, length)
	w.trouble(f.vanishes + rewrittenIn)
	w.store.SetFault(standin.StoreFault{Delay: f.slow})
	_ = interval.Wait(ctx, f.vanishes)
	err := w.vanish(f.server)
	_ = interval.Wait(ctx, rewrittenIn)
	w.store.SetFault(standin.StoreFault{})
	return errors.Join(err, group.Wait())
}

// leavingTime is how long a leaving server's entry stays; it serves on until the
// end of the run, so that work sent to it all the same is seen.
const leavingTime = 3 * time.Second
