// Package drain holds the phases in which a process stops serving without
// interrupting open flows, streams and work.
package drain

import "time"

// Phase is the progress of a drain.
type Phase uint8

// The phases of a drain.
const (
	Serving Phase = iota // Takes new flows and new work.
	Leaving              // Takes no new flows; new work on open flows goes to a peer.
	Closing              // Callers have been told to open no more requests.
	Stopped              // Nothing is open, or the deadline has passed.
)

var phaseNames = [...]string{"serving", "leaving", "closing", "stopped"}

// String returns the phase's name in the administration API.
func (ph Phase) String() string { return phaseNames[ph] }

// ClosingDelay is the time between the start of a drain and telling callers to open
// no more requests, so that clients can move to another agent first.
const ClosingDelay = 3 * time.Second

// Drain is the drain state of one process. closeAt is when the phase Closing
// begins.
type Drain struct {
	phase    Phase
	signaled bool
	closeAt  time.Time
	deadline time.Time
}

// New returns the state of a process that serves.
func New() *Drain { return &Drain{} }

// Phase returns the current phase.
func (drn *Drain) Phase() Phase { return drn.phase }

// Deadline returns when the process stops at the latest. It is zero before Start,
// also while the process is leaving only because of the list of VMs.
func (drn *Drain) Deadline() time.Time { return drn.deadline }

// Start starts a drain that cannot be undone: the process stops by deadline.
// Further calls have no effect.
func (drn *Drain) Start(now, deadline time.Time) {
	if drn.signaled {
		return
	}
	drn.signaled = true
	drn.deadline = deadline
	drn.beginLeaving(now)
}

// SetListedLeaving sets whether the list of VMs has this VM as leaving. A VM
// that is listed as live again serves again, unless it was also signaled or has
// told its callers to open no more requests.
func (drn *Drain) SetListedLeaving(leaving bool, now time.Time) {
	if leaving {
		drn.beginLeaving(now)
		return
	}
	if drn.phase == Leaving && !drn.signaled {
		drn.phase = Serving
	}
}

// beginLeaving enters the phase Leaving from Serving.
func (drn *Drain) beginLeaving(now time.Time) {
	if drn.phase != Serving {
		return
	}
	drn.phase = Leaving
	drn.closeAt = now.Add(ClosingDelay)
}

// Advance enters the phases that are due by now and returns the current one. open
// is the number of open flows, streams and pieces of work. Only a signaled process
// closes its flows and stops.
func (drn *Drain) Advance(now time.Time, open int) Phase {
	if !drn.signaled {
		return drn.phase
	}
	if drn.phase == Leaving && !now.Before(drn.closeAt) {
		drn.phase = Closing
	}
	if drn.phase == Closing && open == 0 || !now.Before(drn.deadline) {
		drn.phase = Stopped
	}
	return drn.phase
}
