package yield

import "time"

// Limits of a balancer that carries its share.
const (
	defaultLimit = 25 * time.Millisecond // Of the mean lateness, while no route has an objective.
	limitShare   = 10                    // The limit is this part of the tightest objective: a request passes with three packets or more.
	minReads     = 20                    // Fewer reads tell nothing about waiting datagrams.
	minAnswers   = 5                     // Fewer answers tell nothing about the link.
	linkLimit    = 0.9                   // Part of the link that was sent.
)

// Sample is what a balancer saw of itself in an interval.
type Sample struct {
	ticks     int
	late      time.Duration // Of all ticks together.
	reads     int
	fullReads int
	answers   int
	slow      int // Answers that took longer than the limit.
	linkShare float64
}

// NoteTick records a tick that was due at a time.
func (smp *Sample) NoteTick(dueAt, now time.Time) {
	if !dueAt.IsZero() {
		smp.ticks++
		smp.late += max(now.Sub(dueAt), 0)
	}
}

// NoteRead records a read of datagrams; after a full one more may wait.
func (smp *Sample) NoteRead(full bool) {
	smp.reads++
	if full {
		smp.fullReads++
	}
}

// NoteAnswer records the answer of an agent to a heartbeat or an opening, or that one is
// overdue. When most of them are slow, so is what they have in common: the balancer's own
// link.
func (smp *Sample) NoteAnswer(slow bool) {
	smp.answers++
	if slow {
		smp.slow++
	}
}

// NoteLink records which part of its link the balancer sent.
func (smp *Sample) NoteLink(share float64) { smp.linkShare = share }

// Lateness returns the mean lateness of the ticks.
func (smp *Sample) Lateness() time.Duration { return smp.late / time.Duration(max(smp.ticks, 1)) }

// FullReads returns the part of the reads that were full.
func (smp *Sample) FullReads() float64 { return float64(smp.fullReads) / float64(max(smp.reads, 1)) }

// SlowAnswers returns the part of the agents' answers that were slow.
func (smp *Sample) SlowAnswers() float64 { return float64(smp.slow) / float64(max(smp.answers, 1)) }

// LinkShare returns which part of its link the balancer sent.
func (smp *Sample) LinkShare() float64 { return smp.linkShare }

// weak reports whether the balancer did not pass packets on in time.
func (smp *Sample) weak(limit time.Duration) bool {
	switch {
	case smp.Lateness() >= limit, smp.linkShare >= linkLimit:
		return true
	case smp.answers >= minAnswers && 2*smp.slow >= smp.answers:
		return true
	default:
		return smp.reads >= minReads && 2*smp.fullReads >= smp.reads
	}
}
