package health

import (
	"sync/atomic"
	"time"
)

// Thresholds of a pause.
const (
	PauseAfter = 500 * time.Millisecond // A gap between ticks of this length is a pause.
	WakeFor    = time.Second            // What arrives this long after a pause may have waited through it.
)

// Pause finds out that its own process was stopped for a while. What arrives
// right after may have waited in a socket all that time, so the pause is charged
// to its deadline.
type Pause struct {
	tickAt atomic.Int64 // The last tick, ns.
	length atomic.Int64 // Of the last pause, ns.
	until  atomic.Int64 // Until when it is charged, ns.
}

// Tick records that the process runs. It has to come more often than PauseAfter.
func (pse *Pause) Tick(now time.Time) {
	if gap := pse.gap(now); gap >= PauseAfter {
		pse.length.Store(int64(gap))
		pse.until.Store(now.Add(WakeFor).UnixNano())
	}
	pse.tickAt.Store(now.UnixNano())
}

// Charge returns how long something that arrives now may have waited already.
func (pse *Pause) Charge(now time.Time) time.Duration {
	if gap := pse.gap(now); gap >= PauseAfter {
		return gap
	}
	if now.UnixNano() < pse.until.Load() {
		return time.Duration(pse.length.Load())
	}
	return 0
}

func (pse *Pause) gap(now time.Time) time.Duration {
	if at := pse.tickAt.Load(); at != 0 {
		return time.Duration(now.UnixNano() - at)
	}
	return 0
}
