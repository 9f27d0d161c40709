package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/platform/standin"
)

const (
	// crashPart begins the IDs of the parts of prompts that crash engines.
	crashPart = "dead"
	// crashingPartFactor is how much longer than another fault requests with such a part are sent:
	// the bounds below begin seconds after the last crash.
	crashingPartFactor = 4
	// maxCheckedPartEnds is the number of crashes after which boxes that reach each other may send
	// maxLateSends more requests with the part. The users require it.
	maxCheckedPartEnds = 5
	// minSound is the number of sound requests from which on it is checked that most of them are not
	// refused for a part, and maxSoundRefused is how many of them may be. The users require both.
	minSound        = 20
	maxSoundRefused = 0.5
	// soundDelay is how long after the last crash that begins.
	soundDelay = 2 * maxEndReportDelay
)

// request returns a request with the part that shares its first part and its customer with sound ones,
// and its body.
func (f crashingPart) request(id string) (call standin.CallerRequest, body string) {
	call = standin.CallerRequest{
		ID: id, Host: host, Path: "/" + routeNames[standin.ResumableStream] + "/1", Key: "key-0", Deadline: callerDeadline,
		SharedPrefix: 1000000 + f.number%sharedPrefixes, ExtraPart: f.part(),
	}
	return call, "body of " + id
}

// part returns the ID of the part that crashes engines.
func (f crashingPart) part() string { return fmt.Sprintf("%s%08x", crashPart, f.number) }

// recordCrashingPart records for how long requests with a part are sent from now on.
func (w *world) recordCrashingPart(f crashingPart, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashingUntil[f.part()] = time.Now().Add(length)
}

// checkCrashingParts checks that few requests with a part reach servers once it has crashed several,
// and that sound requests of the customer are served meanwhile. The caller holds the lock.
func (w *world) checkCrashingParts() (violations []string) {
	for part, runs := range w.runsByCrashingPart() {
		violations = append(violations, w.checkCrashingPart(part, runs)...)
	}
	return violations
}

// runsByCrashingPart returns what ran at the servers, by the part that crashes them.
func (w *world) runsByCrashingPart() map[string][]standin.Run {
	byPart := map[string][]standin.Run{}
	for _, run := range w.truth.AllRuns() {
		if part := run.PartWith(crashPart); part != "" {
			byPart[part] = append(byPart[part], run)
		}
	}
	return byPart
}

// countPartCrashes counts the parts that crashed servers, and the servers that one of them crashed.
func (w *world) countPartCrashes() (parts, most int) {
	for _, runs := range w.runsByCrashingPart() {
		parts++
		most = max(most, len(crashTimes(runs)))
	}
	return parts, most
}

// checkCrashingPart does so for one part, given all runs of requests with it.
func (w *world) checkCrashingPart(part string, runs []standin.Run) (violations []string) {
	if late := w.latePartSends(runs); late > maxLateSends {
		violations = append(violations, fmt.Sprintf("requests with part %s crashed %d servers, and %d were sent long after the fifth", part, len(crashTimes(runs)), late))
	}
	if refused, sent := w.countSoundRefused(part, runs); sent >= minSound && float64(refused) > maxSoundRefused*float64(sent) {
		violations = append(violations, fmt.Sprintf("%d of %d sound requests were refused as quarantined while requests with part %s came", refused, sent, part))
	}
	return violations
}

// crashTimes returns when servers crashed under the given runs, each at the first one.
func crashTimes(runs []standin.Run) (times []time.Time) {
	crashed := map[string]bool{}
	for _, run := range runs {
		if run.Crashed && !crashed[run.Server] {
			crashed[run.Server] = true
			times = append(times, run.Ended)
		}
	}
	return times
}

// latePartSends counts the runs that began more than maxEndReportDelay after the fifth crash, of
// requests sent to boxes that had no fault since the first one. Crashes that no box may have seen do not
// count: those while a connection to a server was broken.
func (w *world) latePartSends(runs []standin.Run) (count int) {
	ends := crashTimes(slices.DeleteFunc(slices.Clone(runs), func(run standin.Run) bool {
		return w.linkFaultTimes.overlaps(run.Began, run.Ended.Add(maxEndReportDelay))
	}))
	if len(ends) < maxCheckedPartEnds {
		return 0
	}
	slices.SortFunc(ends, time.Time.Compare)
	settled := ends[maxCheckedPartEnds-1].Add(maxEndReportDelay)
	for _, run := range runs {
		if b := w.crashingSends[run.ID]; b != nil && run.Began.After(settled) && !b.faultTimes.overlaps(ends[0], run.Began) {
			count++
		}
	}
	return count
}

// countSoundRefused counts the sound streams of the customer that were sent to boxes without a fault
// while requests with a part still came, from soundDelay after its last crash on, and those of them that
// were refused as quarantined.
func (w *world) countSoundRefused(part string, runs []standin.Run) (refused, sent int) {
	last := slices.MaxFunc(append(crashTimes(runs), runs[0].Began), time.Time.Compare)
	from, until := last.Add(soundDelay), w.crashingUntil[part]
	for i := range w.outcomes {
		o := &w.outcomes[i]
		streams := o.kind == standin.Stream || o.kind == standin.ResumableStream
		if !streams || o.customer != 0 || o.sent.Before(from) || o.sent.After(until) || o.box.faultTimes.overlaps(last, o.ended) {
			continue
		}
		sent++
		if o.status == fasthttp.StatusServiceUnavailable && strings.Contains(o.body, "quarantined") {
			refused++
		}
	}
	return refused, sent
}
