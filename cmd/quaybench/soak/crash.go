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

// crashMarker is part of the bodies of requests that crash the servers which run them.
const crashMarker = "deadly"

const (
	// replacementDelay is how long after a crash another server takes the place of the
	// crashed one, and entryTTL how long the crashed one's entry stays listed.
	replacementDelay = time.Second
	entryTTL         = 3 * time.Second
	// maxEndReportDelay is how long boxes that reach each other may take to share a crash,
	// and maxLateSends how often the request may be sent after that. The users require both.
	maxEndReportDelay = 3 * time.Second
	maxLateSends      = 3
)

// recordCrash records when a server crashed, which may cut responses.
func (w *world) recordCrash(s *server) {
	w.recordSharedFault(0)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.endedAt = time.Now()
}

// replaceServer starts another server in place of a crashed one, which had not announced that
// it leaves.
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

// sendCrashing sends the requests that build returns until the end of the fault, to a random box or
// to all boxes at once.
func (w *world) sendCrashing(ctx context.Context, f crashingSends, length time.Duration, build func(id string) (standin.CallerRequest, string)) {
	rng := rand.New(rand.NewPCG(f.seed, 1))
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		boxes := w.boxes
		if !f.allBoxes {
			chosen := rng.IntN(len(w.boxes))
			boxes = w.boxes[chosen : chosen+1]
		}
		group := errgroup.Group{}
		for i, b := range boxes {
			request, body := build(fmt.Sprintf("%08x%04x%04x", f.number, number, i))
			w.recordCrashingSend(request.ID, b)
			group.Go(func() error {
				sendOnce(b, request, body)
				return nil
			})
		}
		_ = group.Wait()
		if interval.Wait(ctx, time.Duration(rng.Float64()*float64(f.maxPause))) != nil {
			return
		}
	}
}

// recordCrashingSend records the box to which a crashing request is sent.
func (w *world) recordCrashingSend(id string, b *box) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashingSends[id] = b
}

// request returns the request with the given ID, and its body.
func (f crashingRequest) request(id string) (call standin.CallerRequest, body string) {
	call = standin.CallerRequest{ID: id, Host: host, Path: "/" + routeNames[standin.Lookup] + "/1", Key: "key-0", Deadline: callerDeadline}
	if f.service == "llm" {
		call.Path, call.SharedPrefix = "/"+routeNames[standin.Stream]+"/1", 1000000
	}
	return call, fmt.Sprintf("%s %d", crashMarker, f.number)
}

// sendOnce sends a request and waits for its response, which it discards.
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
	// The check uses the recorded runs, so it does not matter whether a response comes.
	_ = (&fasthttp.Response{}).Read(bufio.NewReader(conn))
}

// checkCrashes checks that a request crashes at most three engines, and that after three crashes
// it is sent to at most three more servers once the boxes have had time to share the crashes.
// Requests during which a box was cut off or suspended are not checked, as such a box counts
// crashes on its own.
func (w *world) checkCrashes() (violations []string) {
	byBody := map[string][]standin.Run{}
	for _, run := range w.truth.AllRuns() {
		if strings.HasPrefix(run.Body, crashMarker) {
			byBody[run.Body] = append(byBody[run.Body], run)
		}
	}
	for body, runs := range byBody {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
		if w.hasBoxFault(runs[0].Began, runs[len(runs)-1].Began) {
			continue
		}
		if ended := crashedEngines(runs); ended > quarantine.MaxEnds {
			violations = append(violations, fmt.Sprintf("%q crashed %d engines", body, ended))
		}
		if late := lateSends(runs); late > maxLateSends {
			violations = append(violations, fmt.Sprintf("%q was sent to %d servers, %d of them long after three had ended", body, len(runs), late))
		}
	}
	return violations
}

// crashedEngines counts the engines that some runs crashed. Plain servers are not counted, since
// no single box dispatches the requests for them.
func crashedEngines(runs []standin.Run) int {
	ended := map[string]bool{}
	for _, run := range runs {
		if run.Crashed && strings.Contains(run.Target, "/"+routeNames[standin.Stream]+"/") {
			ended[run.Server] = true
		}
	}
	return len(ended)
}

// lateSends counts the runs that began more than maxEndReportDelay after the third end.
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

// hasBoxFault reports whether some box may have been cut off at some time between from and to. The
// caller holds the lock.
func (w *world) hasBoxFault(from, to time.Time) bool {
	return slices.ContainsFunc(w.boxes, func(b *box) bool { return b.faultTimes.overlaps(from, to) })
}
