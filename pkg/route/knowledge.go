package route

import "github.com/quaylead/quaylead/pkg/epoch"

// Knowledge describes how much a box knows of the endpoints that the store lists. All fields
// but Polls and Digest are versions of the store.
type Knowledge struct {
	// Known is the version up to which all changes are known; 0 means none.
	Known epoch.Version
	// Base is the version as of which the endpoints were first known. Removals before Base are
	// not known, so a box that still lists such an endpoint cannot be brought up to date from
	// here.
	Base epoch.Version
	// GapAfter and GapBefore bound the versions between which endpoints may have been added and
	// removed unnoticed, because a full read skipped the changes.
	GapAfter, GapBefore epoch.Version
	// Polls numbers the polls of the store by all boxes. A box that polls counts on from the
	// highest number it has received. Two simultaneous polls may get the same number.
	Polls uint64
	// Digest is a checksum of the endpoints that are listed as of Known. Boxes with the same
	// Known detect by it that their lists differ. 0 means not reported.
	Digest uint64
}

// CanUpdate reports whether the changes known here after other.Known are all that the other
// box lacks.
func (k Knowledge) CanUpdate(other Knowledge) bool {
	if other.Known == 0 {
		return true
	}
	inGap := other.Known > k.GapAfter && other.Known < k.GapBefore
	return other.Known >= k.Base && !inGap
}

// Merge adds the knowledge of another box that can update this one.
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

// RecordPoll adds what a poll of the store returned as of a version. A full read does not show
// which endpoints were added and removed since the last poll.
func (k *Knowledge) RecordPoll(version epoch.Version, full bool) {
	k.Polls++
	if k.Known == 0 {
		k.Base = version
	} else if full && version > k.Known {
		k.addGap(k.Known, version)
	}
	k.Known = max(k.Known, version)
}

// addGap records a gap. Only one gap is stored; a box that knows less than the end of the
// previous gap can no longer be updated from here.
func (k *Knowledge) addGap(after, before epoch.Version) {
	if k.GapBefore > 0 && k.GapBefore != before {
		k.Base = max(k.Base, k.GapBefore)
	}
	k.GapAfter, k.GapBefore = after, before
}
