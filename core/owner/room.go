package owner

import (
	"time"

	"lagoondrum/core/accept"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// Limits of what an upstream is given at once.
const (
	roundsAhead = 1.75                  // Requests for each slot: one runs, and some wait, so that no slot is idle while the next request is on its way.
	minReserve  = 10 * time.Millisecond // Bounds of how long room is kept for the first request after its opening.
	maxReserve  = 100 * time.Millisecond
	reserveSpan = 3   // Times the usual time from an opening to its request that room is kept.
	answerGain  = 0.1 // Of the moving averages of times.
)

// room is what an upstream has room for. Openings beyond it wait in a queue of
// the agent's, where their order can be chosen; in the upstream's own queue they
// are served as they came, and when that is full they are refused.
type room struct {
	slots    int // 0: not known, and nothing waits.
	queue    accept.Queue
	reserved map[flow.Key]time.Time // Openings delivered whose first request has not come, and until when it is expected.
	follow   time.Duration          // Moving average of the time from an opening to its request: a client's round trip.
	answer   time.Duration          // Moving average of how long requests take.
}

// SetSlots sets how many requests the upstream runs at once.
func (bok *Book) SetSlots(slots int) { bok.room.slots = slots }

// Queued returns how many openings wait for room at the upstream.
func (bok *Book) Queued() int { return bok.room.queue.Len() }

// limit returns how many requests the upstream is given at once.
func (rom *room) limit() int { return max(int(roundsAhead*float64(rom.slots)), rom.slots+1) }

// full reports whether the upstream has no room for another opening. Requests on
// flows that are open come in any case; however many they are, half of the limit
// is for new flows.
func (bok *Book) full() bool {
	held, limit := len(bok.room.reserved), bok.room.limit()
	return bok.room.slots > 0 && bok.meter.running+held >= limit && bok.meter.first+held >= limit/2
}

// noteAnswer takes how long a request took into the average.
func (rom *room) noteAnswer(took time.Duration) {
	rom.answer += time.Duration(answerGain * float64(took-rom.answer))
}

// reserve keeps room for the request that follows an opening.
func (rom *room) reserve(key flow.Key, now time.Time) {
	rom.reserved[key] = now.Add(min(max(reserveSpan*rom.follow, minReserve), maxReserve))
}

// release lets go of the room that was kept for a flow's request.
func (rom *room) release(key flow.Key, took time.Duration) {
	if _, known := rom.reserved[key]; known {
		delete(rom.reserved, key)
		rom.follow += time.Duration(answerGain * float64(took-rom.follow))
	}
}

// enqueue has an opening wait for room, or refuses it when it would wait in
// vain. An opening that other agents can still take is refused in any case.
func (bok *Book) enqueue(key flow.Key, rec *record, hdr hop.Header, opn accept.Opening, now time.Time) {
	every := bok.room.answer / time.Duration(bok.room.limit())
	if !hdr.Waits() || bok.room.queue.Hopeless(every) {
		bok.drop(key, now)
		bok.tell(rec.via, hop.New(hop.Refused, bok.service, key).WithReason(hop.Full), nil, now)
		return
	}
	rec.phase = queued
	bok.room.queue.Add(opn)
	bok.tell(rec.via, hop.New(hop.Queued, bok.service, key), nil, now)
}

// admit delivers openings that wait while the upstream has room.
func (bok *Book) admit(now time.Time) {
	if rsn := bok.closedFor(); rsn != hop.NoReason {
		bok.emptyRoom(rsn, now)
		return
	}
	for bok.room.queue.Len() > 0 && !bok.full() {
		opn := bok.room.queue.Next(bok.room.answer, now)
		if rec := bok.records[opn.Key()]; rec != nil {
			bok.begin(opn.Key(), rec, opn.Packet(), opn.Raw(), now)
		}
	}
}

// begin delivers an opening to the upstream.
func (bok *Book) begin(key flow.Key, rec *record, pkt flow.Packet, raw []byte, now time.Time) {
	rec.phase = opening
	rec.deadline = now.Add(answerTime)
	bok.waiting[key] = rec
	rec.begunAt = now
	bok.room.reserve(key, now)
	bok.deliver(key, pkt, raw, now)
}

// sweepRoom refuses openings whose clients have given up, and ends reservations that
// were not used.
func (bok *Book) sweepRoom(now time.Time) {
	for key, until := range bok.room.reserved {
		if !now.Before(until) {
			delete(bok.room.reserved, key)
		}
	}
	for {
		opn, found := bok.room.queue.Expired(now)
		if !found {
			return
		}
		bok.refuseQueued(opn, hop.Full, now)
	}
}

// Leave ends the agent's taking of flows: what waits is refused, so that other
// agents take it before its clients give up.
func (bok *Book) Leave(now time.Time) {
	bok.leaving = true
	bok.emptyRoom(hop.Leaving, now)
}

// emptyRoom refuses all that waits: the upstream takes no new flows any more.
func (bok *Book) emptyRoom(rsn hop.Reason, now time.Time) {
	for bok.room.queue.Len() > 0 {
		bok.refuseQueued(bok.room.queue.Next(0, now), rsn, now)
	}
}

func (bok *Book) refuseQueued(opn accept.Opening, rsn hop.Reason, now time.Time) {
	rec := bok.records[opn.Key()]
	if rec == nil {
		return
	}
	bok.drop(opn.Key(), now)
	bok.tell(rec.via, hop.New(hop.Refused, bok.service, opn.Key()).WithReason(rsn), nil, now)
}
