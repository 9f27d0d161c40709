package pool

import (
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/request"
)

// Pool is a Schedule that is safe for concurrent use. After every event it grants
// all tickets that can be sent.
type Pool struct {
	mu sync.Mutex
	// Schedule is set up before the first call and then used under the lock only.
	Schedule Schedule
}

// Submit queues a ticket, or refuses it. The ticket's Granted channel receives
// once an endpoint has room.
func (p *Pool) Submit(t *Ticket) (refusal *request.Refusal) {
	p.Do(func(s *Schedule, now time.Time) {
		refusal = s.Enqueue(t, now)
	})
	return refusal
}

// Withdraw removes a waiting ticket from its queue. It returns false when the
// ticket has already been granted; the caller must then call Finish.
func (p *Pool) Withdraw(t *Ticket) (withdrawn bool) {
	p.Do(func(s *Schedule, now time.Time) {
		withdrawn = s.Withdraw(t)
	})
	return withdrawn
}

// Begin records that the first piece of a response was received.
func (p *Pool) Begin(t *Ticket) {
	p.Do(func(s *Schedule, now time.Time) { s.Begin(t) })
}

// RecordTokens records streamed tokens. It frees no room, so nothing is
// granted.
func (p *Pool) RecordTokens(t *Ticket, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Schedule.RecordTokens(t, tokens)
}

// Finish records the outcome of an attempt at an endpoint.
func (p *Pool) Finish(t *Ticket, outcome Outcome) {
	p.Do(func(s *Schedule, now time.Time) { s.Finish(t, outcome, now) })
}

// Retry queues a finished ticket again if the retry budget allows it.
func (p *Pool) Retry(t *Ticket) (ok bool) {
	p.Do(func(s *Schedule, now time.Time) {
		ok = s.TakeRetry() && s.Enqueue(t, now) == nil
	})
	return ok
}

// Requeue queues a finished ticket again that added no work, such as one that its
// endpoint proved not to have run. It needs no budget.
func (p *Pool) Requeue(t *Ticket) (ok bool) {
	p.Do(func(s *Schedule, now time.Time) {
		ok = s.Enqueue(t, now) == nil
	})
	return ok
}

// IsStranded reports whether a request should be taken back from its endpoint's
// queue.
func (p *Pool) IsStranded(t *Ticket) (stranded bool) {
	p.View(func(s *Schedule, now time.Time) { stranded = s.IsStranded(t, now) })
	return stranded
}

// NoneAvailable reports whether no endpoint can be given work, and the time
// until one is tried again.
func (p *Pool) NoneAvailable() (wait time.Duration, none bool) {
	p.View(func(s *Schedule, now time.Time) { wait, none = s.NoneAvailable(now) })
	return wait, none
}

// Do applies an event to the schedule and grants all tickets that can be sent then.
func (p *Pool) Do(event func(s *Schedule, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	event(&p.Schedule, now)
	for t := p.Schedule.Next(now); t != nil; t = p.Schedule.Next(now) {
		t.Granted <- struct{}{}
	}
}

// View reads the schedule without granting anything.
func (p *Pool) View(read func(s *Schedule, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read(&p.Schedule, time.Now())
}
