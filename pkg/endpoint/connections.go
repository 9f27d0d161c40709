package endpoint

import (
	"slices"
	"sync"
	"time"
)

// connections are the open connections of a client, and the latest responses that ended with theirs.
type connections struct {
	mu   sync.Mutex
	open map[*conn]struct{}
	// opened counts all connections.
	opened int
	ended  []endedResponse
}

// endedResponse is a response that ended with its connection.
type endedResponse struct {
	// number is that of the connection.
	number int
	at     time.Time
	// silence is the time since the last bytes on the connection.
	silence time.Duration
	// isUnfinished is set if its framing shows that it broke off.
	isUnfinished bool
}

// maxEnded bounds the ended responses that are kept.
const maxEnded = 64

func (s *connections) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*conn]struct{}{}
	}
	s.open[c] = struct{}{}
	s.opened++
	c.number = s.opened
}

func (s *connections) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// others returns the open connections but one.
func (s *connections) others(than *conn) (others []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c != than {
			others = append(others, c)
		}
	}
	return others
}

// recordEnd records a response that ended with its connection.
func (s *connections) recordEnd(ended endedResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ended) == maxEnded {
		s.ended = slices.Delete(s.ended, 0, 1)
	}
	s.ended = append(s.ended, ended)
}

// endedSince returns the responses that ended with their connections since a time.
func (s *connections) endedSince(since time.Time) (ended []endedResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.ended {
		if !e.at.Before(since) {
			ended = append(ended, e)
		}
	}
	return ended
}
