// Package owner decides at an agent: which flows its upstream holds, what is
// delivered to the upstream, and what balancers are told. Every packet of the
// upstream passes the agent, so its record of the flows is the truth; a restarted
// agent regains it from the upstream's own packets and bounces.
package owner

import (
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// Limits of the record.
const (
	answerTime  = 45 * time.Millisecond  // For an upstream to answer an opening packet; its handshake takes under 1 ms, the rest is queueing.
	trialTime   = 250 * time.Millisecond // For an upstream to answer or return a packet of an unknown flow; clients repeat after 200 ms.
	deniedTime  = 10 * time.Second       // A returned flow is known not to be here for this long.
	closedTime  = 5 * time.Second        // A closed flow is kept, for late repeats of its last packets; the repeats end after 3.2 s.
	sweepEvery  = time.Second            // Between two looks for flows that have expired.
	openSilence = 60 * time.Millisecond  // For an opening packet without an answer before the upstream is probed; see answerTime.
	dataSilence = 300 * time.Millisecond // The same for data, whose acknowledgement may wait for the next packet or the answer.
	probeEvery  = 250 * time.Millisecond // Between two probes: a connection attempt of a few packets.
	maxDenied   = 8192                   // Denied flows that are remembered: 0.5 MB.
	resetsATick = 200                    // Resets sent at once when an upstream has ended.
)

type phase uint8

const (
	opening phase = iota + 1 // The opening packet was delivered.
	half                     // The upstream answered it.
	trying                   // A packet of an unknown flow was delivered.
	open
	closed
)

// record is what the agent knows about one flow of its upstream.
type record struct {
	phase    phase
	opened   bool // Opened was told.
	refused  bool // Silent was told.
	busy     bool // A request waits for its answer.
	data     bool // The packet of a trial came as Data.
	finUp    bool
	finDown  bool
	seq      uint32 // The upstream's first sequence number.
	sent     uint32 // The end of what the upstream sent.
	first    uint32 // The client's first sequence number.
	ack      uint32 // The client's last acknowledgement.
	via      flow.End
	deadline time.Time // For an answer, while opening or trying.
	idleAt   time.Time // When the record expires.
}

// Book is the record of all flows of one upstream.
type Book struct {
	service   uint64
	idle      time.Duration
	startedAt time.Time
	complete  bool // The record lacks nothing, as the whole system started with it.
	records   map[flow.Key]*record
	denied    map[flow.Key]time.Time
	waiting   map[flow.Key]*record // Opening or trying.
	doomed    []flow.Key           // Flows of an upstream that has ended.
	leaving   bool
	down      bool
	silentBy  time.Time // When the upstream is probed unless it answers, zero when it owes nothing.
	probeAt   time.Time
	sweepAt   time.Time
	meter     meter
	out       []Action
}

// New returns an empty record of an upstream's flows, which are kept for idle
// without packets. Unless the record is complete, the upstream may hold flows
// from before startedAt.
func New(service uint64, idle time.Duration, startedAt time.Time, complete bool) *Book {
	return &Book{
		service:   service,
		idle:      idle,
		startedAt: startedAt,
		complete:  complete,
		records:   make(map[flow.Key]*record),
		denied:    make(map[flow.Key]time.Time),
		waiting:   make(map[flow.Key]*record),
	}
}

// SetComplete notes that the upstream holds no flow from before this record.
func (bok *Book) SetComplete() { bok.complete = true }

// Complete reports whether the upstream is known to hold no flow from before
// this record.
func (bok *Book) Complete() bool { return bok.complete }

// SetIdle sets how long a flow without packets is kept.
func (bok *Book) SetIdle(idle time.Duration) { bok.idle = idle }

// reliable reports whether an unknown flow is proof that it is not here: what
// was open before the start has sent packets since, or may be discarded.
func (bok *Book) reliable(now time.Time) bool {
	return bok.complete || now.Sub(bok.startedAt) >= bok.idle
}

// SetService sets the service of the upstream.
func (bok *Book) SetService(service uint64) { bok.service = service }

// SetLeaving sets whether the upstream takes no new flows.
func (bok *Book) SetLeaving(leaving bool) { bok.leaving = leaving }

// Service returns the service of the upstream.
func (bok *Book) Service() uint64 { return bok.service }

// Leaving reports whether the upstream takes no new flows.
func (bok *Book) Leaving() bool { return bok.leaving }

// Down reports whether the upstream is known not to run.
func (bok *Book) Down() bool { return bok.down }

// Flows returns how many flows are recorded.
func (bok *Book) Flows() int { return len(bok.records) }

// Load returns how busy the upstream is.
func (bok *Book) Load(now time.Time) hop.Load { return bok.meter.load(now, len(bok.records)) }

// Take returns the actions since the last call. They are valid until the next
// event.
func (bok *Book) Take() []Action {
	acts := bok.out
	bok.out = bok.out[:0]
	return acts
}

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
		rec = &record{phase: opening, first: pkt.Seq(), deadline: now.Add(answerTime)}
		bok.records[key] = rec
		bok.waiting[key] = rec
		delete(bok.denied, key)
	}
	rec.via = from
	rec.idleAt = now.Add(bok.idle)
	bok.deliver(key, pkt, raw, now)
	if rec.opened {
		bok.tellOpened(key, rec, now)
	}
}

func (bok *Book) refusal(hdr hop.Header) hop.Reason {
	switch {
	case hdr.Service() != bok.service:
		return hop.OtherService
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

// holds reports whether a client that acknowledges this much means the flow as it
// is at this upstream: while others may have answered the opening packet too,
// only the acknowledgement tells whom the client chose.
func (rec *record) holds(ack uint32) bool {
	switch rec.phase {
	case opening:
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

// FromUpstream handles a packet that the upstream wrote or returned.
func (bok *Book) FromUpstream(pkt flow.Packet, raw []byte, now time.Time) {
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
	if pkt.Size() > 0 {
		bok.meter.end(rec, now)
	}
	if pkt.Has(flow.Fin) {
		rec.finUp = true
		bok.closeIfDone(rec, now)
	}
}

func (bok *Book) noteClient(rec *record, pkt flow.Packet, now time.Time) {
	rec.idleAt = now.Add(bok.idle)
	if pkt.Has(flow.Ack) {
		rec.ack = pkt.Ack()
	}
	if pkt.Size() > 0 && rec.phase != closed {
		bok.meter.begin(rec, now)
	}
	if pkt.Has(flow.Fin) {
		rec.finDown = true
		bok.closeIfDone(rec, now)
	}
	if pkt.Has(flow.Rst) {
		bok.close(rec, now)
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

func (bok *Book) deny(key flow.Key, now time.Time) {
	if len(bok.denied) < maxDenied {
		bok.denied[key] = now.Add(deniedTime)
	}
}

func (bok *Book) drop(key flow.Key, now time.Time) {
	if rec := bok.records[key]; rec != nil {
		bok.meter.end(rec, now)
		delete(bok.records, key)
		delete(bok.waiting, key)
	}
}

func (bok *Book) deliver(key flow.Key, pkt flow.Packet, raw []byte, now time.Time) {
	switch {
	case pkt.Opening():
		bok.expectBy(now.Add(openSilence))
	case pkt.Size() > 0 || pkt.Has(flow.Fin):
		bok.expectBy(now.Add(dataSilence))
	}
	bok.out = append(bok.out, Action{kind: Deliver, key: key, packet: raw})
}

// expectBy notes that the upstream owes an answer.
func (bok *Book) expectBy(deadline time.Time) {
	if bok.silentBy.IsZero() || deadline.Before(bok.silentBy) {
		bok.silentBy = deadline
	}
}

func (bok *Book) tell(peer flow.End, hdr hop.Header, raw []byte, now time.Time) {
	if peer == (flow.End{}) {
		return
	}
	if bok.leaving {
		hdr = hdr.WithLeaving(false)
	}
	if bok.down {
		hdr = hdr.WithDown()
	}
	bok.out = append(bok.out, Action{kind: Tell, peer: peer, key: hdr.Key(), header: hdr.WithLoad(bok.Load(now)), packet: raw})
}
