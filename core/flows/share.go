package flows

import (
	"slices"
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/queue"
	"lagoondrum/core/share"
)

// ShareByCost sets whether requests wait and are refused by what that costs callers.
func (tbl *Table) ShareByCost(on bool) {
	adm := &tbl.admission
	if on == (adm.order != nil) {
		return
	}
	adm.order = nil
	if on {
		adm.order = share.New()
	}
	adm.queue.SetOrder(adm.order)
}

// SharesByCost reports whether requests wait and are refused by what that costs callers.
func (tbl *Table) SharesByCost() bool { return tbl.admission.order != nil }

// Work returns how long the requests of a route take in a slot, 0 when that is not
// known.
func (tbl *Table) Work(address flow.Endpoint) time.Duration {
	if tbl.admission.order == nil {
		return 0
	}
	return tbl.admission.order.Work().Mean(address)
}

// prospect returns what a request that comes now can expect.
func (tbl *Table) prospect(req queue.Request, now time.Time) share.Prospect {
	if tbl.admission.order == nil {
		return share.Unplanned
	}
	return tbl.admission.queue.Prospect(req, tbl.pace(now), now)
}

// refusesByCost reports whether an opening is refused while the upstream is full: the
// first agent that is asked leaves it to one that may have capacity, others refuse it
// if its client is expected to give up before its answer. It has not run then.
func (tbl *Table) refusesByCost(req queue.Request, queueIfFull bool, now time.Time) bool {
	prs := tbl.prospect(req, now)
	if queueIfFull && prs != share.Hopeless {
		return false
	}
	tbl.actions = append(tbl.actions, Action{kind: NoteRefused, key: req.Key(), deadline: req.ObjectiveDeadline(), prospect: prs})
	return true
}

// noteWork learns the work of an answered request that did not wait for a slot.
func (tbl *Table) noteWork(key flow.Key, rec *record, now time.Time) {
	if ord := tbl.admission.order; ord != nil && rec.requestBehind < tbl.admission.slots {
		ord.Work().Note(key.Service(), now.Sub(rec.requestedAt))
	}
}

// slotsFree returns when each slot of the upstream is expected to be free: it runs its
// requests in the order in which it got them.
func (tbl *Table) slotsFree(now time.Time) []time.Time {
	free := make([]time.Time, max(tbl.admission.slots, 1))
	for i := range free {
		free[i] = now
	}
	started := 0
	for _, req := range tbl.meter.begun {
		rec := req.record
		if !rec.requestPending || !rec.requestedAt.Equal(req.begunAt) {
			continue
		}
		left := tbl.admission.order.Work().Mean(rec.address)
		if started < len(free) {
			left = tbl.admission.order.Work().Left(rec.address, now.Sub(rec.requestedAt))
		}
		started++
		slices.SortFunc(free, time.Time.Compare)
		free[0] = free[0].Add(left)
	}
	return free
}
