package fleet

import "time"

// maxConfirmGap is how long the entries may go without a confirmation before the store
// counts as having been away: entries do not lapse in a shorter outage.
const maxConfirmGap = 2 * time.Second

// confirmation is the span in which the entries were confirmed to be those of the store,
// without a gap.
type confirmation struct {
	since time.Time
	until time.Time
}

func (cfm confirmation) extend(at time.Time) confirmation {
	switch {
	case !at.After(cfm.until):
		return cfm
	case at.Sub(cfm.until) > maxConfirmGap:
		return confirmation{since: at, until: at}
	default:
		return confirmation{since: cfm.since, until: at}
	}
}

// provesAbsence reports whether an entry whose removal was learned at a time is gone for
// good: the store was whole when it was removed, or has been whole for lapseGrace since.
func (cfm confirmation) provesAbsence(removedAt time.Time) bool {
	if cfm.until.Before(removedAt) {
		return false
	}
	if !cfm.since.After(removedAt.Add(-lapseGrace)) {
		return true
	}
	missing := removedAt
	if cfm.since.After(missing) {
		missing = cfm.since
	}
	return cfm.until.Sub(missing) >= lapseGrace
}

// Confirm records that the entries were those of the store at a time.
func (flt *Fleet) Confirm(at time.Time) {
	flt.confirmed = flt.confirmed.extend(at)
	if flt.unsettled && flt.confirmed.until.Sub(flt.confirmed.since) >= lapseGrace {
		flt.unsettled = false
	}
}

// SetMaxAge sets within which time a removal has to take effect, 0 for no limit.
func (flt *Fleet) SetMaxAge(maxAge time.Duration) { flt.maxAge = maxAge }

// NoteAway records that the store did not answer a process at a time.
func (flt *Fleet) NoteAway(at time.Time) { flt.awayAt = at }

// lapseEnd returns until when an upstream gets new flows whose removal is learned now. The
// store may have removed the entry at any time since it was last confirmed, and the
// removal has to take effect within maxAge. Where the store was away since, the entry may
// have lapsed, and no removal counts that the store did not tell.
func (flt *Fleet) lapseEnd(now time.Time) time.Time {
	end := now.Add(lapseGrace)
	if flt.maxAge == 0 || flt.confirmed.until.IsZero() || flt.awayAt.After(flt.confirmed.until) {
		return end
	}
	if bound := flt.confirmed.until.Add(flt.maxAge - lapseMargin); bound.Before(end) {
		return bound
	}
	return end
}

// NoteRestart records that the process starts while others run: upstreams may hold flows
// whose entries have lapsed before.
func (flt *Fleet) NoteRestart() { flt.unsettled = true }

// Settled reports whether every upstream that may hold flows is known. A process that
// has just started does not know the lapsed ones until they are back, or until another
// process tells it.
func (flt *Fleet) Settled() bool { return !flt.unsettled }
