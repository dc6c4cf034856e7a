// Package drain moves a process from serving to stopped without cutting off
// what is open.
package drain

import "time"

// Phase is how far a process is on its way out.
type Phase uint8

// The phases of a drain.
const (
	Serving Phase = iota // Takes new flows and new work.
	Leaving              // Takes no new flows; new work on open flows goes to a peer.
	Closing              // Has told callers to open no more requests.
	Stopped              // Nothing is open, or the deadline has passed.
)

var phaseNames = [...]string{"serving", "leaving", "closing", "stopped"}

// String returns the phase's name in the administration API.
func (ph Phase) String() string { return phaseNames[ph] }

// CloseDelay is the time between the start of a drain and the moment callers
// are told to open no more requests, so that clients can move first.
const CloseDelay = 3 * time.Second

// Drain is the state of one process.
type Drain struct {
	phase    Phase
	signal   bool
	closeAt  time.Time
	deadline time.Time
}

// New returns a process that serves.
func New() *Drain { return &Drain{} }

// Phase returns how far the drain is.
func (drn *Drain) Phase() Phase { return drn.phase }

// Deadline returns when the process stops at the latest, zero while it serves
// or is only leaving by the list.
func (drn *Drain) Deadline() time.Time { return drn.deadline }

// Signal starts the drain for good: the process ends by deadline.
func (drn *Drain) Signal(now, deadline time.Time) {
	if drn.signal {
		return
	}
	drn.signal = true
	drn.deadline = deadline
	drn.leave(now)
}

// Listed tells what the list of VMs says. A VM that is listed as live again
// serves again unless it was also signalled or told its callers to go.
func (drn *Drain) Listed(leaving bool, now time.Time) {
	if leaving {
		drn.leave(now)
		return
	}
	if drn.phase == Leaving && !drn.signal {
		drn.phase = Serving
	}
}

func (drn *Drain) leave(now time.Time) {
	if drn.phase != Serving {
		return
	}
	drn.phase = Leaving
	drn.closeAt = now.Add(CloseDelay)
}

// Advance moves on to now; open is how many flows, streams and pieces of work
// are open. Only a signalled process closes its flows and stops.
func (drn *Drain) Advance(now time.Time, open int) Phase {
	if !drn.signal {
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
