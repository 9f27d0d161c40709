package loss

import (
	"strings"
	"time"
)

// Outcome is what became of a request that was not served as its caller wanted.
type Outcome string

const (
	// Refused requests did not run, and were told when to come back.
	Refused Outcome = "refused"
	// Failed requests ended with an error, of ours or of an endpoint's own.
	Failed Outcome = "failed"
	// Cut answers ended before their time.
	Cut Outcome = "cut"
	// Late answers were whole, and later than their route aims for.
	Late Outcome = "late"
)

// Loss is one such request.
type Loss struct {
	Outcome
	Request  string
	Customer string
	Route    string
	Endpoint string
	Box      string
	Time     time.Time
	// Cause is what the deciding line states; UnknownCause where it does not.
	Cause string
}

// UnknownCause marks losses whose line does not say why.
const UnknownCause = "cause unknown"

// The events of a log that end a request otherwise than well.
const (
	eventRefused       = "request refused"
	eventCut           = "stream cut"
	eventAnswered      = "stream answered"
	eventEndpointError = "endpoint's error passed on"
)

// statusUnavailable and its like promise that the request did not run.
var refusalStatuses = map[string]bool{"408": true, "421": true, "429": true, "503": true}

// Of tells what a line says of the end of a request; false where it says nothing, or
// that it was served well.
func Classify(line *Line) (loss Loss, ok bool) {
	f := line.Fields
	loss = Loss{
		Request:  f["Request"],
		Customer: f["Customer"],
		Route:    f["Route"],
		Endpoint: f["Endpoint"],
		Box:      line.Box,
		Time:     line.Time,
	}
	switch f["Event"] {
	case eventRefused:
		loss.Outcome, loss.Cause = refusal(line)
	case eventCut:
		loss.Outcome, loss.Cause = Cut, cutCause(line)
	case eventEndpointError:
		loss.Outcome, loss.Cause = Failed, "the endpoint answered with status "+f["Status"]
	case eventAnswered:
		loss.Outcome, loss.Cause = Late, lateCause(line)
		ok = f["Late"] == "true"
		return loss, ok
	default:
		return loss, false
	}
	if loss.Cause == "" {
		loss.Cause = UnknownCause
	}
	return loss, true
}

func refusal(line *Line) (Outcome, string) {
	cause, by, _ := strings.Cut(line.Fields["Reason"], ", decided by ")
	if cause == "" {
		cause = line.Fields["Code"]
	}
	if line.Fields["Attempts"] != "0" && by == "" {
		cause += " (after an attempt)"
	}
	if refusalStatuses[line.Fields["Status"]] {
		return Refused, cause
	}
	return Failed, cause
}

func cutCause(line *Line) string {
	switch {
	case line.Fields["CallerGone"] == "true":
		return "the caller went away"
	case line.Fields["Cause"] != "":
		return line.Fields["Cause"]
	case line.Fields["error"] != "":
		return "the endpoint broke off: " + innermostError(line.Fields["error"])
	default:
		return ""
	}
}

// lastPart is what an error wraps innermost, as the rest names addresses.
func innermostError(text string) string {
	if at := strings.LastIndex(text, ": "); at >= 0 {
		return text[at+2:]
	}
	return text
}

// lateCause tells which part of a late answer took longest.
func lateCause(line *Line) string {
	first, granted := line.duration("FirstAfter"), line.duration("GrantedAfter")
	predicted := line.duration("Wait") + line.duration("Read")
	switch firstAfterGrant := first - granted; {
	case line.duration("Pause") > first:
		return "a pause between events"
	case granted > firstAfterGrant:
		return "waited for an engine"
	case predicted > firstAfterGrant/2 && line.duration("Read") > line.duration("Wait"):
		return "reading its own prompt took long"
	case predicted > firstAfterGrant/2:
		return "the engine had others to read first"
	default:
		return "the first event came later than predicted"
	}
}
