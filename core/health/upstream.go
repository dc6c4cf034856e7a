package health

import "time"

// Thresholds of an upstream.
const (
	failuresToDown = 5
	goodPerStep    = 4               // Good answers that raise the limit by one slot.
	downRetry      = time.Second     // Between trials of an upstream that is down.
	shedPause      = 2 * time.Second // An upstream that shed takes no new flows for this long.
)

// Evidence is one observation of an upstream: Good, Shed or Failed.
type Evidence interface{ evidence() }

// Good is a whole answer.
type Good struct{}

// Shed is the upstream's word that it ran nothing for want of capacity.
type Shed struct{}

// Failed is a connection that broke or an answer that says so.
type Failed struct{}

func (Good) evidence()   {}
func (Shed) evidence()   {}
func (Failed) evidence() {}

// Upstream judges one upstream by what became of work, not by what its own
// endpoints say.
type Upstream struct {
	slots    int
	limit    int
	good     int
	failures int
	trialAt  time.Time
	shedTill time.Time
}

// NewUpstream returns an upstream that just started: one slot until it proves
// itself.
func NewUpstream(slots int) *Upstream { return &Upstream{slots: slots, limit: 1} }

// SetSlots sets how many slots the upstream has.
func (ups *Upstream) SetSlots(slots int) {
	ups.slots = slots
	ups.limit = min(ups.limit, slots)
}

// Limit returns how many slots may be used now. A down upstream gets one trial
// at a time.
func (ups *Upstream) Limit(now time.Time) int {
	if ups.Down() && now.Before(ups.trialAt) {
		return 0
	}
	return ups.limit
}

// Down reports whether the upstream stopped answering.
func (ups *Upstream) Down() bool { return ups.failures >= failuresToDown }

// Refusing reports whether new flows had better go elsewhere.
func (ups *Upstream) Refusing(now time.Time) bool {
	return ups.Down() || now.Before(ups.shedTill)
}

// Note takes an observation into account.
func (ups *Upstream) Note(ev Evidence, now time.Time) {
	switch ev.(type) {
	case Good:
		ups.noteGood()
	case Shed:
		ups.limit = max(ups.limit/2, 1)
		ups.good = 0
		ups.shedTill = now.Add(shedPause)
	case Failed:
		ups.failures++
		ups.good = 0
		if ups.Down() {
			ups.limit = 1
			ups.trialAt = now.Add(downRetry)
		}
	}
}

func (ups *Upstream) noteGood() {
	ups.failures = 0
	ups.good++
	if ups.good >= goodPerStep && ups.limit < ups.slots {
		ups.good = 0
		ups.limit++
	}
}
