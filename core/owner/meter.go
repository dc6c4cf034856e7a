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
	average float64
	at      time.Time
}

func (mtr *meter) begin(rec *record, now time.Time) {
	if !rec.busy {
		rec.busy = true
		mtr.advance(now)
		mtr.running++
	}
}

func (mtr *meter) end(rec *record, now time.Time) {
	if rec.busy {
		rec.busy = false
		mtr.advance(now)
		mtr.running--
	}
}

func (mtr *meter) advance(now time.Time) {
	if elapsed := now.Sub(mtr.at); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(meterTime))
		mtr.average = mtr.average*keep + float64(mtr.running)*(1-keep)
		mtr.at = now
	}
}

// load returns the larger of the average and what runs now: a burst counts at
// once, its end with delay.
func (mtr *meter) load(now time.Time, flows int) hop.Load {
	mtr.advance(now)
	return hop.NewLoad(int(max(mtr.average, float64(mtr.running))*sixteenths), flows)
}
