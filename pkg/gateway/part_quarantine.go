package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/route"
)

// sharedParts returns the parts of the request's prompt that other requests may have too; none unless
// the service has engines, which read prompts.
func (c *call) sharedParts() []dispatch.Part {
	if c.Prompt == nil || c.service.Engine == nil {
		return nil
	}
	return c.Prompt.Shared()
}

// partKeys returns the fingerprints of these parts at a release of the service.
func (c *call) partKeys(release string) []quarantine.Fingerprint {
	if len(c.sharedParts()) == 0 {
		return nil
	}
	return dispatch.PartKeys(c.service.Name, release, c.customer, c.Prompt)
}

// quarantinedPart returns a part of the request's prompt that is quarantined at a release.
func (c *call) quarantinedPart(release string, now time.Time) (part dispatch.Part, status quarantine.Status, found bool) {
	if !c.gateway.ledger.HasQuarantinedParts() {
		return part, status, false
	}
	for i, status := range c.gateway.ledger.CheckParts(c.partKeys(release), nil, now) {
		if status.IsQuarantined() {
			return c.sharedParts()[i], status, true
		}
	}
	return part, status, false
}

// refuseQuarantinedPart refuses a request if parts of its prompt are quarantined at all releases that
// the service has. It returns nil if the request may be sent to one of them.
func (c *call) refuseQuarantinedPart(now time.Time) *request.Refusal {
	if !c.gateway.ledger.HasQuarantinedParts() || len(c.sharedParts()) == 0 {
		return nil
	}
	var refusal *request.Refusal
	checked := map[string]bool{}
	c.gateway.registry.Directory().Each(c.service.Name, func(e *route.Endpoint) bool {
		if checked[e.Release] {
			return true
		}
		checked[e.Release] = true
		part, status, found := c.quarantinedPart(e.Release, now)
		if !found {
			refusal = nil
			return false
		}
		if retryAfter := status.Until.Sub(now); refusal == nil || retryAfter < refusal.RetryAfter {
			message := fmt.Sprintf("%d endpoints ended while they ran requests of this customer with part %s of the prompt; it is sent to none until its time is over", status.Ends, part)
			refusal = notRun(request.Quarantined, message, retryAfter)
		}
		return true
	})
	return refusal
}

// recordPartEnds records that an endpoint ended under the parts of the request's prompt, unless it had
// sent an event: then none of them keeps it from writing an answer.
func (c *call) recordPartEnds(to *destination, instance quarantine.Instance, now time.Time) {
	if c.attemptBegan {
		return
	}
	for _, key := range c.partKeys(to.Release) {
		c.gateway.ledger.RecordEnd(key, instance, now)
	}
}

// clearParts records that an endpoint began to write an answer: the parts of the prompt are not the
// cause of ends at its release.
func (c *call) clearParts(to *destination) {
	if !c.gateway.ledger.HasParts() {
		return
	}
	cleared, now := false, time.Now()
	for _, key := range c.partKeys(to.Release) {
		cleared = c.gateway.ledger.Clear(key, c.service.Name, now) || cleared
	}
	if cleared {
		c.log().Debug("parts answered", zap.String("Request", c.ID), zap.Stringers("Parts", c.sharedParts()))
		c.gateway.publishEnds()
	}
}
