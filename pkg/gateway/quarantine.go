package gateway

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/route"
)

// errQuarantined ends an attempt before anything was sent, because too many endpoints have in
// the meantime ended while they ran the request.
var errQuarantined = errors.New("too many endpoints have ended under the request")

// refuseQuarantined refuses a request if too many endpoints have ended while they ran it for any
// of the boxes. It returns nil if the request may be sent.
func (c *call) refuseQuarantined() *request.Refusal {
	now := time.Now()
	status := c.gateway.ledger.Check(c.fingerprint, now)
	if !status.IsQuarantined() {
		return c.refuseQuarantinedPart(now)
	}
	message := fmt.Sprintf("%d endpoints ended while they ran this request; it is sent to none until its time is over", status.Ends)
	return notRun(request.Quarantined, message, status.Until.Sub(now))
}

// isQuarantinedAt reports whether the request must not be sent to a release of its service, because too
// many endpoints have ended while they ran it or requests with a part of its prompt.
func (c *call) isQuarantinedAt(release string) bool {
	now := time.Now()
	if c.gateway.ledger.Check(c.fingerprint, now).IsQuarantined() {
		return true
	}
	_, _, found := c.quarantinedPart(release, now)
	return found
}

// allowedEndpoints returns the endpoints that a request may be sent to. Once an endpoint has
// ended while it ran the request, this box runs it at no more endpoints at once than the number
// of ends that is left before its quarantine.
func (c *call) allowedEndpoints(endpoints []route.Endpoint) []route.Endpoint {
	status := c.gateway.ledger.Check(c.fingerprint, time.Now())
	if status.Ends == 0 {
		return endpoints
	}
	running := c.gateway.attempts.endpointsRunning(c.fingerprint)
	if len(running) < status.Allowed {
		return endpoints
	}
	return slices.DeleteFunc(endpoints, func(e route.Endpoint) bool { return !running[e.ID] })
}

// clearFingerprint records that an endpoint completed the request, which is therefore not the
// cause of the ends.
func (c *call) clearFingerprint(response *endpoint.Response) {
	if !response.IsFramed() {
		return
	}
	if c.gateway.ledger.Clear(c.fingerprint, c.service.Name, time.Now()) {
		c.log().Info("bystander answered", zap.String("Request", c.ID), zap.Stringer("Fingerprint", c.fingerprint))
		c.gateway.publishEnds()
	}
}

// publishEnds sends the changes of the ledger to the other boxes and the store.
func (g *Gateway) publishEnds() {
	g.exchange.SendNow()
	g.registry.PersistQuarantine()
}

// recordBroken returns the outcome of a broken attempt. If the endpoint ended, it records the
// end.
func (c *call) recordBroken(to destination, err error) outcome {
	if !hasEnded(to.Endpoint, c.gateway.registry.Directory(), err) {
		return outcomeFailed
	}
	now := time.Now()
	instance := quarantine.InstanceOf(to.Service, to.ID, to.Born)
	end := c.gateway.ledger.RecordEnd(c.fingerprint, instance, now)
	if to.end != nil {
		*to.end = end
	}
	c.recordPartEnds(&to, instance, now)
	c.gateway.unconfirmed.add(instance, to.Endpoint, c.gateway.registry.Knowledge().Polls, now)
	c.gateway.publishEnds()
	c.log().Info("endpoint ended under a request",
		zap.String("Request", c.ID),
		zap.Stringer("Fingerprint", c.fingerprint),
		zap.String("Customer", c.customer),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", to.ID),
		zap.Stringers("Parts", c.sharedParts()),
		zap.Bool("Begun", c.attemptBegan),
		zap.Int("Ends", c.gateway.ledger.Check(c.fingerprint, now).Ends))
	return outcomeEnded
}

// hasEnded reports whether an attempt broke because its endpoint ended. A connection that the
// endpoint closed in the middle of a response counts as an end at once: a request that crashes
// endpoints is retried within milliseconds, and the entry of an ended endpoint is removed only
// three seconds later. If the endpoint turns out to be alive, retractEnds corrects this. A
// leaving endpoint ends as planned. One that only stopped sending has ended only if its entry is
// gone as well or it has restarted.
func hasEnded(chosen route.Endpoint, directory *route.Directory, err error) bool {
	current, listed := directory.Find(chosen.ID)
	switch {
	case chosen.Leaving || (listed && current.Leaving):
		return false
	case errors.Is(err, errRestarted):
		return true
	case isConnectionLost(err):
		return true
	case errors.Is(err, errStalled) || errors.Is(err, syscall.ETIMEDOUT):
		return !listed || current.IsNewerInstanceThan(&chosen)
	}
	return false
}

// isConnectionLost reports whether the endpoint ended the connection in the middle of a
// response.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

const (
	// retractDelay is how long after a broken response its endpoint must still be listed for the
	// end to be retracted: an endpoint's entry is removed after three heartbeats of some 1.2 s,
	// a poll of the entries takes as long, and an entry removed during an outage of the store
	// is used for two more seconds.
	retractDelay = 8 * time.Second
	// unconfirmedEndTTL is the age from which an end that was neither confirmed nor retracted
	// counts as confirmed.
	unconfirmedEndTTL = time.Minute
	// endCheckInterval is the time between two checks of the unconfirmed ends, and
	// ledgerExpiryInterval that between two scans of the ledger for expired ones: after a crash
	// of an availability zone these go through thousands, which takes a millisecond.
	endCheckInterval     = 500 * time.Millisecond
	ledgerExpiryInterval = 10 * time.Second
)

// unconfirmedEnds holds the endpoints that this box assumes to have ended, until that is
// certain.
type unconfirmedEnds struct {
	mu         sync.Mutex
	byInstance map[quarantine.Instance]*unconfirmedEnd
}

type unconfirmedEnd struct {
	endpoint route.Endpoint
	at       time.Time
	// polls is the number of the last poll of the entries that was too early to show whether the
	// endpoint is alive.
	polls uint64
}

func (u *unconfirmedEnds) add(instance quarantine.Instance, endpoint route.Endpoint, polls uint64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byInstance == nil {
		u.byInstance = map[quarantine.Instance]*unconfirmedEnd{}
	}
	u.byInstance[instance] = &unconfirmedEnd{endpoint: endpoint, at: now, polls: polls}
}

// resolve removes the ends that are certain by now, and returns the endpoints that turned out to
// be alive.
func (u *unconfirmedEnds) resolve(directory *route.Directory, polls uint64, now time.Time) (alive []quarantine.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for instance, end := range u.byInstance {
		found, listed := directory.Find(end.endpoint.ID)
		age := now.Sub(end.at)
		switch {
		case !listed || found.IsNewerInstanceThan(&end.endpoint) || age > unconfirmedEndTTL:
			delete(u.byInstance, instance)
		case age < retractDelay:
			end.polls = polls
		case polls > end.polls:
			alive = append(alive, instance)
			delete(u.byInstance, instance)
		}
	}
	return alive
}

// retractEnds retracts the ends of endpoints that are alive.
func (g *Gateway) retractEnds() {
	now := time.Now()
	directory := g.registry.Directory()
	if directory == nil {
		return
	}
	for _, instance := range g.unconfirmed.resolve(directory, g.registry.Knowledge().Polls, now) {
		if count := g.ledger.Retract(instance, now); count > 0 {
			g.log.Info("endpoint lives, answers only broke off", zap.Int("Requests", count))
			g.publishEnds()
		}
	}
}
