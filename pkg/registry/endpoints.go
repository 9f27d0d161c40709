package registry

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// fromStore names the store as the origin of news; others are boxes' names.
const fromStore = "store"

// takeAnswer merges what the store says as of a version, in answer to a call that was made at a
// position. Whole marks that the entries are all there are, and not only those that changed. It
// returns how many were passed over though they differ from what is known.
func (r *Registry) applyRead(entries []Entry, since, version epoch.Version, full bool, now time.Time) (passedOver int) {
	r.update(now, func() (changed bool) {
		r.passedOver = 0
		defer func() { passedOver = r.passedOver }()
		if r.isStaleRead(since, version) {
			return false
		}
		r.recordRead(version, now)
		if full {
			entries = append(entries, r.missingEntries(entries, version)...)
		}
		changed = r.mergeAll(entries, fromStore, now)
		r.knowledge.Read(version, full)
		if full {
			r.divergence.recordFullRead(changed, now)
		}
		return changed
	})
	return passedOver
}

// isOutdated tells whether others have told more than an answer of the store knows, since the call
// was made. It may list an endpoint whose removal is behind the position by now, and would not be
// read any more. The lock is held.
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

// update changes the entries, and publishes them where that matters.
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

// absent makes removals of the entries that a whole reading as of a version no longer
// has.
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

// mostLogged bounds the endpoints that are logged one by one: when many become known at once,
// as at a start, one line tells of all.
const maxLoggedEntries = 64

// mergeAll takes entries, and reports whether any matters to those who choose endpoints. The
// lock is held.
func (r *Registry) mergeAll(entries []Entry, from string, now time.Time) (changed bool) {
	r.quiet = len(entries) > maxLoggedEntries
	for i := range entries {
		changed = r.merge(entries[i], from, now) || changed
	}
	if r.quiet {
		r.Log.Info("many endpoints known", zap.Int("Entries", len(entries)), zap.String("From", from))
		r.quiet = false
	}
	return changed
}

func (r *Registry) logKnown(entry *Entry, from string) {
	if r.quiet {
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

// put keeps an entry. The lock is held.
func (r *Registry) put(entry Entry) {
	before, _ := r.entries.lookup(entry.ID)
	r.digest ^= digestOf(before) ^ digestOf(&entry)
	r.entries.put(entry)
	r.newestVersion = max(r.newestVersion, entry.Version)
	r.changedIDs = append(r.changedIDs, entry.ID)
}

// merge takes one entry if it is newer, and reports whether that matters to
// those who choose endpoints.
func (r *Registry) merge(entry Entry, from string, now time.Time) bool {
	entry.Hash = xxhash.Sum64String(entry.ID)
	known, had := r.entries.find(entry.ID)
	if had && entry.Gone && entry.Version == known.Version && !known.GraceEnd.IsZero() {
		return r.remove(known, entry, from, now)
	}
	// What changed up to the position is known: an account that is not has been replaced.
	replaced := from != fromStore && !entry.Gone && entry.Version <= r.knowledge.Known
	if replaced || (had && entry.Version <= known.Version) {
		if entry.Leaving && entry.Version.HasEarlierEpochThan(known.Version) {
			return r.addDeparture(lifecycle.Departure{Endpoint: entry.ID, Born: entry.Born}, from, now)
		}
		if entry.Gone != known.Gone || entry.Leaving != known.Leaving || entry.Born != known.Born {
			r.passedOver++
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
	if had && entry.Outdated(&known.Facts) {
		r.Log.Info("entry of an earlier start passed over",
			zap.String("Endpoint", entry.ID),
			zap.Stringer("Version", entry.Version),
			zap.Int64("Born", entry.Born),
			zap.Int64("KnownBorn", known.Born))
		return false
	}
	if had {
		r.carryOver(&entry, &known, now)
	}
	if entry.Held {
		r.hold(entry, now)
		return had && !known.Gone
	}
	if entry.ColdFor > 0 {
		entry.ColdUntil = now.Add(entry.ColdFor)
	}
	r.put(entry)
	delete(r.held, entry.ID)
	delete(r.inGrace, entry.ID)
	if had && !known.Gone && entry.Endpoint == known.Endpoint {
		return false
	}
	r.logKnown(&entry, from)
	return true
}

// reject takes an entry that can not be read: it is another writer's, and names no
// endpoint to use until the next good one.
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

// remove takes the word that an entry is gone. The box that read it in the store
// judges whether an outage of the store may be the reason, and tells the others.
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

func (r *Registry) markGone(known Entry, version epoch.Version) {
	known.Version = version
	known.Gone, known.Held, known.GraceEnd = true, false, time.Time{}
	r.put(known)
	delete(r.inGrace, known.ID)
	delete(r.held, known.ID)
}

// publish makes the directory that others read, out of the one before and the entries that
// changed. The lock is held.
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

// changeOf is what the directory is to say of an endpoint. The lock is held.
func (r *Registry) directoryChange(id string) route.Change {
	entry, _ := r.entries.lookup(id)
	if entry == nil || entry.Gone {
		return route.Change{Before: &route.Endpoint{ID: id}}
	}
	endpoint := &entry.Endpoint
	evacuated, leaving := r.orders.Load().Evacuates(endpoint.Zone), r.isLeaving(endpoint)
	if evacuated != endpoint.Evacuated || leaving != endpoint.Leaving {
		changed := *endpoint
		changed.Evacuated, changed.Leaving = evacuated, leaving
		endpoint = &changed
	}
	return route.Change{After: endpoint}
}

// TakeChanges returns what changed in the directory since it was last called, in order, and
// the directory with these changes.
func (r *Registry) TakeChanges() (changes []route.Change, directory *route.Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, r.pendingChanges = r.pendingChanges, nil
	return changes, r.directory.Load()
}

// Knowledge is how much this box knows.
func (r *Registry) Knowledge() route.Knowledge {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.knowledge
	known.Digest = r.reportedDigest()
	return known
}

// Newest is the highest version of an account of an endpoint.
func (r *Registry) NewestVersion() epoch.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestVersion
}

// pageEntries bounds the accounts that are told at once: a box may be asked by all of its
// neighbours in the same moment, and what it makes for each of them takes memory.
const maxPageEntries = 512

// Since are the first accounts of endpoints that changed after a version, for a box that knows
// all up to there, and how much it then knows. Where there are more, that is nothing new, and
// the rest follows after the version of the last one. The entries are not to be changed.
func (r *Registry) EntriesSince(version epoch.Version) (entries []*Entry, knowledge route.Knowledge, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, more = r.entries.since(version, maxPageEntries)
	return entries, r.knowledge, more
}

// OfferEntries merges what a peer tells: all that changed after what was known here. The peer may
// have started again since its knowledge was heard, so that it can no longer serve this box.
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
		polled = knowledge.Looks > r.knowledge.Looks
		if known := r.knowledge.Known; known.HasEarlierEpochThan(knowledge.Known) && known != 0 {
			r.logRestored(known, knowledge.Known, from)
		}
		r.knowledge.Join(knowledge)
		return changed
	})
	if polled {
		r.RecordPeerPoll()
	}
}

// logUnserved tells of a box whose account of the endpoints leaves out what went before it knew any.
func (r *Registry) logIncompleteUpdate(other route.Knowledge, from string) {
	r.Log.Warn("endpoints taken from a box that can not tell all changes",
		zap.Stringer("Known", r.knowledge.Known),
		zap.Stringer("Base", other.Base),
		zap.Stringer("GapAfter", other.GapAfter),
		zap.Stringer("GapBefore", other.GapBefore),
		zap.String("From", from))
}

// served tells whether what another box knows is all that this one lacks. Accounts of later
// versions than this box knows all changes up to are known here from boxes that could not serve
// it: what came of them has to be known there as well. The lock is held.
func (r *Registry) canUpdateFrom(other route.Knowledge) bool {
	own := r.knowledge
	if own.Known == 0 || !other.Serves(own) {
		return own.Known == 0
	}
	return r.entries.every(own.Known, func(later *Entry) bool {
		return other.Serves(route.Knowledge{Known: later.Version})
	})
}

// HeardKnowledge takes the word of a peer of how much it knows, and of the highest
// version of an account of an endpoint. Where that is more than is known here, without a
// change, this box knows as much now, and news is set. Where something changed, the
// peer has to be asked for it. A peer that knows only of later endpoints is of no use:
// this box has to look for itself.
func (r *Registry) ReceiveKnowledge(other route.Knowledge, newest epoch.Version) (news, ask bool) {
	r.mu.Lock()
	known, upTo := r.knowledge, r.knowledge.Known
	r.compareDigest(other, time.Now())
	ahead := other.Known > upTo
	switch {
	case ahead && !r.canUpdateFrom(other):
		r.missing.record(other.Known, r.maxLeavingDelay(), time.Now())
	case ahead && (newest > upTo || upTo == 0):
		ask = true
	default:
		r.knowledge.Join(other)
	}
	news = r.knowledge != known
	polled := r.knowledge.Looks > known.Looks
	r.mu.Unlock()
	if polled {
		r.RecordPeerPoll()
	}
	return news, ask
}
