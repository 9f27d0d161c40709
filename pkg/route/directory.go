package route

import (
	"maps"
	"math/bits"

	"github.com/google/btree"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// Directory holds the known endpoints of all services. It is immutable. A newer one shares all
// unchanged nodes with it, so the cost of a change does not grow with the number of endpoints.
// A nil Directory is empty.
type Directory struct {
	// byID holds all endpoints. services holds those of each service, by name, ordered by
	// their hashes.
	byID     *btree.BTreeG[*Endpoint]
	services map[string]*btree.BTreeG[*Endpoint]
}

// Endpoint is one server of a service. A later instance may have the same ID; Born
// distinguishes them.
type Endpoint struct {
	ID      string
	Service string
	// Address is IP and port. Another endpoint may have it later.
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Release is the version of its software; empty if unknown.
	Release string
	// Hash is the hash of the ID by which endpoints are divided into groups.
	Hash uint64
	lifecycle.Facts
}

// IsNewerInstanceThan reports whether this entry is of a later instance of the endpoint than
// another entry. If the start times do not show which is later, a different address decides.
func (e *Endpoint) IsNewerInstanceThan(other *Endpoint) bool {
	return e.Supersedes(&other.Facts) || (!e.IsOutdatedBy(&other.Facts) && e.Address != other.Address)
}

// Change is the change of one endpoint from Before to After; either is nil if the endpoint is
// not listed. Neither is modified later.
type Change struct {
	Before, After *Endpoint
}

// treeDegree gives nodes of up to 31 endpoints; a change copies two or three nodes.
const treeDegree = 16

func lessByID(a, b *Endpoint) bool { return a.ID < b.ID }

func lessByHash(a, b *Endpoint) bool { return a.Hash < b.Hash || (a.Hash == b.Hash && a.ID < b.ID) }

// With returns the directory after the requested changes, and those of them that had an
// effect, each with Before set to the previous entry.
func (d *Directory) With(requested []Change) (next *Directory, changes []Change) {
	next = &Directory{services: map[string]*btree.BTreeG[*Endpoint]{}}
	if d == nil {
		next.byID = btree.NewG(treeDegree, lessByID)
	} else {
		next.byID = d.byID.Clone()
		next.services = maps.Clone(d.services)
	}
	cloned := map[string]bool{}
	treeOf := func(service string) *btree.BTreeG[*Endpoint] {
		tree := next.services[service]
		switch {
		case tree == nil:
			tree = btree.NewG(treeDegree, lessByHash)
		case !cloned[service]:
			tree = tree.Clone()
		}
		next.services[service], cloned[service] = tree, true
		return tree
	}
	for _, change := range requested {
		known := change.After
		if known == nil {
			known = change.Before
		}
		change.Before, _ = next.byID.Get(known)
		if change.Before != nil && (change.After == nil || change.After.Service != change.Before.Service) {
			treeOf(change.Before.Service).Delete(change.Before)
		}
		if change.After != nil {
			next.byID.ReplaceOrInsert(change.After)
			treeOf(change.After.Service).ReplaceOrInsert(change.After)
		} else if change.Before != nil {
			next.byID.Delete(change.Before)
		}
		if change.Before != nil || change.After != nil {
			changes = append(changes, change)
		}
	}
	return next, changes
}

// Find returns an endpoint by its ID.
func (d *Directory) Find(id string) (found Endpoint, ok bool) {
	if d == nil {
		return found, false
	}
	if known, listed := d.byID.Get(&Endpoint{ID: id}); listed {
		return *known, true
	}
	return found, false
}

// Len returns the number of endpoints.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return d.byID.Len()
}

// All returns the endpoints of all services, ordered by ID.
func (d *Directory) All() (all []Endpoint) {
	if d == nil {
		return nil
	}
	d.byID.Ascend(func(e *Endpoint) bool {
		all = append(all, *e)
		return true
	})
	return all
}

// Each calls a function with each endpoint of a service that is not leaving, until it returns
// false. Endpoints of evacuated zones are included, as they will be used again; their Facts
// state whether they accept requests now.
func (d *Directory) Each(service string, call func(*Endpoint) bool) {
	if d == nil || d.services[service] == nil {
		return
	}
	d.services[service].Ascend(func(e *Endpoint) bool { return e.Leaving || call(e) })
}

// GroupOf returns the group of an endpoint when its service is divided into a number of
// groups, which is a power of two. It depends on the ID alone, and doubling the number splits
// each group in two.
func (e *Endpoint) GroupOf(groups int) int {
	return int(e.Hash >> 1 >> (bits.UintSize - 1 - bits.TrailingZeros(uint(groups))))
}

// EachInGroup is Each for the endpoints of one group. It does not iterate over the others.
func (d *Directory) EachInGroup(service string, group, groups int, call func(*Endpoint) bool) {
	d.ascendGroup(service, group, groups, func(e *Endpoint) bool { return e.Leaving || call(e) })
}

// EachLeavingInGroup calls a function with each endpoint of one group that is leaving, until it
// returns false.
func (d *Directory) EachLeavingInGroup(service string, group, groups int, call func(*Endpoint) bool) {
	d.ascendGroup(service, group, groups, func(e *Endpoint) bool { return !e.Leaving || call(e) })
}

func (d *Directory) ascendGroup(service string, group, groups int, call func(*Endpoint) bool) {
	if d == nil || d.services[service] == nil {
		return
	}
	first := &Endpoint{Hash: uint64(group) << 1 << (bits.UintSize - 1 - bits.TrailingZeros(uint(groups)))}
	d.services[service].AscendGreaterOrEqual(first, func(e *Endpoint) bool {
		return e.GroupOf(groups) == group && call(e)
	})
}

// EndpointsOf returns the endpoints of a service that are not leaving.
func (d *Directory) EndpointsOf(service string) (found []Endpoint) {
	d.Each(service, func(e *Endpoint) bool {
		found = append(found, *e)
		return true
	})
	return found
}
