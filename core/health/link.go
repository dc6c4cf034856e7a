// Package health judges from evidence whether something still answers: the
// link from a balancer to an agent, and the upstream beside an agent.
package health

import (
	"sync/atomic"
	"time"

	"lagoondrum/core/frame"
)

// Thresholds of a link.
const (
	SuspectAfter  = 300 * time.Millisecond // Unanswered packets for this long raise a probe.
	ProbeInterval = 200 * time.Millisecond // Between the probes of a suspected link.
	MaxRetryDelay = 5 * time.Second        // Between the probes of a silent link, at most.
	silentProbes  = 3                      // Unanswered probes that make a link silent.
	regainPongs   = 2                      // Answers in a row that make a silent link live.
)

// Link is what a balancer knows about one agent. The packet path only touches
// its atomic fields; Poll belongs to one goroutine.
type Link struct {
	unheardAt atomic.Int64 // When the first packet since the last answer was sent, ns; 0: none.
	heardAt   atomic.Int64 // When the agent was last heard, ns.
	heard     atomic.Uint32
	load      atomic.Uint32
	silent    atomic.Bool
	leaving   atomic.Bool

	probes   int
	answered uint32
	regained int
	probeAt  time.Time
	delay    time.Duration
}

// LinkAction is what Poll asks for: Probe, LinkDown or LinkUp.
type LinkAction interface{ linkAction() }

// Probe asks to send a ping to the agent.
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
	if lnk.unheardAt.Load() == 0 {
		lnk.unheardAt.Store(now.UnixNano())
	}
}

// NoteHeard records a datagram from the agent.
func (lnk *Link) NoteHeard(now time.Time, load frame.Load, leaving bool) {
	lnk.unheardAt.Store(0)
	lnk.heardAt.Store(now.UnixNano())
	lnk.heard.Add(1)
	lnk.load.Store(uint32(load))
	lnk.leaving.Store(leaving)
}

// Usable reports whether the agent may get new flows.
func (lnk *Link) Usable() bool { return !lnk.silent.Load() && !lnk.leaving.Load() }

// Silent reports whether the agent stopped answering.
func (lnk *Link) Silent() bool { return lnk.silent.Load() }

// Leaving reports whether the agent said that it takes no new flows.
func (lnk *Link) Leaving() bool { return lnk.leaving.Load() }

// Load returns the load word last heard.
func (lnk *Link) Load() frame.Load { return frame.Load(lnk.load.Load()) }

// HeardAt returns when the agent was last heard, zero when never.
func (lnk *Link) HeardAt() time.Time {
	if at := lnk.heardAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Poll moves the link's state on to now and returns what is to be done.
func (lnk *Link) Poll(now time.Time) []LinkAction {
	answers := lnk.heard.Load()
	fresh := answers != lnk.answered
	lnk.answered = answers
	if lnk.silent.Load() {
		return lnk.pollSilent(now, fresh)
	}
	if fresh {
		lnk.probes = 0
	}
	return lnk.pollLive(now)
}

func (lnk *Link) pollLive(now time.Time) []LinkAction {
	at := lnk.unheardAt.Load()
	if at == 0 || now.Sub(time.Unix(0, at)) < SuspectAfter || now.Before(lnk.probeAt) {
		return nil
	}
	if lnk.probes >= silentProbes {
		lnk.silent.Store(true)
		lnk.regained = 0
		lnk.delay = ProbeInterval
		lnk.probeAt = now.Add(lnk.delay)
		return []LinkAction{LinkDown{}}
	}
	lnk.probes++
	lnk.probeAt = now.Add(ProbeInterval)
	return []LinkAction{Probe{}}
}

func (lnk *Link) pollSilent(now time.Time, fresh bool) []LinkAction {
	if fresh {
		return lnk.regain(now)
	}
	if now.Before(lnk.probeAt) {
		return nil
	}
	lnk.regained = 0
	lnk.delay = min(2*lnk.delay, MaxRetryDelay)
	lnk.probeAt = now.Add(lnk.delay)
	return []LinkAction{Probe{}}
}

// regain counts an answer of a silent link and asks for the next one at once.
func (lnk *Link) regain(now time.Time) []LinkAction {
	lnk.regained++
	if lnk.regained < regainPongs {
		lnk.delay = ProbeInterval
		lnk.probeAt = now.Add(lnk.delay)
		return []LinkAction{Probe{}}
	}
	lnk.silent.Store(false)
	lnk.probes = 0
	lnk.probeAt = now
	return []LinkAction{LinkUp{}}
}
