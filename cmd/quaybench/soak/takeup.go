package soak

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/platform/standin"
)

// interruptedStream is a stream that broke after its caller had received some events.
type interruptedStream struct {
	// began is the ID of the request that brought the first event, and after the ID of the last
	// event.
	began        string
	after        int
	sharedPrefix int
}

const (
	// hangUpFraction is the fraction of the resumable streams that their callers break off after a
	// few events, in order to take them up.
	hangUpFraction = 0.15
	// minTakeUps is the number of take-ups from which on their success is checked, and
	// minTakeUpRatio how often they have to succeed, compared with new streams. The users require
	// both.
	minTakeUps     = 12
	minTakeUpRatio = 0.5
	// minReleaseServers is the number of servers of a release that have to serve for that.
	minReleaseServers = 2
	// servingDelay is how long a server counts as starting.
	servingDelay = 4 * time.Second
)

// errHungUp ends a stream that the caller broke off.
var errHungUp = errors.New("the caller broke the stream off")

// readEvents reads a response event by event, and breaks off after maxEvents if that is not 0.
func (c *caller) readEvents(got *outcome, maxEvents int) (err error) {
	response := &fasthttp.Response{StreamBody: true}
	if err := response.Read(c.reader); err != nil {
		return err
	}
	got.status = response.StatusCode()
	got.responseID, got.server = standin.RequestIDOf(response), standin.ServerOf(response)
	got.isFramed = response.Header.ContentLength() >= chunkedLength
	stream := response.BodyStream()
	if stream == nil {
		got.body = string(response.Body())
		if !got.isFramed || response.ConnectionClose() {
			c.disconnect()
		}
		return nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	buffer := make([]byte, 4096)
	for err == nil {
		n := 0
		n, err = stream.Read(buffer)
		got.body += string(buffer[:n])
		if maxEvents > 0 && strings.Count(got.body, "\n\n") >= maxEvents {
			return errHungUp
		}
	}
	if !got.isFramed || response.ConnectionClose() {
		c.disconnect()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// recordInterruption has the next request take the stream up, if it broke after the first event.
func (c *caller) recordInterruption(got *outcome) {
	c.interrupted = nil
	if got.kind != standin.ResumableStream || got.err == nil {
		return
	}
	complete := got.body[:strings.LastIndex(got.body, "\n\n")+1]
	at := strings.LastIndex(complete, "id: ")
	if at < 0 {
		return
	}
	id, _, _ := strings.Cut(complete[at+len("id: "):], "\n")
	after, err := strconv.Atoi(id)
	if err != nil || after >= streamEvents {
		return
	}
	began := got.id
	if got.resumes != "" {
		began = got.resumes
	}
	c.interrupted = &interruptedStream{began: began, after: after, sharedPrefix: got.sharedPrefix}
}

// releaseOf returns the release of a server.
func (w *world) releaseOf(id string) string {
	for _, s := range w.servers {
		if s.ID == id {
			return s.Release
		}
	}
	return ""
}

// beginningServers returns the servers that began streams, by the ID of the request, as the responses
// name them. What ran does not tell: two attempts may have run side by side, one of them unused.
func (w *world) beginningServers() map[string]string {
	servers := map[string]string{}
	for i := range w.outcomes {
		if o := &w.outcomes[i]; o.server != "" {
			servers[o.id] = o.server
		}
	}
	return servers
}

// checkReleases looks for streams that went on at another release than the one that began them.
func (w *world) checkReleases(runs map[string][]standin.Run) (violations []string) {
	servers := w.beginningServers()
	for i := range w.outcomes {
		o := &w.outcomes[i]
		if o.kind != standin.ResumableStream {
			continue
		}
		began := o.id
		if o.resumes != "" {
			began = o.resumes
		}
		release := w.releaseOf(servers[began])
		for _, run := range runs[o.id] {
			if run.After != "" && release != "" && w.releaseOf(run.Server) != release {
				violations = append(violations, o.describe(fmt.Sprintf("it began at %s as %s and went on at %s, %s", release, began, run.Server, w.releaseOf(run.Server))))
			}
		}
	}
	return violations
}

// isServing reports whether a server serves all along.
func (s *server) isServing(from, to time.Time) bool {
	return s.startedAt.Add(servingDelay).Before(from) && (s.leftAt.IsZero() || s.leftAt.After(to)) && (s.endedAt.IsZero() || s.endedAt.After(to))
}

// countServing counts the servers of a release that serve all along.
func (w *world) countServing(release string, from, to time.Time) (count int) {
	for _, s := range w.servers {
		if s.Release == release && s.Service == "llm" && s.isServing(from, to) {
			count++
		}
	}
	return count
}

// takeUps counts streams that boxes in touch began and continued.
type takeUps struct {
	begun, beginsServed int
	taken, takenServed  int
}

// summarizeTakeUps returns the number of streams taken up, and of those that went on.
func (w *world) summarizeTakeUps() (taken, continued int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := w.countTakeUps()
	return count.taken, count.takenServed
}

// countTakeUps counts the resumable streams requested of boxes in touch. Those taken up count if
// enough servers of their release serve.
func (w *world) countTakeUps() (count takeUps) {
	servers := w.beginningServers()
	for i := range w.outcomes {
		o := &w.outcomes[i]
		if o.kind != standin.ResumableStream || errors.Is(o.err, errHungUp) || w.sharedFaultTimes.overlaps(o.sent, o.ended) ||
			w.linkFaultTimes.overlaps(o.sent, o.ended) || o.box.faultTimes.overlaps(o.sent, o.ended) {
			continue
		}
		served := 0
		if o.err == nil && o.status == fasthttp.StatusOK {
			served = 1
		}
		if o.resumes == "" {
			count.begun++
			count.beginsServed += served
			continue
		}
		if release := w.releaseOf(servers[o.resumes]); release != "" && w.countServing(release, o.sent, o.ended) >= minReleaseServers {
			count.taken++
			count.takenServed += served
		}
	}
	return count
}

// check describes the violation if streams that were taken up went on far less often than new ones
// began; otherwise it returns nothing.
func (t takeUps) check() (violations []string) {
	if t.taken < minTakeUps || t.begun == 0 {
		return nil
	}
	taken, begun := float64(t.takenServed)/float64(t.taken), float64(t.beginsServed)/float64(t.begun)
	if taken < minTakeUpRatio*begun {
		violations = append(violations, fmt.Sprintf("%d of %d streams taken up went on, and %d of %d new ones", t.takenServed, t.taken, t.beginsServed, t.begun))
	}
	return violations
}
