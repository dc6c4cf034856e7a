package health

import (
	"sync/atomic"
	"time"
)

// Thresholds of the detection of pauses.
const (
	PauseThreshold = 500 * time.Millisecond // A gap between ticks of at least this length is a pause.
	BacklogTime    = time.Second            // What arrives within this time after a pause may have waited for its whole length.
)

// PauseDetector detects that the own process was stopped for a while. A request that
// arrives right after may have waited in a socket buffer for the whole pause, so
// the length of the pause is subtracted from its deadline.
type PauseDetector struct {
	lastTickAt   atomic.Int64 // In Unix ns; 0 before the first tick.
	pauseLength  atomic.Int64 // Length of the last pause, in ns.
	backlogUntil atomic.Int64 // Until when arrivals may have waited for the last pause, in Unix ns.
}

// Tick records that the process runs. It has to be called at intervals shorter than
// PauseAfter.
func (pse *PauseDetector) Tick(now time.Time) {
	if gap := pse.sinceTick(now); gap >= PauseThreshold {
		pse.pauseLength.Store(int64(gap))
		pse.backlogUntil.Store(now.Add(BacklogTime).UnixNano())
	}
	pse.lastTickAt.Store(now.UnixNano())
}

// Delay returns how long a request that arrives now may have waited already.
func (pse *PauseDetector) Delay(now time.Time) time.Duration {
	if gap := pse.sinceTick(now); gap >= PauseThreshold {
		return gap
	}
	if now.UnixNano() < pse.backlogUntil.Load() {
		return time.Duration(pse.pauseLength.Load())
	}
	return 0
}

// sinceTick returns the time since the last tick, 0 before the first one.
func (pse *PauseDetector) sinceTick(now time.Time) time.Duration {
	if at := pse.lastTickAt.Load(); at != 0 {
		return time.Duration(now.UnixNano() - at)
	}
	return 0
}
