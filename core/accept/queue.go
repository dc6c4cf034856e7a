// Package accept holds the openings of flows that an upstream has no room for,
// and decides whose turn it is when there is. It answers the load after a power
// loss and in a burst, when more clients come at once than an upstream serves
// within their objective: served in the order of arrival, every one of them is
// late, and so are all that come while the backlog lasts.
package accept

import (
	"time"

	"lagoondrum/core/flow"
)

// patience is how long a client waits for its opening to be answered, less the
// way of the answer: it gives up after 1.4 s.
const patience = 1300 * time.Millisecond

// copyAges are how long a client has waited when it sends the first opening and
// its copies.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Opening is a packet that asks to open a flow and waits for room.
type Opening struct {
	key      flow.Key
	packet   flow.Packet
	raw      []byte
	priority uint8
	lateAt   time.Time // From then on an answer misses the objective.
	endsAt   time.Time // When the client gives up.
}

// NewOpening returns an opening that came at a time. Its route has a priority, 0
// the highest, and a latency objective, 0 when there is none.
func NewOpening(key flow.Key, pkt flow.Packet, raw []byte, priority uint8, objective time.Duration, now time.Time) Opening {
	sentAt := now.Add(-copyAges[min(int(pkt.Ack()), len(copyAges)-1)])
	opn := Opening{key: key, packet: pkt, raw: raw, priority: priority, endsAt: sentAt.Add(patience)}
	if objective > 0 {
		opn.lateAt = sentAt.Add(objective)
	} else {
		opn.lateAt = opn.endsAt
	}
	return opn
}

// Key returns the flow.
func (opn Opening) Key() flow.Key { return opn.key }

// Packet returns what the packet says.
func (opn Opening) Packet() flow.Packet { return opn.packet }

// Raw returns the packet's bytes.
func (opn Opening) Raw() []byte { return opn.raw }

// before reports whether the opening is served before another that came later.
// While an answer still makes the objective it goes first; those that are late
// lose little by waiting. Among equals the more urgent route goes first, then
// whoever has waited longest.
func (opn Opening) before(other Opening, answerAt time.Time) bool {
	late, otherLate := answerAt.After(opn.lateAt), answerAt.After(other.lateAt)
	if late != otherLate {
		return otherLate
	}
	return opn.priority <= other.priority
}

// Queue is the openings that wait at one upstream, in the order of their arrival.
type Queue struct{ waiting []Opening }

// Len returns how many openings wait.
func (que *Queue) Len() int { return len(que.waiting) }

// Add queues an opening.
func (que *Queue) Add(opn Opening) { que.waiting = append(que.waiting, opn) }

// Next takes out the opening whose turn it is, when answers take so long. It is
// called on a queue that is not empty.
func (que *Queue) Next(answer time.Duration, now time.Time) Opening {
	answerAt := now.Add(answer)
	best := 0
	for at, opn := range que.waiting[1:] {
		if !que.waiting[best].before(opn, answerAt) {
			best = at + 1
		}
	}
	return que.take(best)
}

// Expired takes out an opening that its client has given up, if there is one.
func (que *Queue) Expired(now time.Time) (Opening, bool) {
	for at, opn := range que.waiting {
		if !now.Before(opn.endsAt) {
			return que.take(at), true
		}
	}
	return Opening{}, false
}

// Remove takes out the opening of a flow.
func (que *Queue) Remove(key flow.Key) {
	for at, opn := range que.waiting {
		if opn.key == key {
			que.take(at)
			return
		}
	}
}

func (que *Queue) take(at int) Opening {
	opn := que.waiting[at]
	que.waiting = append(que.waiting[:at], que.waiting[at+1:]...)
	return opn
}

// Hopeless reports whether an opening that is queued now would not get its turn
// before its client gives up, when room for one comes every so often.
func (que *Queue) Hopeless(every time.Duration) bool {
	return time.Duration(len(que.waiting)+1)*every > patience
}
