package gateway

import (
	"math"
	"sync"
	"time"
)

// retryBudget is this box's part of the fleet's budget of repeated sends. It
// needs no word from the others: each box earns by its own requests, and has an
// even part of what is extra.
type retryBudget struct {
	settings Settings
	peers    func() int
	// lot is drawn at the start, between 0 and 1.
	randomDraw float64

	mu       sync.Mutex
	services map[string]*allowance
}

// allowance is what one service's requests may be sent again.
type allowance struct {
	// earned comes from this box's requests, and fades with the window.
	earned float64
	// extra is this box's part of the fleet's.
	extra     float64
	updatedAt time.Time
}

// budgetPart of what the fleet may spend is used: requests are counted at
// other moments here than where the budget is checked, and a box may be gone
// whose spending still counts.
const usableFraction = 0.5

// earn notes a request for a service.
func (b *retryBudget) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.allowanceOf(service)
	a.earned += b.settings.RetryRatio * usableFraction
}

// booking is one repeated send, by the parts of an allowance that it was taken from; the zero
// value is none.
type reservation struct {
	earned, extra float64
}

// take books one repeated send; false means that there is nothing left.
func (b *retryBudget) take(service string) (taken reservation, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.allowanceOf(service)
	if a.available() < 1 {
		return reservation{}, false
	}
	taken.earned = min(a.earned, 1)
	taken.extra = 1 - taken.earned
	a.earned -= taken.earned
	a.extra -= taken.extra
	return taken, true
}

// giveBack takes back a booking of which nothing was sent, to where it came from: the extra
// comes again with each window and must not be saved up as earned.
func (b *retryBudget) refund(service string, unsent reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.allowanceOf(service)
	a.earned += unsent.earned
	a.extra = min(a.extra+unsent.extra, b.maxExtra())
}

func (a *allowance) available() float64 { return a.earned + a.extra }

// has tells whether a repeated send could be booked now.
func (b *retryBudget) canTake(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowanceOf(service).available() >= 1
}

// most is what may be saved up of the extra: this box's even part. Where that is
// less than one send, as many boxes as the extra has sends may have one each,
// drawn by lot: parts of a send would add up to more than the fleet's.
func (b *retryBudget) maxExtra() float64 {
	fraction := b.settings.RetryExtra * usableFraction / float64(b.peers()+1)
	if fraction >= 1 {
		return fraction
	}
	if b.randomDraw < fraction {
		return 1
	}
	return 0
}

func (b *retryBudget) allowanceOf(service string) *allowance {
	if b.services == nil {
		b.services = map[string]*allowance{}
	}
	a := b.services[service]
	now := time.Now()
	if a == nil {
		a = &allowance{extra: b.maxExtra(), updatedAt: now}
		b.services[service] = a
	}
	windows := now.Sub(a.updatedAt).Seconds() / b.settings.RetryWindow.Seconds()
	a.earned *= math.Exp(-windows)
	// The extra comes again with each window.
	a.extra = min(a.extra+b.maxExtra()*windows, b.maxExtra())
	a.updatedAt = now
	return a
}
