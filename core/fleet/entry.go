package fleet

import "time"

// Time limits of entries that were removed.
const (
	// lapseGrace is how long an upstream still gets new flows after the removal of its
	// entry, while its agent reports that it runs. It is also how long the store has to
	// be whole before a missing entry counts as gone: entries that lapse during an
	// outage return two seconds after its end.
	lapseGrace = 2300 * time.Millisecond
	// lapseMargin is the time that the last flows of a lapsed upstream take to reach it.
	lapseMargin = 300 * time.Millisecond
	// returnedRetention is longer than the store keeps the entry of an upstream that has
	// ended, after it has returned from a copy that lists it.
	returnedRetention = 10 * time.Second
	// departedRetention is the longest lifetime of a flow and the time for which a
	// balancer that is cut off may open flows by an older state.
	departedRetention = 75 * time.Second
)

// entry is the life of one entry of the platform. While it is listed, and for a while
// after its removal, when it has lapsed, its upstream gets new flows. Then the upstream
// has departed: it gets none, but may hold flows until it is known to have ended.
type entry struct {
	upstream    *Upstream
	removedAt   time.Time // When the removal was learned; zero while the entry is listed.
	lapsedUntil time.Time // Zero unless the entry has lapsed.
	aged        bool      // The removal is returnedRetention ago.
}

func (ent *entry) removed() bool  { return !ent.removedAt.IsZero() }
func (ent *entry) lapsed() bool   { return !ent.lapsedUntil.IsZero() }
func (ent *entry) departed() bool { return ent.removed() && !ent.lapsed() }

// rank orders the entries of an address before the start of their upstreams does. An
// upstream that gets new flows and is known to run goes first. A departed one keeps its
// address from a doubtful predecessor that a store from a copy may list, but not for ever,
// as the clock by which it started later may have been wrong.
func (ent *entry) rank() int {
	switch {
	case ent.departed() && ent.aged:
		return 0
	case ent.departed() || ent.upstream.doubtful:
		return 1
	default:
		return 2
	}
}

// PutEntry adds an upstream, or replaces what its former entry said. It ends the removed
// upstreams with its address, each of which it succeeds.
func (flt *Fleet) PutEntry(ups *Upstream, now time.Time) {
	known := flt.entries[ups.id]
	switch {
	case known == nil:
	case known.upstream.sameIncarnation(ups):
		ups.seenAt = known.upstream.seenAt
	default:
		flt.noteChange(known.upstream, Succeeded)
	}
	flt.entries[ups.id] = &entry{upstream: ups}
	for id, ent := range flt.entries {
		if ent.upstream.address == ups.address && ent.removed() && flt.succeeds(ups, ent.upstream, known == nil) {
			delete(flt.entries, id)
			flt.noteChange(ent.upstream, Succeeded)
		}
	}
	flt.rebuild()
}

// succeeds reports whether the entry of ups proves that an upstream whose entry was
// removed has ended: it started later, or was registered first after the removal.
func (flt *Fleet) succeeds(ups, removed *Upstream, registered bool) bool {
	return !ups.doubtful && flt.namesService(ups.service) && (registered || ups.startedLater(removed))
}

// RemoveEntry removes an entry that has gone from the store. The upstream lapses, or if
// it was draining, departs. One that has no VM, as a successor has, has ended.
func (flt *Fleet) RemoveEntry(id string, now time.Time) {
	ent := flt.entries[id]
	if ent == nil || ent.removed() {
		return
	}
	ent.removedAt = now
	switch {
	case flt.agents[ent.upstream.address].entry != ent:
		delete(flt.entries, id)
		flt.noteChange(ent.upstream, Succeeded)
	case ent.upstream.draining:
		flt.depart(ent, Drained)
	default:
		ent.lapsedUntil = flt.lapseEnd(now)
	}
	flt.rebuild()
}

// depart ends the time in which an upstream without an entry gets new flows.
func (flt *Fleet) depart(ent *entry, cse ChangeCause) {
	ent.lapsedUntil = time.Time{}
	if agt := flt.agents[ent.upstream.address]; agt != nil && agt.entry == ent {
		agt.vouched = false
	}
	flt.noteChange(ent.upstream, cse)
}

// Tick lets lapsed upstreams depart once lapseGrace has passed or their agent is leaving
// or dead, and drops those that have ended. It reports whether there was any change.
func (flt *Fleet) Tick(now time.Time) bool {
	before, aged := len(flt.changes), false
	for id, ent := range flt.entries {
		if !ent.removed() {
			continue
		}
		agt := flt.agents[ent.upstream.address]
		if agt.entry != ent {
			if !now.Before(ent.removedAt.Add(lapseGrace)) {
				delete(flt.entries, id)
				flt.noteChange(ent.upstream, Succeeded)
			}
			continue
		}
		if agt.down {
			flt.drop(ent, AgentDown)
			continue
		}
		if ent.lapsed() {
			flt.departIfDue(ent, agt, now)
		}
		if !agt.absent && flt.confirmed.provesAbsence(ent.removedAt) {
			agt.absent = true
			flt.noteChange(ent.upstream, Absent)
		}
		if ent.departed() {
			flt.dropIfDue(ent, agt, now)
		}
		if !ent.aged && !now.Before(ent.removedAt.Add(returnedRetention)) {
			ent.aged, aged = true, true
		}
	}
	changed := len(flt.changes) > before
	if changed || aged {
		flt.rebuild()
	}
	return changed
}

// departIfDue lets a lapsed upstream depart if it may get no more new flows.
func (flt *Fleet) departIfDue(ent *entry, agt *Agent, now time.Time) {
	switch {
	case !now.Before(ent.lapsedUntil):
		flt.depart(ent, GraceOver)
	case agt.leaving:
		flt.depart(ent, AgentLeaving)
	case agt.Dead(now):
		flt.depart(ent, AgentSilent)
	}
}

// dropIfDue drops a departed upstream that has ended, unless its agent answers and may
// know better, and one whose flows are all too old.
func (flt *Fleet) dropIfDue(ent *entry, agt *Agent, now time.Time) {
	switch {
	case agt.absent && agt.Dead(now):
		flt.drop(ent, Dropped)
	case !now.Before(ent.removedAt.Add(departedRetention)):
		flt.drop(ent, Expired)
	}
}

func (flt *Fleet) drop(ent *entry, cse ChangeCause) {
	delete(flt.entries, ent.upstream.id)
	flt.noteChange(ent.upstream, cse)
}
