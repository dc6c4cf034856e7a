package fleet

import (
	"time"

	"lagoondrum/core/hop"
)

// Thresholds of the evidence on an agent.
const (
	missTime  = 400 * time.Millisecond // An agent that left an opening packet unanswered is passed over for this long.
	missLimit = 2                      // Unanswered openings in a row that count for missLong.
	missLong  = 1500 * time.Millisecond
	// SilentTime is how long an agent that is asked keeps silent before it is
	// taken as dead: some heartbeats, and longer than a restart takes.
	SilentTime  = 1500 * time.Millisecond
	owedTime    = 900 * time.Millisecond // An agent that left something unanswered for this long gets no new flows while others can.
	restartTime = 4 * time.Second        // An agent that announced its restart is waited for.
)

// Agent is what a balancer knows about the agent beside one upstream.
type Agent struct {
	server      *Server
	serviceID   uint64
	heardAt     time.Time
	askedAt     time.Time // When it was sent something that it answers, the first time since it was last heard.
	load        hop.Load
	pending     int // Openings sent since the load was heard.
	leaving     bool
	down        bool
	restartTill time.Time
	incarnation uint64
	misses      int
	passTill    time.Time
	lapsedTill  time.Time // Its entry has gone; it is kept until then.
}

// Server returns the upstream beside the agent.
func (agt *Agent) Server() *Server { return agt.server }

// IP returns the IP number of the agent's VM.
func (agt *Agent) IP() [4]byte { return agt.server.address }

// ServiceID returns the number of the upstream's service in headers.
func (agt *Agent) ServiceID() uint64 { return agt.serviceID }

// HeardAt returns when the agent was last heard.
func (agt *Agent) HeardAt() time.Time { return agt.heardAt }

// Load returns the load last heard.
func (agt *Agent) Load() hop.Load { return agt.load }

// Pending returns how many openings the agent was sent since its load was heard.
func (agt *Agent) Pending() int { return agt.pending }

// NoteOpening records that an opening packet was sent to the agent.
func (agt *Agent) NoteOpening(now time.Time) {
	agt.pending++
	agt.NoteAsked(now)
}

// NoteAsked records that the agent was sent something that it answers.
func (agt *Agent) NoteAsked(now time.Time) {
	if agt.askedAt.IsZero() {
		agt.askedAt = now
	}
}

// NoteHeard records a datagram of the agent. It reports whether the agent's word
// on itself changed.
func (agt *Agent) NoteHeard(hdr hop.Header, now time.Time) bool {
	changed := agt.leaving != hdr.Leaving() || agt.down != hdr.Down()
	agt.heardAt = now
	agt.askedAt = time.Time{}
	agt.load = hdr.Load()
	agt.pending = 0
	agt.leaving = hdr.Leaving()
	agt.down = hdr.Down()
	if hdr.Kind() != hop.Beat {
		return changed
	}
	if hdr.Restarting() {
		agt.restartTill = now.Add(restartTime)
	} else if hdr.Incarnation() != agt.incarnation {
		agt.incarnation = hdr.Incarnation()
		agt.restartTill = time.Time{}
		agt.misses = 0
		agt.passTill = time.Time{}
	}
	return changed
}

// NoteTaken records that the upstream answered an opening packet.
func (agt *Agent) NoteTaken() {
	agt.misses = 0
	agt.passTill = time.Time{}
}

// NoteMiss records that an opening packet got no answer of the upstream.
func (agt *Agent) NoteMiss(now time.Time) {
	agt.misses++
	agt.passTill = now.Add(missTime)
	if agt.misses >= missLimit {
		agt.passTill = now.Add(missLong)
	}
}

// Usable reports whether the agent may get new flows at all.
func (agt *Agent) Usable() bool {
	return !agt.server.draining && !agt.leaving && !agt.down
}

// Sound reports whether nothing speaks against giving the agent a new flow now.
func (agt *Agent) Sound(now time.Time) bool {
	return agt.Usable() && !agt.Owes(owedTime, now) && !now.Before(agt.passTill) && !now.Before(agt.restartTill)
}

// Owes reports whether the agent has left something unanswered for a time.
func (agt *Agent) Owes(span time.Duration, now time.Time) bool {
	return !agt.askedAt.IsZero() && now.Sub(agt.askedAt) >= span
}

// Dead reports whether the agent has been silent for so long that it needs not
// be waited for. One that was not asked anything is not silent: in a large fleet
// heartbeats take seconds to go round.
func (agt *Agent) Dead(now time.Time) bool {
	return !now.Before(agt.restartTill) && agt.Owes(SilentTime, now)
}
