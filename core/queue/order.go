package queue

import (
	"time"

	"lagoondrum/core/share"
)

// firstTurn is how often the first request of a flow goes before later requests of
// other flows: once in so many turns, so that callers without an open flow are
// served in a lasting overload too.
const firstTurn = 16

// Pace is how fast an upstream serves.
type Pace struct {
	answerTime time.Duration
	interval   time.Duration
	slotsFree  []time.Time // When each slot is expected to be free; only for an order by cost.
}

// WithSlots returns the pace of an upstream whose slots are expected to be free at the
// given times.
func (pce Pace) WithSlots(free []time.Time) Pace {
	pce.slotsFree = free
	return pce
}

// NewPace returns the pace of an upstream that takes answerTime for an answer and
// has capacity for a further request once per interval.
func NewPace(answerTime, interval time.Duration) Pace {
	return Pace{answerTime: answerTime, interval: interval}
}

// next returns the index of the request to serve next.
func (que *Queue) next(pce Pace, now time.Time) int {
	if que.order != nil {
		return que.order.Next(que.demands(), pce.slotsFree, now)
	}
	answerAt := now.Add(pce.answerTime)
	best := 0
	for i, req := range que.waiting[1:] {
		if que.precedes(req, que.waiting[best], answerAt) {
			best = i + 1
		}
	}
	return best
}

// precedes reports whether a request goes before other, which arrived earlier.
// Requests that can still meet their objective go first, because late ones lose
// little by waiting. Then the route with the higher priority goes first, and among
// requests in time later requests of flows: clients repeat a failed request on
// another flow, so that the first request of a flow may be late already. Otherwise
// the order is that of arrival.
func (que *Queue) precedes(req, other Request, answerAt time.Time) bool {
	rnk, otherRank := req.rankAt(answerAt), other.rankAt(answerAt)
	switch {
	case rnk != otherRank:
		return rnk < otherRank
	case req.priority != other.priority:
		return req.priority < other.priority
	case rnk == inTime && req.first != other.first:
		return req.first == (que.turns%firstTurn == firstTurn-1)
	default:
		return false
	}
}

// Prospect returns what a request that is not queued yet can expect by the order by
// cost, Unplanned without that order.
func (que *Queue) Prospect(req Request, pce Pace, now time.Time) share.Prospect {
	if que.order == nil {
		return share.Unplanned
	}
	dmds := append(que.demands(), req.demand())
	return que.order.Plan(dmds, pce.slotsFree, now).Prospect(len(dmds) - 1)
}

// demands returns what the requests need, in order of arrival.
func (que *Queue) demands() []share.Demand {
	dmds := make([]share.Demand, 0, len(que.waiting)+1)
	for _, req := range que.waiting {
		dmds = append(dmds, req.demand())
	}
	return dmds
}

func (req Request) demand() share.Demand {
	dmd := share.NewDemand(req.key, req.first, req.priority, req.objectiveDeadline, req.givenUpAt)
	if req.Closed() {
		dmd = dmd.WithClosed()
	}
	return dmd
}
