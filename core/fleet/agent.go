package fleet

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/judge"
	"lagoondrum/core/warm"
)

// Timeouts and limits by which a balancer judges an agent.
const (
	missBackoff       = 400 * time.Millisecond // An agent that left an opening packet unanswered is avoided for this long.
	longBackoffMisses = 2                      // From this many unanswered openings in a row on, longMissBackoff applies instead.
	longMissBackoff   = 1500 * time.Millisecond
	// DeadTimeout is how long an agent may leave a message unanswered before it
	// counts as dead: several heartbeats, and longer than a restart takes.
	DeadTimeout     = 1500 * time.Millisecond
	unansweredLimit = 900 * time.Millisecond // An agent that left a message unanswered for this long gets no new flows while others can take them.
	restartGrace    = 4 * time.Second        // How long an agent that announced a restart is waited for.
)

// Agent is what a balancer knows about the agent beside one upstream.
type Agent struct {
	upstream        *Upstream
	entry           *entry // Of the upstream.
	serviceID       uint64
	heardAt         time.Time
	unansweredSince time.Time // When it was first sent a message that it answers since it was last heard; zero when nothing is unanswered.
	load            encap.Load
	pending         int // Openings sent since the last load report.
	leaving         bool
	down            bool
	evacuated       bool
	restartUntil    time.Time // Until when an announced restart is waited for.
	incarnation     uint64
	misses          int       // Unanswered openings in a row.
	avoidUntil      time.Time // Until when new flows avoid the agent.
	vouched         bool      // The agent was heard, beside an upstream of the service that is listed here.
	judged          judge.Subject
	absent          bool // The removal of the upstream's entry proves that the upstream has ended.
	coldLimit       int  // Openings that the upstream may get in any second while it is cold.
	coldLimited     bool
	coldRoom        warm.Room
}

// Upstream returns the upstream beside the agent.
func (agt *Agent) Upstream() *Upstream { return agt.upstream }

// Listed reports whether the platform lists the upstream.
func (agt *Agent) Listed() bool { return !agt.entry.removed() }

// IP returns the IP address of the agent's VM.
func (agt *Agent) IP() [4]byte { return agt.upstream.address }

// ServiceID returns the number that stands for the upstream's service in datagram
// headers.
func (agt *Agent) ServiceID() uint64 { return agt.serviceID }

// HeardAt returns when the last datagram of the agent arrived.
func (agt *Agent) HeardAt() time.Time { return agt.heardAt }

// Load returns the last load report.
func (agt *Agent) Load() encap.Load { return agt.load }

// PendingOpenings returns how many openings the agent was sent since its last
// load report.
func (agt *Agent) PendingOpenings() int { return agt.pending }

// Judged returns what is believed of the upstream by what callers get from it.
func (agt *Agent) Judged() *judge.Subject { return &agt.judged }

// NoteOpeningSent records that an opening packet was sent to the agent.
func (agt *Agent) NoteOpeningSent(now time.Time) {
	agt.pending++
	agt.NoteMessageSent(now)
	if limit, ok := agt.ColdLimit(now); ok {
		agt.coldRoom = agt.coldRoom.Sent(limit, now)
	}
}

// WithOpening returns a copy of the agent as it is once it was sent an opening and has
// reported the same load as before. The agent stays as it is.
func (agt *Agent) WithOpening(now time.Time) *Agent {
	cpy := *agt
	cpy.NoteOpeningSent(now)
	cpy.pending = agt.pending
	return &cpy
}

// NoteMessageSent records that the agent was sent a message that it has to answer.
func (agt *Agent) NoteMessageSent(now time.Time) {
	if agt.unansweredSince.IsZero() {
		agt.unansweredSince = now
	}
}

// AnswerTime returns how long the agent has left a message unanswered, false when it
// owes no answer.
func (agt *Agent) AnswerTime(now time.Time) (time.Duration, bool) {
	return now.Sub(agt.unansweredSince), !agt.unansweredSince.IsZero()
}

// NoteHeard records a datagram of the agent and reports whether its leaving or
// down flag changed.
func (agt *Agent) NoteHeard(hdr encap.Header, now time.Time) bool {
	changed := agt.leaving != hdr.Leaving() || agt.down != hdr.UpstreamDown()
	agt.heardAt = now
	agt.unansweredSince = time.Time{}
	agt.load = hdr.Load()
	agt.pending = 0
	agt.leaving = hdr.Leaving()
	agt.down = hdr.UpstreamDown()
	if hdr.Kind() != encap.Heartbeat {
		return changed
	}
	agt.vouched = agt.vouched || hdr.Service() == agt.serviceID
	if hdr.Restarting() {
		agt.restartUntil = now.Add(restartGrace)
	} else if hdr.Incarnation() != agt.incarnation {
		agt.incarnation = hdr.Incarnation()
		agt.restartUntil = time.Time{}
		agt.misses = 0
		agt.avoidUntil = time.Time{}
		agt.coldRoom = warm.Room{}
	}
	return changed
}

// NoteOpeningAnswered records that the upstream answered an opening packet.
func (agt *Agent) NoteOpeningAnswered() {
	agt.misses = 0
	agt.avoidUntil = time.Time{}
}

// NoteOpeningUnanswered records that the upstream did not answer an opening packet.
func (agt *Agent) NoteOpeningUnanswered(now time.Time) {
	agt.misses++
	agt.avoidUntil = now.Add(missBackoff)
	if agt.misses >= longBackoffMisses {
		agt.avoidUntil = now.Add(longMissBackoff)
	}
}

// Exclusion is why an agent gets no new flows.
type Exclusion uint8

// The exclusions.
const (
	NotExcluded  Exclusion = iota
	Draining               // The upstream's entry says that it drains.
	Leaving                // The agent said that it stops.
	UpstreamDown           // The agent said that its upstream does not run.
	Evacuated              // The upstream's availability zone is evacuated.
	Unconfirmed            // The upstream may have left, and its agent was not heard yet.
	exclusionEnd
)

var exclusionNames = [exclusionEnd]string{"none", "draining", "leaving", "upstreamDown", "evacuated", "unconfirmed"}

// String returns the exclusion's name in logs.
func (exc Exclusion) String() string { return exclusionNames[exc] }

// Exclusion returns why the agent gets no new flows, NotExcluded if it may get some.
func (agt *Agent) Exclusion(_ time.Time) Exclusion {
	switch {
	case agt.upstream.draining:
		return Draining
	case agt.leaving:
		return Leaving
	case agt.down:
		return UpstreamDown
	case agt.evacuated:
		return Evacuated
	case agt.upstream.doubtful && !agt.vouched:
		return Unconfirmed
	default:
		return NotExcluded
	}
}

// Usable reports whether the agent may get new flows at all.
func (agt *Agent) Usable(now time.Time) bool { return agt.Exclusion(now) == NotExcluded }

// Healthy reports whether the agent is usable, answers in time, is not avoided
// after an unanswered opening and does not restart.
func (agt *Agent) Healthy(now time.Time) bool {
	return agt.Usable(now) && !agt.UnansweredFor(unansweredLimit, now) && !now.Before(agt.avoidUntil) && !now.Before(agt.restartUntil)
}

// UnansweredFor reports whether the agent has left a message unanswered for
// span or longer.
func (agt *Agent) UnansweredFor(span time.Duration, now time.Time) bool {
	return !agt.unansweredSince.IsZero() && now.Sub(agt.unansweredSince) >= span
}

// Dead reports whether the agent has left a message unanswered for so long that it
// is no longer waited for. An agent that was sent nothing does not count as
// silent: in a large fleet a round of heartbeats takes seconds. A dead agent proves
// nothing about its upstream, which may live and hold flows; see Ended.
func (agt *Agent) Dead(now time.Time) bool {
	return !now.Before(agt.restartUntil) && agt.UnansweredFor(DeadTimeout, now)
}

// Ended reports whether the upstream is known to have ended, with all flows that it held:
// its agent said so, or the removal of its entry proves it. Silence proves nothing.
func (agt *Agent) Ended() bool { return agt.down || agt.absent }

// setEntry gives the agent the entry of its upstream, or of the upstream's successor. What
// was learned about the predecessor is reset.
func (agt *Agent) setEntry(ent *entry) {
	if !ent.upstream.sameIncarnation(agt.upstream) {
		agt.down, agt.absent = false, false
		agt.misses = 0
		agt.avoidUntil = time.Time{}
		agt.load = encap.Load{}
		agt.pending = 0
		agt.vouched = false
		agt.coldRoom = warm.Room{}
		agt.judged = judge.Subject{}
	}
	if !ent.removed() {
		agt.absent = false
	}
	agt.entry, agt.upstream = ent, ent.upstream
	agt.serviceID = encap.ServiceID(ent.upstream.service)
}
