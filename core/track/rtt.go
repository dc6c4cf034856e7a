package track

import "time"

// Bounds of the time that agents are given, and the gains of its estimate, which
// are those of TCP's retransmission timer.
const (
	minAnswer  = 60 * time.Millisecond  // An agent's own limit of 45 ms for its upstream, and the way.
	maxAnswer  = 400 * time.Millisecond // Beyond this a client's next copy comes first.
	gainMean   = 0.125
	gainSpread = 0.25
	spreads    = 4
)

// answerTime estimates how long agents take to answer, queues included. Where
// answers wait behind other packets, asking more agents would only add to the
// queue.
type answerTime struct {
	mean   time.Duration
	spread time.Duration
	factor time.Duration // Doubled by every question without an answer.
}

// note takes an answer into account.
func (ant *answerTime) note(took time.Duration) {
	ant.factor = 1
	off := took - ant.mean
	if off < 0 {
		off = -off
	}
	ant.spread += time.Duration(gainSpread * float64(off-ant.spread))
	ant.mean += time.Duration(gainMean * float64(took-ant.mean))
}

// missed takes a question without an answer into account.
func (ant *answerTime) missed() {
	if ant.limit() < maxAnswer {
		ant.factor = 2 * max(ant.factor, 1)
	}
}

// limit returns how long to wait for an answer.
func (ant *answerTime) limit() time.Duration {
	return min(max((ant.mean+spreads*ant.spread), minAnswer)*max(ant.factor, 1), maxAnswer)
}
