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

// PauseDetector detects that the own process was stopped for a while. A request
// that arrives right after may have waited in a socket buffer for the whole
// pause, so the length of the pause is subtracted from its deadline.
type PauseDetector struct {
	lastTickAt   atomic.Int64 // In Unix ns; at first when the detector was made.
	pauseLength  atomic.Int64 // Length of the last pause, in ns.
	backlogUntil atomic.Int64 // Until when arrivals may have waited for the last pause, in Unix ns.
}

// NewPauseDetector returns a detector of a process that runs at now. A pause before the
// first tick is detected too.
func NewPauseDetector(now time.Time) *PauseDetector {
	det := &PauseDetector{}
	det.lastTickAt.Store(now.UnixNano())
	return det
}

// Tick records that the process runs. It has to be called at intervals shorter than
// PauseThreshold.
func (det *PauseDetector) Tick(now time.Time) {
	if gap := det.sinceTick(now); gap >= PauseThreshold {
		det.pauseLength.Store(int64(gap))
		det.backlogUntil.Store(now.Add(BacklogTime).UnixNano())
	}
	det.lastTickAt.Store(now.UnixNano())
}

// Delay returns how long a request that arrives now may have waited already.
func (det *PauseDetector) Delay(now time.Time) time.Duration {
	if gap := det.sinceTick(now); gap >= PauseThreshold {
		return gap
	}
	if now.UnixNano() < det.backlogUntil.Load() {
		return time.Duration(det.pauseLength.Load())
	}
	return 0
}

// sinceTick returns the time since the last tick.
func (det *PauseDetector) sinceTick(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - det.lastTickAt.Load())
}
