package flows

import (
	"bytes"
	"math"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/queue"
	"lagoondrum/core/share"
)

// Limits of the requests that an upstream is given at once.
const (
	minReserveTime = 10 * time.Millisecond // Bounds of how long capacity is reserved for the first request after its opening.
	maxReserveTime = 100 * time.Millisecond
	reserveFactor  = 3                      // Capacity is reserved for this many times the average time from an opening to its request.
	overdueFactor  = 3                      // A request that waits for this many times the average answer time no longer counts against the limit.
	unansweredTime = 500 * time.Millisecond // An overdue request without an answer for this long is evidence against the upstream: nearly all objectives are missed.
	idleMargin     = 500 * time.Millisecond // An upstream gets a request so long before it may discard the flow as idle.
	averageGain    = 0.1                    // Weight of a new value in the moving averages of times.
)

// sendOffsets are the times since the start of an attempt at which a client sends
// the opening packet and its retransmissions.
var sendOffsets = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// admission limits what the upstream is given at once. Further requests wait in a
// queue of the agent, where their order can be chosen. The upstream's own queue
// serves requests in order of arrival and refuses them when it is full. Openings are
// accepted also when their requests will have to wait: a client whose opening is
// not answered gives up sooner and comes back as if it were a new one.
type admission struct {
	slots        int // 0 when not known; then nothing waits.
	queue        queue.Queue
	reserved     map[flow.Key]time.Time // Openings delivered whose first request has not come, and until when capacity is reserved for it.
	announced    map[flow.Key]time.Time // The same for openings without capacity for their request, which will have to wait.
	requestDelay time.Duration          // Moving average of the time from an opening to its request: a round trip to the client.
	answerTime   time.Duration          // Moving average of the time from a request to its answer.
	order        *share.Order           // Of the queue by cost; nil for that by rank.
}

// SetSlots sets how many requests the upstream runs concurrently.
func (tbl *Table) SetSlots(slots int) { tbl.admission.slots = slots }

// Queued returns how many requests wait until the upstream has capacity.
func (tbl *Table) Queued() int { return tbl.admission.queue.Len() }

// requestLimit returns how many requests the upstream is given at once: one for each
// slot, and as many as end while the next one is on its way from its client, so that
// no slot is idle meanwhile.
func (adm *admission) requestLimit() int {
	underWay := 1
	if adm.answerTime > 0 {
		underWay = max(underWay, int(math.Ceil(float64(adm.slots)*float64(adm.requestDelay)/float64(adm.answerTime))))
	}
	return adm.slots + min(underWay, adm.slots)
}

// full reports whether the upstream has no capacity for another request.
func (tbl *Table) full() bool {
	return tbl.admission.slots > 0 && tbl.committed() >= tbl.admission.requestLimit()
}

// committed returns how many requests the upstream works on or is about to get. An
// upstream that never answers some of its requests still works on the others.
func (tbl *Table) committed() int {
	return tbl.meter.running - tbl.meter.overdue + len(tbl.admission.reserved)
}

// pace returns how fast the upstream serves.
func (tbl *Table) pace(now time.Time) queue.Pace {
	adm := &tbl.admission
	pce := queue.NewPace(adm.answerTime, adm.answerTime/time.Duration(adm.requestLimit()))
	if adm.order != nil {
		pce = pce.WithSlots(tbl.slotsFree(now))
	}
	return pce
}

// noteAnswerTime adds the time that a request took to the moving average.
func (adm *admission) noteAnswerTime(took time.Duration) {
	if adm.answerTime == 0 {
		adm.answerTime = took
	}
	adm.answerTime += time.Duration(averageGain * float64(took-adm.answerTime))
}

// expectRequest notes that the first request of a flow is due after its opening.
// Capacity is reserved for it, if there is any.
func (tbl *Table) expectRequest(key flow.Key, now time.Time) {
	adm := &tbl.admission
	due := now.Add(min(max(reserveFactor*adm.requestDelay, minReserveTime), maxReserveTime))
	if tbl.mustWait() {
		adm.announced[key] = due
	} else {
		adm.reserved[key] = due
	}
}

// noteFirstRequest records that the first request of a flow has come some time after
// its opening.
func (adm *admission) noteFirstRequest(key flow.Key, delay time.Duration) {
	_, reserved := adm.reserved[key]
	_, announced := adm.announced[key]
	if reserved || announced {
		adm.requestDelay += time.Duration(averageGain * float64(delay-adm.requestDelay))
	}
	delete(adm.reserved, key)
	delete(adm.announced, key)
}

// mustWait reports whether a request that comes now has to wait.
func (tbl *Table) mustWait() bool { return tbl.full() || tbl.admission.queue.Len() > 0 }

// refusesOpening reports whether an opening is refused for lack of capacity: other
// agents may still have some, or the client would give up before the turn of its
// request.
func (tbl *Table) refusesOpening(key flow.Key, hdr encap.Header, sentAt, now time.Time) bool {
	if !tbl.mustWait() {
		return false
	}
	req := queue.New(key, true, hdr.Urgency(), sentAt)
	if tbl.admission.order != nil {
		return tbl.refusesByCost(req, hdr.QueueIfFull(), now)
	}
	return !hdr.QueueIfFull() || tbl.admission.queue.WouldExpire(req, tbl.pace(now), now)
}

// holdRequest queues a packet of a request while the upstream has no capacity for
// it, and reports whether it did.
func (tbl *Table) holdRequest(key flow.Key, rec *record, pkt flow.Packet, raw []byte, now time.Time) bool {
	adm := &tbl.admission
	if rec.held {
		if pkt.DataBytes() > 0 || pkt.Has(flow.Fin) {
			tbl.noteActivity(rec, now)
			adm.queue.AddPacket(key, queue.NewPacket(pkt, bytes.Clone(raw)))
			return true
		}
		return false
	}
	_, reserved := adm.reserved[key]
	begins := rec.phase == open && !rec.requestPending && rec.newData(pkt)
	if reserved || !begins || !tbl.mustWait() {
		return false
	}
	adm.noteFirstRequest(key, now.Sub(rec.deliveredAt))
	sentAt, first := now, !rec.dataSeen && !rec.sentAt.IsZero()
	if first {
		sentAt = rec.sentAt
	}
	rec.held = true
	req := queue.New(key, first, tbl.urgencyOf(key, rec), sentAt).DeliverBy(rec.activeAt.Add(tbl.idleTimeout - idleMargin))
	tbl.noteActivity(rec, now)
	prs := tbl.prospect(req, now)
	adm.queue.Add(req, queue.NewPacket(pkt, bytes.Clone(raw)))
	tbl.actions = append(tbl.actions, Action{kind: NoteQueued, key: key, deadline: req.ObjectiveDeadline(), prospect: prs})
	return true
}

// urgencyOf returns the urgency of a flow's requests. A flow from before the agent's
// start has that of its address's present route.
func (tbl *Table) urgencyOf(key flow.Key, rec *record) flow.Urgency {
	if rec.urgency != (flow.Urgency{}) || tbl.state == nil {
		return rec.urgency
	}
	if rte := tbl.state.Route(key.Service()); rte != nil {
		return rte.Urgency()
	}
	return rec.urgency
}

// admitQueued delivers what is queued while the upstream has capacity. Late requests
// only get free slots: requests that wait in the upstream delay those that can be in
// time.
func (tbl *Table) admitQueued(now time.Time) {
	adm := &tbl.admission
	if adm.answerTime > 0 {
		tbl.meter.markOverdue(now.Add(-overdueFactor * adm.answerTime))
		tbl.window.NoteUnanswered(tbl.meter.takeUnanswered(now.Add(-unansweredTime)), now)
	}
	for !tbl.down && adm.queue.Len() > 0 && !tbl.full() {
		pce := tbl.pace(now)
		if adm.slots > 0 && tbl.committed() >= adm.slots && adm.queue.AllLate(pce, now) {
			return
		}
		tbl.deliverRequest(adm.queue.TakeNext(pce, now), now)
	}
}

// deliverRequest delivers a request that was taken from the queue.
func (tbl *Table) deliverRequest(req queue.Request, now time.Time) {
	rec := tbl.records[req.Key()]
	if rec == nil {
		return
	}
	rec.held = false
	tbl.actions = append(tbl.actions, Action{kind: NoteAdmitted, key: req.Key(), deadline: req.ObjectiveDeadline()})
	for _, pkt := range req.Packets() {
		tbl.noteClientPacket(rec, pkt.Packet(), now)
		tbl.deliver(req.Key(), pkt.Packet(), pkt.Raw(), now)
	}
}

// deliverOpening delivers an opening to the upstream.
func (tbl *Table) deliverOpening(key flow.Key, rec *record, pkt flow.Packet, raw []byte, now time.Time) {
	rec.phase = opening
	rec.deadline = now.Add(openTimeout)
	tbl.unanswered[key] = rec
	rec.deliveredAt = now
	tbl.expectRequest(key, now)
	tbl.cold.Count(now)
	tbl.deliver(key, pkt, raw, now)
}

// expireQueued takes requests that have waited until their timeout from the queue.
// Those whose clients have closed the flow are dropped; the flow itself stays in the
// table, as the upstream holds it. Others are delivered, since a request on an open
// flow cannot be refused without ending its flow. It also drops openings whose
// requests did not come in time.
func (tbl *Table) expireQueued(now time.Time) {
	adm := &tbl.admission
	for _, expected := range []map[flow.Key]time.Time{adm.reserved, adm.announced} {
		for key, until := range expected {
			if !now.Before(until) {
				delete(expected, key)
			}
		}
	}
	for req, found := adm.queue.TakeExpired(now); found; req, found = adm.queue.TakeExpired(now) {
		if rec := tbl.records[req.Key()]; req.Closed() && rec != nil {
			rec.held = false
		} else {
			tbl.deliverRequest(req, now)
		}
	}
}

// StopAccepting stops the taking of new flows when the agent ends, and delivers all
// that is queued.
func (tbl *Table) StopAccepting(now time.Time) {
	tbl.leaving = true
	for tbl.admission.queue.Len() > 0 {
		tbl.deliverRequest(tbl.admission.queue.TakeNext(tbl.pace(now), now), now)
	}
}
