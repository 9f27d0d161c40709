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

// errQuarantined ends an attempt of which nothing was sent, as too many endpoints have
// ended under the request meanwhile.
var errQuarantined = errors.New("too many endpoints have ended under the request")

// refuseDeadly refuses a request under which too many endpoints have ended, at every box
// alike; nil where it may be sent.
func (c *call) refuseQuarantined() *request.Refusal {
	now := time.Now()
	verdict := c.gateway.ledger.Check(c.fingerprint, now)
	if !verdict.Quarantined() {
		return nil
	}
	message := fmt.Sprintf("%d endpoints ended while they ran this request; it is sent to none until its time is over", verdict.Ends)
	return notRun(request.Quarantined, message, verdict.Until.Sub(now))
}

// withinReach are the endpoints that a request may go to. Once one has ended under it, as
// many more may run it at once, from this box, as may still end.
func (c *call) exposableEndpoints(endpoints []route.Endpoint) []route.Endpoint {
	verdict := c.gateway.ledger.Check(c.fingerprint, time.Now())
	if verdict.Ends == 0 {
		return endpoints
	}
	running := c.gateway.attempts.endpointsRunning(c.fingerprint)
	if len(running) < verdict.Allowed {
		return endpoints
	}
	return slices.DeleteFunc(endpoints, func(e route.Endpoint) bool { return !running[e.ID] })
}

// noteWhole notes that the request was answered to its end, which no deadly one is.
func (c *call) clearFingerprint(reply *endpoint.Reply) {
	if !reply.Framed() {
		return
	}
	if c.gateway.ledger.Clear(c.fingerprint, c.service.Name, time.Now()) {
		c.log().Info("bystander answered", zap.String("Request", c.ID), zap.Stringer("Fingerprint", c.fingerprint))
		c.gateway.publishEnds()
	}
}

// endsChanged has other boxes told, and the store, what this one saw.
func (g *Gateway) publishEnds() {
	g.exchange.SendNow()
	g.registry.PersistQuarantine()
}

// outcomeOf tells what an attempt that broke says of its endpoint, and counts it where the
// endpoint ended.
func (c *call) classifyBroken(to destination, err error) outcome {
	if !hasEnded(to.Endpoint, c.gateway.registry.Directory(), err) {
		return outcomeFailed
	}
	now := time.Now()
	instance := quarantine.InstanceOf(to.Service, to.ID, to.Born)
	c.end = c.gateway.ledger.RecordEnd(c.fingerprint, instance, now)
	c.gateway.unconfirmed.add(instance, to.Endpoint, c.gateway.registry.Knowledge().Looks, now)
	c.gateway.publishEnds()
	c.log().Info("endpoint ended under a request",
		zap.String("Request", c.ID),
		zap.Stringer("Fingerprint", c.fingerprint),
		zap.String("Customer", c.customer),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", to.ID),
		zap.Int("Ends", c.gateway.ledger.Check(c.fingerprint, now).Ends))
	return outcomeEnded
}

// hasEnded tells whether an attempt broke as its endpoint ended. A connection that the other
// side closed in the middle of an answer is taken for that at once: a deadly request comes
// again within milliseconds, and the entry of an endpoint that ended goes three seconds
// later. An endpoint that lives is told apart after that. One that leaves ends by plan, and
// one that is silent has ended only if its entry is gone as well.
func hasEnded(chosen route.Endpoint, directory *route.Directory, err error) bool {
	now, listed := directory.Find(chosen.ID)
	switch {
	case chosen.Leaving || (listed && now.Leaving):
		return false
	case errors.Is(err, errRestarted):
		return true
	case isConnectionLost(err):
		return true
	case errors.Is(err, errStalled) || errors.Is(err, syscall.ETIMEDOUT):
		return !listed || now.Renews(&chosen)
	}
	return false
}

// isBrokenOff tells of a connection that the other side ended in the middle of an answer.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

const (
	// livesAfter is how long after an answer broke off its endpoint has to be listed still
	// for the end to be taken back: an endpoint's entry goes after three heartbeats of
	// some 1.2 s, a look at the entries takes as long, and one that went in an outage of
	// the store is used for two seconds more.
	retractDelay = 8 * time.Second
	// supposedFor is when an end that could not be told apart stands.
	unconfirmedEndTTL = time.Minute
	// supposedLook is the time between two looks at these ends, and forgetLook that between two
	// looks for what is old: after a crash of a zone these go over thousands, a millisecond
	// long.
	endCheckInterval     = 500 * time.Millisecond
	ledgerExpiryInterval = 10 * time.Second
)

// supposedEnds are the endpoints that this box took for ended, until that is certain.
type unconfirmedEnds struct {
	mu         sync.Mutex
	byInstance map[quarantine.Instance]*unconfirmedEnd
}

type unconfirmedEnd struct {
	endpoint route.Endpoint
	at       time.Time
	// looks is the number of the last look at the entries that came too early to count.
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

// settle returns the endpoints that live after all, by what the registry knows now.
func (u *unconfirmedEnds) resolve(directory *route.Directory, polls uint64, now time.Time) (alive []quarantine.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for instance, end := range u.byInstance {
		found, listed := directory.Find(end.endpoint.ID)
		age := now.Sub(end.at)
		switch {
		case !listed || found.Renews(&end.endpoint) || age > unconfirmedEndTTL:
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

// settleEnds takes back the ends of endpoints that live.
func (g *Gateway) retractEnds() {
	now := time.Now()
	directory := g.registry.Directory()
	if directory == nil {
		return
	}
	for _, instance := range g.unconfirmed.resolve(directory, g.registry.Knowledge().Looks, now) {
		if count := g.ledger.Retract(instance, now); count > 0 {
			g.log.Info("endpoint lives, answers only broke off", zap.Int("Requests", count))
			g.publishEnds()
		}
	}
}
