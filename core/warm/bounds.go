// Package warm limits what an upstream gets while it is cold, which is for some seconds
// after its start. It handles the load of a service that is replaced, or of an
// availability zone that is taken back, when all balancers at once turn to upstreams
// that are idle because they have just started. The agent beside an upstream holds the
// limit (Gate), and balancers estimate how much of it is left (Room).
package warm

import (
	"math"
	"time"
)

// span is the length of the window that a limit holds for: a second, and the time by
// which the ways from the agent to its upstream may differ.
const span = time.Second + 20*time.Millisecond

// maxLimit bounds the memory of a window to 96 KB. A higher limit is lowered to it; no
// upstream that is cold takes as many.
const maxLimit = 1 << 12

// Bounds are how far a cold upstream may be loaded beyond its rate.
type Bounds struct {
	overage float64
	slack   float64
}

// NewBounds returns the bounds for overage times a rate and slack openings besides. An
// overage of 0 states no bounds.
func NewBounds(overage, slack float64) Bounds { return Bounds{overage: overage, slack: slack} }

// Limit returns how many openings an upstream of the given rate may get in any second
// while it is cold, and false when there is no limit.
func (bds Bounds) Limit(rate float64) (limit int, ok bool) {
	if !(rate > 0) || !(bds.overage > 0) {
		return 0, false
	}
	return int(math.Min(rate*bds.overage+bds.slack, maxLimit)), true
}
