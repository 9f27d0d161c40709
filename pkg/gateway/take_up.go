package gateway

import (
	"slices"
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
		zap.String("BegunBy", c.Resumes),
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
	if release, isSole := k.soleRelease(c.service.Name, now); isSole && c.gateway.knowsReleases(now) {
		return release, own
	}
	if c.Resumes == "" {
		return "", ""
	}
	return c.askOrigin()
}

const (
	// askedReplicas is the number of boxes that are asked first: the replicas, one of which may have
	// become one only lately, and the next.
	askedReplicas = replicaCount + 1
	// maxAskedOthers bounds the other boxes that are asked if none of these knows, only those to
	// which there is a session.
	maxAskedOthers = 8
	// replicasTimeout is how long the replicas are waited for alone, and originTimeout bounds the wait
	// for all boxes. An answer takes a millisecond or two, and more at boxes that have just started
	// or lack processor time.
	replicasTimeout = 100 * time.Millisecond
	originTimeout   = 500 * time.Millisecond
)

// originResponse is the answer of one box.
type originResponse struct {
	peer.OriginAnswer
	box string
	err error
}

// askOrigin asks other boxes for the release that began the stream: the replicas and, once all of
// them have answered that they do not know or are late, others. The first answer that names the
// recorded release counts.
func (c *call) askOrigin() (release, knownBy string) {
	replicas, others := c.boxesToAsk()
	responses := make(chan originResponse, len(replicas)+len(others))
	c.ask(replicas, responses)
	waiting := len(replicas)
	askOthers := func() {
		c.ask(others, responses)
		waiting += len(others)
		others = nil
	}
	late := time.NewTimer(replicasTimeout)
	defer late.Stop()
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	for {
		if waiting == 0 {
			if knownBy != "" || len(others) == 0 {
				return release, knownBy
			}
			askOthers()
		}
		select {
		case response := <-responses:
			waiting--
			switch {
			case response.err != nil:
				c.log().Debug("origin of a stream not answered", zap.String("Request", c.ID), zap.String("Peer", response.box), zap.Error(response.err))
			case response.Known:
				return response.Release, response.box
			case response.Only && c.isOnlyRelease(response.Release):
				release, knownBy = response.Release, response.box
			}
		case <-late.C:
			askOthers()
		case <-timeout.C:
			return release, knownBy
		case <-c.ctx.Done():
			return "", ""
		}
	}
}

// isOnlyRelease reports whether this box knows of no other release of the service. That another box
// knows of only one counts only then: it may not have learnt of one that appeared just now.
func (c *call) isOnlyRelease(release string) bool {
	k := &c.gateway.continuations
	own, isOnly, _ := k.releases.Only(c.service.Name, time.Duration(k.maxAge.Load()), time.Now())
	return isOnly && own == release
}

// boxesToAsk returns the boxes that are the replicas of the stream if it began at another box, and
// some others.
func (c *call) boxesToAsk() (replicas, others []continuation.Box) {
	g := c.gateway
	var group *scheduler
	if p := g.pool(c.service.Name); p != nil && c.isDispatched() {
		group = p.groupFor(c.dispatchRequest())
	}
	ranked := g.rankedBoxes(group, c.service.Name)
	replicas = continuation.Replicas(ranked, askedReplicas)
	for _, box := range ranked {
		if !slices.Contains(replicas, box) && len(others) < maxAskedOthers && g.exchange.IsConnected(box.Name) {
			others = append(others, box)
		}
	}
	return replicas, others
}

// ask asks boxes for the origin of the stream. Each sends one response.
func (c *call) ask(boxes []continuation.Box, responses chan<- originResponse) {
	g, key, service := c.gateway, c.streamKey(), c.service.Name
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
}
