package registry

import (
	"cmp"
	"strings"

	"github.com/google/btree"

	"github.com/quaylead/quaylead/pkg/epoch"
)

// entryTable indexes entries by ID and by version, so that the changes after a version are found
// without a scan. Its entries are replaced, never modified. The zero value is empty.
type entryTable struct {
	byID      *btree.BTreeG[*Entry]
	byVersion *btree.BTreeG[*Entry]
	// names interns the names that many entries share.
	names map[string]string
}

// btreeDegree is the degree of both trees.
const btreeDegree = 32

func (t *entryTable) prepare() {
	if t.byID != nil {
		return
	}
	t.names = map[string]string{}
	t.byID = btree.NewG(btreeDegree, func(a, b *Entry) bool { return strings.Compare(a.ID, b.ID) < 0 })
	t.byVersion = btree.NewG(btreeDegree, func(a, b *Entry) bool {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.ID, b.ID)) < 0
	})
}

// lookup returns the entry of an endpoint.
func (t *entryTable) lookup(id string) (entry *Entry, ok bool) {
	if t.byID == nil {
		return nil, false
	}
	wanted := Entry{}
	wanted.ID = id
	return t.byID.Get(&wanted)
}

// find returns a copy of the entry of an endpoint.
func (t *entryTable) find(id string) (entry Entry, ok bool) {
	known, ok := t.lookup(id)
	if !ok {
		return entry, false
	}
	return *known, true
}

func (t *entryTable) put(entry Entry) {
	t.prepare()
	entry.Service, entry.Zone, entry.Release = t.intern(entry.Service), t.intern(entry.Zone), t.intern(entry.Release)
	if before, exists := t.byID.ReplaceOrInsert(&entry); exists {
		t.byVersion.Delete(before)
	}
	t.byVersion.ReplaceOrInsert(&entry)
}

// intern returns the shared copy of a name.
func (t *entryTable) intern(name string) string {
	if known, ok := t.names[name]; ok {
		return known
	}
	t.names[name] = name
	return name
}

func (t *entryTable) each(visit func(*Entry)) {
	if t.byID == nil {
		return
	}
	t.byID.Ascend(func(entry *Entry) bool {
		visit(entry)
		return true
	})
}

// every reports whether a predicate holds for all entries of higher versions.
func (t *entryTable) every(version epoch.Version, holds func(*Entry) bool) bool {
	all := true
	if t.byVersion == nil {
		return all
	}
	first := Entry{Version: version + 1}
	t.byVersion.AscendGreaterOrEqual(&first, func(entry *Entry) bool {
		all = holds(entry)
		return all
	})
	return all
}

// since returns entries of higher versions in ascending order: as many as limit, and further ones
// of the last version. more reports whether others follow.
func (t *entryTable) since(version epoch.Version, limit int) (entries []*Entry, more bool) {
	if t.byVersion == nil {
		return nil, false
	}
	first := Entry{Version: version + 1}
	t.byVersion.AscendGreaterOrEqual(&first, func(entry *Entry) bool {
		more = len(entries) >= limit && entry.Version > entries[len(entries)-1].Version
		if !more {
			entries = append(entries, entry)
		}
		return !more
	})
	return entries, more
}
