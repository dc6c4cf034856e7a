package mirror

import (
	"testing"

	"gotest.tools/v3/assert"
)

func keysOf(items []Item) []string {
	keys := []string{}
	for _, itm := range items {
		keys = append(keys, itm.Key())
	}
	return keys
}

func TestUpdate(t *testing.T) {
	mir := New()
	applied := mir.Replace(5, []Item{NewItem("a", []byte("1"), 3), NewItem("b", []byte("1"), 5)})
	assert.DeepEqual(t, keysOf(applied), []string{"a", "b"})

	t.Run("repeated changes are ignored", func(t *testing.T) {
		applied, ok := mir.Update(3, 5, []Item{NewItem("b", []byte("1"), 5)})
		assert.Assert(t, ok)
		assert.Equal(t, len(applied), 0)
	})
	t.Run("changes after a gap are refused", func(t *testing.T) {
		_, ok := mir.Update(6, 9, []Item{NewItem("c", nil, 9)})
		assert.Assert(t, !ok)
		assert.Equal(t, mir.Position(), Position(5))
	})
	t.Run("older state is ignored", func(t *testing.T) {
		assert.Equal(t, len(mir.Replace(4, nil)), 0)
		assert.Equal(t, mir.Position(), Position(5))
	})
	t.Run("keys that a later state lacks are deleted", func(t *testing.T) {
		applied := mir.Replace(8, []Item{NewItem("b", []byte("1"), 5)})
		assert.DeepEqual(t, keysOf(applied), []string{"a"})
		assert.Assert(t, applied[0].Deleted())
	})
	t.Run("changes for a lagging peer include deletions", func(t *testing.T) {
		changes, whole := mir.ChangesSince(5)
		assert.Assert(t, !whole)
		assert.DeepEqual(t, keysOf(changes), []string{"a"})
	})
}

// Guards against an item that a peer keeps although it was deleted, because the process
// that it asks started after the deletion.
func TestUnknownDeletionsRequireFullState(t *testing.T) {
	mir := New()
	mir.Replace(5, []Item{NewItem("a", nil, 3)})
	_, whole := mir.ChangesSince(4)
	assert.Assert(t, whole)
	_, whole = mir.ChangesSince(5)
	assert.Assert(t, !whole)
}

func TestCompactedDeletionsRequireFullState(t *testing.T) {
	mir := New()
	for rev := Position(1); rev <= 2*maxDeletions; rev++ {
		mir.Update(rev-1, rev, []Item{NewDeletion(string(rune(rev)), rev)})
	}
	_, whole := mir.ChangesSince(1)
	assert.Assert(t, whole)
	_, whole = mir.ChangesSince(mir.Position() - 1)
	assert.Assert(t, !whole)
	assert.Assert(t, len(mir.items) <= maxDeletions+1)
}
