package flow

import "time"

// Urgency is how soon the requests of a route need their answers.
type Urgency struct {
	priority  uint8
	objective time.Duration
	timeout   time.Duration
}

// NewUrgency returns the urgency of requests with a priority, 0 being the highest,
// a latency objective and a timeout after which nobody waits for the answer. Either
// is 0 when there is none.
func NewUrgency(priority uint8, objective, timeout time.Duration) Urgency {
	return Urgency{priority: priority, objective: objective, timeout: timeout}
}

// Priority returns the priority, 0 being the highest.
func (urg Urgency) Priority() uint8 { return urg.priority }

// Objective returns the latency objective, 0 when there is none.
func (urg Urgency) Objective() time.Duration { return urg.objective }

// Timeout returns after which time nobody waits for the answer any more, 0 when
// there is no such time.
func (urg Urgency) Timeout() time.Duration { return urg.timeout }
