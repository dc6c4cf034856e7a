// Package mirror keeps a copy of the items that the platform publishes, ordered by
// the eras and revisions of its store, so that processes can update each other, and decides
// which processes read the platform itself. The platform is the users' configuration
// store, which the processes only read. The package serves the processes whose
// callers send packets in the platform's own format; package dissem does the same
// where callers speak QUIC.
package mirror

import (
	"sort"

	"lagoondrum/core/epoch"
)

// Item is the newest known value of a key, or its deletion.
type Item struct {
	key      string
	value    []byte
	position Position
	deleted  bool
	mark     Mark
	carried  bool // The item is the same, at the same revision, as before the era of the mirror.
}

// Mark is what a return of the store has left open about an item.
type Mark uint8

// The marks. Their numbers are part of the messages between processes.
const (
	Unmarked Mark = iota
	Doubtful      // The item may describe an upstream that has left.
	Lacked        // The item is held although the store lacks it.
)

// NewItem returns a key's value at a position.
func NewItem(key string, value []byte, position Position) Item {
	return Item{key: key, value: value, position: position}
}

// NewDeletion returns the deletion of a key at a position.
func NewDeletion(key string, position Position) Item {
	return Item{key: key, position: position, deleted: true}
}

// WithMark sets the item's mark, and returns the item.
func (itm Item) WithMark(mrk Mark) Item {
	itm.mark = mrk
	return itm
}

// Key returns the item's key.
func (itm Item) Key() string { return itm.key }

// Value returns the item's bytes. The caller must not change them.
func (itm Item) Value() []byte { return itm.value }

// Position returns the position at which the item last changed.
func (itm Item) Position() Position { return itm.position }

// Deleted reports whether the key no longer exists.
func (itm Item) Deleted() bool { return itm.deleted }

// Mark returns what a return of the store has left open about the item.
func (itm Item) Mark() Mark { return itm.mark }

// maxDeletions bounds the number of deleted keys that are kept: two days of the
// replacements of docs/CAPACITY.md.
const maxDeletions = 2500

// Mirror is a copy of the platform's items at one position, which never decreases.
// Items of an earlier era than the mirror's are held: the store had not returned them
// when the era began, or had an older value.
type Mirror struct {
	items        map[string]Item
	position     Position
	left         Position // The position before the era began; 0 if no earlier era is known.
	compactedAt  Position // Deletions up to this position are dropped.
	gaps         []gap    // Where deletions may not be known, in their order.
	deletedCount int
	lackedCount  int // Items with the mark Lacked.
	classify     Classify
	judgements   []Judgement
}

// New returns an empty mirror, at position 0.
func New() *Mirror {
	return &Mirror{items: make(map[string]Item), classify: func(string, []byte) epoch.Subject { return epoch.Other{} }}
}

// Position returns the position that the mirror reflects.
func (mir *Mirror) Position() Position { return mir.position }

// Update applies the changes between the positions after and position, and returns
// the items that were new to the mirror. It refuses changes that start after the
// mirror's own position, as those between would be missing, those of an earlier era,
// and those to a later era that do not start at the mirror's own position.
func (mir *Mirror) Update(after, position Position, changes []Item) (applied []Item, ok bool) {
	switch {
	case after > mir.position || position.Era() < mir.position.Era():
		return nil, false
	case position.Era() > mir.position.Era():
		if after != mir.position {
			return nil, false
		}
		applied = mir.cross(position, changes)
	default:
		for _, itm := range changes {
			if itm.position > mir.position || itm.position.Era() < mir.position.Era() {
				applied = mir.merge(itm, position, applied)
			}
		}
		mir.position = max(mir.position, position)
	}
	mir.compact()
	return applied, true
}

// Replace sets the mirror to the full state at a position and returns the items that
// were new to it. Keys that the state lacks are deleted, unless they are held. A state
// older than the mirror is ignored. In a higher era every item is judged.
func (mir *Mirror) Replace(position Position, state []Item) []Item {
	if position < mir.position {
		return nil
	}
	mir.noteGap(position)
	var applied []Item
	present := make(map[string]bool, len(state))
	for _, itm := range state {
		present[itm.key] = true
		applied = mir.merge(itm, position, applied)
	}
	for key, itm := range mir.items {
		if present[key] || itm.deleted || itm.position > position || mir.holdsLacked(itm, position) {
			continue
		}
		deletion := NewDeletion(key, position)
		mir.put(deletion)
		applied = append(applied, deletion)
	}
	mir.enter(position)
	mir.compact()
	return applied
}

// put stores an item and counts the deletions and the lacked items.
func (mir *Mirror) put(itm Item) {
	if known, found := mir.items[itm.key]; found {
		mir.count(known, -1)
	}
	mir.count(itm, 1)
	mir.items[itm.key] = itm
}

func (mir *Mirror) count(itm Item, by int) {
	if itm.deleted {
		mir.deletedCount += by
	}
	if itm.mark == Lacked {
		mir.lackedCount += by
	}
}

// compact drops the oldest half of the deletions when there are too many. A
// process whose position is older than those dropped needs the full state.
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
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].position < deleted[j].position })
	for _, itm := range deleted[:len(deleted)/2] {
		delete(mir.items, itm.key)
		mir.compactedAt = max(mir.compactedAt, itm.position)
		mir.deletedCount--
	}
}

// ChangesSince returns the changes after a position and the held items, in the order
// of their positions. With whole set it returns the full state instead, as some
// deletions after that position are not known, or the position is in an earlier
// era and the mirror does not know what it was followed by.
func (mir *Mirror) ChangesSince(after Position) (changes []Item, whole bool) {
	whole = after < mir.compactedAt || mir.inGap(after) || after.Era() != mir.position.Era() && !mir.crossesFrom(after)
	for _, itm := range mir.items {
		if whole && !itm.deleted || !whole && (mir.changedSince(itm, after) || mir.holds(itm)) {
			changes = append(changes, itm)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].position < changes[j].position })
	return changes, whole
}
