package registry

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// departure is a departure as this box recorded it.
type departure struct {
	lifecycle.Departure
	// receivedAt is when a box first read the response that states it.
	receivedAt time.Time
	// seq orders the departures as this box recorded them. from is the box that reported it, or
	// empty if this box read the response itself.
	seq  uint64
	from string
}

// departureTTL is how long a departure of an endpoint that the store does not list is kept. Other
// boxes may still have an entry of it for that long: minutes in an outage.
const departureTTL = 10 * time.Minute

// RecordDeparture records that an endpoint stated in a response that it leaves. From then on it
// counts as leaving, whatever its row says, until a later instance of it is known. The response is
// fresher than any row, and the only source while the store is down or this box is cut off from it.
// It reports whether the departure was recorded; one that is known already is not.
func (r *Registry) RecordDeparture(chosen *route.Endpoint, now time.Time) (recorded bool) {
	reported := []lifecycle.Departure{{Endpoint: chosen.ID, Born: chosen.Born}}
	return r.OfferDepartures(reported, "", now)
}

// OfferDepartures records the departures that a peer reports; an empty name stands for this box. It
// reports whether any of them was recorded.
func (r *Registry) OfferDepartures(reported []lifecycle.Departure, from string, now time.Time) (recorded bool) {
	if len(reported) == 0 {
		return false
	}
	r.update(now, func() (changed bool) {
		for i := range reported {
			changed = r.addDeparture(reported[i], from, now) || changed
		}
		recorded = changed
		return changed
	})
	return recorded
}

// addDeparture records a departure, unless it is known, too old or of an earlier instance, and
// reports whether it did. The lock is held.
func (r *Registry) addDeparture(reported lifecycle.Departure, from string, now time.Time) (recorded bool) {
	known, exists := r.departures[reported.Endpoint]
	if reported.Age > departureTTL || (exists && known.Born >= reported.Born) {
		return false
	}
	entry, listed := r.entries.find(reported.Endpoint)
	if listed && !reported.AppliesTo(&entry.Facts) {
		return false
	}
	if r.departures == nil {
		r.departures = map[string]departure{}
	}
	r.departureSeq++
	r.changedIDs = append(r.changedIDs, reported.Endpoint)
	r.departures[reported.Endpoint] = departure{Departure: reported, receivedAt: now.Add(-reported.Age), seq: r.departureSeq, from: from}
	r.Log.Info("endpoint says that it leaves",
		zap.String("Endpoint", reported.Endpoint),
		zap.Int64("Born", reported.Born),
		zap.Bool("Listed", listed && !entry.Gone),
		zap.Bool("RowSaysSo", entry.Leaving),
		zap.String("From", from))
	return true
}

// isLeaving reports whether an endpoint leaves, by its row or by a response. The lock is held.
func (r *Registry) isLeaving(endpoint *route.Endpoint) bool {
	d, exists := r.departures[endpoint.ID]
	return endpoint.Leaving || (exists && d.AppliesTo(&endpoint.Facts))
}

// expireDepartures drops departures that no longer apply to any entry. The lock is held.
func (r *Registry) expireDepartures(now time.Time) {
	for id, d := range r.departures {
		entry, listed := r.entries.find(id)
		if listed && !d.AppliesTo(&entry.Facts) {
			delete(r.departures, id)
		} else if (!listed || entry.Gone) && now.Sub(d.receivedAt) > departureTTL {
			delete(r.departures, id)
		}
	}
}

// Departures returns the departures recorded after a mark, without those that the named box
// reported itself. The first mark of a stream is 0; the next is the one returned.
func (r *Registry) Departures(since uint64, to string, now time.Time) (reported []lifecycle.Departure, mark uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since >= r.departureSeq {
		return nil, r.departureSeq
	}
	r.expireDepartures(now)
	var fresh []departure
	for _, d := range r.departures {
		if d.seq > since && (d.from == "" || d.from != to) {
			fresh = append(fresh, d)
		}
	}
	slices.SortFunc(fresh, func(a, b departure) int { return cmp.Compare(a.seq, b.seq) })
	for _, d := range fresh {
		d.Age = now.Sub(d.receivedAt)
		reported = append(reported, d.Departure)
	}
	return reported, r.departureSeq
}
