package route

import "github.com/quaylead/quaylead/pkg/epoch"

// Knowledge tells how much a box knows of the endpoints that the store lists. All are
// versions of the store, but for Looks.
type Knowledge struct {
	// Known is the version up to which all changes are known; 0 means that nothing is.
	Known epoch.Version
	// Base is the version as of which the endpoints were first known. An endpoint that
	// went before is not known of at all, so who had it can not learn that from here.
	Base epoch.Version
	// GapAfter and GapBefore bound the versions between which endpoints may have come
	// and gone unnoticed, as a whole reading passed over them.
	GapAfter, GapBefore epoch.Version
	// Looks numbers the looks of all boxes at the store: the one that looks counts on
	// from the highest number it has heard. Two that look at once may take the same.
	Polls uint64
	// Digest sums up the endpoints that are listed as of Known, for boxes that know as much to find
	// out that they differ; 0 where it is not told.
	Digest uint64
}

// Serves tells whether what changed here after the other's Known is all that the other
// lacks.
func (k Knowledge) CanUpdate(other Knowledge) bool {
	if other.Known == 0 {
		return true
	}
	inGap := other.Known > k.GapAfter && other.Known < k.GapBefore
	return other.Known >= k.Base && !inGap
}

// Join adds the knowledge of another one that serves this one.
func (k *Knowledge) Merge(other Knowledge) {
	if k.Known == 0 {
		k.Base = other.Base
	}
	if other.GapBefore > k.Known {
		k.addGap(other.GapAfter, other.GapBefore)
	}
	k.Known = max(k.Known, other.Known)
	k.Polls = max(k.Polls, other.Polls)
}

// Read adds what a look at the store told as of a version. A whole look does not tell
// what came and went since the last one.
func (k *Knowledge) RecordPoll(version epoch.Version, full bool) {
	k.Polls++
	if k.Known == 0 {
		k.Base = version
	} else if full && version > k.Known {
		k.addGap(k.Known, version)
	}
	k.Known = max(k.Known, version)
}

// addGap notes a gap. One gap is remembered; who knows less than the end of the one
// before is no longer served.
func (k *Knowledge) addGap(after, before epoch.Version) {
	if k.GapBefore > 0 && k.GapBefore != before {
		k.Base = max(k.Base, k.GapBefore)
	}
	k.GapAfter, k.GapBefore = after, before
}
