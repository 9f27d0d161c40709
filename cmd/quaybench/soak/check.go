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
	leavingBound       = 4 * time.Second
	configurationBound = 4 * time.Second
	// stopJudged is how long into a planned stop requests are taken that have to
	// be answered; later ones may not have the time.
	stopJudged = 2 * time.Second
	// servedLeast is the part of the requests that has to be served again once all
	// faults have ended: what is left are drawn refusals of a busy machine.
	servedLeast = 0.8
	// mostBroken bounds the lines of a verdict.
	mostBroken = 20
)

// check holds what callers saw against what ran. Calm is when service has to be
// back.
func (w *world) check(calm time.Time) (broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string][]standin.Run{}
	for _, run := range w.truth.All() {
		runs[run.ID] = append(runs[run.ID], run)
	}
	for i := range w.outcomes {
		got := &w.outcomes[i]
		for _, problem := range got.problems(runs[got.id]) {
			broken = append(broken, got.describe(problem))
		}
		if problem := w.cutByStop(got, runs[got.id]); problem != "" {
			broken = append(broken, got.describe(problem))
		}
	}
	broken = append(broken, w.checkLeaving(runs)...)
	broken = append(broken, w.checkConfigurations()...)
	broken = append(broken, w.checkDeadly()...)
	broken = append(broken, w.checkWords(w.truth.Arrivals())...)
	for _, b := range w.boxes {
		broken = append(broken, checkExplained(w.outcomes, b)...)
	}
	broken = append(broken, checkService(w.outcomes, w.boxes, calm)...)
	if len(broken) > mostBroken {
		broken = append(broken[:mostBroken], fmt.Sprintf("and %d more", len(broken)-mostBroken))
	}
	return broken
}

func (o *outcome) describe(problem string) string {
	return fmt.Sprintf("%s %s at %s: %s (status %d, error %v)", o.id, o.path, o.box.Name, problem, o.status, o.err)
}

// problems are the promises of one request that were not kept.
func (o *outcome) problems(runs []standin.Run) (problems []string) {
	if o.err == nil && o.status == fasthttp.StatusOK && o.body != o.whole() {
		problems = append(problems, fmt.Sprintf("its answer is not the whole one to it: %d bytes of %d, %q at the end", len(o.body), len(o.whole()), ending(o.body)))
	}
	if o.answered != "" && o.answered != o.id {
		problems = append(problems, "it got the answer of "+o.answered)
	}
	if o.err == nil && saysNotRun(o.status) && len(runs) > 0 {
		problems = append(problems, "it was said not to have run, and ran at "+runs[0].Server)
	}
	if (o.kind == standin.Stream || o.kind == standin.Booking) && len(runs) > 1 {
		problems = append(problems, fmt.Sprintf("it must not be repeated, and ran %d times", len(runs)))
	}
	return problems
}

// ending is the last of a text, for a verdict.
func ending(text string) string {
	const most = 60
	return text[max(0, len(text)-most):]
}

// saysNotRun tells whether a status is a promise that nothing ran and will.
func saysNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable,
		fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// whole is the body that the stand-ins answer a request with.
func (o *outcome) whole() string {
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
	if w.troubles.touch(o.sent, o.ended) || o.box.troublesDuring(o.life, o.sent, o.ended) {
		return ""
	}
	for _, stop := range o.box.stops {
		if stop.life == o.life && o.ended.After(stop.began) && o.sent.Before(stop.began.Add(stopJudged)) {
			return "its answer was cut by a planned stop"
		}
	}
	return ""
}

// troublesDuring tells of faults of a box in one of its lives. The start of the
// next life is none of this one's.
func (b *box) troublesDuring(life int, from, to time.Time) bool {
	if b.lives > life {
		for _, stop := range b.stops {
			if stop.life == life {
				to = minTime(to, stop.began.Add(longestStop))
			}
		}
	}
	return b.troubles.touch(from, to) && !b.onlyRestarted(life, from, to)
}

// onlyRestarted tells that nothing but the start after a planned stop falls into
// a time.
func (b *box) onlyRestarted(life int, from, to time.Time) bool {
	stopped := slices.IndexFunc(b.stops, func(s stop) bool { return s.life == life })
	if stopped < 0 {
		return false
	}
	began := b.stops[stopped].began
	for _, one := range b.troubles {
		if (spans{one}).touch(from, to) && !one.from.After(began) {
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
func (w *world) checkLeaving(runs map[string][]standin.Run) (broken []string) {
	left := map[string]time.Time{}
	for _, s := range w.servers {
		if !s.left.IsZero() {
			left[s.ID] = s.left
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
			calm := o.box.troubles.lastEnd(w.troubles.lastEnd(at, run.Began), run.Began)
			if run.Began.Before(calm.Add(leavingBound)) {
				continue
			}
			broken = append(broken, o.describe(fmt.Sprintf("it ran at %s, which had left %s before", run.Server, run.Began.Sub(at))))
		}
	}
	return broken
}

// checkConfigurations looks for boxes that go back to an older configuration, or
// are late with a new one.
func (w *world) checkConfigurations() (broken []string) {
	type life struct {
		box    *box
		number int
	}
	newest := map[life]outcome{}
	ordered := slices.Clone(w.outcomes)
	slices.SortFunc(ordered, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for i := range ordered {
		o := &ordered[i]
		if o.probes == 0 || o.err != nil || o.fromUnconfigured() {
			continue
		}
		key := life{o.box, o.life}
		if o.status != fasthttp.StatusNotFound {
			if o.probes > newest[key].probes {
				newest[key] = *o
			}
			continue
		}
		if seen := newest[key]; o.probes <= seen.probes && seen.ended.Before(o.sent) && o.box.lives == o.life {
			broken = append(broken, o.describe(fmt.Sprintf("version %d was in force before", seen.probes)))
		}
		accepted := w.accepted[o.probes]
		late := o.sent.Sub(accepted) > configurationBound
		if late && !w.troubles.touch(accepted, o.ended) && !o.box.troubles.touch(accepted, o.ended) {
			broken = append(broken, o.describe(fmt.Sprintf("version %d was accepted %s before", o.probes, o.sent.Sub(accepted))))
		}
	}
	return broken
}

// fromUnconfigured tells of a refusal by a box that has just started and has no configuration
// yet: it says nothing of any route.
func (o *outcome) fromUnconfigured() bool {
	return o.status == fasthttp.StatusServiceUnavailable && strings.Contains(o.body, "no configuration yet")
}

// logSlack is how long a line may wait in a box's buffer; a kill loses it.
const logSlack = time.Second

// checkExplained looks in a box's log for a line of each request that failed.
func checkExplained(outcomes []outcome, b *box) (broken []string) {
	explained, err := loggedRequests(b.LogFile)
	if err != nil {
		return []string{err.Error()}
	}
	for i := range outcomes {
		o := &outcomes[i]
		failed := o.err == nil && o.status >= fasthttp.StatusTooManyRequests
		if o.box != b || !failed || explained[o.id] || b.troubles.touch(o.sent, o.ended.Add(logSlack)) {
			continue
		}
		broken = append(broken, o.describe("no line of the log tells why"))
	}
	return broken
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
func checkService(outcomes []outcome, boxes []*box, calm time.Time) (broken []string) {
	type count struct{ sent, served int }
	customers, perBox := map[int]count{}, map[*box]count{}
	for i := range outcomes {
		o := &outcomes[i]
		if o.sent.Before(calm) {
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
		if float64(c.served) < servedLeast*float64(c.sent) {
			broken = append(broken, fmt.Sprintf("customer %d is served %d of %d after the last fault", customer, c.served, c.sent))
		}
	}
	for _, b := range boxes {
		if c := perBox[b]; c.sent > 0 && c.served == 0 {
			broken = append(broken, fmt.Sprintf("%s serves none of %d after the last fault", b.Name, c.sent))
		}
	}
	if len(customers) == 0 {
		broken = append(broken, "no request was sent after the last fault")
	}
	return broken
}
