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
func (c *call) refuseDeadly() *request.Refusal {
	now := time.Now()
	verdict := c.gateway.ledger.Judge(c.fingerprint, now)
	if !verdict.Quarantined() {
		return nil
	}
	message := fmt.Sprintf("%d endpoints ended while they ran this request; it is sent to none until its time is over", verdict.Ends)
	return notRun(request.Quarantined, message, verdict.Until.Sub(now))
}

// withinReach are the endpoints that a request may go to. Once one has ended under it, as
// many more may run it at once, from this box, as may still end.
func (c *call) withinReach(endpoints []route.Endpoint) []route.Endpoint {
	verdict := c.gateway.ledger.Judge(c.fingerprint, time.Now())
	if verdict.Ends == 0 {
		return endpoints
	}
	running := c.gateway.lives.running(c.fingerprint)
	if len(running) < verdict.Allowed {
		return endpoints
	}
	return slices.DeleteFunc(endpoints, func(e route.Endpoint) bool { return !running[e.ID] })
}

// noteWhole notes that the request was answered to its end, which no deadly one is.
func (c *call) noteWhole(reply *endpoint.Reply) {
	if !reply.Framed() {
		return
	}
	if c.gateway.ledger.Clear(c.fingerprint, c.service.Name, time.Now()) {
		c.log().Info("bystander answered", zap.String("Request", c.ID), zap.Stringer("Fingerprint", c.fingerprint))
		c.gateway.endsChanged()
	}
}

// endsChanged has other boxes told, and the store, what this one saw.
func (g *Gateway) endsChanged() {
	g.exchange.SendNow()
	g.registry.PersistQuarantine()
}

// outcomeOf tells what an attempt that broke says of its endpoint, and counts it where the
// endpoint ended.
func (c *call) outcomeOf(to destination, err error) outcome {
	if !hasEnded(to.Endpoint, c.gateway.registry.Directory(), err) {
		return outcomeFailed
	}
	now := time.Now()
	life := quarantine.LifeOf(to.Service, to.ID, to.Born)
	c.end = c.gateway.ledger.Note(c.fingerprint, life, now)
	c.gateway.supposed.add(life, to.Endpoint, c.gateway.registry.Knowledge().Looks, now)
	c.gateway.endsChanged()
	c.log().Info("endpoint ended under a request",
		zap.String("Request", c.ID),
		zap.Stringer("Fingerprint", c.fingerprint),
		zap.String("Customer", c.customer),
		zap.String("Route", c.route.Name),
		zap.String("Endpoint", to.ID),
		zap.Int("Ends", c.gateway.ledger.Judge(c.fingerprint, now).Ends))
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
	case isBrokenOff(err):
		return true
	case errors.Is(err, errStalled) || errors.Is(err, syscall.ETIMEDOUT):
		return !listed || now.Renews(&chosen)
	}
	return false
}

// isBrokenOff tells of a connection that the other side ended in the middle of an answer.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

const (
	// livesAfter is how long after an answer broke off its endpoint has to be listed still
	// for the end to be taken back: an endpoint's entry goes after three heartbeats of
	// some 1.2 s, a look at the entries takes as long, and one that went in an outage of
	// the store is used for two seconds more.
	livesAfter = 8 * time.Second
	// supposedFor is when an end that could not be told apart stands.
	supposedFor = time.Minute
	// supposedLook is the time between two looks at these ends, and forgetLook that between two
	// looks for what is old: after a crash of a zone these go over thousands, a millisecond
	// long.
	supposedLook = 500 * time.Millisecond
	forgetLook   = 10 * time.Second
)

// supposedEnds are the endpoints that this box took for ended, until that is certain.
type supposedEnds struct {
	mu    sync.Mutex
	lives map[quarantine.Life]*supposedEnd
}

type supposedEnd struct {
	endpoint route.Endpoint
	at       time.Time
	// looks is the number of the last look at the entries that came too early to count.
	looks uint64
}

func (u *supposedEnds) add(life quarantine.Life, endpoint route.Endpoint, looks uint64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lives == nil {
		u.lives = map[quarantine.Life]*supposedEnd{}
	}
	u.lives[life] = &supposedEnd{endpoint: endpoint, at: now, looks: looks}
}

// settle returns the endpoints that live after all, by what the registry knows now.
func (u *supposedEnds) settle(directory *route.Directory, looks uint64, now time.Time) (alive []quarantine.Life) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for life, end := range u.lives {
		found, listed := directory.Find(end.endpoint.ID)
		age := now.Sub(end.at)
		switch {
		case !listed || found.Renews(&end.endpoint) || age > supposedFor:
			delete(u.lives, life)
		case age < livesAfter:
			end.looks = looks
		case looks > end.looks:
			alive = append(alive, life)
			delete(u.lives, life)
		}
	}
	return alive
}

// settleEnds takes back the ends of endpoints that live.
func (g *Gateway) settleEnds() {
	now := time.Now()
	directory := g.registry.Directory()
	if directory == nil {
		return
	}
	for _, life := range g.supposed.settle(directory, g.registry.Knowledge().Looks, now) {
		if count := g.ledger.TakeBack(life, now); count > 0 {
			g.log.Info("endpoint lives, answers only broke off", zap.Int("Requests", count))
			g.endsChanged()
		}
	}
}
