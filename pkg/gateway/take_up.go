package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/continuation"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/rollout"
	"github.com/quaylead/quaylead/pkg/route"
)

// resumesStream reports whether the request takes up a stream that an earlier one began.
func (c *call) resumesStream() bool { return c.route.Streaming && c.LastEvent != "" }

// streamID returns the ID of the request that began the stream which this one begins or takes up;
// empty if the caller does not name it.
func (c *call) streamID() string {
	if c.resumesStream() {
		return c.Resumes
	}
	return c.ID
}

// streamKey returns the key of the stream that the request begins or takes up.
func (c *call) streamKey() continuation.Key {
	return continuation.KeyOf(c.customer, c.service.Name, c.streamID())
}

// takeUp determines the release at which a stream goes on that an earlier request of the caller
// began. It refuses the request if that is not known or nothing of that release may serve it: any
// other release would send events that do not fit.
func (c *call) takeUp() *request.Refusal {
	if !c.resumesStream() {
		return nil
	}
	release, knownBy := c.findOrigin()
	if c.ctx.Err() != nil {
		return c.endedRefusal()
	}
	if knownBy == "" {
		return c.refuseTakeUp("Unknown", "", "it is not known which release began the stream")
	}
	c.begunAt, c.originKnownBy = rollout.VersionFilter{Version: release, Exact: true}, knownBy
	switch {
	case c.gateway.rollouts.forbids(&route.Endpoint{Service: c.service.Name, Release: release}):
		return c.refuseTakeUp("Forbidden", release, "the release that began the stream is no longer used")
	case c.isReleaseGone(release):
		return c.refuseTakeUp("NoEndpoint", release, "no endpoint of the release that began the stream is left")
	}
	return nil
}

// refuseTakeUp refuses to continue a stream. No time to retry is given, as none is known to help.
func (c *call) refuseTakeUp(reason, release, message string) *request.Refusal {
	c.gateway.Metrics.TakeUpRefused(reason)
	c.log().Info("stream not taken up",
		zap.String("Request", c.ID),
		zap.String("Resumes", c.Resumes),
		zap.String("Service", c.service.Name),
		zap.String("Release", release),
		zap.String("KnownBy", c.originKnownBy),
		zap.String("After", c.LastEvent),
		zap.String("Reason", message))
	return notRun(request.NotContinued, message, 0)
}

// isReleaseGone reports whether all endpoints that may get requests run other releases. While there
// are none, the request is refused as any other, with a time to retry.
func (c *call) isReleaseGone(release string) bool {
	found, others := false, false
	c.gateway.registry.Directory().Each(c.service.Name, func(e *route.Endpoint) bool {
		if e.Admits() {
			found = found || e.Release == release
			others = true
		}
		return !found
	})
	return others && !found
}

// findOrigin returns the release that began the stream and the box that knows it; empty if none
// does. What this box remembers goes first, then that there was no other release, then what other
// boxes remember.
func (c *call) findOrigin() (release, knownBy string) {
	k, own := &c.gateway.continuations, c.gateway.Settings.Name
	now := time.Now()
	if c.Resumes != "" {
		if release, known := k.origins.Find(c.streamKey(), now); known {
			return release, own
		}
	}
	if release, isSole := k.soleRelease(c.service.Name, now); isSole && c.gateway.fleet.IsInTouch() {
		return release, own
	}
	if c.Resumes == "" {
		return "", ""
	}
	return c.askOrigin()
}

const (
	// askedKeepers is the number of boxes that are asked first: the keepers, one of which may have
	// become one only lately, and the next.
	askedKeepers = keeperCount + 1
	// maxAskedOthers bounds the other boxes that are asked if none of these knows, only those to
	// which there is a session.
	maxAskedOthers = 8
	// originTimeout bounds the wait for all of the boxes that are asked together. It takes a
	// millisecond or two unless a box lacks processor time.
	originTimeout = 250 * time.Millisecond
)

// askOrigin asks other boxes for the release that began the stream.
func (c *call) askOrigin() (release, knownBy string) {
	g := c.gateway
	var group *scheduler
	if p := g.pool(c.service.Name); p != nil && c.isDispatched() {
		group = p.groupFor(c.dispatchRequest())
	}
	ranked := g.rankedBoxes(group, c.service.Name)
	first := continuation.Keepers(ranked, askedKeepers)
	if release, knownBy = c.askBoxes(first); knownBy != "" {
		return release, knownBy
	}
	asked := map[string]bool{}
	for _, box := range first {
		asked[box.Name] = true
	}
	var others []continuation.Box
	for _, box := range ranked {
		if !asked[box.Name] && len(others) < maxAskedOthers && g.exchange.IsConnected(box.Name) {
			others = append(others, box)
		}
	}
	return c.askBoxes(others)
}

// originResponse is the answer of one box.
type originResponse struct {
	peer.OriginAnswer
	box string
	err error
}

// askBoxes asks several boxes at once and returns the first answer that names the recorded release.
// That there was only one counts if this box knows of no other either.
func (c *call) askBoxes(boxes []continuation.Box) (release, knownBy string) {
	g := c.gateway
	responses := make(chan originResponse, len(boxes))
	key, service := c.streamKey(), c.service.Name
	for _, box := range boxes {
		g.Metrics.OriginAsked()
		g.work.Go(func() error {
			response := originResponse{box: box.Name}
			if response.err = g.connectTo(g.workContext, box.Name); response.err == nil {
				response.OriginAnswer, response.err = g.exchange.FetchOrigin(box.Name, key, service)
			}
			responses <- response
			return nil
		})
	}
	own, isOnly, _ := g.continuations.releases.Only(service, time.Duration(g.continuations.maxAge.Load()), time.Now())
	timer := time.NewTimer(originTimeout)
	defer timer.Stop()
	for range boxes {
		select {
		case response := <-responses:
			switch {
			case response.err != nil:
				c.log().Debug("origin of a stream not answered", zap.String("Request", c.ID), zap.String("Peer", response.box), zap.Error(response.err))
			case response.Known:
				return response.Release, response.box
			case response.Only && isOnly && response.Release == own:
				release, knownBy = own, response.box
			}
		case <-timer.C:
			return release, knownBy
		case <-c.ctx.Done():
			return "", ""
		}
	}
	return release, knownBy
}
