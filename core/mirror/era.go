package mirror

import (
	"bytes"

	"lagoondrum/core/epoch"
)

// Classify tells what an item is about.
type Classify func(key string, value []byte) epoch.Subject

// SetClassify sets how items are told apart over a return of the store.
func (mir *Mirror) SetClassify(cls Classify) { mir.classify = cls }

// Judgement is a verdict on the item with a key, other than that the store's item is
// taken.
type Judgement struct {
	key     string
	known   Position
	verdict epoch.Verdict
}

// Key returns the item's key.
func (jdg Judgement) Key() string { return jdg.key }

// Known returns the position of the item that was known before.
func (jdg Judgement) Known() Position { return jdg.known }

// Verdict returns the verdict.
func (jdg Judgement) Verdict() epoch.Verdict { return jdg.verdict }

// TakeJudgements returns the judgements since the last call.
func (mir *Mirror) TakeJudgements() []Judgement {
	jdgs := mir.judgements
	mir.judgements = nil
	return jdgs
}

// holds reports whether an item is kept from an earlier era.
func (mir *Mirror) holds(itm Item) bool {
	return !itm.deleted && itm.position.Era() < mir.position.Era()
}

// enter sets the mirror's position, which may be in a later era.
func (mir *Mirror) enter(position Position) {
	if position.Era() > mir.position.Era() {
		mir.left = mir.position
	}
	mir.position = position
}

// cross applies the changes that lead to a position in a later era. Items that they do
// not name are the same there, at the same revision.
func (mir *Mirror) cross(position Position, changes []Item) (applied []Item) {
	named := make(map[string]bool, len(changes))
	for _, itm := range changes {
		named[itm.key] = true
		applied = mir.merge(itm, position, applied)
	}
	for key, itm := range mir.items {
		if named[key] || itm.deleted || mir.holds(itm) {
			continue
		}
		itm.position += Position(position.Era()-itm.position.Era()) << revisionBits
		itm.carried = true
		mir.put(itm)
	}
	mir.enter(position)
	return applied
}

// crossesFrom reports whether the mirror knows what followed a position in an earlier
// era.
func (mir *Mirror) crossesFrom(after Position) bool {
	return after > 0 && after <= mir.left && after.Era() == mir.left.Era()
}

// changedSince reports whether an item has changed after a position.
func (mir *Mirror) changedSince(itm Item, after Position) bool {
	if itm.carried && after.Era() < mir.position.Era() {
		return itm.position.Revision() > after.Revision()
	}
	return itm.position > after
}

// Held returns the number of items that are kept from an earlier era.
func (mir *Mirror) Held() int {
	count := 0
	for _, itm := range mir.items {
		if mir.holds(itm) {
			count++
		}
	}
	return count
}

// merge takes an item of the state at a position into the mirror unless the known one
// is newer, and appends it to applied if its value is new.
func (mir *Mirror) merge(itm Item, position Position, applied []Item) []Item {
	itm.carried = false // At another process.
	known, found := mir.items[itm.key]
	if !found && mir.position > 0 && itm.position.Era() > mir.position.Era() {
		// Whatever the former era listed is known, so the key had been deleted there, or
		// had not been listed yet.
		known, found = NewDeletion(itm.key, mir.position), true
	}
	switch {
	case !found:
	case itm.position.Era() == known.position.Era():
		if known.position >= itm.position {
			mir.noteLacked(known, itm, position)
			return applied
		}
	case itm.position.Era() < known.position.Era():
		if !known.deleted && itm.mark == Lacked && known.position.Era() == position.Era() && known.position <= position {
			itm = NewDeletion(itm.key, position) // Listed in this era, and lacked since.
			break
		}
		if known.deleted || !isHeld(mir.judge(itm, known, known.position.Revision() >= itm.position.Revision())) {
			mir.noteLacked(known, itm, position)
			return applied // The era has told what became of the key.
		}
	case !itm.deleted:
		return mir.succeed(known, itm, applied)
	}
	mir.put(itm)
	return append(applied, itm)
}

// noteLacked takes over a peer's mark, by which the hold of an item expires here too. The
// peer may have missed later versions of the item, which the state at a position lacks
// as well.
func (mir *Mirror) noteLacked(known, peers Item, position Position) {
	if peers.mark == Lacked && !known.deleted && known.position.Era() < position.Era() {
		mir.put(known.WithMark(Lacked))
	}
}

// succeed lets an item of a later era replace the known one, if its judgement allows.
func (mir *Mirror) succeed(known, itm Item, applied []Item) []Item {
	same := !known.deleted && bytes.Equal(known.value, itm.value)
	crossing := itm.position.Era() > mir.position.Era()
	// What the copy holds was written before the known item, at a lower revision, or is
	// the known item.
	rewritten := itm.position.Revision() > known.position.Revision() || itm.position.Revision() == known.position.Revision() && !same || !crossing && itm.position > mir.position
	if known.mark == Doubtful && !rewritten {
		itm = itm.WithMark(Doubtful)
	}
	if same && known.mark == itm.mark {
		itm.carried = crossing && !mir.holds(known) && known.position.Revision() == itm.position.Revision()
		mir.put(itm)
		return applied
	}
	vdt := mir.judge(known, itm, rewritten)
	switch vdt.(type) {
	case epoch.Hold:
		mir.note(known, vdt)
		return applied
	case epoch.Doubt:
		mir.note(known, vdt)
		itm = itm.WithMark(Doubtful)
	case epoch.Take:
	}
	mir.put(itm)
	return append(applied, itm)
}

// judge judges an item of a later era against one of an earlier era.
func (mir *Mirror) judge(earlier, later Item, rewritten bool) epoch.Verdict {
	subject := mir.classify(later.key, later.value)
	if earlier.deleted {
		return epoch.JudgeReturned(subject, rewritten)
	}
	return epoch.JudgeChanged(mir.classify(earlier.key, earlier.value), subject, rewritten)
}

// holdsLacked reports whether an item that the state at a position lacks is kept.
func (mir *Mirror) holdsLacked(itm Item, position Position) bool {
	if itm.position.Era() == position.Era() {
		return false
	}
	vdt := epoch.JudgeLacked(mir.classify(itm.key, itm.value))
	if !isHeld(vdt) {
		return false
	}
	if itm.mark != Lacked {
		mir.put(itm.WithMark(Lacked))
		mir.note(itm, vdt)
	}
	return true
}

func isHeld(vdt epoch.Verdict) bool {
	_, held := vdt.(epoch.Hold)
	return held
}

func (mir *Mirror) note(known Item, vdt epoch.Verdict) {
	mir.judgements = append(mir.judgements, Judgement{key: known.key, known: known.position, verdict: vdt})
}

// Settle deletes the held items that the store has lacked until its recovery ended,
// and returns the deletions.
func (mir *Mirror) Settle(rcv epoch.Recovery) []Item {
	if mir.lackedCount == 0 {
		return nil
	}
	var applied []Item
	for _, itm := range mir.items {
		if !mir.holds(itm) || itm.mark != Lacked {
			continue
		}
		subject := mir.classify(itm.key, itm.value)
		if hld, ok := epoch.JudgeLacked(subject).(epoch.Hold); ok && hld.Expires() && rcv.Ended(subject) {
			applied = append(applied, NewDeletion(itm.key, mir.position))
		}
	}
	for _, itm := range applied {
		mir.put(itm)
	}
	return applied
}
