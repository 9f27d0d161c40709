package pool

import (
	"sync"
	"time"

	"github.com/quaylead/quaylead/pkg/request"
)

// Pool is a schedule shared by goroutines. After every event it grants all
// tickets that can go.
type Pool struct {
	mu sync.Mutex
	// Schedule is set up before the first call and used under the lock only.
	Schedule Schedule
}

// Submit puts a ticket in line, or refuses it. The ticket's Granted channel
// receives once an endpoint has room.
func (p *Pool) Submit(t *Ticket) (refusal *request.Refusal) {
	p.Do(func(s *Schedule, now time.Time) {
		refusal = s.Enqueue(t, now)
	})
	return refusal
}

// Withdraw gives up waiting. It returns false when the ticket was granted
// meanwhile; the caller then has to Finish it.
func (p *Pool) Withdraw(t *Ticket) (withdrawn bool) {
	p.Do(func(s *Schedule, now time.Time) {
		withdrawn = s.Withdraw(t)
	})
	return withdrawn
}

// Begin notes the first piece of an answer.
func (p *Pool) Begin(t *Ticket) {
	p.Do(func(s *Schedule, now time.Time) { s.Begin(t) })
}

// Stream books streamed tokens. It frees no room, so nothing is granted.
func (p *Pool) Stream(t *Ticket, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Schedule.Stream(t, tokens)
}

// Finish settles an attempt at an endpoint.
func (p *Pool) Finish(t *Ticket, outcome Outcome) {
	p.Do(func(s *Schedule, now time.Time) { s.Finish(t, outcome, now) })
}

// Retry puts a finished ticket back in line if the retry budget allows it.
func (p *Pool) Retry(t *Ticket) (ok bool) {
	p.Do(func(s *Schedule, now time.Time) {
		ok = s.TakeRetry() && s.Enqueue(t, now) == nil
	})
	return ok
}

// Requeue puts back a ticket that its endpoint proved not to have run. It
// needs no budget, since it added no work.
func (p *Pool) Requeue(t *Ticket) (ok bool) {
	p.Do(func(s *Schedule, now time.Time) {
		ok = s.Enqueue(t, now) == nil
	})
	return ok
}

// Stranded tells that a request should be taken back from its endpoint's queue.
func (p *Pool) IsStranded(t *Ticket) (stranded bool) {
	p.View(func(s *Schedule, now time.Time) { stranded = s.IsStranded(t, now) })
	return stranded
}

// NoneAvailable tells that no endpoint can be given work, and how long until
// one will be tried again.
func (p *Pool) NoneAvailable() (wait time.Duration, none bool) {
	p.View(func(s *Schedule, now time.Time) { wait, none = s.NoneAvailable(now) })
	return wait, none
}

// Do applies an event to the schedule and grants what can then go.
func (p *Pool) Do(event func(s *Schedule, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	event(&p.Schedule, now)
	for t := p.Schedule.Next(now); t != nil; t = p.Schedule.Next(now) {
		t.Granted <- struct{}{}
	}
}

// Look reads the schedule without granting anything.
func (p *Pool) View(read func(s *Schedule, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read(&p.Schedule, time.Now())
}
