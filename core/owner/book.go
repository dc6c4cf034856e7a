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
	stalledTime = 2 * time.Second        // A request without a packet either way for this long is not under way: its client has left, or its upstream has lost it.
	sweepEvery  = time.Second            // Between two looks for flows that have expired.
	openSilence = 60 * time.Millisecond  // For an opening packet without an answer before the upstream is probed; see answerTime.
	dataSilence = 300 * time.Millisecond // The same for data, whose acknowledgement may wait for the next packet or the answer.
	probeEvery  = 250 * time.Millisecond // Between two probes: a connection attempt of a few packets.
	maxDenied   = 8192                   // Denied flows that are remembered: 0.5 MB.
	resetsATick = 200                    // Resets sent at once when an upstream has ended.
)

type phase uint8

const (
	queued  phase = iota + 1 // The opening packet waits for room.
	opening                  // The opening packet was delivered.
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
	answered bool // A request was answered.
	asked    bool // The client has sent data.
	data     bool // The packet of a trial came as Data.
	finUp    bool
	finDown  bool
	seq      uint32 // The upstream's first sequence number.
	sent     uint32 // The end of what the upstream sent.
	first    uint32 // The client's first sequence number.
	dataEnd  uint32 // The end of the client's data.
	ack      uint32 // The client's last acknowledgement.
	via      flow.End
	begunAt  time.Time // When the opening packet was delivered.
	askedAt  time.Time // When the request that waits for its answer began.
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
	room      room
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
		room:      room{reserved: make(map[flow.Key]time.Time), follow: maxReserve / reserveSpan},
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
func (bok *Book) Load(now time.Time) hop.Load {
	return bok.meter.load(now, bok.room.queue.Len(), len(bok.records))
}

// Take returns the actions since the last call. They are valid until the next
// event.
func (bok *Book) Take() []Action {
	acts := bok.out
	bok.out = bok.out[:0]
	return acts
}

func (bok *Book) deny(key flow.Key, now time.Time) {
	if len(bok.denied) < maxDenied {
		bok.denied[key] = now.Add(deniedTime)
	}
}

func (bok *Book) drop(key flow.Key, now time.Time) {
	if rec := bok.records[key]; rec != nil {
		bok.meter.end(rec, now)
		if rec.phase == queued {
			bok.room.queue.Remove(key)
		}
		delete(bok.room.reserved, key)
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
