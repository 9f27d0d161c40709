package route

import (
	"maps"
	"math/bits"

	"github.com/google/btree"

	"github.com/quaylead/quaylead/pkg/lifecycle"
)

// Directory is what is known of the endpoints of all services. It is not changed once it is
// in use: a newer one shares all that did not change with it, so that what a change costs
// does not grow with the number of endpoints. Nil knows none.
type Directory struct {
	// byID holds all endpoints, and services those of each service, by name: they are in the
	// order of their hashes.
	byID     *btree.BTreeG[*Endpoint]
	services map[string]*btree.BTreeG[*Endpoint]
}

// Endpoint is one server of a service. Another start of it may have the same ID: Born
// tells them apart.
type Endpoint struct {
	ID      string
	Service string
	// Address is IP and port. Another endpoint may have it later.
	Address string
	Zone    string
	// Slots is the number of requests it runs at once.
	Slots int
	// Release is the version of its software; empty where it does not tell.
	Release string
	// Hash is of the ID; it spreads endpoints over groups.
	Hash uint64
	lifecycle.Facts
}

// Renews tells whether this account of an endpoint is of a later start than another one.
// Where neither tells its start, another address does.
func (e *Endpoint) IsNewerInstanceThan(other *Endpoint) bool {
	return e.Supersedes(&other.Facts) || (!e.Outdated(&other.Facts) && e.Address != other.Address)
}

// Change is of one endpoint: what was known of it and what is, either nil where it is not
// listed. Neither is changed later.
type Change struct {
	Before, After *Endpoint
}

// treeDegree makes nodes of up to 31 endpoints: a change copies two or three of them.
const treeDegree = 16

func lessByID(a, b *Endpoint) bool { return a.ID < b.ID }

func lessByHash(a, b *Endpoint) bool { return a.Hash < b.Hash || (a.Hash == b.Hash && a.ID < b.ID) }

// With is the directory after some changes, and which of them there were: each has its
// Before set to what was known.
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

// Len is the number of endpoints.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return d.byID.Len()
}

// All are the endpoints of all services, by ID in order.
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

// Each calls a function with each endpoint of a service that does not leave, until it
// returns false. Those of evacuated zones are among them, as they are back one day: their
// Facts tell whether they take work now.
func (d *Directory) Each(service string, call func(*Endpoint) bool) {
	if d == nil || d.services[service] == nil {
		return
	}
	d.services[service].Ascend(func(e *Endpoint) bool { return e.Leaving || call(e) })
}

// GroupOf is the group of an endpoint, where those of a service are divided among a power of
// two of groups. It follows from the ID alone, and twice as many groups divide each in two.
func (e *Endpoint) GroupOf(groups int) int {
	return int(e.Hash >> 1 >> (bits.UintSize - 1 - bits.TrailingZeros(uint(groups))))
}

// EachOfGroup is Each for the endpoints of one group, without a look at the others.
func (d *Directory) EachInGroup(service string, group, groups int, call func(*Endpoint) bool) {
	if d == nil || d.services[service] == nil {
		return
	}
	first := &Endpoint{Hash: uint64(group) << 1 << (bits.UintSize - 1 - bits.TrailingZeros(uint(groups)))}
	d.services[service].AscendGreaterOrEqual(first, func(e *Endpoint) bool {
		return e.GroupOf(groups) == group && (e.Leaving || call(e))
	})
}

// Of returns the endpoints of a service that do not leave.
func (d *Directory) EndpointsOf(service string) (found []Endpoint) {
	d.Each(service, func(e *Endpoint) bool {
		found = append(found, *e)
		return true
	})
	return found
}
