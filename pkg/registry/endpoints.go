package registry

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/route"
)

// take merges entries, the newer account of each going first. Whole marks that
// they are all there are.
func (r *Registry) take(entries []Entry, whole bool, from string, now time.Time) {
	r.mu.Lock()
	if r.entries == nil {
		r.entries = map[string]Entry{}
		r.lapsed = map[string]time.Time{}
	}
	if whole && from == "store" {
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
		return r.remove(known, entry, now)
	}
	r.entries[entry.ID] = entry
	delete(r.lapsed, entry.ID)
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

func (r *Registry) remove(known, entry Entry, now time.Time) bool {
	if known.ID == "" {
		known.ID = entry.ID
	}
	wasGone := known.Gone
	known.Version = entry.Version
	known.Gone = true
	r.entries[entry.ID] = known
	if wasGone {
		return false
	}
	if !known.Leaving && now.Sub(r.unwellAt) < unwellFor {
		r.lapsed[entry.ID] = now.Add(lapseGrace)
		r.Log.Info("entry lapsed during an outage, endpoint still used", zap.String("Endpoint", entry.ID))
		return false
	}
	r.Log.Info("endpoint gone", zap.String("Endpoint", entry.ID), zap.Uint64("Version", entry.Version))
	return true
}

// endLapses drops endpoints whose entries did not come back.
func (r *Registry) endLapses(now time.Time) (changed bool) {
	for id, until := range r.lapsed {
		if now.After(until) {
			delete(r.lapsed, id)
			changed = true
			r.Log.Info("endpoint gone: its entry did not come back", zap.String("Endpoint", id))
		}
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
		_, lapsed := r.lapsed[id]
		if !entry.Gone || lapsed {
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
