package main

import "time"

// Timing and limits of both ends of a flow.
const (
	firstRetry   = 200 * time.Millisecond
	maxRetry     = 1600 * time.Millisecond
	maxInFlight  = 16
	delayedAck   = 40 * time.Millisecond
	maxResends   = 8 // After so many resends in a row a backend gives up.
	streamPeriod = 5 * time.Millisecond
)

// segment is sent data that is not acknowledged yet.
type segment struct {
	seq    uint32
	data   []byte
	fin    bool
	sentAt time.Time
	next   time.Time
	wait   time.Duration
	tries  int
}

func (seg *segment) end() uint32 {
	if seg.fin {
		return seg.seq + uint32(len(seg.data)) + 1
	}
	return seg.seq + uint32(len(seg.data))
}

// stream is the state of one end of an open flow: an ordered stream of bytes in both
// directions.
type stream struct {
	sendNext uint32 // The sequence number of the next new segment.
	toSend   []byte
	closing  bool // A FIN follows what is to be sent.
	finSent  bool
	unacked  []*segment

	recvNext uint32
	early    map[uint32]packet // Packets that came before earlier ones.
	received []byte
	peerFin  bool
	unsaid   int // Packets since the last acknowledgement.
	ackDue   time.Time
	lastSent time.Time
}

func newStream(sendNext, recvNext uint32) *stream {
	return &stream{sendNext: sendNext, recvNext: recvNext, early: make(map[uint32]packet)}
}

// take handles a packet of the other end and reports whether an acknowledgement is due
// at once.
func (stm *stream) take(pkt packet, now time.Time) (ackNow bool) {
	if pkt.has(ackBit) {
		for len(stm.unacked) > 0 && int32(pkt.ack-stm.unacked[0].end()) >= 0 {
			stm.unacked = stm.unacked[1:]
		}
	}
	if len(pkt.data) == 0 && !pkt.has(finBit) {
		return false
	}
	if int32(pkt.seq-stm.recvNext) < 0 {
		return true // A repetition: its acknowledgement was lost.
	}
	stm.early[pkt.seq] = pkt
	for {
		next, found := stm.early[stm.recvNext]
		if !found {
			break
		}
		delete(stm.early, stm.recvNext)
		stm.received = append(stm.received, next.data...)
		stm.recvNext += uint32(len(next.data))
		if next.has(finBit) {
			stm.recvNext++
			stm.peerFin = true
		}
	}
	stm.unsaid++
	if stm.ackDue.IsZero() {
		stm.ackDue = now.Add(delayedAck)
	}
	return stm.unsaid >= 2 || len(stm.early) > 0
}

// due calls send for every segment that has to be sent or sent again, and for an
// acknowledgement alone if one is due. It reports false when the end gives up.
func (stm *stream) due(now time.Time, limit int, send func(flags byte, seq, ack uint32, data []byte)) bool {
	emit := func(seg *segment) {
		flags := byte(ackBit)
		if seg.fin {
			flags |= finBit
		}
		send(flags, seg.seq, stm.recvNext, seg.data)
		stm.unsaid, stm.ackDue, stm.lastSent = 0, time.Time{}, now
	}
	for _, seg := range stm.unacked {
		if now.Before(seg.next) {
			continue
		}
		if seg.tries++; limit > 0 && seg.tries > limit {
			return false
		}
		seg.wait = min(2*seg.wait, maxRetry)
		seg.next = now.Add(seg.wait)
		emit(seg)
	}
	for len(stm.unacked) < maxInFlight && (len(stm.toSend) > 0 || stm.closing && !stm.finSent) {
		size := min(len(stm.toSend), maxData)
		seg := &segment{seq: stm.sendNext, data: append([]byte(nil), stm.toSend[:size]...), sentAt: now, next: now.Add(firstRetry), wait: firstRetry}
		stm.toSend = stm.toSend[size:]
		if stm.closing && len(stm.toSend) == 0 {
			seg.fin, stm.finSent = true, true
		}
		stm.sendNext = seg.end()
		stm.unacked = append(stm.unacked, seg)
		emit(seg)
	}
	if !stm.ackDue.IsZero() && !now.Before(stm.ackDue) {
		stm.acknowledge(now, send)
	}
	return true
}

func (stm *stream) acknowledge(now time.Time, send func(flags byte, seq, ack uint32, data []byte)) {
	send(ackBit, stm.sendNext, stm.recvNext, nil)
	stm.unsaid, stm.ackDue, stm.lastSent = 0, time.Time{}, now
}
