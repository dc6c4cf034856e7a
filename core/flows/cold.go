package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// refuseCold refuses an opening beyond the limit of a cold upstream. A copy of one that
// the upstream has answered is not delivered either, but the flow is not refused.
func (tbl *Table) refuseCold(key flow.Key, pkt flow.Packet, from flow.Endpoint, now time.Time) {
	if rec := tbl.records[key]; rec != nil && rec.accepted && rec.isOpenedBy(pkt) {
		rec.balancer = from
		tbl.notifyOpened(key, rec, now)
		return
	}
	tbl.notify(from, encap.New(encap.Refused, tbl.service, key).WithReason(encap.ColdLimit), nil, now)
}

// countColdRequest counts a request against the limit of a cold upstream, before the
// flow's record takes it in. The first request of a flow counts with its opening; later
// ones, and those of flows from before the agent's start, cannot be refused without
// ending their flow, so they leave less room for openings.
func (tbl *Table) countColdRequest(rec *record, now time.Time) {
	first := !rec.dataSeen && !rec.deliveredAt.IsZero()
	if !first && !rec.requestPending && rec.phase != closed {
		tbl.cold.Count(now)
	}
}
