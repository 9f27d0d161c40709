package registry

import (
	"cmp"
	"strings"

	"github.com/google/btree"

	"github.com/quaylead/quaylead/pkg/epoch"
)

// entryTable keeps entries by ID and by version, so that what changed after a version is found
// without a look at all. The entries in it are not changed, only replaced. The zero value is
// empty.
type entryTable struct {
	byID      *btree.BTreeG[*Entry]
	byVersion *btree.BTreeG[*Entry]
	// texts are the names that many entries share, each kept once.
	names map[string]string
}

// tableDegree is that of the trees.
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

// at returns the entry of an endpoint.
func (t *entryTable) lookup(id string) (entry *Entry, ok bool) {
	if t.byID == nil {
		return nil, false
	}
	wanted := Entry{}
	wanted.ID = id
	return t.byID.Get(&wanted)
}

// find returns a copy of it.
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
	if before, had := t.byID.ReplaceOrInsert(&entry); had {
		t.byVersion.Delete(before)
	}
	t.byVersion.ReplaceOrInsert(&entry)
}

// text is the one copy of a name.
func (t *entryTable) intern(name string) string {
	if known, ok := t.names[name]; ok {
		return known
	}
	t.names[name] = name
	return name
}

func (t *entryTable) each(call func(*Entry)) {
	if t.byID == nil {
		return
	}
	t.byID.Ascend(func(entry *Entry) bool {
		call(entry)
		return true
	})
}

// every tells whether something holds for all entries of higher versions.
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

// since are the entries of higher versions, the lowest first: as many as asked for, and those
// of the last one's version. More tells that others follow.
func (t *entryTable) since(version epoch.Version, most int) (entries []*Entry, more bool) {
	if t.byVersion == nil {
		return nil, false
	}
	first := Entry{Version: version + 1}
	t.byVersion.AscendGreaterOrEqual(&first, func(entry *Entry) bool {
		more = len(entries) >= most && entry.Version > entries[len(entries)-1].Version
		if !more {
			entries = append(entries, entry)
		}
		return !more
	})
	return entries, more
}
