// Package slopes measures how what a box spends on control grows, and works out
// from it what the large fleet would spend.
package slopes

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/pool"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Size is one point of a measurement: real exchanges between this many boxes
// within one process, over loopback.
type Size struct {
	Boxes int
	// Pools are the pools in use, and Customers those with news in each of them.
	Pools     int
	Customers int
}

// Sample is what one box spent at a size.
type Sample struct {
	Size
	// BytesPerSecond is what one box sends and receives.
	BytesPerSecond float64
	// CorePart is the part of a core that one box uses.
	CorePart float64
	// StateBytes is the heap of one box.
	StateBytes float64
}

// Line is a fitted straight line, with the largest residual as a part of the
// value measured there.
type Line struct {
	Base, Slope     float64
	LargestResidual float64
}

// Axis is one series of samples and the lines through them.
type Axis struct {
	Name    string
	Samples []Sample
	Bytes   Line
	Core    Line
	State   Line
}

// Slopes is everything that was measured.
type Slopes struct {
	// Interval is the time between two messages to a peer.
	Interval settings.Duration
	Boxes    Axis
	Entries  Axis
	// SnapshotBytesPerCustomer is the size of a settings snapshot for each
	// customer, measured on the largest size.
	SnapshotBytesPerCustomer float64
}

// box is a Teller and Listener whose account changes before every message.
type box struct {
	size      Size
	schedules map[string]*pool.Pool
	told      atomic.Uint64
}

// State gives totals that have all grown since the last call.
func (b *box) State() peer.State {
	growth := b.told.Add(1)
	state := peer.State{Revision: 1, Pools: map[string]peer.PoolState{}}
	for p := range b.size.Pools {
		customers := map[string]peer.CustomerState{}
		for c := range b.size.Customers {
			customers[fmt.Sprintf("customer-%d", c)] = peer.CustomerState{
				Served:  growth * uint64(900+c),
				Pending: 1000 + (growth*uint64(c+1))%977,
				Waiting: uint32(4 + growth%3),
			}
		}
		state.Pools[fmt.Sprintf("pool-%d", p)] = peer.PoolState{Demand: 40 + int(growth%5), Customers: customers}
	}
	return state
}

// Snapshot tells that there are no settings to fetch.
func (b *box) Snapshot() (uint64, []byte) { return 0, nil }

// Heard applies a peer's account as a router does.
func (b *box) Heard(from peer.Sender, news peer.State, first bool) {
	for name, state := range news.Pools {
		if p := b.schedules[name]; p != nil {
			p.Do(func(s *pool.Schedule, now time.Time) { s.Hear(from.Incarnation, state, first) })
		}
	}
}

// Silent is not used: all boxes stay.
func (b *box) Silent(peer.Sender) {}

// settle is the time for all sessions to open before the measurement.
const settle = 3 * time.Second

// Measure runs exchanges of one size for a length of time.
func Measure(ctx context.Context, size Size, length time.Duration) (sample Sample, err error) {
	defer func() { err = trace.Wrap(err, "measuring %d boxes", size.Boxes) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := heap()
	group, ctx := errgroup.WithContext(ctx)
	exchanges, err := start(ctx, group, size)
	if err != nil {
		return sample, err
	}
	if err := interval.Wait(ctx, settle); err != nil {
		return sample, err
	}
	bytesBefore, cpuBefore, began := traffic(exchanges), processorTime(), time.Now()
	if err := interval.Wait(ctx, length); err != nil {
		return sample, err
	}
	elapsed := time.Since(began)
	boxes := float64(size.Boxes)
	sample = Sample{
		Size:           size,
		BytesPerSecond: float64(traffic(exchanges)-bytesBefore) / boxes / elapsed.Seconds(),
		CorePart:       float64(processorTime()-cpuBefore) / boxes / float64(elapsed),
		StateBytes:     math.Max(0, float64(heap())-float64(before)) / boxes,
	}
	cancel()
	// The exchanges end by the cancelled context, which is no failure.
	_ = group.Wait()
	return sample, nil
}

func start(ctx context.Context, group *errgroup.Group, size Size) ([]*peer.Exchange, error) {
	listeners := make([]net.Listener, size.Boxes)
	peers := map[string]settings.Peer{}
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[i] = listener
		peers[boxName(i)] = settings.Peer{Address: listener.Addr().String()}
	}
	var exchanges []*peer.Exchange
	for i, listener := range listeners {
		own := settings.DefaultBox()
		own.Name = boxName(i)
		own.Peers = peers
		b := newBox(size)
		exchange := &peer.Exchange{
			Box:         own,
			Incarnation: rand.Uint64(),
			Teller:      b,
			Listener:    b,
			Log:         zap.NewNop(),
		}
		exchanges = append(exchanges, exchange)
		group.Go(func() error { return exchange.Run(ctx, listener) })
	}
	return exchanges, nil
}

func newBox(size Size) *box {
	b := &box{size: size, schedules: map[string]*pool.Pool{}}
	rules := settings.DefaultDefaults().Pool
	rules.Endpoints = map[string]settings.Endpoint{"one": {Address: "127.0.0.1:1", Slots: 16}}
	customers := map[string]settings.Customer{}
	for c := range size.Customers {
		customers[fmt.Sprintf("customer-%d", c)] = settings.DefaultDefaults().Customer
	}
	for p := range size.Pools {
		name := fmt.Sprintf("pool-%d", p)
		b.schedules[name] = &pool.Pool{Schedule: pool.Schedule{Name: name, Rand: rand.New(rand.NewPCG(1, 1))}}
		b.schedules[name].Do(func(s *pool.Schedule, now time.Time) { s.Configure(rules, customers) })
	}
	return b
}

func boxName(i int) string { return fmt.Sprintf("box-%d", i) }

func traffic(exchanges []*peer.Exchange) (total int64) {
	for _, exchange := range exchanges {
		total += exchange.Traffic.Sent.Load() + exchange.Traffic.Received.Load()
	}
	return total
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// fit draws the least-squares line through points.
func fit(xs, ys []float64) Line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	line := Line{Slope: slope, Base: (sy - slope*sx) / n}
	for i := range xs {
		if ys[i] > 0 {
			residual := math.Abs(ys[i]-line.Base-line.Slope*xs[i]) / ys[i]
			line.LargestResidual = math.Max(line.LargestResidual, residual)
		}
	}
	return line
}

// axis measures sizes in turn and fits lines over what x gives of each.
func axis(ctx context.Context, name string, sizes []Size, length time.Duration, x func(Size) float64) (a Axis, err error) {
	a.Name = name
	var xs, bytes, core, state []float64
	for _, size := range sizes {
		sample, err := Measure(ctx, size, length)
		if err != nil {
			return a, err
		}
		a.Samples = append(a.Samples, sample)
		xs = append(xs, x(size))
		bytes = append(bytes, sample.BytesPerSecond)
		core = append(core, sample.CorePart)
		state = append(state, sample.StateBytes)
	}
	a.Bytes, a.Core, a.State = fit(xs, bytes), fit(xs, core), fit(xs, state)
	return a, nil
}

// All measures every axis. It takes about a minute and a half.
func All(ctx context.Context, length time.Duration) (s Slopes, err error) {
	defer func() { err = trace.Wrap(err, "measuring slopes") }()
	s.Interval = settings.DefaultBox().Exchange.Interval
	boxes := []Size{{3, 1, 16}, {6, 1, 16}, {12, 1, 16}, {24, 1, 16}, {36, 1, 16}}
	s.Boxes, err = axis(ctx, "peers of a box", boxes, length, func(size Size) float64 {
		return float64(size.Boxes - 1)
	})
	if err != nil {
		return s, err
	}
	entries := []Size{{6, 1, 8}, {6, 1, 32}, {6, 2, 37}, {6, 4, 37}, {6, 8, 37}}
	s.Entries, err = axis(ctx, "customers with news, summed over pools", entries, length, func(size Size) float64 {
		return float64(size.Pools * size.Customers)
	})
	if err != nil {
		return s, err
	}
	s.SnapshotBytesPerCustomer, err = snapshotSlope()
	return s, err
}

// snapshotSlope is the growth of a snapshot for each customer.
func snapshotSlope() (perCustomer float64, err error) {
	var xs, ys []float64
	for _, count := range []int{10, 50, 100, 370} {
		fleet := &settings.Fleet{Customers: map[string]settings.Customer{}}
		for i := range count {
			customer := settings.DefaultDefaults().Customer
			customer.KeyHashes = []string{fmt.Sprintf("%064d", i)}
			fleet.Customers[fmt.Sprintf("customer-%03d", i)] = customer
		}
		snapshot, err := settings.EncodeSnapshot(fleet)
		if err != nil {
			return 0, err
		}
		xs = append(xs, float64(count))
		ys = append(ys, float64(len(snapshot)))
	}
	return fit(xs, ys).Slope, nil
}
