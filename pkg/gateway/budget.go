package gateway

import (
	"sync"
	"time"
)

// retryBudget is this box's part of the fleet's budget of repeated sends. It
// needs no word from the others: each box earns by its own requests, and has an
// even part of what is extra.
type retryBudget struct {
	settings Settings
	peers    func() int

	mu       sync.Mutex
	services map[string]*allowance
}

type allowance struct {
	left float64
	at   time.Time
}

// budgetPart of what the fleet may spend is used: requests are counted at
// other moments here than where the budget is checked, and a box may be gone
// whose spending still counts.
const budgetPart = 0.5

// earn notes a request for a service.
func (b *retryBudget) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(service)
	a.left = min(a.left+b.settings.RetryRatio*budgetPart, b.most())
}

// take books one repeated send; false means that there is nothing left.
func (b *retryBudget) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(service)
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// most is what may be saved up: this box's part of the extra.
func (b *retryBudget) most() float64 {
	return max(1, b.settings.RetryExtra*budgetPart/float64(b.peers()+1))
}

func (b *retryBudget) of(service string) *allowance {
	if b.services == nil {
		b.services = map[string]*allowance{}
	}
	a := b.services[service]
	now := time.Now()
	if a == nil {
		a = &allowance{left: b.most(), at: now}
		b.services[service] = a
	}
	// The extra comes again with each window.
	a.left = min(a.left+b.most()*now.Sub(a.at).Seconds()/b.settings.RetryWindow.Seconds(), b.most())
	a.at = now
	return a
}
