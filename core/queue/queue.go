// Package queue queues the openings of flows that an upstream has no capacity
// for, and decides which one is served next. It handles the load after a power
// loss and in a burst, when more clients come at once than an upstream serves
// within their latency objective: in order of arrival each of them would be late,
// and so would all clients that come while the backlog lasts.
package queue

import (
	"time"

	"lagoondrum/core/flow"
)

// openingTimeout is how long an opening may wait before its client gives up. A
// client gives up after 1.4 s; the difference is the time for the answer to reach it.
const openingTimeout = 1300 * time.Millisecond

// sendOffsets are the times since the start of an attempt at which a client sends
// the opening packet and its retransmissions.
var sendOffsets = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Opening is a packet that asks to open a flow and waits for capacity.
type Opening struct {
	key               flow.Key
	packet            flow.Packet
	raw               []byte
	priority          uint8
	objectiveDeadline time.Time // An answer after this time misses the latency objective.
	expiresAt         time.Time // When the client gives up.
}

// NewOpening returns an opening that arrived at now. Its route has a priority, 0
// the highest, and a latency objective, 0 when there is none.
func NewOpening(key flow.Key, pkt flow.Packet, raw []byte, priority uint8, objective time.Duration, now time.Time) Opening {
	sentAt := now.Add(-sendOffsets[min(int(pkt.Ack()), len(sendOffsets)-1)]) // The ack of an opening packet counts the copies sent before.
	opn := Opening{key: key, packet: pkt, raw: raw, priority: priority, expiresAt: sentAt.Add(openingTimeout)}
	if objective > 0 {
		opn.objectiveDeadline = sentAt.Add(objective)
	} else {
		opn.objectiveDeadline = opn.expiresAt
	}
	return opn
}

// Key returns the flow.
func (opn Opening) Key() flow.Key { return opn.key }

// Packet returns the decoded opening packet.
func (opn Opening) Packet() flow.Packet { return opn.packet }

// Raw returns the packet's bytes.
func (opn Opening) Raw() []byte { return opn.raw }

// precedes reports whether the opening is served before other, which arrived later,
// if the upstream answers at answerAt. Openings that can still meet their objective
// go first, because late ones lose little by waiting. Otherwise the route with the
// higher priority goes first, and between equal priorities the earlier arrival.
func (opn Opening) precedes(other Opening, answerAt time.Time) bool {
	late, otherLate := answerAt.After(opn.objectiveDeadline), answerAt.After(other.objectiveDeadline)
	if late != otherLate {
		return otherLate
	}
	return opn.priority <= other.priority
}

// Queue holds the openings that wait for one upstream, in order of arrival.
type Queue struct{ waiting []Opening }

// Len returns how many openings are queued.
func (que *Queue) Len() int { return len(que.waiting) }

// Add appends an opening.
func (que *Queue) Add(opn Opening) { que.waiting = append(que.waiting, opn) }

// TakeNext removes and returns the opening to serve next, when the upstream takes
// answerTime to answer. The queue must not be empty.
func (que *Queue) TakeNext(answerTime time.Duration, now time.Time) Opening {
	answerAt := now.Add(answerTime)
	best := 0
	for i, opn := range que.waiting[1:] {
		if !que.waiting[best].precedes(opn, answerAt) {
			best = i + 1
		}
	}
	return que.removeAt(best)
}

// TakeExpired removes and returns an opening whose client has given up, if there is
// one.
func (que *Queue) TakeExpired(now time.Time) (Opening, bool) {
	for i, opn := range que.waiting {
		if !now.Before(opn.expiresAt) {
			return que.removeAt(i), true
		}
	}
	return Opening{}, false
}

// Remove removes the opening of a flow.
func (que *Queue) Remove(key flow.Key) {
	for i, opn := range que.waiting {
		if opn.key == key {
			que.removeAt(i)
			return
		}
	}
}

func (que *Queue) removeAt(i int) Opening {
	opn := que.waiting[i]
	que.waiting = append(que.waiting[:i], que.waiting[i+1:]...)
	return opn
}

// WouldExpire reports whether the client of an opening that is queued now would
// give up before its turn, when one opening is served per interval.
func (que *Queue) WouldExpire(interval time.Duration) bool {
	return time.Duration(len(que.waiting)+1)*interval > openingTimeout
}
