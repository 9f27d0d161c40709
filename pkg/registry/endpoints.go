package registry

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/route"
)

// fromStore names the store as the origin of news; others are boxes' names.
const fromStore = "store"

// lapse is an entry that went while the store was unwell.
type lapse struct {
	// until is how long its endpoint is still used.
	until time.Time
	// version is that of its removal.
	version uint64
}

// take merges entries, the newer account of each going first. Whole marks that
// they are all there are.
func (r *Registry) take(entries []Entry, whole bool, from string, now time.Time) {
	r.mu.Lock()
	if r.entries == nil {
		r.entries = map[string]Entry{}
		r.lapsed = map[string]lapse{}
	}
	if whole && from == fromStore {
		entries = append(entries, r.absent(entries)...)
	}
	changed := false
	for i := range entries {
		changed = r.merge(entries[i], from, now) || changed
	}
	changed = r.endLapses(now) || changed
	if changed || r.directory.Load() == nil {
		r.publish()
	}
	r.mu.Unlock()
	if changed {
		r.Changed()
	}
}

// absent makes removals of the entries that a whole reading no longer has.
func (r *Registry) absent(entries []Entry) []Entry {
	present := make(map[string]bool, len(entries))
	for i := range entries {
		present[entries[i].ID] = true
	}
	var gone []Entry
	for id, known := range r.entries {
		if !present[id] && !known.Gone {
			known.Gone = true
			known.Version++
			gone = append(gone, known)
		}
	}
	return gone
}

// merge takes one entry if it is newer, and reports whether that matters to
// those who choose endpoints.
func (r *Registry) merge(entry Entry, from string, now time.Time) bool {
	known, had := r.entries[entry.ID]
	if had && entry.Version <= known.Version {
		return false
	}
	if entry.Problem != nil {
		r.Log.Error("entry of an endpoint not taken", zap.String("Endpoint", entry.ID), zap.Error(entry.Problem))
		return false
	}
	if entry.Gone {
		return r.remove(known, entry, from, now)
	}
	r.entries[entry.ID] = entry
	if entry.Version > r.lapsed[entry.ID].version {
		delete(r.lapsed, entry.ID)
	}
	if had && !known.Gone && entry.Endpoint == known.Endpoint {
		return false
	}
	r.Log.Info("endpoint known",
		zap.String("Endpoint", entry.ID),
		zap.String("Service", entry.Service),
		zap.String("Address", entry.Address),
		zap.Bool("Leaving", entry.Leaving),
		zap.Uint64("Version", entry.Version),
		zap.String("From", from))
	return true
}

// remove takes the word that an entry is gone. The box that read it in the store
// judges whether an outage of the store may be the reason; what peers tell was
// judged there.
func (r *Registry) remove(known, entry Entry, from string, now time.Time) bool {
	if known.ID == "" {
		known.ID = entry.ID
	}
	if !known.Gone && !known.Leaving && from == fromStore && now.Sub(r.unwellAt) < unwellFor {
		if _, had := r.lapsed[entry.ID]; !had {
			r.lapsed[entry.ID] = lapse{until: r.returnedAt.Add(r.grace()), version: entry.Version}
			r.Log.Info("entry lapsed during an outage, endpoint still used",
				zap.String("Endpoint", entry.ID),
				zap.Duration("Outage", now.Sub(r.unwellAt)))
		}
		return false
	}
	wasGone := known.Gone
	r.bury(known, entry.Version)
	if !wasGone {
		r.Log.Info("endpoint gone",
			zap.String("Endpoint", entry.ID),
			zap.Uint64("Version", entry.Version),
			zap.String("From", from))
	}
	return !wasGone
}

func (r *Registry) bury(known Entry, version uint64) {
	known.Version = version
	known.Gone = true
	r.entries[known.ID] = known
	delete(r.lapsed, known.ID)
}

// endLapses drops endpoints whose entries did not come back.
func (r *Registry) endLapses(now time.Time) (changed bool) {
	for id, lapsed := range r.lapsed {
		if now.Before(lapsed.until) {
			continue
		}
		r.bury(r.entries[id], lapsed.version)
		changed = true
		r.Log.Info("endpoint gone: its entry did not come back", zap.String("Endpoint", id))
	}
	return changed
}

// publish makes the directory that others read.
func (r *Registry) publish() {
	directory := &route.Directory{Endpoints: map[string]route.Endpoint{}}
	if before := r.directory.Load(); before != nil {
		directory.Version = before.Version
	}
	for id, entry := range r.entries {
		directory.Version = max(directory.Version, entry.Version)
		if !entry.Gone {
			directory.Endpoints[id] = entry.Endpoint
		}
	}
	r.directory.Store(directory)
}

// Entries are all accounts of endpoints, for peers.
func (r *Registry) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make([]Entry, 0, len(r.entries))
	for entry := range maps.Values(r.entries) {
		entries = append(entries, entry)
	}
	return entries
}

// OfferEntries merges what a peer knows.
func (r *Registry) OfferEntries(entries []Entry, from string) {
	r.take(entries, false, from, time.Now())
}
