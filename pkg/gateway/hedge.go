package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/rollout"
)

// errStalled ends an attempt whose endpoint sent nothing for too long, once another endpoint has answered or,
// for an engine, runs the request.
var errStalled = errors.New("the endpoint sent nothing for too long, and another one runs the request")

// errWithdrawn ends a second attempt because the first one goes on.
var errWithdrawn = fmt.Errorf("the first endpoint goes on: %w", endpoint.ErrWithdrawn)

// errNotContinued reports an answer that is no stream, where one is to go on.
var errNotContinued = &unusableError{reason: "the stream was not continued"}

// Timeouts after which a repeatable request is sent to a second endpoint. They have to be far longer than a
// busy endpoint takes, because the work of one of the two is wasted.
const (
	// plainStallFactor times the route's latency target is the timeout of a plain request,
	// and minPlainStallTimeout its minimum.
	plainStallFactor     = 3
	minPlainStallTimeout = 300 * time.Millisecond
	// firstEventMargin is added to the predicted time of a stream's first event.
	firstEventMargin = 1500 * time.Millisecond
	// gapStallFactor times the route's gap target is the timeout between two events, and
	// minGapStallTimeout its minimum.
	gapStallFactor     = 3
	minGapStallTimeout = time.Second
)

// maxOverlap is how long two engines may work on one request: long enough for a refusal of the second one to
// arrive. The first one has to stop within 400 ms, and the close may be late on a busy box.
const maxOverlap = 150 * time.Millisecond

func (c *call) firstStallTimeout(to destination) time.Duration {
	if c.route.Streaming {
		return firstEventMargin + to.granted.wait + to.granted.readTime
	}
	return max(plainStallFactor*c.route.LatencyTarget, minPlainStallTimeout)
}

func (c *call) gapStallTimeout() time.Duration {
	return max(gapStallFactor*c.route.GapTarget, minGapStallTimeout)
}

// hedger begins a second attempt of a repeatable request whose endpoint is silent. The first attempt goes
// on, and the one that answers first is used: sound endpoints may be silent for a while, and when many are,
// no other one has room. An engine is left maxOverlap after another one was sent the request. A nil hedger
// does nothing.
type hedger struct {
	call *call
	// first is the guard of the first attempt.
	first *guard
	// group runs the second attempts.
	group errgroup.Group

	mu sync.Mutex
	// timer is nil until the first attempt is sent. timeout is how long its endpoint may be silent.
	timer   *time.Timer
	timeout time.Duration
	// attempts, begunAt and lastEvent are those of the request, with which a second attempt begins.
	attempts  attemptRecord
	begunAt   rollout.VersionFilter
	lastEvent string
	// isContinuation is set if the caller had got events before the first attempt.
	isContinuation bool
	// hasBegun is set once the first endpoint has sent an event.
	hasBegun bool
	// isPaused is set from an event until the next one is waited for: an endpoint is not silent while the
	// caller does not read.
	isPaused bool
	// isSilent is set once the first endpoint has been silent for its timeout, until it sends an event.
	isSilent bool
	// isPostponed is set once the retry budget had no room for a second attempt and a way back, until the first
	// endpoint sends an event: one that is silent for longer is left without a way back.
	isPostponed bool
	// current is the second attempt that may answer; nil if there is none. running counts it and those
	// that were withdrawn and have not ended yet.
	current *hedge
	running int
	// back is the retry with which the request goes back to the first endpoint. It is zero unless that one was
	// left for a second attempt that failed.
	back reservation
	// leftFirst is set once this box has ended the first attempt, which had not failed, for a second one.
	leftFirst bool
	// closed is set once no other attempt may begin: the first one has ended.
	closed bool
}

// hedge is one second attempt.
type hedge struct {
	hedger *hedger
	// call has the facts of the request, and its own attempts and context.
	call   *call
	cancel context.CancelCauseFunc
	// lastEvent is the last event that the caller has got; empty before the first one.
	lastEvent string
	// isContinuation is set if the caller has got events.
	isContinuation bool
	// answer is set once the hedge has answered before the first attempt.
	answer *answer
	// overlap leaves the first attempt; it is set while another engine is sent the request or runs it.
	overlap *time.Timer
	// back is the retry that is reserved for the way back to the first endpoint; zero if the budget had none.
	back reservation
	// hasLeft is set once the first attempt was ended before the hedge has answered.
	hasLeft bool
}

// newHedger returns the hedger of the attempt with a number, from 1; nil if no other attempt may follow it.
func (c *call) newHedger(attempt int) *hedger {
	if !c.route.Repeatable || attempt >= c.route.MaxAttempts {
		return nil
	}
	return &hedger{call: c, first: c.guard}
}

// use makes the answer of a second attempt that of the request.
func (c *call) use(second *answer) {
	c.guard.stop()
	c.guard = second.guard
	c.progressAt = time.Now()
	c.hedger = nil
	if second.stream == nil {
		return
	}
	second.stream.call, c.attemptBegan = c, true
	if c.hedger = c.newHedger(c.lifecycle.Attempts()); c.hedger != nil {
		c.hedger.arm(c.gapStallTimeout(), second.stream.lastEvent)
		c.hedger.heard(second.stream.lastEvent, c.gapStallTimeout())
	}
}

// arm starts the timeout of the first attempt, of which the first byte is about to be sent.
func (h *hedger) arm(timeout time.Duration, lastEvent string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts, h.begunAt = h.call.attemptRecord, h.call.begunAt
	h.attempts.excluded = slices.Clone(h.attempts.excluded)
	h.lastEvent, h.isContinuation = lastEvent, h.call.isContinuation()
	h.timeout = timeout
	h.timer = time.AfterFunc(timeout, h.begin)
}

// begin begins a second attempt, if the request may be sent again.
func (h *hedger) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := h.call
	canContinue := !h.hasBegun || (first.route.Resumable && h.lastEvent != "")
	if h.closed || h.isPaused || h.current != nil || !canContinue || h.attempts.lifecycle.Attempts() >= first.route.MaxAttempts {
		return
	}
	if h.running > 0 {
		h.timer.Reset(h.timeout)
		return
	}
	h.isSilent = true
	second := &call{requestFacts: first.requestFacts, attemptRecord: h.attempts, begunAt: h.begunAt}
	second.excluded = append(slices.Clone(h.attempts.excluded), h.first.endpoint.ID)
	if !second.mayTryAgain() {
		return
	}
	back, ok := second.reserveBoth()
	if !ok && !(h.isPostponed && second.takeRetry()) {
		h.postpone()
		return
	}
	h.current = &hedge{hedger: h, call: second, back: back, lastEvent: h.lastEvent, isContinuation: h.isContinuation || h.hasBegun}
	second.hedge = h.current
	second.ctx, h.current.cancel = context.WithCancelCause(first.ctx)
	h.running++
	one := h.current
	h.group.Go(func() error {
		h.run(one)
		return nil
	})
	first.log().Info("endpoint silent, second attempt begun",
		zap.String("Request", first.ID),
		zap.String("Endpoint", h.first.endpoint.ID),
		zap.Duration("Silence", h.timeout),
		zap.String("After", h.lastEvent),
		zap.Bool("Stopping", first.gateway.stopping.Load()))
}

// postpone lets the first endpoint be silent for its timeout once more, as the retry budget is spent. The
// caller holds the lock.
func (h *hedger) postpone() {
	h.isPostponed = true
	h.timer.Reset(h.timeout)
	c := h.call
	c.gateway.Metrics.Hedged(hedgePostponed)
	c.log().Info("endpoint silent, retry budget spent",
		zap.String("Request", c.ID),
		zap.String("Service", c.service.Name),
		zap.String("Endpoint", h.first.endpoint.ID),
		zap.Duration("Silence", h.timeout),
		zap.Bool("Stopping", c.gateway.stopping.Load()))
}

// reserveBoth reserves the retry of a second attempt and, at an engine, that of a way back to the first one.
func (c *call) reserveBoth() (back reservation, ok bool) {
	budget, service := c.gateway.budget, c.service.Name
	if c.isModel() {
		if back, ok = budget.take(service); !ok {
			return back, false
		}
	}
	if !c.takeRetry() {
		budget.refund(service, back)
		return reservation{}, false
	}
	return back, true
}

// run obtains the answer of a second attempt.
func (h *hedger) run(one *hedge) {
	c := one.call
	got, err := one.fetch()
	c.releaseRetry()
	if err == nil && !h.win(one, got) {
		got.discard(c)
		err = errWithdrawn
	}
	if err != nil {
		c.guard.stop()
	}
	result := one.resultOf(err)
	h.end(one, result)
	c.gateway.Metrics.Hedged(result)
	c.log().Info("second attempt ended",
		zap.String("Request", c.ID),
		zap.String("Result", string(result)),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.Error(err))
}

// hedgeResult is how a second attempt ended.
type hedgeResult string

const (
	// hedgeAnswered: it answered first.
	hedgeAnswered hedgeResult = "Answered"
	// hedgeWithdrawn: the first attempt went on, or the request ended, before.
	hedgeWithdrawn hedgeResult = "Withdrawn"
	// hedgeRefused: no other endpoint took the request.
	hedgeRefused hedgeResult = "Refused"
	// hedgeFailed: the other endpoint failed.
	hedgeFailed hedgeResult = "Failed"
	// hedgePostponed: it did not begin, because the retry budget was spent.
	hedgePostponed hedgeResult = "Postponed"
	// hedgeReturned: it failed after the first endpoint was left for it, to which the request went back.
	hedgeReturned hedgeResult = "Returned"
)

// resultOf returns the result of a second attempt that ended with an error, or with nil if it answered first.
func (o *hedge) resultOf(err error) hedgeResult {
	var refusal *request.Refusal
	switch {
	case err == nil:
		return hedgeAnswered
	case o.call.ctx.Err() != nil || errors.Is(err, errWithdrawn):
		return hedgeWithdrawn
	case errors.As(err, &refusal):
		return hedgeRefused
	default:
		return hedgeFailed
	}
}

// isWithdrawn reports whether the call is a second attempt that was withdrawn.
func (c *call) isWithdrawn() bool { return errors.Is(context.Cause(c.ctx), errWithdrawn) }

// isContinuation reports whether the caller has got events of the stream.
func (c *call) isContinuation() bool {
	return c.streaming || (c.hedge != nil && c.hedge.isContinuation)
}

// fetch obtains the answer of another endpoint, beside which a further one may be tried. Its errors are refusals,
// if no endpoint takes the request, or those of the last endpoint.
func (o *hedge) fetch() (*answer, error) {
	c := o.call
	defer func() { c.hedger.close() }()
	for {
		to, refusal := c.acquireEndpoint()
		if refusal != nil {
			return nil, refusal
		}
		got, err := c.fetchBeside(to, o.lastEvent)
		if err == nil {
			to = got.to
		}
		if err == nil && o.isContinuation && got.stream == nil {
			got.drop(c)
			err = errNotContinued
		}
		if err == nil && got.response.Head.StatusCode() >= fasthttp.StatusInternalServerError {
			// The first attempt may still succeed.
			got.drop(c)
			err = errEndpointError
		}
		if err == nil {
			return got, nil
		}
		o.stopOverlap()
		if !c.failAttempt(to, err) {
			return nil, err
		}
	}
}

// startOverlap ends the first attempt after maxOverlap if it is at an engine: another one is sent the request.
func (o *hedge) startOverlap() {
	if o == nil || !o.call.isModel() {
		return
	}
	o.hedger.mu.Lock()
	defer o.hedger.mu.Unlock()
	if o.overlap != nil {
		o.overlap.Stop()
	}
	o.overlap = time.AfterFunc(maxOverlap, o.leaveFirst)
}

// stopOverlap keeps the first attempt, because the other engine has failed.
func (o *hedge) stopOverlap() {
	o.hedger.mu.Lock()
	defer o.hedger.mu.Unlock()
	if o.overlap != nil {
		o.overlap.Stop()
		o.overlap = nil
	}
}

// leaveFirst ends the first attempt, although the second one has not answered yet.
func (o *hedge) leaveFirst() {
	h := o.hedger
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == o && o.overlap != nil && o.answer == nil && !h.closed {
		o.hasLeft, h.leftFirst = true, true
		h.first.cancel(errStalled)
		h.logLeft()
	}
}

// logLeft logs that the first endpoint is left although no other one has answered yet.
func (h *hedger) logLeft() {
	c := h.call
	c.log().Info("silent endpoint left before another one has answered",
		zap.String("Request", c.ID),
		zap.String("Endpoint", h.first.endpoint.ID),
		zap.String("After", h.lastEvent),
		zap.Bool("Stopping", c.gateway.stopping.Load()))
}

// win makes a second attempt that has answered the one that is used, and ends the first attempt. It
// reports false if the second attempt was withdrawn before.
func (h *hedger) win(one *hedge, got *answer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != one {
		return false
	}
	one.answer = got
	h.leftFirst = h.leftFirst || !h.closed
	h.first.cancel(errStalled)
	return true
}

// end records that a second attempt has ended. If it has no answer, another one may follow.
func (h *hedger) end(one *hedge, result hedgeResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if one.call.lifecycle.Attempts() > h.attempts.lifecycle.Attempts() {
		h.attempts = one.call.attemptRecord
	}
	if result != hedgeAnswered && one.hasLeft {
		h.back = one.back
	} else {
		h.refund(one.back)
	}
	if h.current == one && result != hedgeAnswered {
		h.current = nil
		if !h.closed && !h.isPaused {
			h.timer.Reset(h.timeout)
		}
	}
}

// refund returns a retry that is not used.
func (h *hedger) refund(unused reservation) {
	h.call.gateway.budget.refund(h.call.service.Name, unused)
}

// takeBack returns the retry with which the request may go back to the first endpoint, if there is one.
func (h *hedger) takeBack() (back reservation, ok bool) {
	if h == nil {
		return back, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	back, h.back = h.back, reservation{}
	return back, back != reservation{}
}

// heard records that the first endpoint has sent an event, and withdraws the second attempt. It reports
// false if the first attempt was ended for the second one; the event is then not used.
func (h *hedger) heard(lastEvent string, timeout time.Duration) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.withdraw() {
		return false
	}
	h.hasBegun, h.isPaused, h.isSilent, h.isPostponed, h.lastEvent, h.timeout = true, true, false, false, lastEvent, timeout
	h.timer.Stop()
	return true
}

// expect restarts the timeout when the next event is waited for.
func (h *hedger) expect() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isPaused && !h.closed {
		h.isPaused = false
		h.timer.Reset(h.timeout)
	}
}

// setBegun records which release has begun the stream.
func (h *hedger) setBegun(begunAt rollout.VersionFilter) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begunAt = begunAt
}

// delay restarts the timeout, because the endpoint is not at fault for its silence.
func (h *hedger) delay(timeout time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isSilent = false
	if !h.closed && h.timer != nil {
		h.timer.Reset(timeout)
	}
}

// foundSilent reports whether the first endpoint was silent for its timeout and has sent no event since.
func (h *hedger) foundSilent() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isSilent
}

// hasSecond reports whether there is a second attempt that may answer.
func (h *hedger) hasSecond() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current != nil
}

// withdraw ends the second attempt, if there is one. It reports false if it has answered, or if the first
// attempt was ended for it. The caller holds the lock.
func (h *hedger) withdraw() bool {
	switch {
	case h.current == nil:
		return true
	case h.current.answer != nil || h.current.hasLeft:
		return false
	}
	h.current.cancel(errWithdrawn)
	h.current = nil
	return true
}

// stop prevents other attempts.
func (h *hedger) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.timer != nil {
		h.timer.Stop()
	}
}

// finish ends hedging because the first attempt has answered completely. It reports false if that attempt
// was ended for the second one.
func (h *hedger) finish() bool {
	if h == nil {
		return true
	}
	h.stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.withdraw()
}

// await ends hedging because the first attempt has failed. It waits for the second attempt, if there is
// one, and returns its answer.
func (h *hedger) await() *answer {
	if h == nil {
		return nil
	}
	h.stop()
	_ = h.group.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attempts.lifecycle.Attempts() > h.call.lifecycle.Attempts() {
		h.call.attemptRecord = h.attempts
	}
	if h.current == nil {
		return nil
	}
	got := h.current.answer
	h.current = nil
	return got
}

// close ends hedging with the request. An answer that was not used is dropped.
func (h *hedger) close() {
	if h == nil {
		return
	}
	h.stop()
	h.mu.Lock()
	if h.current != nil {
		h.current.cancel(errWithdrawn)
	}
	h.mu.Unlock()
	_ = h.group.Wait()
	if got := h.await(); got != nil {
		got.discard(h.call)
	}
	if back, ok := h.takeBack(); ok {
		h.refund(back)
	}
}

// logOvertaken logs that an attempt was ended because another endpoint answered first.
func (c *call) logOvertaken(silent, by *destination) {
	c.log().Info("silent endpoint left",
		zap.String("Request", c.ID),
		zap.String("Endpoint", silent.ID),
		zap.String("For", by.ID),
		zap.Duration("Silence", time.Since(c.progressAt)),
		zap.Duration("Age", time.Since(c.arrived)))
}
