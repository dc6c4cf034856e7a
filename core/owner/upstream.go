package owner

import (
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// FromUpstream handles a packet that the upstream wrote or returned.
func (bok *Book) FromUpstream(pkt flow.Packet, raw []byte, now time.Time) {
	bok.fromUpstream(pkt, raw, now)
	bok.admit(now)
}

func (bok *Book) fromUpstream(pkt flow.Packet, raw []byte, now time.Time) {
	bok.silentBy = time.Time{}
	bok.down = false
	if pkt.Has(flow.Bounced) {
		bok.bounced(pkt, raw, now)
		return
	}
	key := pkt.FromUpstream()
	rec := bok.records[key]
	if rec == nil {
		rec = &record{phase: open}
		if pkt.Has(flow.Syn) {
			rec.phase = half // The opening was delivered before a restart.
		}
		bok.records[key] = rec
	}
	rec.idleAt = now.Add(bok.idle)
	bok.out = append(bok.out, Action{kind: ToClient, key: key, packet: raw})
	switch {
	case pkt.Has(flow.Syn):
		bok.answered(key, rec, pkt, now)
	case pkt.Has(flow.Rst):
		bok.close(rec, now)
	default:
		bok.noteUpstream(key, rec, pkt, now)
	}
}

// answered handles the upstream's answer to an opening packet.
func (bok *Book) answered(key flow.Key, rec *record, pkt flow.Packet, now time.Time) {
	delete(bok.waiting, key)
	if rec.phase == opening || rec.phase == half {
		rec.phase = half
	}
	rec.seq, rec.sent = pkt.Seq(), pkt.End()
	rec.opened = true
	bok.tellOpened(key, rec, now)
}

func (bok *Book) tellOpened(key flow.Key, rec *record, now time.Time) {
	if rec.via != (flow.End{}) {
		bok.tell(rec.via, hop.New(hop.Opened, bok.service, key).WithSeq(rec.seq), nil, now)
	}
}

func (bok *Book) noteUpstream(key flow.Key, rec *record, pkt flow.Packet, now time.Time) {
	if rec.phase == trying {
		delete(bok.waiting, key)
		rec.phase = open
		bok.tell(rec.via, hop.New(hop.Held, bok.service, key), nil, now)
	}
	if rec.phase == half && pkt.End()-rec.seq > rec.sent-rec.seq {
		rec.sent = pkt.End()
	}
	if pkt.Size() > 0 && rec.busy {
		bok.room.noteAnswer(now.Sub(rec.askedAt))
		bok.meter.end(rec, now)
	}
	if pkt.Has(flow.Fin) {
		rec.finUp = true
		bok.closeIfDone(rec, now)
	}
}

func (bok *Book) closeIfDone(rec *record, now time.Time) {
	if rec.finUp && rec.finDown {
		bok.close(rec, now)
	}
}

func (bok *Book) close(rec *record, now time.Time) {
	bok.meter.end(rec, now)
	rec.phase = closed
	rec.idleAt = now.Add(closedTime)
}

// bounced handles a packet that the upstream returned: it does not hold the
// flow.
func (bok *Book) bounced(pkt flow.Packet, raw []byte, now time.Time) {
	key := pkt.FromClient()
	rec := bok.records[key]
	if rec == nil {
		return
	}
	via := rec.via
	switch rec.phase {
	case opening:
		if !pkt.Opening() {
			return
		}
		bok.drop(key, now)
		bok.tell(via, hop.New(hop.Refused, bok.service, key).WithReason(hop.Bounced), nil, now)
	case half:
		if pkt.Opening() {
			return // A copy; the first one was taken.
		}
		bok.end(key, rec, pkt, now)
	case trying:
		bok.drop(key, now)
		bok.deny(key, now)
		if !rec.data {
			raw = nil
		}
		bok.tell(via, hop.New(hop.Absent, bok.service, key), raw, now)
	case open:
		bok.end(key, rec, pkt, now)
	case closed:
		bok.drop(key, now)
		bok.deny(key, now)
	}
}

// end handles the proof that a flow of this upstream is over: its client is told
// at once, and does not wait for an answer that cannot come.
func (bok *Book) end(key flow.Key, rec *record, pkt flow.Packet, now time.Time) {
	bok.drop(key, now)
	bok.deny(key, now)
	if pkt.Has(flow.Rst) {
		return
	}
	bok.out = append(bok.out, Action{kind: Reset, key: key, seq: pkt.Ack()})
	bok.tell(rec.via, hop.New(hop.Gone, bok.service, key), nil, now)
}
