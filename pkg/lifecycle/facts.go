// Package lifecycle tells what may be sent to an endpoint now, by what is known of its
// life: when it started, whether it leaves, whether its availability zone is evacuated,
// and until when it is cold. It is pure: the time is an argument.
package lifecycle

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Facts are what an endpoint and the operator tell. They hold for one start of the
// endpoint, and are replaced as a whole by newer ones.
type Facts struct {
	// Born tells the starts under one ID apart: a later one has a higher number. It is
	// the endpoint's own clock, in Unix milliseconds, and is only compared. 0 means that
	// it does not tell.
	Born int64
	// Leaving endpoints get no new work.
	Leaving bool
	// Evacuated endpoints get nothing while the operator's order for their availability
	// zone holds.
	Evacuated bool
	// ColdUntil is when it is warm by its own word; zero where it says that it is.
	ColdUntil time.Time
}

// Admits tells whether anything may be sent.
func (f *Facts) Admits() bool { return !f.Leaving && !f.Evacuated }

// Supersedes tells whether the facts are of a later start than others of the same ID.
// Where either does not tell, they count as of the same one.
func (f *Facts) Supersedes(other *Facts) bool {
	return f.Born != 0 && other.Born != 0 && f.Born > other.Born
}

// Outdated tells whether the facts are of an earlier start than others of the same ID.
func (f *Facts) Outdated(other *Facts) bool { return other.Supersedes(f) }

// MarshalLogObject logs what is not as usual.
func (f *Facts) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddInt64("Born", f.Born)
	to.AddBool("Leaving", f.Leaving)
	to.AddBool("Evacuated", f.Evacuated)
	if !f.ColdUntil.IsZero() {
		to.AddTime("ColdUntil", f.ColdUntil)
	}
	return nil
}
