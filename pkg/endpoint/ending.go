package endpoint

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/quaylead/quaylead/pkg/ending"
	"github.com/quaylead/quaylead/pkg/interval"
)

const (
	// endingInterval is the time between two observations of an endpoint, and how long bytes that it sent
	// before may be under way.
	endingInterval = 10 * time.Millisecond
	// endingSettleTime is how long no connection may have ended before the others count as open. The kernel
	// closes those of a killed process within milliseconds.
	endingSettleTime = 100 * time.Millisecond
	// interruptedSettleTime is the same if the endpoint may have been killed. The sockets to other boxes are closed
	// in between.
	interruptedSettleTime = 500 * time.Millisecond
	// maxEndingWait bounds the observation.
	maxEndingWait = 800 * time.Millisecond
	// minEndingSilence is how long an endpoint has sent nothing on a connection that it does not close right
	// after the last bytes of a response.
	minEndingSilence = 5 * time.Millisecond
)

// endingWatch observes an endpoint after a response of it has ended with its connection.
type endingWatch struct {
	client *Client
	own    *conn
	began  time.Time
	// others are the connections that were open when the watch began. Those that have ended since stay.
	others []*conn
	// received has the number of bytes received on others that had no unread bytes once those sent before the
	// end had come; nil until then.
	received map[*conn]int64
	// ended is how many of others have ended, and endedAt when the last of them was noticed, or the address
	// accepted a connection.
	ended   int
	endedAt time.Time
	address ending.Address
	// probe is a connection that was opened during the watch.
	probe *conn
}

// AwaitEnding observes the endpoint of a response that has ended with its connection until it is known whether
// the response is whole, until the context ends, or for maxEndingWait. The verdict is never ending.Undecided.
func (r *Response) AwaitEnding(ctx context.Context, isLeaving func() bool) (observed ending.Observation, verdict ending.Verdict) {
	now := time.Now()
	w := &endingWatch{client: r.client, own: r.conn, began: now, endedAt: now, others: r.client.connections.others(r.conn), address: ending.AddressUnknown}
	defer w.close()
	for {
		observed = w.observe(ctx, time.Now())
		observed.IsLeaving = isLeaving()
		verdict = observed.Verdict()
		if verdict != ending.Undecided {
			return observed, verdict
		}
		if time.Since(w.began) > maxEndingWait || interval.Wait(ctx, endingInterval) != nil {
			return observed, ending.Unproven
		}
	}
}

func (w *endingWatch) observe(ctx context.Context, now time.Time) (o ending.Observation) {
	if w.received == nil && now.Sub(w.began) >= endingInterval {
		w.countReceived()
	}
	for c, before := range w.received {
		o.IsAlive = o.IsAlive || c.received.Load() > before
	}
	if o.IsAlive {
		return o
	}
	o.IsOpen = w.checkOthers(now)
	if !o.IsOpen {
		w.checkAddress(ctx, now)
	}
	o.Address = w.address
	o.IsInterrupted = w.isInterrupted()
	settleTime := endingSettleTime
	if o.IsInterrupted {
		settleTime = interruptedSettleTime
	}
	o.IsSettled = now.Sub(w.endedAt) >= settleTime
	return o
}

// countReceived begins to notice bytes that come later. Where unread bytes wait, later ones can not be told apart.
func (w *endingWatch) countReceived() {
	w.received = map[*conn]int64{}
	for _, c := range w.others {
		if before := c.received.Load(); IsReusable(c.Conn) {
			w.received[c] = before
		}
	}
}

// checkOthers reports whether one of the other connections is open, and counts those that have ended.
func (w *endingWatch) checkOthers(now time.Time) (isOpen bool) {
	ended := 0
	for _, c := range w.others {
		switch {
		case c.hasEnded.Load():
			ended++
		case c.isClosed.Load():
			// This box has closed it.
		case IsOpen(c.Conn):
			isOpen = true
		case !c.isClosed.Load():
			ended++
		}
	}
	if ended > w.ended {
		w.ended, w.endedAt = ended, now
	}
	return isOpen
}

// checkAddress opens a connection to the address, or looks at the one that it opened before.
func (w *endingWatch) checkAddress(ctx context.Context, now time.Time) {
	if w.probe != nil && IsOpen(w.probe.Conn) {
		return
	}
	w.closeProbe()
	probe, err := w.client.dialContext(ctx)
	switch {
	case err == nil:
		w.probe, w.address, w.endedAt = probe, ending.AddressAccepts, now
	case errors.Is(err, syscall.ECONNREFUSED):
		w.address = ending.AddressRefuses
	default:
		w.address = ending.AddressUnknown
	}
}

// isInterrupted reports whether other responses ended at the same time, with no bytes from the endpoint in between,
// and one of them or the watched one was not finished.
func (w *endingWatch) isInterrupted() bool {
	since := w.began.Add(-endingSettleTime)
	for _, c := range append(w.others, w.own) {
		if last := c.lastReceived().Add(-endingInterval); last.After(since) {
			since = last
		}
	}
	isUnfinished, isSilent, hasOthers := false, false, false
	for _, e := range w.client.connections.endedSince(since) {
		isSilent = isSilent || e.silence >= minEndingSilence
		if e.number != w.own.number {
			hasOthers = true
			isUnfinished = isUnfinished || e.isUnfinished
		}
	}
	return isUnfinished || (hasOthers && isSilent)
}

func (w *endingWatch) closeProbe() {
	if w.probe != nil {
		w.probe.Close()
		w.probe = nil
	}
}

// close keeps the connection that was opened for later requests.
func (w *endingWatch) close() {
	if w.probe != nil && IsReusable(w.probe.Conn) {
		w.client.release(w.probe)
		return
	}
	w.closeProbe()
}
