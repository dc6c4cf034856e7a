// Package health detects failures: of the link from a balancer to an agent, of the
// upstream beside an agent, and pauses of the own process.
package health

import (
	"sync/atomic"
	"time"

	"lagoondrum/core/frame"
)

// Thresholds of a link.
const (
	SuspectAfter        = 300 * time.Millisecond // Time without an answer to sent packets after which the link is probed.
	ProbeInterval       = 200 * time.Millisecond // Between the probes of a suspect link.
	MaxRetryDelay       = 5 * time.Second        // Upper bound of the backoff between the probes of a silent link.
	maxUnansweredProbes = 3                      // Unanswered probes after which a link is silent.
	recoveryAnswers     = 2                      // Consecutive answered probes after which a silent link is live again.
)

// Link is the state of the link from a balancer to one agent. The packet path uses
// only the atomic fields; Poll and the other fields belong to one goroutine.
type Link struct {
	unansweredSince atomic.Int64  // When the first packet since the last answer was sent, in Unix ns; 0 for none.
	heardAt         atomic.Int64  // When the agent was last heard from, in Unix ns; 0 for never.
	heardCount      atomic.Uint32 // Datagrams from the agent.
	load            atomic.Uint32
	silent          atomic.Bool
	leaving         atomic.Bool

	unansweredProbes int
	polledCount      uint32 // Value of heardCount at the last Poll.
	answersInRow     int
	probeAt          time.Time
	retryDelay       time.Duration
}

// LinkAction is a result of Poll: Probe, LinkDown or LinkUp.
type LinkAction interface{ linkAction() }

// Probe asks the caller to send a ping to the agent.
type Probe struct{}

// LinkDown reports that the link became silent.
type LinkDown struct{}

// LinkUp reports that a silent link answers again.
type LinkUp struct{}

func (Probe) linkAction()    {}
func (LinkDown) linkAction() {}
func (LinkUp) linkAction()   {}

// NoteSent records that a packet was sent to the agent.
func (lnk *Link) NoteSent(now time.Time) {
	if lnk.unansweredSince.Load() == 0 {
		lnk.unansweredSince.Store(now.UnixNano())
	}
}

// NoteHeard records a datagram from the agent with its load report.
func (lnk *Link) NoteHeard(now time.Time, load frame.Load, leaving bool) {
	lnk.unansweredSince.Store(0)
	lnk.heardAt.Store(now.UnixNano())
	lnk.heardCount.Add(1)
	lnk.load.Store(uint32(load))
	lnk.leaving.Store(leaving)
}

// Usable reports whether the agent may get new flows.
func (lnk *Link) Usable() bool { return !lnk.silent.Load() && !lnk.leaving.Load() }

// Silent reports whether the agent has stopped answering.
func (lnk *Link) Silent() bool { return lnk.silent.Load() }

// Leaving reports whether the agent announced that it takes no new flows.
func (lnk *Link) Leaving() bool { return lnk.leaving.Load() }

// Load returns the last load report.
func (lnk *Link) Load() frame.Load { return frame.Load(lnk.load.Load()) }

// HeardAt returns when the agent was last heard from, or the zero time when it
// never was.
func (lnk *Link) HeardAt() time.Time {
	if at := lnk.heardAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Poll updates the state of the link and returns the actions that follow.
func (lnk *Link) Poll(now time.Time) []LinkAction {
	count := lnk.heardCount.Load()
	answered := count != lnk.polledCount
	lnk.polledCount = count
	if lnk.silent.Load() {
		return lnk.pollSilent(now, answered)
	}
	if answered {
		lnk.unansweredProbes = 0
	}
	return lnk.pollLive(now)
}

// pollLive probes a link without answers, and marks it silent when the probes
// remain unanswered too.
func (lnk *Link) pollLive(now time.Time) []LinkAction {
	at := lnk.unansweredSince.Load()
	if at == 0 || now.Sub(time.Unix(0, at)) < SuspectAfter || now.Before(lnk.probeAt) {
		return nil
	}
	if lnk.unansweredProbes >= maxUnansweredProbes {
		lnk.silent.Store(true)
		lnk.answersInRow = 0
		lnk.retryDelay = ProbeInterval
		lnk.probeAt = now.Add(lnk.retryDelay)
		return []LinkAction{LinkDown{}}
	}
	lnk.unansweredProbes++
	lnk.probeAt = now.Add(ProbeInterval)
	return []LinkAction{Probe{}}
}

// pollSilent probes a silent link with exponential backoff.
func (lnk *Link) pollSilent(now time.Time, answered bool) []LinkAction {
	if answered {
		return lnk.countAnswer(now)
	}
	if now.Before(lnk.probeAt) {
		return nil
	}
	lnk.answersInRow = 0
	lnk.retryDelay = min(2*lnk.retryDelay, MaxRetryDelay)
	lnk.probeAt = now.Add(lnk.retryDelay)
	return []LinkAction{Probe{}}
}

// countAnswer counts an answer on a silent link. It probes again at once, or marks
// the link live after enough answers.
func (lnk *Link) countAnswer(now time.Time) []LinkAction {
	lnk.answersInRow++
	if lnk.answersInRow < recoveryAnswers {
		lnk.retryDelay = ProbeInterval
		lnk.probeAt = now.Add(lnk.retryDelay)
		return []LinkAction{Probe{}}
	}
	lnk.silent.Store(false)
	lnk.unansweredProbes = 0
	lnk.probeAt = now
	return []LinkAction{LinkUp{}}
}
