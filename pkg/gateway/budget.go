package gateway

import (
	"math"
	"sync"
	"time"
)

// retryBudget is this box's share of the fleet's retry budget. Boxes need not coordinate: each
// earns retries with its own requests and has an equal share of the extra ones.
type retryBudget struct {
	settings Settings
	peers    func() int
	// randomDraw is a random number between 0 and 1, drawn when the box starts; see maxExtra.
	randomDraw float64

	mu       sync.Mutex
	services map[string]*allowance
}

// allowance holds the retries that are left for one service.
type allowance struct {
	// earned grows with this box's requests and decays over the window.
	earned float64
	// extra is what is left of this box's share of the fleet's extra retries.
	extra     float64
	updatedAt time.Time
}

// usableFraction is the fraction of the fleet's budget that the boxes use. The rest is a
// reserve: requests are counted here at other moments than where the budget is checked, and the
// retries of a box that is gone still count.
const usableFraction = 0.5

// earn records a request for a service.
func (b *retryBudget) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.allowanceOf(service)
	a.earned += b.settings.RetryRatio * usableFraction
}

// reservation is one reserved retry, split by the balances it was taken from. The zero value
// is none.
type reservation struct {
	earned, extra float64
}

// take reserves one retry. It reports false if the budget is spent.
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

// refund returns an unsent retry to the balances it was taken from. The extra is refilled with
// each window and must not accumulate as earned.
func (b *retryBudget) refund(service string, unsent reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.allowanceOf(service)
	a.earned += unsent.earned
	a.extra = min(a.extra+unsent.extra, b.maxExtra())
}

func (a *allowance) available() float64 { return a.earned + a.extra }

// canTake reports whether a retry could be reserved now.
func (b *retryBudget) canTake(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowanceOf(service).available() >= 1
}

// maxExtra returns the maximum number of extra retries that can accumulate: this box's equal
// share. If that is less than one, as many boxes as there are extra retries may have one each,
// chosen at random: if every box kept a fraction of a retry, these would add up to more than the
// fleet's budget.
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
	// The extra is refilled with each window.
	a.extra = min(a.extra+b.maxExtra()*windows, b.maxExtra())
	a.updatedAt = now
	return a
}
