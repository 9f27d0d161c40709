package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitsOn checks requests from 80 ms after they were sent to a dispatcher: a request must not
// leave one that is alive, nor wait for one that hangs.
func TestWaitsOn(t *testing.T) {
	const timeout = 80 * time.Millisecond
	for _, is := range []struct {
		name string
		// late is by how much this box checks too late; respondedAfter is when the other box
		// responded to another request, and 0 means never.
		late, respondedAfter time.Duration
		// queued is set if the request was reported as queued, decided if the other responses
		// were verdicts.
		queued, decided bool
		want            bool
	}{
		{name: "the other box does not respond", want: false},
		{name: "the other box responds to others", respondedAfter: 20 * time.Millisecond, want: true},
		{name: "this box is late itself", late: 300 * time.Millisecond, want: true},
		{name: "it only queues others too", respondedAfter: 20 * time.Millisecond, queued: true, want: false},
		{name: "it decides about others", respondedAfter: 20 * time.Millisecond, queued: true, decided: true, want: true},
		{name: "the wait takes too long", late: maxResponseWait, respondedAfter: time.Millisecond, want: false},
	} {
		t.Run(is.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scheduler{}
				asked := time.Now()
				r, p := &remote{}, &pending{askedAt: asked, responded: is.queued}
				if is.respondedAfter > 0 {
					r.respondedAt = asked.Add(is.respondedAfter)
				}
				if is.decided {
					r.verdictAt = r.respondedAt
				}
				due := asked.Add(timeout)
				time.Sleep(timeout + is.late)
				if got := s.shouldKeepWaiting(r, p, due, timeout); got != is.want {
					t.Fatalf("keeps waiting: %v", got)
				}
			})
		})
	}
}
