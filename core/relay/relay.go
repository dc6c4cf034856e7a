// Package relay holds the states of the protocol by which one agent has work run
// at a peer's upstream: offer, accept, body, run, done. Until the owner has sent
// run, a failure proves that the work was not run.
package relay

import "time"

// Outcome tells what is known about the execution of a piece of work.
type Outcome uint8

// The outcomes of work.
const (
	Pending Outcome = iota // Not known yet.
	NotRun                 // Proved: the work never reached an upstream.
	Unknown                // The work may have run.
	Done                   // The work ran and its answer is complete.
)

var outcomeNames = [...]string{"pending", "notRun", "unknown", "done"}

// String returns the outcome's name in headers and metrics.
func (out Outcome) String() string { return outcomeNames[out] }

// Owner is the state at the agent that owns the work and offers it to a peer.
type Owner struct {
	deadline   time.Time
	accepted   bool
	runStarted bool
	outcome    Outcome
}

// NewOwner returns the state after an offer of work with a deadline.
func NewOwner(deadline time.Time) *Owner { return &Owner{deadline: deadline} }

// Outcome returns what is known about the work.
func (own *Owner) Outcome() Outcome { return own.outcome }

// NoteAccepted records the peer's acceptance.
func (own *Owner) NoteAccepted() { own.accepted = true }

// StartRun reports whether run may be sent now; it returns true at most once. From
// then on the work may have run.
func (own *Owner) StartRun(now time.Time) bool {
	if !own.accepted || own.runStarted || own.outcome != Pending {
		return false
	}
	if !now.Before(own.deadline) {
		own.outcome = NotRun
		return false
	}
	own.runStarted = true
	return true
}

// NoteRefused records the peer's statement that it did not and will not run the work.
func (own *Owner) NoteRefused() { own.setOutcome(NotRun) }

// NoteAnswered records that the peer's complete answer arrived.
func (own *Owner) NoteAnswered() { own.setOutcome(Done) }

// NoteLost records that the peer or the connection to it failed. The outcome is
// Unknown when run may have been sent, else NotRun.
func (own *Owner) NoteLost() {
	if own.runStarted {
		own.setOutcome(Unknown)
		return
	}
	own.setOutcome(NotRun)
}

// setOutcome sets the outcome unless it is known already.
func (own *Owner) setOutcome(out Outcome) {
	if own.outcome == Pending {
		own.outcome = out
	}
}

// Peer is the state at the agent that the work is offered to.
type Peer struct {
	deadline time.Time
	closed   bool
}

// NewPeer returns the state after an offer was accepted that is valid until
// deadline.
func NewPeer(deadline time.Time) *Peer { return &Peer{deadline: deadline} }

// StartRun reports whether the work may be passed to the upstream now. It
// returns true at most once, and never from the deadline on.
func (pr *Peer) StartRun(now time.Time) bool {
	if pr.closed || !now.Before(pr.deadline) {
		pr.closed = true
		return false
	}
	pr.closed = true
	return true
}

// Close records that the owner disconnected, so that the work will not run any
// more.
func (pr *Peer) Close() { pr.closed = true }
