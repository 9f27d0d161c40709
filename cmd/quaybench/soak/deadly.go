package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/platform/standin"
)

// deadlyMark is in the bodies of requests that end the servers which run them.
const deadlyMark = "deadly"

const (
	// returnTime is how long after a server ended another one takes its place, and
	// lapseTime how long its entry is listed.
	returnTime = time.Second
	lapseTime  = 3 * time.Second
	// contactBound is how long boxes that reach each other may take to know of an end,
	// and moreSends how often the request may be sent after that; both are the users'.
	contactBound = 3 * time.Second
	moreSends    = 3
)

// replace has another server take the place of one that ended without a word.
func (w *world) replace(s *server) error {
	time.Sleep(returnTime)
	if err := w.addServer(s.Service); err != nil {
		fmt.Fprintf(w.soak.Progress, "        %s not replaced: %v\n", s.ID, err)
		return err
	}
	time.Sleep(lapseTime - returnTime)
	w.store.Unregister(s.ID)
	return nil
}

// sendDeadly sends one request, each time to some box or to all of them together, and with
// another ID, until the time of the fault is over.
func (w *world) sendDeadly(ctx context.Context, f deadly, length time.Duration) {
	draw := rand.New(rand.NewPCG(f.seed, 1))
	route := names[standin.Lookup]
	if f.service == "llm" {
		route = names[standin.Stream]
	}
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		to := w.boxes
		if !f.together {
			at := draw.IntN(len(w.boxes))
			to = w.boxes[at : at+1]
		}
		group := errgroup.Group{}
		for i, b := range to {
			ask := standin.Ask{
				ID:       fmt.Sprintf("%08x%04x%04x", f.number, number, i),
				Host:     host,
				Path:     "/" + route + "/1",
				Key:      "key-0",
				Deadline: callerDeadline,
			}
			if f.service == "llm" {
				ask.Shared = 1000000
			}
			group.Go(func() error {
				sendOnce(b, ask, fmt.Sprintf("%s %d", deadlyMark, f.number))
				return nil
			})
		}
		_ = group.Wait()
		if interval.Wait(ctx, time.Duration(draw.Float64()*float64(f.pause))) != nil {
			return
		}
	}
}

// sendOnce sends a request and waits for its answer, which nobody misses.
func sendOnce(to *box, ask standin.Ask, body string) {
	request := ask.Compose()
	defer fasthttp.ReleaseRequest(request)
	request.SetBodyString(body)
	conn, err := net.DialTimeout("tcp", to.callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(callerDeadline)) != nil {
		return
	}
	if _, err := request.WriteTo(conn); err != nil {
		return
	}
	// Whether an answer comes is judged by what ran.
	_ = (&fasthttp.Response{}).Read(bufio.NewReader(conn))
}

// checkDeadly holds that a request ends three engines at most, and that one under which three
// servers ended is sent to no more than three others, once boxes have had time to tell each
// other. Boxes that were cut off or stood still meanwhile count for themselves.
func (w *world) checkDeadly() (broken []string) {
	byBody := map[string][]standin.Run{}
	for _, run := range w.truth.All() {
		if strings.HasPrefix(run.Body, deadlyMark) {
			byBody[run.Body] = append(byBody[run.Body], run)
		}
	}
	for body, runs := range byBody {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
		if w.boxTroubleDuring(runs[0].Began, runs[len(runs)-1].Began) {
			continue
		}
		if ended := enginesEnded(runs); ended > quarantine.MaxEnds {
			broken = append(broken, fmt.Sprintf("%q ended %d engines", body, ended))
		}
		if late := sentLate(runs); late > moreSends {
			broken = append(broken, fmt.Sprintf("%q was sent to %d servers, %d of them long after three had ended", body, len(runs), late))
		}
	}
	return broken
}

// enginesEnded counts the engines that some runs ended. Plain servers are not counted: no box
// decides for all there.
func enginesEnded(runs []standin.Run) int {
	ended := map[string]bool{}
	for _, run := range runs {
		if run.Deadly && strings.Contains(run.Target, "/"+names[standin.Stream]+"/") {
			ended[run.Server] = true
		}
	}
	return len(ended)
}

// sentLate counts the runs that began later than the bound after the third end.
func sentLate(runs []standin.Run) (late int) {
	ended := slices.DeleteFunc(slices.Clone(runs), func(run standin.Run) bool { return run.Ended.IsZero() })
	slices.SortFunc(ended, func(a, b standin.Run) int { return cmp.Compare(a.Ended.UnixNano(), b.Ended.UnixNano()) })
	if len(ended) < quarantine.MaxEnds {
		return 0
	}
	third := ended[quarantine.MaxEnds-1].Ended
	for _, run := range runs {
		if run.Began.After(third.Add(contactBound)) {
			late++
		}
	}
	return late
}

// boxTroubleDuring tells of a box that may not have been in touch at some time. The lock is
// held.
func (w *world) boxTroubleDuring(from, to time.Time) bool {
	return slices.ContainsFunc(w.boxes, func(b *box) bool { return b.troubles.touch(from, to) })
}
