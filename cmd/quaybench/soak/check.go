package soak

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/platform/standin"
)

// The bounds of what is checked by time.
const (
	// leavingBound is how long after it said that it leaves a server may get new
	// work, and configurationBound how long a new configuration may take; each is
	// the users' 2 s and as much again for a busy machine.
	maxLeavingDelay       = 4 * time.Second
	maxConfigurationDelay = 4 * time.Second
	// stopJudged is how long into a planned stop requests are taken that have to
	// be answered; later ones may not have the time.
	stopCheckWindow = 2 * time.Second
	// servedLeast is the part of the requests that has to be served again once all
	// faults have ended: what is left are drawn refusals of a busy machine.
	minServedFraction = 0.8
	// mostBroken bounds the lines of a verdict.
	maxViolations = 20
)

// check holds what callers saw against what ran. Calm is when service has to be
// back.
func (w *world) check(calmFrom time.Time) (violations []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string][]standin.Run{}
	for _, run := range w.truth.AllRuns() {
		runs[run.ID] = append(runs[run.ID], run)
	}
	for i := range w.outcomes {
		got := &w.outcomes[i]
		for _, violation := range got.violations(runs[got.id]) {
			violations = append(violations, got.describe(violation))
		}
		if violation := w.cutByStop(got, runs[got.id]); violation != "" {
			violations = append(violations, got.describe(violation))
		}
	}
	violations = append(violations, w.checkLeaving(runs)...)
	violations = append(violations, w.checkConfigurations()...)
	violations = append(violations, w.checkCrashes()...)
	violations = append(violations, w.checkSelfReports(w.truth.Arrivals())...)
	for _, b := range w.boxes {
		violations = append(violations, checkLogged(w.outcomes, b)...)
	}
	violations = append(violations, checkService(w.outcomes, w.boxes, calmFrom)...)
	if len(violations) > maxViolations {
		violations = append(violations[:maxViolations], fmt.Sprintf("and %d more", len(violations)-maxViolations))
	}
	return violations
}

func (o *outcome) describe(violation string) string {
	return fmt.Sprintf("%s %s at %s: %s (status %d, error %v)", o.id, o.path, o.box.Name, violation, o.status, o.err)
}

// problems are the promises of one request that were not kept.
func (o *outcome) violations(runs []standin.Run) (violations []string) {
	if o.err == nil && o.status == fasthttp.StatusOK && o.body != o.expectedBody() {
		violations = append(violations, fmt.Sprintf("its answer is not the whole one to it: %d bytes of %d, %q at the end", len(o.body), len(o.expectedBody()), tail(o.body)))
	}
	if o.answeredID != "" && o.answeredID != o.id {
		violations = append(violations, "it got the answer of "+o.answeredID)
	}
	if o.err == nil && meansNotRun(o.status) && len(runs) > 0 {
		violations = append(violations, "it was said not to have run, and ran at "+runs[0].Server)
	}
	if (o.kind == standin.Stream || o.kind == standin.Booking) && len(runs) > 1 {
		violations = append(violations, fmt.Sprintf("it must not be repeated, and ran %d times", len(runs)))
	}
	return violations
}

// ending is the last of a text, for a verdict.
func tail(text string) string {
	const maxBytes = 60
	return text[max(0, len(text)-maxBytes):]
}

// saysNotRun tells whether a status is a promise that nothing ran and will.
func meansNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable,
		fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// whole is the body that the stand-ins answer a request with.
func (o *outcome) expectedBody() string {
	if o.kind == standin.Booking || o.kind == standin.Lookup {
		return "answer to " + o.id
	}
	var body strings.Builder
	for number := 1; number <= streamEvents; number++ {
		body.WriteString(standin.Event(o.id, number))
	}
	return body.String()
}

// cutByStop tells of a request that ran, and whose answer a planned stop cut.
func (w *world) cutByStop(o *outcome, runs []standin.Run) string {
	if o.err == nil || len(runs) == 0 {
		return ""
	}
	if w.sharedFaultTimes.overlaps(o.sent, o.ended) || o.box.hadFault(o.incarnation, o.sent, o.ended) {
		return ""
	}
	for _, stop := range o.box.stops {
		if stop.incarnation == o.incarnation && o.ended.After(stop.began) && o.sent.Before(stop.began.Add(stopCheckWindow)) {
			return "its answer was cut by a planned stop"
		}
	}
	return ""
}

// troublesDuring tells of faults of a box in one of its lives. The start of the
// next life is none of this one's.
func (b *box) hadFault(incarnation int, from, to time.Time) bool {
	if b.starts > incarnation {
		for _, stop := range b.stops {
			if stop.incarnation == incarnation {
				to = minTime(to, stop.began.Add(maxStopDuration))
			}
		}
	}
	return b.faultTimes.overlaps(from, to) && !b.onlyRestarted(incarnation, from, to)
}

// onlyRestarted tells that nothing but the start after a planned stop falls into
// a time.
func (b *box) onlyRestarted(incarnation int, from, to time.Time) bool {
	stopped := slices.IndexFunc(b.stops, func(s stop) bool { return s.incarnation == incarnation })
	if stopped < 0 {
		return false
	}
	began := b.stops[stopped].began
	for _, one := range b.faultTimes {
		if (spans{one}).overlaps(from, to) && !one.from.After(began) {
			return false
		}
	}
	return true
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkLeaving looks for new work at servers that had said that they leave.
func (w *world) checkLeaving(runs map[string][]standin.Run) (violations []string) {
	left := map[string]time.Time{}
	for _, s := range w.servers {
		if !s.leftAt.IsZero() {
			left[s.ID] = s.leftAt
		}
	}
	for i := range w.outcomes {
		o := &w.outcomes[i]
		for _, run := range runs[o.id] {
			at, leaving := left[run.Server]
			if !leaving {
				continue
			}
			// A box that was cut off may not know, until its trouble is over.
			settled := o.box.faultTimes.lastEnd(w.sharedFaultTimes.lastEnd(at, run.Began), run.Began)
			if run.Began.Before(settled.Add(maxLeavingDelay)) {
				continue
			}
			violations = append(violations, o.describe(fmt.Sprintf("it ran at %s, which had left %s before", run.Server, run.Began.Sub(at))))
		}
	}
	return violations
}

// checkConfigurations looks for boxes that go back to an older configuration, or
// are late with a new one.
func (w *world) checkConfigurations() (violations []string) {
	type incarnation struct {
		box    *box
		number int
	}
	newest := map[incarnation]outcome{}
	ordered := slices.Clone(w.outcomes)
	slices.SortFunc(ordered, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for i := range ordered {
		o := &ordered[i]
		if o.probedVersion == 0 || o.err != nil || o.isFromUnconfigured() {
			continue
		}
		key := incarnation{o.box, o.incarnation}
		if o.status != fasthttp.StatusNotFound {
			if o.probedVersion > newest[key].probedVersion {
				newest[key] = *o
			}
			continue
		}
		if seen := newest[key]; o.probedVersion <= seen.probedVersion && seen.ended.Before(o.sent) && o.box.starts == o.incarnation {
			violations = append(violations, o.describe(fmt.Sprintf("version %d was in force before", seen.probedVersion)))
		}
		accepted := w.acceptedAt[o.probedVersion]
		late := o.sent.Sub(accepted) > maxConfigurationDelay
		if late && !w.sharedFaultTimes.overlaps(accepted, o.ended) && !o.box.faultTimes.overlaps(accepted, o.ended) {
			violations = append(violations, o.describe(fmt.Sprintf("version %d was accepted %s before", o.probedVersion, o.sent.Sub(accepted))))
		}
	}
	return violations
}

// fromUnconfigured tells of a refusal by a box that has just started and has no configuration
// yet: it says nothing of any route.
func (o *outcome) isFromUnconfigured() bool {
	return o.status == fasthttp.StatusServiceUnavailable && strings.Contains(o.body, "no configuration yet")
}

// logSlack is how long a line may wait in a box's buffer; a kill loses it.
const maxLogDelay = time.Second

// checkExplained looks in a box's log for a line of each request that failed.
func checkLogged(outcomes []outcome, b *box) (violations []string) {
	logged, err := loggedRequests(b.LogFile)
	if err != nil {
		return []string{err.Error()}
	}
	for i := range outcomes {
		o := &outcomes[i]
		failed := o.err == nil && o.status >= fasthttp.StatusTooManyRequests
		if o.box != b || !failed || logged[o.id] || b.faultTimes.overlaps(o.sent, o.ended.Add(maxLogDelay)) {
			continue
		}
		violations = append(violations, o.describe("no line of the log tells why"))
	}
	return violations
}

// requestField finds the request of a line of the log.
var requestField = regexp.MustCompile(`\bRequest=(\S+)`)

func loggedRequests(file string) (ids map[string]bool, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ids = map[string]bool{}
	for _, match := range requestField.FindAllSubmatch(text, -1) {
		ids[string(match[1])] = true
	}
	return ids, nil
}

// checkService holds that every box and every customer is served again.
func checkService(outcomes []outcome, boxes []*box, calmFrom time.Time) (violations []string) {
	type count struct{ sent, served int }
	customers, perBox := map[int]count{}, map[*box]count{}
	for i := range outcomes {
		o := &outcomes[i]
		if o.sent.Before(calmFrom) {
			continue
		}
		served := 0
		if o.err == nil && o.status == fasthttp.StatusOK {
			served = 1
		}
		c, b := customers[o.customer], perBox[o.box]
		customers[o.customer] = count{c.sent + 1, c.served + served}
		perBox[o.box] = count{b.sent + 1, b.served + served}
	}
	for customer, c := range customers {
		if float64(c.served) < minServedFraction*float64(c.sent) {
			violations = append(violations, fmt.Sprintf("customer %d is served %d of %d after the last fault", customer, c.served, c.sent))
		}
	}
	for _, b := range boxes {
		if c := perBox[b]; c.sent > 0 && c.served == 0 {
			violations = append(violations, fmt.Sprintf("%s serves none of %d after the last fault", b.Name, c.sent))
		}
	}
	if len(customers) == 0 {
		violations = append(violations, "no request was sent after the last fault")
	}
	return violations
}
