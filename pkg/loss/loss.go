package loss

import (
	"strings"
	"time"
)

// Outcome classifies a request that was not served as its caller wanted.
type Outcome string

const (
	// Refused requests did not run, and their callers got a delay after which
	// to retry.
	Refused Outcome = "refused"
	// Failed requests ended with an error of the router or of an endpoint.
	Failed Outcome = "failed"
	// Cut responses ended before they were complete.
	Cut Outcome = "cut"
	// Late responses were complete, but missed their route's latency target.
	Late Outcome = "late"
)

// Loss is one request that was not served as its caller wanted.
type Loss struct {
	Outcome
	Request  string
	Customer string
	Route    string
	Endpoint string
	Box      string
	Time     time.Time
	// Cause is the cause that the log line states, or UnknownCause.
	Cause string
}

// UnknownCause is the cause of losses whose log line states none.
const UnknownCause = "cause unknown"

// The log events that may report a loss.
const (
	eventRefused       = "request refused"
	eventCut           = "stream cut"
	eventAnswered      = "stream answered"
	eventEndpointError = "endpoint's error passed on"
)

// refusalStatuses are the HTTP statuses that guarantee that the request did not
// run.
var refusalStatuses = map[string]bool{"408": true, "421": true, "429": true, "503": true}

// Classify returns the loss that a line reports. It returns false if the line
// reports none, for example if the request was served well.
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

// framingClose is the framing of responses that end with their connection.
const framingClose = "Close"

func cutCause(line *Line) string {
	switch {
	case line.Fields["CallerGone"] == "true":
		return "the caller went away"
	case line.Fields["Cause"] != "":
		return line.Fields["Cause"]
	case line.Fields["error"] != "" && line.Fields["Framing"] == framingClose:
		return "the endpoint broke off, without a length or chunks: " + innermostError(line.Fields["error"])
	case line.Fields["error"] != "":
		return "the endpoint broke off: " + innermostError(line.Fields["error"])
	default:
		return ""
	}
}

// innermostError returns the innermost of wrapped errors; the outer ones contain
// addresses, which would split up a cause.
func innermostError(text string) string {
	if at := strings.LastIndex(text, ": "); at >= 0 {
		return text[at+2:]
	}
	return text
}

// lateCause determines which part of a late response took longest.
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
