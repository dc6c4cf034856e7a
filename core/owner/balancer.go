package owner

import (
	"bytes"
	"time"

	"lagoondrum/core/accept"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// FromBalancer handles a packet that a balancer sent.
func (bok *Book) FromBalancer(hdr hop.Header, pkt flow.Packet, raw []byte, from flow.End, now time.Time) {
	switch hdr.Kind() {
	case hop.Open:
		bok.open(hdr, pkt, raw, from, now)
	case hop.Data, hop.Try:
		bok.carry(hdr, pkt, raw, from, now)
	}
}

// Asked answers a balancer that asks which of a list of flows are held here.
func (bok *Book) Asked(hdr hop.Header, list []byte, from flow.End, now time.Time) {
	var verdicts []byte
	hop.EachQuestion(list, func(key flow.Key, ack uint32) {
		knd, seq := hop.Absent, uint32(0)
		if hdr.Service() == bok.service {
			knd, seq = bok.verdict(key, ack, from, now)
		}
		verdicts = hop.AppendVerdict(verdicts, key, knd, seq)
	})
	bok.tell(from, hop.New(hop.Verdicts, hdr.Service(), flow.Key{}), verdicts, now)
}

func (bok *Book) verdict(key flow.Key, ack uint32, from flow.End, now time.Time) (hop.Kind, uint32) {
	rec := bok.records[key]
	_, denied := bok.denied[key]
	known := rec != nil && rec.phase != trying
	switch {
	case known && rec.holds(ack):
		rec.via = from
		return hop.Held, rec.seq
	case known, denied, bok.down, bok.reliable(now):
		return hop.Absent, 0
	default:
		return hop.Unsure, 0
	}
}

// open handles a packet that asks to open a flow.
func (bok *Book) open(hdr hop.Header, pkt flow.Packet, raw []byte, from flow.End, now time.Time) {
	key := pkt.FromClient()
	if rsn := bok.refusal(hdr); rsn != hop.NoReason {
		bok.tell(from, hop.New(hop.Refused, hdr.Service(), key).WithReason(rsn), nil, now)
		return
	}
	rec := bok.records[key]
	if rec == nil || rec.first != pkt.Seq() || rec.phase == closed || rec.phase == trying {
		bok.drop(key, now)
		rec = &record{first: pkt.Seq(), via: from, idleAt: now.Add(bok.idle)}
		bok.records[key] = rec
		delete(bok.denied, key)
		if bok.full() || bok.room.queue.Len() > 0 {
			opn := accept.NewOpening(key, pkt, bytes.Clone(raw), hdr.Priority(), hdr.Objective(), now)
			bok.enqueue(key, rec, hdr, opn, now)
			return
		}
		bok.begin(key, rec, pkt, raw, now)
		return
	}
	rec.via = from
	rec.idleAt = now.Add(bok.idle)
	if rec.phase == queued {
		bok.tell(from, hop.New(hop.Queued, bok.service, key), nil, now)
		return
	}
	bok.deliver(key, pkt, raw, now)
	if rec.opened {
		bok.tellOpened(key, rec, now)
	}
}

func (bok *Book) refusal(hdr hop.Header) hop.Reason {
	switch {
	case hdr.Service() != bok.service:
		return hop.OtherService
	default:
		return bok.closedFor()
	}
}

// closedFor returns why the upstream takes no new flows, if it takes none.
func (bok *Book) closedFor() hop.Reason {
	switch {
	case bok.leaving:
		return hop.Leaving
	case bok.down:
		return hop.Down
	default:
		return hop.NoReason
	}
}

// carry handles a packet of a flow that is open somewhere.
func (bok *Book) carry(hdr hop.Header, pkt flow.Packet, raw []byte, from flow.End, now time.Time) {
	key := pkt.FromClient()
	rec := bok.records[key]
	if hdr.Service() != bok.service {
		bok.absent(key, hdr, raw, from, now)
		return
	}
	if rec == nil {
		bok.unknown(key, hdr, pkt, raw, from, now)
		return
	}
	if rec.phase == half && !pkt.Has(flow.Ack) || !rec.holds(pkt.Ack()) {
		bok.absent(key, hdr, raw, from, now)
		return
	}
	if rec.phase == half {
		rec.phase = open
	}
	bok.noteClient(rec, pkt, now)
	if hdr.Kind() != hop.Data && rec.phase != trying {
		bok.tell(from, hop.New(hop.Held, bok.service, key).WithSeq(rec.seq), nil, now)
	}
	rec.via = from
	bok.deliver(key, pkt, raw, now)
}

// isNew reports whether a packet brings data that has not been seen. A repeat
// that comes after the answer is not another request.
func (rec *record) isNew(pkt flow.Packet) bool {
	if pkt.Size() == 0 || rec.asked && int32(pkt.End()-rec.dataEnd) <= 0 {
		return false
	}
	rec.asked, rec.dataEnd = true, pkt.End()
	return true
}

// holds reports whether a client that acknowledges this much means the flow as it
// is at this upstream: while others may have answered the opening packet too,
// only the acknowledgement tells whom the client chose.
func (rec *record) holds(ack uint32) bool {
	switch rec.phase {
	case queued, opening:
		return false
	case half:
		return flow.Answers(ack, rec.seq, rec.sent)
	default:
		return true
	}
}

// unknown handles a packet of a flow that is not recorded. Where the record may
// lack flows from before a restart, the upstream decides: but only on a packet
// that is meant for it, as packets at the wrong upstream break flows too.
func (bok *Book) unknown(key flow.Key, hdr hop.Header, pkt flow.Packet, raw []byte, from flow.End, now time.Time) {
	_, denied := bok.denied[key]
	if denied || bok.down || bok.reliable(now) {
		bok.absent(key, hdr, raw, from, now)
		return
	}
	rec := &record{phase: trying, via: from, data: hdr.Kind() == hop.Data, deadline: now.Add(trialTime), idleAt: now.Add(bok.idle)}
	bok.records[key] = rec
	bok.waiting[key] = rec
	bok.noteClient(rec, pkt, now)
	bok.deliver(key, pkt, raw, now)
}

func (bok *Book) absent(key flow.Key, hdr hop.Header, raw []byte, from flow.End, now time.Time) {
	if hdr.Kind() == hop.Try {
		raw = nil // The balancer kept it.
	}
	bok.tell(from, hop.New(hop.Absent, hdr.Service(), key), raw, now)
}

func (bok *Book) noteClient(rec *record, pkt flow.Packet, now time.Time) {
	rec.idleAt = now.Add(bok.idle)
	if pkt.Has(flow.Ack) {
		rec.ack = pkt.Ack()
	}
	if rec.isNew(pkt) && rec.phase != closed {
		bok.meter.begin(rec, now)
		bok.room.release(pkt.FromClient(), now.Sub(rec.begunAt))
	}
	if pkt.Has(flow.Fin) {
		rec.finDown = true
		bok.closeIfDone(rec, now)
	}
	if pkt.Has(flow.Rst) {
		bok.close(rec, now)
	}
}
