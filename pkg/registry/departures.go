package registry

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/route"
)

// departure is a Departure that this box knows.
type departure struct {
	lifecycle.Departure
	// heardAt is when a box first read it.
	receivedAt time.Time
	// news orders what this box learnt, and from is the box that told it; empty where it
	// read an answer itself.
	seq  uint64
	from string
}

// departureKept is how long the word of an endpoint that the store does not list is kept:
// as long as other boxes may still hold an entry of it, which an outage may make minutes.
const departureTTL = 10 * time.Minute

// HeardDeparture takes the word of an endpoint's answer that it leaves. From then on the
// endpoint counts as leaving whatever rows say, until a later start of it is known: the
// answer is fresher than any row, and the only word while the store is away or this box is
// cut off from it. It reports whether that is news.
func (r *Registry) RecordDeparture(chosen *route.Endpoint, now time.Time) (news bool) {
	told := []lifecycle.Departure{{Endpoint: chosen.ID, Born: chosen.Born}}
	return r.OfferDepartures(told, "", now)
}

// OfferDepartures takes what a peer tells of them; an empty name stands for this box. It
// reports whether any is news.
func (r *Registry) OfferDepartures(told []lifecycle.Departure, from string, now time.Time) (news bool) {
	if len(told) == 0 {
		return false
	}
	r.update(now, func() (changed bool) {
		for i := range told {
			changed = r.addDeparture(told[i], from, now) || changed
		}
		news = changed
		return changed
	})
	return news
}

// depart notes one of them. The lock is held.
func (r *Registry) addDeparture(told lifecycle.Departure, from string, now time.Time) (changed bool) {
	known, had := r.departures[told.Endpoint]
	if told.Age > departureTTL || (had && known.Born >= told.Born) {
		return false
	}
	entry, listed := r.entries.find(told.Endpoint)
	if listed && !told.AppliesTo(&entry.Facts) {
		return false
	}
	if r.departures == nil {
		r.departures = map[string]departure{}
	}
	r.departureSeq++
	r.changedIDs = append(r.changedIDs, told.Endpoint)
	r.departures[told.Endpoint] = departure{Departure: told, receivedAt: now.Add(-told.Age), seq: r.departureSeq, from: from}
	r.Log.Info("endpoint says that it leaves",
		zap.String("Endpoint", told.Endpoint),
		zap.Int64("Born", told.Born),
		zap.Bool("Listed", listed && !entry.Gone),
		zap.Bool("RowSaysSo", entry.Leaving),
		zap.String("From", from))
	return true
}

// leaves tells whether an endpoint leaves, by its row or by an answer. The lock is held.
func (r *Registry) isLeaving(endpoint *route.Endpoint) bool {
	said, had := r.departures[endpoint.ID]
	return endpoint.Leaving || (had && said.AppliesTo(&endpoint.Facts))
}

// forgetDepartures drops what no entry can concern any more. The lock is held.
func (r *Registry) expireDepartures(now time.Time) {
	for id, said := range r.departures {
		entry, listed := r.entries.find(id)
		if listed && !said.AppliesTo(&entry.Facts) {
			delete(r.departures, id)
		} else if (!listed || entry.Gone) && now.Sub(said.receivedAt) > departureTTL {
			delete(r.departures, id)
		}
	}
}

// Departures are those with news since a mark, but for what the named box told itself. The
// first mark of a stream is 0; the next is the one returned.
func (r *Registry) Departures(since uint64, to string, now time.Time) (told []lifecycle.Departure, mark uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since >= r.departureSeq {
		return nil, r.departureSeq
	}
	r.expireDepartures(now)
	var fresh []departure
	for _, said := range r.departures {
		if said.seq > since && (said.from == "" || said.from != to) {
			fresh = append(fresh, said)
		}
	}
	slices.SortFunc(fresh, func(a, b departure) int { return cmp.Compare(a.seq, b.seq) })
	for _, said := range fresh {
		said.Age = now.Sub(said.receivedAt)
		told = append(told, said.Departure)
	}
	return told, r.departureSeq
}
