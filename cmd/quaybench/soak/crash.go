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
const crashMarker = "deadly"

const (
	// returnTime is how long after a server ended another one takes its place, and
	// lapseTime how long its entry is listed.
	replacementDelay = time.Second
	entryTTL         = 3 * time.Second
	// contactBound is how long boxes that reach each other may take to know of an end,
	// and moreSends how often the request may be sent after that; both are the users'.
	maxEndReportDelay = 3 * time.Second
	maxLateSends      = 3
)

// replace has another server take the place of one that ended without a word.
func (w *world) replaceServer(s *server) error {
	time.Sleep(replacementDelay)
	if err := w.addServer(s.Service); err != nil {
		fmt.Fprintf(w.soak.Progress, "        %s not replaced: %v\n", s.ID, err)
		return err
	}
	time.Sleep(entryTTL - replacementDelay)
	w.store.Unregister(s.ID)
	return nil
}

// sendDeadly sends one request, each time to some box or to all of them together, and with
// another ID, until the time of the fault is over.
func (w *world) sendCrashing(ctx context.Context, f crashingRequest, length time.Duration) {
	rng := rand.New(rand.NewPCG(f.seed, 1))
	route := routeNames[standin.Lookup]
	if f.service == "llm" {
		route = routeNames[standin.Stream]
	}
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		boxes := w.boxes
		if !f.allBoxes {
			chosen := rng.IntN(len(w.boxes))
			boxes = w.boxes[chosen : chosen+1]
		}
		group := errgroup.Group{}
		for i, b := range boxes {
			request := standin.CallerRequest{
				ID:       fmt.Sprintf("%08x%04x%04x", f.number, number, i),
				Host:     host,
				Path:     "/" + route + "/1",
				Key:      "key-0",
				Deadline: callerDeadline,
			}
			if f.service == "llm" {
				request.SharedPrefix = 1000000
			}
			group.Go(func() error {
				sendOnce(b, request, fmt.Sprintf("%s %d", crashMarker, f.number))
				return nil
			})
		}
		_ = group.Wait()
		if interval.Wait(ctx, time.Duration(rng.Float64()*float64(f.maxPause))) != nil {
			return
		}
	}
}

// sendOnce sends a request and waits for its answer, which nobody misses.
func sendOnce(b *box, call standin.CallerRequest, body string) {
	request := call.Build()
	defer fasthttp.ReleaseRequest(request)
	request.SetBodyString(body)
	conn, err := net.DialTimeout("tcp", b.callerAddress, time.Second)
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
func (w *world) checkCrashes() (violations []string) {
	byBody := map[string][]standin.Run{}
	for _, run := range w.truth.AllRuns() {
		if strings.HasPrefix(run.Body, crashMarker) {
			byBody[run.Body] = append(byBody[run.Body], run)
		}
	}
	for body, runs := range byBody {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
		if w.anyBoxFault(runs[0].Began, runs[len(runs)-1].Began) {
			continue
		}
		if ended := crashedEngines(runs); ended > quarantine.MaxEnds {
			violations = append(violations, fmt.Sprintf("%q ended %d engines", body, ended))
		}
		if late := lateSends(runs); late > maxLateSends {
			violations = append(violations, fmt.Sprintf("%q was sent to %d servers, %d of them long after three had ended", body, len(runs), late))
		}
	}
	return violations
}

// enginesEnded counts the engines that some runs ended. Plain servers are not counted: no box
// decides for all there.
func crashedEngines(runs []standin.Run) int {
	ended := map[string]bool{}
	for _, run := range runs {
		if run.Crashed && strings.Contains(run.Target, "/"+routeNames[standin.Stream]+"/") {
			ended[run.Server] = true
		}
	}
	return len(ended)
}

// sentLate counts the runs that began later than the bound after the third end.
func lateSends(runs []standin.Run) (count int) {
	ended := slices.DeleteFunc(slices.Clone(runs), func(run standin.Run) bool { return run.Ended.IsZero() })
	slices.SortFunc(ended, func(a, b standin.Run) int { return cmp.Compare(a.Ended.UnixNano(), b.Ended.UnixNano()) })
	if len(ended) < quarantine.MaxEnds {
		return 0
	}
	third := ended[quarantine.MaxEnds-1].Ended
	for _, run := range runs {
		if run.Began.After(third.Add(maxEndReportDelay)) {
			count++
		}
	}
	return count
}

// boxTroubleDuring tells of a box that may not have been in touch at some time. The lock is
// held.
func (w *world) anyBoxFault(from, to time.Time) bool {
	return slices.ContainsFunc(w.boxes, func(b *box) bool { return b.faultTimes.overlaps(from, to) })
}
