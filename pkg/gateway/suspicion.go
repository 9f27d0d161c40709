package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

const (
	// minSuspectTime is how long a box that failed to respond is not asked. It doubles, up to
	// maxSuspectTime, each time that the box fails again within suspectResetDelay.
	minSuspectTime    = 1500 * time.Millisecond
	maxSuspectTime    = 12 * time.Second
	suspectResetDelay = 10 * time.Second
	// minAbsentGrants grants in a row of absent engines, over at least minAbsentTime, make a
	// box unfit to dispatch. The time is needed because any number of simultaneous requests can
	// be affected by one change of the endpoints that this box received first.
	minAbsentGrants = 3
	minAbsentTime   = 500 * time.Millisecond
)

// absentGrants counts grants in a row of engines that are absent in this box's directory.
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

// suspicion is held against a box that failed to respond.
type suspicion struct {
	// until is when it may be asked again.
	until time.Time
	// duration is how long it is not asked.
	duration time.Duration
}

// next returns the suspicion after another failure. It is longer for a box that failed soon
// after the last one ended, because each change of the dispatcher loses what the previous one
// recorded.
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

// returnAbsentGrant returns the grant of an absent engine, and suspects the box that granted it
// if that goes on.
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
