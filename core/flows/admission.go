package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/queue"
)

// Limits of the requests that an upstream is given at once.
const (
	requestsPerSlot = 1.75                  // For each slot: one request runs, and others wait so that no slot is idle while the next request is on its way.
	minReserveTime  = 10 * time.Millisecond // Bounds of how long capacity is reserved for the first request after its opening.
	maxReserveTime  = 100 * time.Millisecond
	reserveFactor   = 3   // Capacity is reserved for this many times the average time from an opening to its request.
	averageGain     = 0.1 // Weight of a new value in the moving averages of times.
)

// admission limits what the upstream is given at once. Further openings wait in a
// queue of the agent, where their order can be chosen. The upstream's own queue
// serves requests in order of arrival and refuses them when it is full.
type admission struct {
	slots        int // 0 when not known; then no opening waits.
	queue        queue.Queue
	reserved     map[flow.Key]time.Time // Openings delivered whose first request has not come, and until when capacity is reserved for it.
	requestDelay time.Duration          // Moving average of the time from an opening to its request: a round trip to the client.
	answerTime   time.Duration          // Moving average of the time from a request to its answer.
}

// SetSlots sets how many requests the upstream runs concurrently.
func (tbl *Table) SetSlots(slots int) { tbl.admission.slots = slots }

// Queued returns how many openings wait until the upstream has capacity.
func (tbl *Table) Queued() int { return tbl.admission.queue.Len() }

// requestLimit returns how many requests the upstream is given at once.
func (adm *admission) requestLimit() int {
	return max(int(requestsPerSlot*float64(adm.slots)), adm.slots+1)
}

// full reports whether the upstream has no capacity for another opening. Requests
// on open flows are delivered in any case; however many there are, half of the
// limit is available to new flows.
func (tbl *Table) full() bool {
	reserved, limit := len(tbl.admission.reserved), tbl.admission.requestLimit()
	return tbl.admission.slots > 0 && tbl.meter.running+reserved >= limit && tbl.meter.firstRequests+reserved >= limit/2
}

// noteAnswerTime adds the time that a request took to the moving average.
func (adm *admission) noteAnswerTime(took time.Duration) {
	adm.answerTime += time.Duration(averageGain * float64(took-adm.answerTime))
}

// reserve reserves capacity for the request that follows an opening.
func (adm *admission) reserve(key flow.Key, now time.Time) {
	adm.reserved[key] = now.Add(min(max(reserveFactor*adm.requestDelay, minReserveTime), maxReserveTime))
}

// release frees the capacity that was reserved for a flow's request, which came
// after delay.
func (adm *admission) release(key flow.Key, delay time.Duration) {
	if _, known := adm.reserved[key]; known {
		delete(adm.reserved, key)
		adm.requestDelay += time.Duration(averageGain * float64(delay-adm.requestDelay))
	}
}

// enqueue queues an opening until the upstream has capacity. It refuses the opening
// if its client would give up before its turn, and in any case if other agents may
// still have capacity for it.
func (tbl *Table) enqueue(key flow.Key, rec *record, hdr encap.Header, opn queue.Opening, now time.Time) {
	interval := tbl.admission.answerTime / time.Duration(tbl.admission.requestLimit())
	if !hdr.QueueIfFull() || tbl.admission.queue.WouldExpire(interval) {
		tbl.remove(key, now)
		tbl.notify(rec.balancer, encap.New(encap.Refused, tbl.service, key).WithReason(encap.Full), nil, now)
		return
	}
	rec.phase = queued
	tbl.admission.queue.Add(opn)
	tbl.notify(rec.balancer, encap.New(encap.Queued, tbl.service, key), nil, now)
}

// admitQueued delivers queued openings while the upstream has capacity, and refuses
// all of them when it takes no new flows.
func (tbl *Table) admitQueued(now time.Time) {
	if rsn := tbl.unavailableReason(); rsn != encap.NoReason {
		tbl.refuseAllQueued(rsn, now)
		return
	}
	for tbl.admission.queue.Len() > 0 && !tbl.full() {
		opn := tbl.admission.queue.TakeNext(tbl.admission.answerTime, now)
		if rec := tbl.records[opn.Key()]; rec != nil {
			tbl.deliverOpening(opn.Key(), rec, opn.Packet(), opn.Raw(), now)
		}
	}
}

// deliverOpening delivers an opening to the upstream.
func (tbl *Table) deliverOpening(key flow.Key, rec *record, pkt flow.Packet, raw []byte, now time.Time) {
	rec.phase = opening
	rec.deadline = now.Add(openTimeout)
	tbl.unanswered[key] = rec
	rec.deliveredAt = now
	tbl.admission.reserve(key, now)
	tbl.deliver(key, pkt, raw, now)
}

// expireOpenings refuses queued openings whose clients have given up, and drops
// reservations that were not used in time.
func (tbl *Table) expireOpenings(now time.Time) {
	for key, until := range tbl.admission.reserved {
		if !now.Before(until) {
			delete(tbl.admission.reserved, key)
		}
	}
	for {
		opn, found := tbl.admission.queue.TakeExpired(now)
		if !found {
			return
		}
		tbl.refuseQueued(opn, encap.Full, now)
	}
}

// StopAccepting stops the taking of new flows when the agent ends. Queued
// openings are refused, so that other agents can take them before their clients
// give up.
func (tbl *Table) StopAccepting(now time.Time) {
	tbl.leaving = true
	tbl.refuseAllQueued(encap.Leaving, now)
}

// refuseAllQueued refuses every queued opening, because the upstream takes no new
// flows any more.
func (tbl *Table) refuseAllQueued(rsn encap.Reason, now time.Time) {
	for tbl.admission.queue.Len() > 0 {
		tbl.refuseQueued(tbl.admission.queue.TakeNext(0, now), rsn, now)
	}
}

// refuseQueued refuses an opening that was taken from the queue.
func (tbl *Table) refuseQueued(opn queue.Opening, rsn encap.Reason, now time.Time) {
	rec := tbl.records[opn.Key()]
	if rec == nil {
		return
	}
	tbl.remove(opn.Key(), now)
	tbl.notify(rec.balancer, encap.New(encap.Refused, tbl.service, opn.Key()).WithReason(rsn), nil, now)
}
