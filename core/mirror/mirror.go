// Package mirror keeps a copy of the items that the platform publishes, ordered by
// the platform's revisions, so that processes can update each other, and decides
// which processes read the platform itself. The platform is the users' configuration
// store, which the processes only read. The package serves the processes whose
// callers send packets in the platform's own format; package dissem does the same
// where callers speak QUIC.
package mirror

import "sort"

// Item is the newest known value of a key, or its deletion.
type Item struct {
	key      string
	value    []byte
	revision uint64
	deleted  bool
}

// NewItem returns a key's value at a revision.
func NewItem(key string, value []byte, revision uint64) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewDeletion returns the deletion of a key at a revision.
func NewDeletion(key string, revision uint64) Item {
	return Item{key: key, revision: revision, deleted: true}
}

// Key returns the item's key.
func (itm Item) Key() string { return itm.key }

// Value returns the item's bytes. The caller must not change them.
func (itm Item) Value() []byte { return itm.value }

// Revision returns the platform's revision at which the item last changed.
func (itm Item) Revision() uint64 { return itm.revision }

// Deleted reports whether the key no longer exists.
func (itm Item) Deleted() bool { return itm.deleted }

// maxDeletions bounds the number of deleted keys that are kept: two days of the
// replacements of docs/CAPACITY.md.
const maxDeletions = 2500

// Mirror is a copy of the platform's items at one revision, which never decreases.
type Mirror struct {
	items             map[string]Item
	revision          uint64
	compactedRevision uint64 // Deletions up to this revision are dropped.
	deletedCount      int
}

// New returns an empty mirror, at revision 0.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Revision returns the platform's revision that the mirror reflects.
func (mir *Mirror) Revision() uint64 { return mir.revision }

// Update applies the changes between the revisions after and revision, and returns
// the items that were new to the mirror. It refuses changes that start after the
// mirror's own revision, as those between would be missing.
func (mir *Mirror) Update(after, revision uint64, changes []Item) (applied []Item, ok bool) {
	if after > mir.revision {
		return nil, false
	}
	for _, itm := range changes {
		if known, found := mir.items[itm.key]; itm.revision <= mir.revision || found && known.revision >= itm.revision {
			continue
		}
		mir.put(itm)
		applied = append(applied, itm)
	}
	mir.revision = max(mir.revision, revision)
	mir.compact()
	return applied, true
}

// Replace sets the mirror to the full state at a revision and returns the items
// that were new to it. Keys that the state lacks are deleted. A state older than
// the mirror is ignored.
func (mir *Mirror) Replace(revision uint64, state []Item) []Item {
	if revision < mir.revision {
		return nil
	}
	var applied []Item
	present := make(map[string]bool, len(state))
	for _, itm := range state {
		present[itm.key] = true
		if known, found := mir.items[itm.key]; found && known.revision >= itm.revision {
			continue
		}
		mir.put(itm)
		applied = append(applied, itm)
	}
	for key, itm := range mir.items {
		if !present[key] && !itm.deleted && itm.revision <= revision {
			deletion := NewDeletion(key, revision)
			mir.put(deletion)
			applied = append(applied, deletion)
		}
	}
	mir.revision = revision
	mir.compact()
	return applied
}

// put stores an item and counts the deletions.
func (mir *Mirror) put(itm Item) {
	if known, found := mir.items[itm.key]; found && known.deleted {
		mir.deletedCount--
	}
	if itm.deleted {
		mir.deletedCount++
	}
	mir.items[itm.key] = itm
}

// compact drops the oldest half of the deletions when there are too many. A
// process whose revision is older than those dropped needs the full state.
func (mir *Mirror) compact() {
	if mir.deletedCount <= maxDeletions {
		return
	}
	var deleted []Item
	for _, itm := range mir.items {
		if itm.deleted {
			deleted = append(deleted, itm)
		}
	}
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].revision < deleted[j].revision })
	for _, itm := range deleted[:len(deleted)/2] {
		delete(mir.items, itm.key)
		mir.compactedRevision = max(mir.compactedRevision, itm.revision)
		mir.deletedCount--
	}
}

// ChangesSince returns the changes after a revision, in the order of their
// revisions. With whole set it returns the full state instead, as some
// deletions after that revision have been dropped.
func (mir *Mirror) ChangesSince(after uint64) (changes []Item, whole bool) {
	whole = after < mir.compactedRevision
	for _, itm := range mir.items {
		if whole && !itm.deleted || !whole && itm.revision > after {
			changes = append(changes, itm)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].revision < changes[j].revision })
	return changes, whole
}
