package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/route"
)

const (
	// roomInterval is the time between two attempts at an engine that has no room. Slots become free many times
	// a second.
	roomInterval = 200 * time.Millisecond
	// maxRoomAttempts bounds these attempts, each of which takes from the retry budget.
	maxRoomAttempts = 5
)

// fetchBeside obtains the answer of an endpoint or, if that fails, of the second attempt beside it.
func (c *call) fetchBeside(to destination, lastEvent string) (*answer, error) {
	got, err := c.fetch(to, lastEvent)
	if err != nil {
		return c.recoverAnswer(to, lastEvent, err)
	}
	return got, nil
}

// recoverAnswer returns the answer that replaces an attempt which failed: that of the second attempt. If
// that one has failed as well, and the first endpoint was left for it, the request goes back to the first one,
// where it still holds its grant: that endpoint was only silent.
func (c *call) recoverAnswer(to destination, lastEvent string, failed error) (*answer, error) {
	second := c.hedger.await()
	if second != nil && c.ctx.Err() == nil {
		c.settleAttempt(to, failed)
		c.logOvertaken(&to, &second.to)
		if c.hedger.leftFirst {
			c.left = &to
		}
		c.use(second)
		return second, nil
	}
	if second != nil {
		second.discard(c)
	}
	if !c.prepareWayBack(&to) {
		return nil, failed
	}
	return c.fetchAtLast(to, lastEvent)
}

// fetchAtLast obtains the answer of an engine after which the request may be sent to no other one. If the engine
// declines for want of room, it is asked again.
func (c *call) fetchAtLast(to destination, lastEvent string) (got *answer, err error) {
	for attempt := 1; ; attempt++ {
		got, err = c.fetchBeside(to, lastEvent)
		if !isWithoutRoom(err) || attempt == maxRoomAttempts || c.mayTryAgain() {
			return got, err
		}
		if interval.Wait(c.ctx, roomInterval) != nil || c.remaining() < minRetryTime || !c.takeRetry() {
			return got, err
		}
	}
}

func isWithoutRoom(err error) bool {
	var declined *declinedError
	return errors.As(err, &declined) && declined.status == fasthttp.StatusServiceUnavailable
}

// prepareWayBack queues the request again for the endpoint that was left for another one, and reports whether it may
// be sent there. The route bounds the endpoints of a request, and this one has been counted.
func (c *call) prepareWayBack(to *destination) bool {
	back, ok := c.hedger.takeBack()
	if !ok {
		return false
	}
	c.reserved = back
	if c.ctx.Err() != nil || c.remaining() < minRetryTime {
		c.releaseRetry()
		return false
	}
	c.requeue()
	c.backAt = to.ID
	c.logBack(to)
	return true
}

// isSilentAgain reports whether the request went back to an engine that has sent no event since.
func (c *call) isSilentAgain(to *destination) bool { return c.backAt == to.ID && !c.attemptBegan }

// acquireLeft returns the engine that was left for one that has broken since, if the request may be sent there again.
// The engine may have no room by now, which it then says itself.
func (c *call) acquireLeft() (to destination, ok bool) {
	left := c.left
	if left == nil || c.ctx.Err() != nil || c.remaining() < minRetryTime || c.refuseQuarantined() != nil {
		return to, false
	}
	// The attempt that broke counts no longer.
	c.guard.stop()
	if !c.gateway.admits(&left.Endpoint) || len(c.allowedEndpoints([]route.Endpoint{left.Endpoint})) == 0 || !c.takeRetry() {
		return to, false
	}
	c.left = nil
	req := c.dispatchRequest()
	to, ok = c.checkGrant(left.group, req.ID, left.group.grantKnown(req, left.ID))
	if !ok {
		c.releaseRetry()
		return to, false
	}
	to.suspendedTotal = c.gateway.suspensions.Detected()
	c.backAt = to.ID
	c.logBack(&to)
	return to, true
}

// logBack logs that the request goes back to an engine that was left for another one.
func (c *call) logBack(to *destination) {
	c.gateway.Metrics.Hedged(hedgeReturned)
	c.log().Info("back at the silent endpoint, as the second attempt has failed",
		zap.String("Request", c.ID),
		zap.String("Endpoint", to.ID),
		zap.Int("Attempts", c.lifecycle.Attempts()),
		zap.Duration("Age", time.Since(c.arrived)),
		zap.Bool("Stopping", c.gateway.stopping.Load()))
}
