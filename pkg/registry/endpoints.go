package registry

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// fromStore names the store as the source of a change. Other sources are names of boxes.
const fromStore = "store"

// applyRead merges the response to a read of the endpoints. The read started when this box knew all
// changes up to since; version is that of the response. full means that the entries are all that
// the store lists, not only the changes. It returns how many entries were ignored as outdated
// though they differ from the known ones.
func (r *Registry) applyRead(entries []Entry, since, version epoch.Version, full bool, now time.Time) (ignoredOutdated int) {
	r.update(now, func() (changed bool) {
		r.ignoredOutdated = 0
		defer func() { ignoredOutdated = r.ignoredOutdated }()
		if r.isStaleRead(since, version) {
			return false
		}
		r.recordRead(version, now)
		if full {
			entries = append(entries, r.missingEntries(entries, version)...)
		}
		changed = r.mergeAll(entries, fromStore, now)
		r.knowledge.RecordPoll(version, full)
		if full {
			r.divergence.recordFullRead(changed, now)
		}
		return changed
	})
	return ignoredOutdated
}

// isStaleRead reports whether peers have sent newer state than a response of the store holds since
// the call was made. Such a response may list an endpoint whose removal is before the current
// Position, and the removal would not be read again. The lock is held.
func (r *Registry) isStaleRead(since, version epoch.Version) bool {
	known := r.knowledge.Known
	if known <= since || known <= version {
		return false
	}
	r.Log.Info("answer of the store is older than what is known",
		zap.Stringer("Since", since),
		zap.Stringer("Version", version),
		zap.Stringer("Known", known))
	return true
}

// update changes the entries and publishes the directory if the change affects it.
func (r *Registry) update(now time.Time, change func() (changed bool)) {
	r.mu.Lock()
	changed := change()
	changed = r.endGracePeriods(now) || changed
	changed = r.endHolds(now) || changed
	if changed || r.directory.Load() == nil {
		r.publish()
	}
	r.mu.Unlock()
	if changed {
		r.Changed()
	}
}

// missingEntries returns removals of the known entries that a full read as of a version does not
// list.
func (r *Registry) missingEntries(entries []Entry, version epoch.Version) []Entry {
	present := make(map[string]bool, len(entries))
	for i := range entries {
		present[entries[i].ID] = true
	}
	var gone []Entry
	r.entries.each(func(known *Entry) {
		if !present[known.ID] && (!known.Gone || known.Held) && known.GraceEnd.IsZero() {
			removed := *known
			removed.Gone, removed.Held, removed.Version = true, false, version
			gone = append(gone, removed)
		}
	})
	return gone
}

// maxLoggedEntries bounds the entries of a merge that are logged one by one. Larger merges, as
// after a start, are logged in one line.
const maxLoggedEntries = 64

// mergeAll merges entries and reports whether the directory changes. The lock is held.
func (r *Registry) mergeAll(entries []Entry, from string, now time.Time) (changed bool) {
	r.summaryOnly = len(entries) > maxLoggedEntries
	for i := range entries {
		changed = r.merge(entries[i], from, now) || changed
	}
	if r.summaryOnly {
		r.Log.Info("many endpoints known", zap.Int("Entries", len(entries)), zap.String("From", from))
		r.summaryOnly = false
	}
	return changed
}

func (r *Registry) logKnown(entry *Entry, from string) {
	if r.summaryOnly {
		return
	}
	r.Log.Info("endpoint known",
		zap.String("Endpoint", entry.ID),
		zap.String("Service", entry.Service),
		zap.String("Address", entry.Address),
		zap.Inline(&entry.Facts),
		zap.Stringer("Version", entry.Version),
		zap.String("From", from))
}

// put stores an entry. The lock is held.
func (r *Registry) put(entry Entry) {
	before, _ := r.entries.lookup(entry.ID)
	r.digest ^= digestOf(before) ^ digestOf(&entry)
	r.entries.put(entry)
	r.newestVersion = max(r.newestVersion, entry.Version)
	r.changedIDs = append(r.changedIDs, entry.ID)
}

// merge takes one entry if it is newer than the known one and reports whether the directory
// changes. The lock is held.
func (r *Registry) merge(entry Entry, from string, now time.Time) bool {
	entry.Hash = xxhash.Sum64String(entry.ID)
	known, exists := r.entries.find(entry.ID)
	if exists && entry.Gone && entry.Version == known.Version && !known.GraceEnd.IsZero() {
		return r.remove(known, entry, from, now)
	}
	// All changes up to Position are known: an entry from a peer of such a version that is not in
	// the table was replaced by a later one.
	replaced := from != fromStore && !entry.Gone && entry.Version <= r.knowledge.Known
	if replaced || (exists && entry.Version <= known.Version) {
		if entry.Leaving && entry.Version.HasEarlierEpochThan(known.Version) {
			return r.addDeparture(lifecycle.Departure{Endpoint: entry.ID, Born: entry.Born}, from, now)
		}
		if entry.Gone != known.Gone || entry.Leaving != known.Leaving || entry.Born != known.Born {
			r.ignoredOutdated++
		}
		return false
	}
	if entry.Problem != nil {
		return r.reject(known, entry)
	}
	if entry.Gone && !entry.Held {
		return r.remove(known, entry, from, now)
	}
	if !entry.GraceEnd.IsZero() {
		entry.GraceEnd = r.reportedGraceEnd(entry.GraceEnd, now)
		return r.startGrace(known, entry, from, now)
	}
	if exists && entry.IsOutdatedBy(&known.Facts) {
		r.Log.Info("entry of an earlier start passed over",
			zap.String("Endpoint", entry.ID),
			zap.Stringer("Version", entry.Version),
			zap.Int64("Born", entry.Born),
			zap.Int64("KnownBorn", known.Born))
		return false
	}
	if exists {
		r.carryOver(&entry, &known, now)
	}
	if entry.Held {
		r.hold(entry, now)
		return exists && !known.Gone
	}
	if entry.ColdFor > 0 {
		entry.ColdUntil = now.Add(entry.ColdFor)
	}
	r.put(entry)
	delete(r.held, entry.ID)
	delete(r.inGrace, entry.ID)
	if exists && !known.Gone && entry.Endpoint == known.Endpoint {
		return false
	}
	r.logKnown(&entry, from)
	return true
}

// reject handles a malformed entry. Another writer has written it, and the endpoint is not used
// until the next valid one.
func (r *Registry) reject(known, entry Entry) bool {
	r.Log.Error("entry of an endpoint not taken",
		zap.String("Endpoint", entry.ID),
		zap.Stringer("Version", entry.Version),
		zap.Error(entry.Problem))
	used := known.ID != "" && !known.Gone
	known.ID = entry.ID
	r.markGone(known, entry.Version)
	return used
}

// remove handles the removal of an entry. The box that read it from the store decides whether an
// outage of the store may be the cause, and sends the result to the others.
func (r *Registry) remove(known, entry Entry, from string, now time.Time) bool {
	if from == fromStore && known.ID != "" && !known.Gone && !r.isLeaving(&known.Endpoint) && now.Sub(r.failedAt) < outageWindow {
		entry.GraceEnd = r.graceEnd()
		return r.startGrace(known, entry, from, now)
	}
	if known.ID == "" {
		known.ID = entry.ID
	}
	wasGone := known.Gone
	r.markGone(known, entry.Version)
	if !wasGone {
		r.Log.Info("endpoint gone",
			zap.String("Endpoint", entry.ID),
			zap.Stringer("Version", entry.Version),
			zap.String("From", from))
	}
	return !wasGone
}

// markGone marks an entry as removed as of a version.
func (r *Registry) markGone(known Entry, version epoch.Version) {
	known.Version = version
	known.Gone, known.Held, known.GraceEnd = true, false, time.Time{}
	r.put(known)
	delete(r.inGrace, known.ID)
	delete(r.held, known.ID)
}

// publish updates the directory from the entries that changed. The lock is held.
func (r *Registry) publish() {
	wanted := make([]route.Change, 0, len(r.changedIDs))
	for _, id := range r.changedIDs {
		wanted = append(wanted, r.directoryChange(id))
	}
	r.changedIDs = nil
	directory, changes := r.directory.Load().With(wanted)
	r.pendingChanges = append(r.pendingChanges, changes...)
	r.directory.Store(directory)
}

// directoryChange returns the state of an endpoint for the directory. The lock is held.
func (r *Registry) directoryChange(id string) route.Change {
	entry, _ := r.entries.lookup(id)
	if entry == nil || entry.Gone {
		return route.Change{Before: &route.Endpoint{ID: id}}
	}
	endpoint := &entry.Endpoint
	evacuated, leaving := r.orders.Load().IsEvacuated(endpoint.Zone), r.isLeaving(endpoint)
	if evacuated != endpoint.Evacuated || leaving != endpoint.Leaving {
		changed := *endpoint
		changed.Evacuated, changed.Leaving = evacuated, leaving
		endpoint = &changed
	}
	return route.Change{After: endpoint}
}

// TakeChanges returns the changes of the directory since the last call, in order, and the
// directory with these changes applied.
func (r *Registry) TakeChanges() (changes []route.Change, directory *route.Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, r.pendingChanges = r.pendingChanges, nil
	return changes, r.directory.Load()
}

// Knowledge returns the versions up to which this box knows the endpoints, with its digest.
func (r *Registry) Knowledge() route.Knowledge {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.knowledge
	known.Digest = r.reportedDigest()
	return known
}

// NewestVersion returns the highest version of an entry.
func (r *Registry) NewestVersion() epoch.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestVersion
}

// maxPageEntries bounds the entries that are sent at once. All neighbours may send a request at the
// same moment, and each response takes memory.
const maxPageEntries = 512

// EntriesSince returns the first entries that changed after a version, for a box that knows all
// changes up to it, and the knowledge of a box that has received them. If more is set, the
// remaining entries follow after the version of the last one returned, and the knowledge applies
// only once all were received. Callers must not modify the entries.
func (r *Registry) EntriesSince(version epoch.Version) (entries []*Entry, knowledge route.Knowledge, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, more = r.entries.since(version, maxPageEntries)
	return entries, r.knowledge, more
}

// OfferEntries merges what a peer sent: all entries that changed after this box's Position. The
// peer may have restarted since it reported its knowledge, so that it can no longer supply all
// changes.
func (r *Registry) OfferEntries(entries []Entry, knowledge route.Knowledge, from string) {
	now := time.Now()
	polled := false
	r.update(now, func() (changed bool) {
		complete := r.canUpdateFrom(knowledge)
		changed = r.mergeAll(entries, from, now)
		if !complete {
			r.logIncompleteUpdate(knowledge, from)
			r.missing.record(knowledge.Known, r.maxLeavingDelay(), now)
			return changed
		}
		polled = knowledge.Polls > r.knowledge.Polls
		if known := r.knowledge.Known; known.HasEarlierEpochThan(knowledge.Known) && known != 0 {
			r.logRestored(known, knowledge.Known, from)
		}
		r.knowledge.Merge(knowledge)
		return changed
	})
	if polled {
		r.RecordPeerPoll()
	}
}

// logIncompleteUpdate logs that a peer's entries lack changes from before its own state began.
func (r *Registry) logIncompleteUpdate(other route.Knowledge, from string) {
	r.Log.Warn("endpoints taken from a box that can not tell all changes",
		zap.Stringer("Known", r.knowledge.Known),
		zap.Stringer("Base", other.Base),
		zap.Stringer("GapAfter", other.GapAfter),
		zap.Stringer("GapBefore", other.GapBefore),
		zap.String("From", from))
}

// canUpdateFrom reports whether another box knows all changes that this one lacks. Entries of
// versions above the own Position came from boxes that could not supply all changes; the other box
// must know the later changes of these entries as well. The lock is held.
func (r *Registry) canUpdateFrom(other route.Knowledge) bool {
	own := r.knowledge
	if own.Known == 0 || !other.CanUpdate(own) {
		return own.Known == 0
	}
	return r.entries.every(own.Known, func(later *Entry) bool {
		return other.CanUpdate(route.Knowledge{Known: later.Version})
	})
}

// ReceiveKnowledge handles the knowledge that a peer reports and the highest version of its
// entries. If the peer knows a higher version, but no entry changed, this box takes over that
// version and changed is set. If entries changed, shouldFetch is set: they have to be requested
// from the peer. If the peer lacks changes that this box needs, this box has to read the store
// itself, unless another peer sends them in time.
func (r *Registry) ReceiveKnowledge(other route.Knowledge, newest epoch.Version) (changed, shouldFetch bool) {
	r.mu.Lock()
	known, upTo := r.knowledge, r.knowledge.Known
	r.compareDigest(other, time.Now())
	ahead := other.Known > upTo
	switch {
	case ahead && !r.canUpdateFrom(other):
		r.missing.record(other.Known, r.maxLeavingDelay(), time.Now())
	case ahead && (newest > upTo || upTo == 0):
		shouldFetch = true
	default:
		r.knowledge.Merge(other)
	}
	changed = r.knowledge != known
	polled := r.knowledge.Polls > known.Polls
	r.mu.Unlock()
	if polled {
		r.RecordPeerPoll()
	}
	return changed, shouldFetch
}
