package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// HandleBalancerPacket handles a packet that a balancer sent.
func (tbl *Table) HandleBalancerPacket(hdr encap.Header, pkt flow.Packet, raw []byte, from flow.Endpoint, now time.Time) {
	switch hdr.Kind() {
	case encap.Open:
		tbl.handleOpen(hdr, pkt, raw, from, now)
	case encap.Data, encap.Try:
		tbl.handleData(hdr, pkt, raw, from, now)
	}
}

// HandleQuery answers a balancer's query, which asks which flows of a list the
// upstream holds. The answer names the upstream's service: the balancer may not know
// yet that the VM's address has moved to it, and would take a denial for proof.
func (tbl *Table) HandleQuery(list []byte, from flow.Endpoint, now time.Time) {
	var verdicts []byte
	encap.EachQuery(list, func(key flow.Key, ack uint32) {
		knd, seq := tbl.verdict(key, ack, from, now)
		verdicts = encap.AppendVerdict(verdicts, key, knd, seq)
	})
	tbl.notify(from, encap.New(encap.Verdicts, tbl.service, flow.Key{}), verdicts, now)
}

// verdict answers whether the upstream holds one flow.
func (tbl *Table) verdict(key flow.Key, ack uint32, from flow.Endpoint, now time.Time) (encap.Kind, uint32) {
	rec := tbl.records[key]
	_, denied := tbl.denied[key]
	known := rec != nil && rec.phase != trying
	switch {
	case known && rec.matchesAck(ack):
		rec.balancer = from
		return encap.Held, rec.upstreamISN
	case denied, tbl.down, tbl.authoritative(now):
		return encap.Absent, tbl.denialSeq(key, now)
	default:
		return encap.Unsure, encap.UnsureSeq(tbl.served[key.Service()], now.Sub(tbl.startedAt), tbl.noteAsked(key, now))
	}
}

// handleOpen handles a packet that asks to open a flow.
func (tbl *Table) handleOpen(hdr encap.Header, pkt flow.Packet, raw []byte, from flow.Endpoint, now time.Time) {
	key := pkt.KeyFromClient()
	rec := tbl.records[key]
	known := rec != nil && rec.isOpenedBy(pkt)
	if rsn := tbl.refusalReason(hdr, known && rec.accepted); rsn != encap.NoReason {
		if rsn == encap.Leaving && known && rec.phase == open { // On a refusal the balancer would ask other agents to open the flow.
			rec.balancer = from
			tbl.notifyOpened(key, rec, now)
			return
		}
		tbl.notify(from, encap.New(encap.Refused, hdr.Service(), key).WithReason(rsn), nil, now)
		return
	}
	if limit, ok := hdr.ColdLimit(); ok {
		tbl.cold.NoteTold(limit, now)
	}
	if !tbl.cold.Open(now) { // Copies of an opening count too.
		tbl.refuseCold(key, pkt, from, now)
		return
	}
	if !known {
		tbl.remove(key, now)
		sentAt := now.Add(-sendOffsets[min(int(pkt.Ack()), len(sendOffsets)-1)]) // The ack of an opening packet counts the copies sent before.
		if tbl.refusesOpening(key, hdr, sentAt, now) {
			tbl.notify(from, encap.New(encap.Refused, tbl.service, key).WithReason(encap.Full), nil, now)
			return
		}
		rec = &record{clientISN: pkt.Seq(), balancer: from, sentAt: sentAt, urgency: hdr.Urgency()}
		tbl.noteActivity(rec, now)
		tbl.records[key] = rec
		tbl.deliverOpening(key, rec, pkt, raw, now)
		return
	}
	tbl.noteActivity(rec, now)
	tbl.cold.Count(now)
	tbl.deliver(key, pkt, raw, now)
	if rec.phase == trying {
		return // The balancer that sent the packet on trial gets the answer.
	}
	rec.balancer = from
	if rec.accepted {
		tbl.notifyOpened(key, rec, now)
	}
}

// isOpenedBy reports whether an opening packet is a copy of the one that began the flow.
// If that one was not seen, the flow is older than the agent, and every opening is taken
// for a late copy.
func (rec *record) isOpenedBy(pkt flow.Packet) bool {
	return rec.phase != closed && (rec.sentAt.IsZero() || rec.clientISN == pkt.Seq())
}

// refusalReason returns why a flow cannot be opened, NoReason if it can. accepted tells
// that the upstream has answered an earlier copy of the opening.
func (tbl *Table) refusalReason(hdr encap.Header, accepted bool) encap.Reason {
	switch {
	case hdr.Service() != tbl.service:
		return encap.OtherService
	case tbl.evacuated && !accepted:
		return encap.Evacuated
	default:
		return tbl.unavailableReason()
	}
}

// unavailableReason returns why the upstream takes no new flows, NoReason if it
// takes them.
func (tbl *Table) unavailableReason() encap.Reason {
	switch {
	case tbl.leaving:
		return encap.Leaving
	case tbl.down:
		return encap.Down
	default:
		return encap.NoReason
	}
}

// handleData handles a packet of a flow that was opened before, here or at another
// upstream.
func (tbl *Table) handleData(hdr encap.Header, pkt flow.Packet, raw []byte, from flow.Endpoint, now time.Time) {
	key := pkt.KeyFromClient()
	rec := tbl.records[key]
	if hdr.Service() != tbl.service {
		tbl.notifyAbsent(key, hdr, raw, from, now)
		return
	}
	if rec == nil || rec.phase == halfOpen && !pkt.Has(flow.Ack) || !rec.matchesAck(pkt.Ack()) {
		tbl.handleUnknown(key, hdr, pkt, raw, from, now)
		return
	}
	if rec.phase == trying && hdr.Kind() == encap.Try {
		return // Another balancer's try is under way; a second packet would count against the flow too.
	}
	if rec.phase == halfOpen {
		rec.phase = open
	}
	if hdr.Kind() != encap.Data && rec.phase != trying {
		tbl.notify(from, encap.New(encap.Held, tbl.service, key).WithSeq(rec.upstreamISN), nil, now)
	}
	rec.balancer = from
	if tbl.holdRequest(key, rec, pkt, raw, now) {
		return
	}
	tbl.noteClientPacket(rec, pkt, now)
	tbl.deliver(key, pkt, raw, now)
}

// newData reports whether a packet carries data that was not seen before. A
// retransmission that arrives after the answer is not another request.
func (rec *record) newData(pkt flow.Packet) bool {
	return pkt.DataBytes() > 0 && !(rec.dataSeen && int32(pkt.EndSeq()-rec.clientEnd) <= 0)
}

// matchesAck reports whether a client that sends this acknowledgement opened the
// flow at this upstream. While the flow is half open, other upstreams may have
// answered the opening packet too, and only the acknowledgement tells which of
// them the client chose.
func (rec *record) matchesAck(ack uint32) bool {
	switch rec.phase {
	case opening:
		return false
	case halfOpen:
		return flow.AckInRange(ack, rec.upstreamISN, rec.upstreamEnd)
	default:
		return true
	}
}

// handleUnknown handles a packet of a flow that is not in the table, or whose opening
// alone is. Where the table may lack flows from before a restart, that opening may have
// been a late copy: the packet is delivered, and the upstream's reaction shows whether it
// holds the flow. Only a packet that is meant for this upstream is tried, since packets
// at a wrong upstream break flows too.
func (tbl *Table) handleUnknown(key flow.Key, hdr encap.Header, pkt flow.Packet, raw []byte, from flow.Endpoint, now time.Time) {
	_, denied := tbl.denied[key]
	if denied || tbl.down || tbl.authoritative(now) {
		tbl.notifyAbsent(key, hdr, raw, from, now)
		return
	}
	tbl.noteAsked(key, now)
	tbl.remove(key, now)
	rec := &record{phase: trying, balancer: from, trialOfData: hdr.Kind() == encap.Data, deadline: now.Add(trialTimeout)}
	tbl.records[key] = rec
	tbl.unanswered[key] = rec
	tbl.noteClientPacket(rec, pkt, now)
	tbl.deliver(key, pkt, raw, now)
}

// notifyAbsent tells a balancer that the upstream does not hold a flow, and returns
// the packet unless the balancer has it.
func (tbl *Table) notifyAbsent(key flow.Key, hdr encap.Header, raw []byte, from flow.Endpoint, now time.Time) {
	if hdr.Kind() == encap.Try {
		raw = nil // The balancer kept a copy.
	}
	tbl.notify(from, encap.New(encap.Absent, hdr.Service(), key).WithSeq(tbl.denialSeq(key, now)), raw, now)
}

// noteClientPacket updates the record of a flow from a packet of its client.
func (tbl *Table) noteClientPacket(rec *record, pkt flow.Packet, now time.Time) {
	tbl.noteActivity(rec, now)
	if pkt.Has(flow.Ack) {
		rec.clientAck = pkt.Ack()
	}
	if rec.newData(pkt) {
		tbl.countColdRequest(rec, now)
		rec.dataSeen, rec.clientEnd = true, pkt.EndSeq()
		if rec.phase != closed {
			rec.address = pkt.To()
			tbl.meter.begin(rec, now)
			tbl.admission.noteFirstRequest(pkt.KeyFromClient(), now.Sub(rec.deliveredAt))
		}
	}
	if pkt.Has(flow.Fin) {
		rec.clientFin = true
		tbl.closeIfBothFin(rec, now)
	}
	if pkt.Has(flow.Rst) {
		tbl.close(rec, now)
	}
}
