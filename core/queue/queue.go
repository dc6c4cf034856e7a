// Package queue queues the requests that an upstream has no capacity for, and decides
// which one is served next. It handles the load after a power loss and in a burst,
// when more clients come at once than an upstream serves within their latency
// objective: in order of arrival each of them would be late, and so would all
// clients that come while the backlog lasts.
package queue

import (
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/share"
)

// Queue holds the requests that wait for one upstream, in order of arrival.
type Queue struct {
	waiting []Request
	turns   int          // Requests that were taken with TakeNext.
	order   *share.Order // By cost; nil for the order by rank.
}

// SetOrder sets the order by cost, nil for the order by rank.
func (que *Queue) SetOrder(ord *share.Order) { que.order = ord }

// Len returns how many requests are queued.
func (que *Queue) Len() int { return len(que.waiting) }

// Add appends a request with its first packet.
func (que *Queue) Add(req Request, pkt Packet) {
	req.add(pkt)
	que.waiting = append(que.waiting, req)
}

// AddPacket appends a packet to the queued request of a flow, unless it is a
// retransmission of one that waits already.
func (que *Queue) AddPacket(key flow.Key, pkt Packet) {
	for i := range que.waiting {
		if que.waiting[i].key == key {
			que.waiting[i].add(pkt)
		}
	}
}

// TakeNext removes and returns the request to serve next at an upstream's pace. The
// queue must not be empty.
func (que *Queue) TakeNext(pce Pace, now time.Time) Request {
	at := que.next(pce, now)
	que.turns++
	return que.removeAt(at)
}

// AllLate reports whether no request can meet its objective any more.
func (que *Queue) AllLate(pce Pace, now time.Time) bool {
	if que.order != nil {
		return !que.order.Plan(que.demands(), pce.slotsFree, now).Timely()
	}
	for _, req := range que.waiting {
		if req.rankAt(now.Add(pce.answerTime)) == inTime {
			return false
		}
	}
	return true
}

// TakeExpired removes and returns a request that has waited until its timeout, or for as
// long as its flow may be idle, if there is one.
func (que *Queue) TakeExpired(now time.Time) (Request, bool) {
	for i, req := range que.waiting {
		if !now.Before(req.waitsUntil()) {
			return que.removeAt(i), true
		}
	}
	return Request{}, false
}

// Remove removes the request of a flow.
func (que *Queue) Remove(key flow.Key) {
	for i, req := range que.waiting {
		if req.key == key {
			que.removeAt(i)
			return
		}
	}
}

func (que *Queue) removeAt(i int) Request {
	req := que.waiting[i]
	que.waiting = append(que.waiting[:i], que.waiting[i+1:]...)
	return req
}

// WouldExpire reports whether the client of a request that is not queued yet would
// give up before its turn at an upstream's pace. Only the requests that go before it
// delay it.
func (que *Queue) WouldExpire(req Request, pce Pace, now time.Time) bool {
	answerAt := now.Add(pce.answerTime)
	turn := now.Add(pce.interval)
	for _, other := range que.waiting {
		if !que.precedes(req, other, answerAt) {
			turn = turn.Add(pce.interval)
		}
	}
	return turn.After(req.givenUpAt)
}
