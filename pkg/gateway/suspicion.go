package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

const (
	// minSuspectTime is how long a box that failed to respond is not asked. The time doubles, up
	// to maxSuspectTime, with each failure within suspectResetDelay after the last suspicion
	// ended.
	minSuspectTime    = 1500 * time.Millisecond
	maxSuspectTime    = 12 * time.Second
	suspectResetDelay = 10 * time.Second
	// minAbsentGrants consecutive grants of absent engines, over at least minAbsentTime, make a
	// box unfit to dispatch. The time is needed because one change of the endpoints that this box
	// received before the dispatcher can affect any number of simultaneous requests.
	minAbsentGrants = 3
	minAbsentTime   = 500 * time.Millisecond
)

// absentGrants counts consecutive grants of engines that are absent in this box's directory.
type absentGrants struct {
	count int
	since time.Time
}

// record counts one grant. It reports whether the box that granted it is unfit to dispatch.
func (a *absentGrants) record(now time.Time) (unfit bool) {
	if a.count == 0 {
		a.since = now
	}
	a.count++
	return a.count >= minAbsentGrants && now.Sub(a.since) >= minAbsentTime
}

// suspicion is the state of a box that failed to respond and is not asked for a while.
type suspicion struct {
	// until is when it may be asked again.
	until time.Time
	// duration is the length of that time.
	duration time.Duration
}

// next returns the suspicion after another failure. It is longer if the last one ended only
// recently, because each change of the dispatcher loses what the previous one recorded.
func (s suspicion) next(now time.Time) suspicion {
	length := minSuspectTime
	if s.duration > 0 && now.Sub(s.until) < suspectResetDelay {
		length = min(2*s.duration, maxSuspectTime)
	}
	return suspicion{until: now.Add(length), duration: length}
}

// suspect stops asking a box for a while and has the session to it checked.
func (s *scheduler) suspect(box string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known := s.suspects[box]
	if now.Before(known.until) {
		return
	}
	next := known.next(now)
	s.suspects[box] = next
	s.gateway.exchange.CheckSession(box)
	s.log.Warn("dispatcher not asked for a while",
		zap.String("Service", s.groupName),
		zap.String("Box", box),
		zap.Duration("For", next.duration),
		zap.Duration("Words", s.responseTimes.mean),
		zap.Error(err))
}

// returnAbsentGrant hands the grant of an absent engine back. It suspects the box that granted it
// after minAbsentGrants of them.
func (s *scheduler) returnAbsentGrant(id string, v verdict) {
	s.end(id, dispatch.NotRun{})
	s.mu.Lock()
	r := s.remote
	unfit := false
	if r != nil && r.box == v.decidedBy {
		unfit = r.absentGrants.record(time.Now())
	}
	s.mu.Unlock()
	if unfit {
		s.suspect(v.decidedBy, errAbsentEngines)
	}
}
