package track

import "time"

// Bounds of the answer timeout, and the parameters of its estimate, which are those
// of TCP's retransmission timer (RFC 6298).
const (
	minAnswerTimeout = 60 * time.Millisecond  // An agent waits up to 45 ms for its upstream; the rest is network time.
	maxAnswerTimeout = 400 * time.Millisecond // By then the client has sent the next copy of its opening.
	meanGain         = 0.125
	deviationGain    = 0.25
	deviationFactor  = 4
)

// answerEstimator estimates how long agents take to answer, including the time that
// answers wait in queues. A fixed short timeout would make the balancer ask more
// agents while answers are delayed, which adds to the queues.
type answerEstimator struct {
	mean      time.Duration
	deviation time.Duration
	backoff   time.Duration // Multiplies the timeout; doubled by every opening that is not answered in time.
}

// observe updates the estimate with the time that an answer took, and ends the
// backoff.
func (est *answerEstimator) observe(took time.Duration) {
	est.backoff = 1
	off := took - est.mean
	if off < 0 {
		off = -off
	}
	est.deviation += time.Duration(deviationGain * float64(off-est.deviation))
	est.mean += time.Duration(meanGain * float64(took-est.mean))
}

// backOff doubles the timeout after an unanswered opening, unless it has reached
// its upper bound.
func (est *answerEstimator) backOff() {
	if est.timeout() < maxAnswerTimeout {
		est.backoff = 2 * max(est.backoff, 1)
	}
}

// timeout returns how long to wait for the next answer.
func (est *answerEstimator) timeout() time.Duration {
	return min(max((est.mean+deviationFactor*est.deviation), minAnswerTimeout)*max(est.backoff, 1), maxAnswerTimeout)
}
