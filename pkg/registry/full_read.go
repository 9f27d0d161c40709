package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
)

// Reason is why all endpoints are read, and not what changed of them.
type FullReadReason string

// The reasons.
const (
	// AtStart is for a box that knows nothing yet.
	AtStart FullReadReason = "start"
	// AfterFailure is for one whose reading before failed.
	AfterFailure FullReadReason = "failure"
	// WithoutHistory is for one to which the store can not tell what changed.
	WithoutHistory FullReadReason = "history"
	// Divergent is for one that knows as much as another box, and other endpoints.
	Divergent FullReadReason = "divergence"
)

// noteWhole tells that a reading of all endpoints begins.
func (r *Registry) reportFullRead(since epoch.Version, failures int) {
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
	if r.StartRank != nil {
		turn = r.StartRank()
	}
	if r.LiveAhead != nil {
		ahead = r.LiveAhead()
	}
	r.Log.Info("reading all endpoints",
		zap.String("Why", string(why)),
		zap.Stringer("Since", since),
		zap.Int("Turn", turn),
		zap.Int("Ahead", ahead))
	if r.FullReadStarted != nil {
		r.FullReadStarted(why)
	}
}
