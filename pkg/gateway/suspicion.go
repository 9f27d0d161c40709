package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/dispatch"
)

const (
	// suspectFor is how long a box that gave no word is not asked; it doubles, up
	// to suspectLongest, each time that the box fails within suspectMemory after.
	minSuspectTime    = 1500 * time.Millisecond
	maxSuspectTime    = 12 * time.Second
	suspectResetDelay = 10 * time.Second
	// mostAbsent grants in a row of engines that are not there, over absentFor, make a box
	// unfit to dispatch. Requests that come together meet one change of the endpoints that
	// this box heard of first, as many as they are.
	minAbsentGrants = 3
	minAbsentTime   = 500 * time.Millisecond
)

// absences are grants in a row of engines that are not there, by what this box knows.
type absentGrants struct {
	count int
	since time.Time
}

// note counts one, and tells whether the box that grants is unfit.
func (a *absentGrants) record(now time.Time) (unfit bool) {
	if a.count == 0 {
		a.since = now
	}
	a.count++
	return a.count >= minAbsentGrants && now.Sub(a.since) >= minAbsentTime
}

// suspicion is of a box that gave no word.
type suspicion struct {
	// until is when it may be asked again.
	until time.Time
	// length is that of the time in which it is not asked.
	duration time.Duration
}

// again is the next suspicion. It is longer for a box that failed soon after the
// last one was over: each change of the box that dispatches costs what the one
// before knew.
func (s suspicion) next(now time.Time) suspicion {
	length := minSuspectTime
	if s.duration > 0 && now.Sub(s.until) < suspectResetDelay {
		length = min(2*s.duration, maxSuspectTime)
	}
	return suspicion{until: now.Add(length), duration: length}
}

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
		zap.Duration("Words", s.responses.mean),
		zap.Error(err))
}

// absent gives back the grant of an engine that is not there.
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
