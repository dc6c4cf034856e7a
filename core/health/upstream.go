package health

import "time"

// Thresholds of the health of an upstream.
const (
	maxFailures       = 5               // Failures without a success in between after which the upstream is down.
	successesPerStep  = 4               // Successes, not interrupted by Shed or Failure, that raise the limit by one slot.
	downRetryInterval = time.Second     // Between trial requests to an upstream that is down.
	shedBackoff       = 2 * time.Second // An upstream that shed a request takes no new flows for this long.
)

// Evidence is one observation of an upstream: Success, Shed or Failure.
type Evidence interface{ evidence() }

// Success is a complete answer without a server error.
type Success struct{}

// Shed is a rejection for lack of capacity: the upstream did not run the request.
type Shed struct{}

// Failure is a broken connection, an incomplete answer or a server error.
type Failure struct{}

func (Success) evidence() {}
func (Shed) evidence()    {}
func (Failure) evidence() {}

// Upstream is the health and the concurrency limit of one upstream. It is judged
// by the outcomes of requests, not by health endpoints of the upstream. The limit
// rises by one slot after successes and is halved when the upstream sheds.
type Upstream struct {
	slots     int
	limit     int
	successes int
	failures  int
	retryAt   time.Time
	shedUntil time.Time
}

// NewUpstream returns an upstream that has just started. It may use one slot until
// successes raise the limit.
func NewUpstream(slots int) *Upstream { return &Upstream{slots: slots, limit: 1} }

// SetSlots sets how many slots the upstream has.
func (ups *Upstream) SetSlots(slots int) {
	ups.slots = slots
	ups.limit = min(ups.limit, slots)
}

// Limit returns the number of slots that may be used now. An upstream that is down
// gets one trial request at a time.
func (ups *Upstream) Limit(now time.Time) int {
	if ups.Down() && now.Before(ups.retryAt) {
		return 0
	}
	return ups.limit
}

// Down reports whether the upstream failed maxFailures times without a success in
// between.
func (ups *Upstream) Down() bool { return ups.failures >= maxFailures }

// Refusing reports whether the upstream is down or shed a request recently, so that
// new flows should go to another one.
func (ups *Upstream) Refusing(now time.Time) bool {
	return ups.Down() || now.Before(ups.shedUntil)
}

// Note updates the health and the limit by an observation.
func (ups *Upstream) Note(ev Evidence, now time.Time) {
	switch ev.(type) {
	case Success:
		ups.noteSuccess()
	case Shed:
		ups.limit = max(ups.limit/2, 1)
		ups.successes = 0
		ups.shedUntil = now.Add(shedBackoff)
	case Failure:
		ups.failures++
		ups.successes = 0
		if ups.Down() {
			ups.limit = 1
			ups.retryAt = now.Add(downRetryInterval)
		}
	}
}

func (ups *Upstream) noteSuccess() {
	ups.failures = 0
	ups.successes++
	if ups.successes >= successesPerStep && ups.limit < ups.slots {
		ups.successes = 0
		ups.limit++
	}
}
