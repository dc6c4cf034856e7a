package fleet

import (
	"time"

	"lagoondrum/core/warm"
)

// SetColdBounds sets how far cold upstreams may be loaded beyond their rates, which the
// desired state has.
func (flt *Fleet) SetColdBounds(bds warm.Bounds) {
	flt.coldBounds = bds
	flt.rebuild()
}

// setColdLimit sets the limit of an agent's upstream while it is cold.
func (flt *Fleet) setColdLimit(agt *Agent) {
	agt.coldLimit, agt.coldLimited = 0, false
	if flt.state != nil {
		agt.coldLimit, agt.coldLimited = flt.coldBounds.Limit(flt.state.ColdRate(agt.upstream.service))
	}
}

// ColdLimit returns how many openings the upstream may get in any second, and false if
// it is not cold or has no limit.
func (agt *Agent) ColdLimit(now time.Time) (limit int, ok bool) {
	return agt.coldLimit, agt.coldLimited && agt.upstream.Cold(now)
}

// ColdWait returns how long it takes until the upstream probably has room for another
// opening while it is cold, 0 when it has.
func (agt *Agent) ColdWait(now time.Time) time.Duration {
	if limit, ok := agt.ColdLimit(now); ok {
		return agt.coldRoom.Wait(limit, now)
	}
	return 0
}

// NoteColdReport records what the agent reports of its cold upstream's room.
func (agt *Agent) NoteColdReport(rep warm.Report, now time.Time) {
	agt.coldRoom = warm.NewRoom(rep, now)
}

// NoteColdRefusal records that the agent refused an opening because its cold upstream
// has no room.
func (agt *Agent) NoteColdRefusal(now time.Time) {
	if limit, ok := agt.ColdLimit(now); ok {
		agt.coldRoom = agt.coldRoom.Refused(limit, now)
	}
}
