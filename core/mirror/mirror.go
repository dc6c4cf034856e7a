// Package mirror keeps a copy of what the platform publishes, ordered by the
// platform's revisions, so that processes bring each other up to date.
package mirror

import "sort"

// Item is the newest word on one key.
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

// Key returns the item's name.
func (itm Item) Key() string { return itm.key }

// Value returns the item's bytes, which the caller leaves alone.
func (itm Item) Value() []byte { return itm.value }

// Revision returns when the item last changed.
func (itm Item) Revision() uint64 { return itm.revision }

// Deleted reports whether the key no longer exists.
func (itm Item) Deleted() bool { return itm.deleted }

// maxDeletions bounds how many deleted keys are remembered: two days of the
// replacements of docs/CAPACITY.md.
const maxDeletions = 2500

// Mirror is a copy of the platform's items at one revision. It never goes back.
type Mirror struct {
	items     map[string]Item
	revision  uint64
	floor     uint64 // Deletions up to this revision are forgotten.
	deletions int
}

// New returns an empty mirror, at revision 0.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Revision returns the platform's revision that the mirror reflects.
func (mir *Mirror) Revision() uint64 { return mir.revision }

// Update brings the mirror to a revision by what changed since an earlier one,
// and returns the items that are new to it. It refuses a gap: changes that begin
// after the mirror's own revision.
func (mir *Mirror) Update(after, revision uint64, changes []Item) (news []Item, ok bool) {
	if after > mir.revision {
		return nil, false
	}
	for _, itm := range changes {
		if known, has := mir.items[itm.key]; itm.revision <= mir.revision || has && known.revision >= itm.revision {
			continue
		}
		mir.put(itm)
		news = append(news, itm)
	}
	mir.revision = max(mir.revision, revision)
	mir.forget()
	return news, true
}

// Replace brings the mirror to the whole state at a revision and returns what is
// new. An older state changes nothing. Keys that the state lacks are deleted.
func (mir *Mirror) Replace(revision uint64, state []Item) []Item {
	if revision < mir.revision {
		return nil
	}
	var news []Item
	present := make(map[string]bool, len(state))
	for _, itm := range state {
		present[itm.key] = true
		if known, has := mir.items[itm.key]; has && known.revision >= itm.revision {
			continue
		}
		mir.put(itm)
		news = append(news, itm)
	}
	for key, itm := range mir.items {
		if !present[key] && !itm.deleted && itm.revision <= revision {
			gone := NewDeletion(key, revision)
			mir.put(gone)
			news = append(news, gone)
		}
	}
	mir.revision = revision
	mir.forget()
	return news
}

func (mir *Mirror) put(itm Item) {
	if known, has := mir.items[itm.key]; has && known.deleted {
		mir.deletions--
	}
	if itm.deleted {
		mir.deletions++
	}
	mir.items[itm.key] = itm
}

// forget drops the oldest half of the deletions when there are too many. Who
// lags behind them needs the whole state.
func (mir *Mirror) forget() {
	if mir.deletions <= maxDeletions {
		return
	}
	var old []Item
	for _, itm := range mir.items {
		if itm.deleted {
			old = append(old, itm)
		}
	}
	sort.Slice(old, func(i, j int) bool { return old[i].revision < old[j].revision })
	for _, itm := range old[:len(old)/2] {
		delete(mir.items, itm.key)
		mir.floor = max(mir.floor, itm.revision)
		mir.deletions--
	}
}

// Since returns what changed after a revision. With whole set it is the whole
// state instead, as the changes are no longer known.
func (mir *Mirror) Since(after uint64) (changes []Item, whole bool) {
	whole = after < mir.floor
	for _, itm := range mir.items {
		if whole && !itm.deleted || !whole && itm.revision > after {
			changes = append(changes, itm)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].revision < changes[j].revision })
	return changes, whole
}
