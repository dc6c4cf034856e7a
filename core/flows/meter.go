package flows

import (
	"math"
	"time"

	"lagoondrum/core/encap"
)

// loadTimeConstant is the time constant of the moving average of running requests:
// a few times the usual duration of a request.
const loadTimeConstant = 150 * time.Millisecond

// loadUnitsPerRequest is the resolution of load reports, which count requests in
// sixteenths.
const loadUnitsPerRequest = 16

// meter counts the requests that wait for an answer from the upstream.
type meter struct {
	running   int // Requests that wait for an answer.
	overdue   int // Those of them that have waited for much longer than others.
	begun     []pendingRequest
	waiting   []pendingRequest // Overdue ones that takeUnanswered has not looked at.
	average   float64
	updatedAt time.Time
}

// pendingRequest is a request that has begun and may have ended since.
type pendingRequest struct {
	record  *record
	begunAt time.Time
}

// pending reports whether the request has neither ended nor been given up.
func (req pendingRequest) pending() bool {
	return req.record.requestPending && req.record.requestedAt.Equal(req.begunAt)
}

// begin counts the request of a flow, unless one is running already.
func (mtr *meter) begin(rec *record, now time.Time) {
	if !rec.requestPending {
		rec.requestPending = true
		rec.requestedAt = now
		rec.requestBehind = mtr.running - mtr.overdue
		mtr.advance(now)
		mtr.running++
		mtr.begun = append(mtr.begun, pendingRequest{record: rec, begunAt: now})
	}
}

// end stops counting the request of a flow: it was answered or is given up.
func (mtr *meter) end(rec *record, now time.Time) {
	if rec.requestPending {
		rec.requestPending = false
		mtr.advance(now)
		mtr.running--
		if rec.requestOverdue {
			rec.requestOverdue = false
			mtr.overdue--
		}
	}
}

// markOverdue marks the running requests that began at or before a time.
func (mtr *meter) markOverdue(begunUntil time.Time) {
	for len(mtr.begun) > 0 {
		req := mtr.begun[0]
		pending := req.pending()
		if pending && req.begunAt.After(begunUntil) {
			return
		}
		mtr.begun = mtr.begun[1:]
		if pending {
			req.record.requestOverdue = true
			mtr.overdue++
			mtr.waiting = append(mtr.waiting, req)
		}
	}
}

// takeUnanswered returns how many of the overdue requests began at or before a time and
// have no answer, and counts each of them once.
func (mtr *meter) takeUnanswered(begunUntil time.Time) int {
	count := 0
	for len(mtr.waiting) > 0 && !mtr.waiting[0].begunAt.After(begunUntil) {
		if mtr.waiting[0].pending() {
			count++
		}
		mtr.waiting = mtr.waiting[1:]
	}
	return count
}

// advance brings the moving average up to now.
func (mtr *meter) advance(now time.Time) {
	if elapsed := now.Sub(mtr.updatedAt); elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(loadTimeConstant))
		mtr.average = mtr.average*decay + float64(mtr.running)*(1-decay)
		mtr.updatedAt = now
	}
}

// load returns the larger of the moving average and the requests that run now,
// plus those that wait. So a burst counts at once, and its end with a delay.
func (mtr *meter) load(now time.Time, waiting, flows int) encap.Load {
	mtr.advance(now)
	requests := max(mtr.average, float64(mtr.running)) + float64(waiting)
	return encap.NewLoad(int(requests*loadUnitsPerRequest), flows)
}
