// Package lifecycle decides what may be sent to an endpoint now, by the state of its current
// instance: when it started, whether it leaves, whether its availability zone is evacuated,
// and until when it is cold. It has no clock: the time is an argument.
package lifecycle

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Facts are what an endpoint and the operator report. They hold for one instance of the
// endpoint, and are replaced as a whole by newer ones.
type Facts struct {
	// Born distinguishes the instances under one ID: a later one has a higher number. It is
	// the start time by the endpoint's own clock, in Unix milliseconds, and is only compared.
	// 0 means that it is unknown.
	Born int64
	// Leaving endpoints get no new requests.
	Leaving bool
	// Evacuated endpoints get no requests while the operator's order to evacuate their
	// availability zone is in force.
	Evacuated bool
	// ColdUntil is when the endpoint will be warm, as it reports; zero if it reports that it
	// is warm.
	ColdUntil time.Time
}

// Admits reports whether anything may be sent.
func (f *Facts) Admits() bool { return !f.Leaving && !f.Evacuated }

// Supersedes reports whether the facts are of a later instance than others of the same ID. If
// either is unknown, they count as of the same instance.
func (f *Facts) Supersedes(other *Facts) bool {
	return f.Born != 0 && other.Born != 0 && f.Born > other.Born
}

// IsOutdatedBy reports whether other facts of the same ID are of a later instance.
func (f *Facts) IsOutdatedBy(other *Facts) bool { return other.Supersedes(f) }

// MarshalLogObject logs the facts; ColdUntil only if it is set.
func (f *Facts) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddInt64("Born", f.Born)
	to.AddBool("Leaving", f.Leaving)
	to.AddBool("Evacuated", f.Evacuated)
	if !f.ColdUntil.IsZero() {
		to.AddTime("ColdUntil", f.ColdUntil)
	}
	return nil
}
