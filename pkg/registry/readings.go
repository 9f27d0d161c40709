package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
)

// Reason is why all endpoints are read, and not what changed of them.
type Reason string

// The reasons.
const (
	// AtStart is for a box that knows nothing yet.
	AtStart Reason = "start"
	// AfterFailure is for one whose reading before failed.
	AfterFailure Reason = "failure"
	// WithoutHistory is for one to which the store can not tell what changed.
	WithoutHistory Reason = "history"
	// Divergent is for one that knows as much as another box, and other endpoints.
	Divergent Reason = "divergence"
)

// noteWhole tells that a reading of all endpoints begins.
func (r *Registry) noteWhole(since epoch.Version, failures int) {
	why := AtStart
	switch {
	case failures > 0:
		why = AfterFailure
	case r.isDivergent(time.Now()):
		why = Divergent
	case since > 0:
		why = WithoutHistory
	}
	turn, ahead := 0, 0
	if r.Turn != nil {
		turn = r.Turn()
	}
	if r.Ahead != nil {
		ahead = r.Ahead()
	}
	r.Log.Info("reading all endpoints",
		zap.String("Why", string(why)),
		zap.Stringer("Since", since),
		zap.Int("Turn", turn),
		zap.Int("Ahead", ahead))
	if r.ReadingWhole != nil {
		r.ReadingWhole(why)
	}
}
