package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitsOn judges a request 80 ms after it was asked, and later.
func TestWaitsOn(t *testing.T) {
	const patience = 80 * time.Millisecond
	for _, is := range []struct {
		name string
		// late is how late this box looks; spokeAfter is when the other box spoke
		// to another request, and 0 never.
		late, spokeAfter time.Duration
		// inLine requests were told that they are; decided words were verdicts.
		inLine, decided bool
		want            bool
	}{
		{name: "the other box says nothing", want: false},
		{name: "the other box speaks to others", spokeAfter: 20 * time.Millisecond, want: true},
		{name: "this box is late itself", late: 300 * time.Millisecond, want: true},
		{name: "it only puts others in line too", spokeAfter: 20 * time.Millisecond, inLine: true, want: false},
		{name: "it decides about others", spokeAfter: 20 * time.Millisecond, inLine: true, decided: true, want: true},
		{name: "it goes on for too long", late: maxResponseWait, spokeAfter: time.Millisecond, want: false},
	} {
		t.Run(is.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scheduler{}
				asked := time.Now()
				r, p := &remote{}, &pending{askedAt: asked, responded: is.inLine}
				if is.spokeAfter > 0 {
					r.respondedAt = asked.Add(is.spokeAfter)
				}
				if is.decided {
					r.verdictAt = r.respondedAt
				}
				due := asked.Add(patience)
				time.Sleep(patience + is.late)
				if got := s.shouldKeepWaiting(r, p, due, patience); got != is.want {
					t.Fatalf("waits on: %v", got)
				}
			})
		})
	}
}
