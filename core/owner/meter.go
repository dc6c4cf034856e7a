package owner

import (
	"math"
	"time"

	"lagoondrum/core/hop"
)

// meterTime is the time constant of the average of requests under way: a few
// times the usual length of a request.
const meterTime = 150 * time.Millisecond

// sixteenths is the unit of a load word.
const sixteenths = 16

// meter counts the requests that wait for an answer of the upstream.
type meter struct {
	running int
	first   int // Of those running, the first of their flows.
	average float64
	at      time.Time
}

func (mtr *meter) begin(rec *record, now time.Time) {
	if !rec.busy {
		rec.busy = true
		rec.askedAt = now
		mtr.advance(now)
		mtr.running++
		if !rec.answered {
			mtr.first++
		}
	}
}

func (mtr *meter) end(rec *record, now time.Time) {
	if rec.busy {
		rec.busy = false
		mtr.advance(now)
		mtr.running--
		if !rec.answered {
			mtr.first--
			rec.answered = true
		}
	}
}

func (mtr *meter) advance(now time.Time) {
	if elapsed := now.Sub(mtr.at); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(meterTime))
		mtr.average = mtr.average*keep + float64(mtr.running)*(1-keep)
		mtr.at = now
	}
}

// load returns the larger of the average and what runs now, so that a burst
// counts at once and its end with delay, and on top of it what is queued.
func (mtr *meter) load(now time.Time, queued, flows int) hop.Load {
	mtr.advance(now)
	requests := max(mtr.average, float64(mtr.running)) + float64(queued)
	return hop.NewLoad(int(requests*sixteenths), flows)
}
