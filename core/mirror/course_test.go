package mirror

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagoondrum/core/epoch"
)

// course is a store that returns from copies, and the processes that follow it.
type course struct {
	era, revision, written uint64
	items, copied          map[string]Item
	copiedRevision         uint64
	truth                  map[string]string // What the writers want the store to hold.
	mirrors                []*Mirror
	goals                  []uint64 // The highest version that each mirror has had.
}

var courseKeys = []string{"goal", "a", "b", "c", "order"}

// write writes a key's value, or deletes the key.
func (crs *course) write(key, value string) {
	crs.revision++
	pos, _ := At(crs.era, crs.revision)
	itm := NewItem(key, []byte(value), pos)
	if value == "" {
		itm = NewDeletion(key, pos)
	}
	crs.items[key] = itm
}

// change lets the writer of a key change it.
func (crs *course) change(key string, kind int) {
	crs.written++
	switch {
	case key == "goal":
		crs.truth[key] = fmt.Sprintf("goal:%d", crs.written)
	case kind == 0:
		crs.truth[key] = ""
	case key == "order":
		crs.truth[key] = "order"
	default:
		crs.truth[key] = fmt.Sprintf("%s:%d", []string{"entry", "drain"}[kind%2], crs.written)
	}
	crs.write(key, crs.truth[key])
}

// comeBack lets the store return from its copy.
func (crs *course) comeBack() {
	crs.era++
	crs.revision = crs.copiedRevision
	crs.items = make(map[string]Item)
	for key, itm := range crs.copied {
		itm.position, _ = At(crs.era, itm.position.Revision())
		crs.items[key] = itm
	}
}

// read lets a mirror read the store.
func (crs *course) read(mir *Mirror) {
	pos, _ := At(crs.era, crs.revision)
	watch := mir.Position().Era() == crs.era
	var items []Item
	for _, itm := range crs.items {
		if watch && itm.position > mir.Position() || !watch && !itm.deleted {
			items = append(items, itm)
		}
	}
	if watch {
		mir.Update(mir.Position(), pos, items)
	} else {
		mir.Replace(pos, items)
	}
}

// pull lets a mirror fetch changes from another one.
func pull(mir, from *Mirror) {
	after := mir.Position()
	if from.Position() <= after {
		return
	}
	if changes, whole := from.ChangesSince(after); whole {
		mir.Replace(from.Position(), changes)
	} else {
		mir.Update(after, from.Position(), changes)
	}
}

// TestCourses plays courses of writes, returns, reads and pulls. No process may go back
// to an older desired state, and once the writers have written again what was lost, all
// agree with the store.
func TestCourses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crs := &course{era: 1, items: make(map[string]Item), copied: make(map[string]Item), truth: make(map[string]string), goals: make([]uint64, 4)}
		crs.change("goal", 1)
		crs.copied, crs.copiedRevision = maps.Clone(crs.items), crs.revision
		for range crs.goals {
			crs.mirrors = append(crs.mirrors, newJudging())
		}
		any := rapid.IntRange(0, len(crs.mirrors)-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				crs.copied, crs.copiedRevision = maps.Clone(crs.items), crs.revision
			case 1:
				crs.comeBack()
			case 2, 3, 4:
				crs.change(rapid.SampledFrom(courseKeys).Draw(t, "key"), rapid.IntRange(0, 3).Draw(t, "kind"))
			case 5, 6:
				crs.read(crs.mirrors[rapid.IntRange(0, 1).Draw(t, "reader")])
			default:
				pull(crs.mirrors[any.Draw(t, "to")], crs.mirrors[any.Draw(t, "from")])
			}
			crs.checkGoals(t)
		}
		for _, key := range courseKeys {
			if crs.truth[key] == "" {
				crs.write(key, "other") // A deletion that nobody has seen; see docs/design/store-era.md.
			} else {
				crs.write(key, crs.truth[key])
			}
		}
		crs.spread(t)
		for _, key := range courseKeys {
			if crs.truth[key] == "" {
				crs.write(key, "")
			}
		}
		crs.spread(t)
		rcv := epoch.Begin(start)
		for age := range 60 {
			rcv = rcv.Confirm(start.Add(time.Duration(age) * time.Second))
		}
		for _, mir := range crs.mirrors {
			mir.Settle(rcv)
			for _, key := range courseKeys {
				itm := mir.items[key]
				assert.Equal(t, string(itm.Value()), crs.truth[key], key)
			}
		}
	})
}

// spread lets one mirror read the store and the others fetch changes one after the
// other.
func (crs *course) spread(t *rapid.T) {
	crs.read(crs.mirrors[0])
	for i := 1; i < len(crs.mirrors); i++ {
		pull(crs.mirrors[i], crs.mirrors[i-1])
	}
	crs.checkGoals(t)
}

// checkGoals checks that no mirror has gone back to an older desired state.
func (crs *course) checkGoals(t *rapid.T) {
	for i, mir := range crs.mirrors {
		var version uint64
		_, _ = fmt.Sscanf(string(mir.items["goal"].Value()), "goal:%d", &version)
		assert.Assert(t, version >= crs.goals[i])
		crs.goals[i] = version
	}
}
