// Package relay holds the steps by which one agent has work run at a peer's
// upstream: offer, accept, body, run, done. Until the owner has sent run, a
// failure proves that the work was not run.
package relay

import "time"

// Outcome is what is known about a piece of work.
type Outcome uint8

// The outcomes of work.
const (
	Pending Outcome = iota // Not decided yet.
	NotRun                 // Proved: it never reached an upstream.
	Unknown                // It may have run.
	Done                   // It ran and the answer is whole.
)

var outcomeNames = [...]string{"pending", "notRun", "unknown", "done"}

// String returns the outcome's name in headers and metrics.
func (out Outcome) String() string { return outcomeNames[out] }

// Owner is the state of the agent that owns the work.
type Owner struct {
	deadline time.Time
	accepted bool
	granted  bool
	outcome  Outcome
}

// NewOwner returns the state after an offer was sent.
func NewOwner(deadline time.Time) *Owner { return &Owner{deadline: deadline} }

// Outcome returns what is known.
func (own *Owner) Outcome() Outcome { return own.outcome }

// Accepted records the peer's acceptance.
func (own *Owner) Accepted() { own.accepted = true }

// Grant reports whether run may be sent now. When it may, the work counts as
// possibly run from here on.
func (own *Owner) Grant(now time.Time) bool {
	if !own.accepted || own.granted || own.outcome != Pending {
		return false
	}
	if !now.Before(own.deadline) {
		own.outcome = NotRun
		return false
	}
	own.granted = true
	return true
}

// Refused records the peer's word that it did not and will not run the work.
func (own *Owner) Refused() { own.settle(NotRun) }

// Answered records the peer's whole answer.
func (own *Owner) Answered() { own.settle(Done) }

// Lost records that the peer or the way to it failed.
func (own *Owner) Lost() {
	if own.granted {
		own.settle(Unknown)
		return
	}
	own.settle(NotRun)
}

func (own *Owner) settle(out Outcome) {
	if own.outcome == Pending {
		own.outcome = out
	}
}

// Peer is the state of the agent that was offered the work.
type Peer struct {
	deadline time.Time
	closed   bool
}

// NewPeer returns the state after an offer was accepted until deadline.
func NewPeer(deadline time.Time) *Peer { return &Peer{deadline: deadline} }

// Run reports whether the work may be handed to the upstream now. It says yes
// at most once, and never from the deadline on.
func (pr *Peer) Run(now time.Time) bool {
	if pr.closed || !now.Before(pr.deadline) {
		pr.closed = true
		return false
	}
	pr.closed = true
	return true
}

// Close records that the owner went away; the work will not run any more.
func (pr *Peer) Close() { pr.closed = true }
