// Package flows is the flow table of an agent; package flow describes single flows
// and their packets. The table tracks which flows the upstream holds and decides
// which packets are delivered to the upstream and what balancers are told. Every
// packet of the upstream passes through the agent, so its table is authoritative. A
// restarted agent rebuilds the table from the packets that the upstream sends, and
// from those that it returns because it does not hold their flow.
package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/judge"
	"lagoondrum/core/warm"
)

// Timeouts and limits of the table.
const (
	openTimeout      = 45 * time.Millisecond  // For the upstream to answer an opening packet; its handshake takes under 1 ms, the rest is queueing.
	trialTimeout     = 250 * time.Millisecond // For the upstream to answer or return a packet of an unknown flow; clients retransmit after 200 ms.
	deniedRetention  = 10 * time.Second       // After the upstream has returned a packet, its flow is denied for this long.
	askedRetention   = 4 * time.Second        // Balancers that search for a flow ask again sooner than this, also if two retransmissions are lost.
	closedRetention  = 5 * time.Second        // A closed flow is kept this long for retransmissions of its last packets, which end after 3.2 s.
	stallTimeout     = 2 * time.Second        // A request without a packet in either direction for this long no longer counts as running: its client has left, or the upstream has lost it.
	sweepInterval    = time.Second            // Between two removals of expired flows.
	openProbeDelay   = 60 * time.Millisecond  // Unanswered opening packets older than this cause a probe of the upstream; see openTimeout.
	dataProbeDelay   = 300 * time.Millisecond // The same for data, whose acknowledgement may be delayed until the next packet or the response.
	probeInterval    = 250 * time.Millisecond // Between two probes, each a connection attempt of a few packets.
	maxDenied        = 8192                   // Denied flows that are kept; they take 0.5 MB.
	maxAsked         = 8192                   // The same of flows that balancers ask for.
	maxServed        = 4096                   // Addresses that are remembered as served: more than a platform has routes.
	maxFlowAge       = 60 * time.Second       // An upstream may discard a flow that is older, or has been idle for the idle timeout.
	maxResetsPerTick = 200                    // Resets sent in one tick after the upstream has ended.
)

// phase is the state of a flow in the table.
type phase uint8

const (
	opening  phase = iota + 1 // The opening packet was delivered.
	halfOpen                  // The upstream answered the opening packet; the client has not acknowledged that yet.
	trying                    // A packet of an unknown flow was delivered, to see whether the upstream holds the flow.
	open                      // The flow is established.
	closed                    // Both ends have finished the flow, or one has reset it.
)

// record is what the agent knows about one flow of its upstream.
type record struct {
	phase          phase
	accepted       bool // The upstream answered the opening packet.
	silentReported bool // The balancer was told that the upstream did not answer in time.
	requestPending bool // A request waits for its answer; the meter counts it.
	requestOverdue bool // It has waited for much longer than others.
	dataSeen       bool // The client has sent data, and clientEnd is set.
	held           bool // Packets of a request wait at the agent until the upstream has capacity.
	trialOfData    bool // The packet on trial came as Data, so the balancer keeps no copy.
	upstreamFin    bool
	clientFin      bool
	upstreamISN    uint32        // The upstream's initial sequence number.
	upstreamEnd    uint32        // The sequence number after the data that the upstream sent while the flow was half open.
	clientISN      uint32        // The client's initial sequence number.
	clientEnd      uint32        // The sequence number after the client's data.
	clientAck      uint32        // The client's last acknowledgement.
	balancer       flow.Endpoint // The balancer that last sent a packet of the flow or asked for the flow; zero when none did.
	address        flow.Endpoint // Of the route; zero before the first request.
	requestBehind  int           // Requests that ran when the pending one began.
	urgency        flow.Urgency  // Of the route, as the opening said.
	sentAt         time.Time     // When the client began to open the flow; zero when the opening was not seen.
	deliveredAt    time.Time     // When the opening packet was delivered.
	requestedAt    time.Time     // When the pending request began.
	deadline       time.Time     // For the upstream's answer, in the phases opening and trying.
	activeAt       time.Time     // When the last packet of the flow came.
	answeredAt     time.Time     // When the upstream last sent a packet of the flow.
	expiresAt      time.Time     // When the record is removed.
}

// denial is the knowledge that the upstream does not hold a flow.
type denial struct {
	until   time.Time // When it is forgotten.
	triedAt time.Time // When the upstream returned a packet on trial; zero if there was none.
}

// inquiry is how long balancers have been asking for a flow that the agent does not know.
type inquiry struct {
	firstAt time.Time
	lastAt  time.Time
}

// Table is the table of all flows of one upstream.
type Table struct {
	service     uint64
	idleTimeout time.Duration
	startedAt   time.Time
	complete    bool // The table lacks no flow, for example because the whole system started with it.
	records     map[flow.Key]*record
	denied      map[flow.Key]denial
	asked       map[flow.Key]inquiry
	served      map[flow.Endpoint]bool // Addresses on which the upstream has sent packets of flows.
	unanswered  map[flow.Key]*record   // Flows in the phases opening and trying.
	ended       []flow.Key             // Flows that are still to be reset after the upstream has ended.
	leaving     bool
	down        bool
	evacuated   bool      // The upstream's availability zone is evacuated.
	answerDue   time.Time // When the upstream is probed unless it sends a packet before; zero when no answer is due.
	nextProbeAt time.Time
	nextSweepAt time.Time
	state       *intent.State // The desired state in force; nil before the first one.
	meter       meter
	admission   admission
	cold        warm.Gate
	window      *judge.Window // What callers get from the upstream; nil while nobody judges that.
	actions     []Action
}

// New returns the empty table of an upstream. A flow is removed after idleTimeout
// without packets. Unless the table is complete, the upstream may hold flows from
// before startedAt.
func New(service uint64, idleTimeout time.Duration, startedAt time.Time, complete bool) *Table {
	return &Table{
		service:     service,
		idleTimeout: idleTimeout,
		startedAt:   startedAt,
		complete:    complete,
		records:     make(map[flow.Key]*record),
		denied:      make(map[flow.Key]denial),
		asked:       make(map[flow.Key]inquiry),
		served:      make(map[flow.Endpoint]bool),
		unanswered:  make(map[flow.Key]*record),
		admission:   admission{reserved: make(map[flow.Key]time.Time), announced: make(map[flow.Key]time.Time), requestDelay: maxReserveTime / reserveFactor},
		cold:        warm.NewGate(),
	}
}

// CollectEvidence makes the table collect what callers get from the upstream.
func (tbl *Table) CollectEvidence() { tbl.window = judge.NewWindow() }

// Evidence returns what callers got from the upstream lately.
func (tbl *Table) Evidence(now time.Time) judge.Evidence { return tbl.window.Evidence(now) }

// EvidenceIsNews reports whether balancers are to be told the evidence at once.
func (tbl *Table) EvidenceIsNews(now time.Time) bool { return tbl.window.News(now) }

// SetComplete records that the upstream holds no flow from before this table.
func (tbl *Table) SetComplete() { tbl.complete = true }

// Complete reports whether the upstream is known to hold no flow from before
// this table.
func (tbl *Table) Complete() bool { return tbl.complete }

// SetState sets the desired state, which has the urgency of the requests of flows
// from before the agent's start, and the idle timeout. A longer timeout applies to
// the flows that are idle already, too.
func (tbl *Table) SetState(stt *intent.State) {
	tbl.state = stt
	if stt.IdleTimeout() == tbl.idleTimeout {
		return
	}
	tbl.idleTimeout = stt.IdleTimeout()
	for _, rec := range tbl.records {
		if rec.phase != closed {
			rec.extend(tbl.idleTimeout)
		}
	}
}

// noteActivity records that a packet of a flow came.
func (tbl *Table) noteActivity(rec *record, now time.Time) {
	rec.activeAt = now
	rec.expiresAt = now.Add(tbl.idleTimeout)
}

// extend keeps an idle flow at least until it has been idle for the timeout. A
// shorter timeout applies from the flow's next packet on, which its client may have
// sent before the timeout changed.
func (rec *record) extend(idleTimeout time.Duration) {
	if until := rec.activeAt.Add(idleTimeout); until.After(rec.expiresAt) {
		rec.expiresAt = until
	}
}

// authoritative reports whether the upstream certainly does not hold a flow that
// is not in the table: flows from before the start have sent packets since, or
// have been idle long enough to be discarded.
func (tbl *Table) authoritative(now time.Time) bool {
	return tbl.complete || now.Sub(tbl.startedAt) >= tbl.idleTimeout
}

// SetService sets the service of the upstream.
func (tbl *Table) SetService(service uint64) {
	if service != tbl.service {
		clear(tbl.served)
	}
	tbl.service = service
}

// SetLeaving sets whether the upstream takes no new flows.
func (tbl *Table) SetLeaving(leaving bool) { tbl.leaving = leaving }

// SetEvacuated sets whether the upstream's availability zone is evacuated. Then it gets
// no openings, except for copies of those that it has accepted.
func (tbl *Table) SetEvacuated(evacuated bool) { tbl.evacuated = evacuated }

// Evacuated reports whether the upstream's availability zone is evacuated.
func (tbl *Table) Evacuated() bool { return tbl.evacuated }

// Cold returns the limit of what the upstream gets while it is cold.
func (tbl *Table) Cold() *warm.Gate { return &tbl.cold }

// Service returns the service of the upstream.
func (tbl *Table) Service() uint64 { return tbl.service }

// Leaving reports whether the upstream takes no new flows.
func (tbl *Table) Leaving() bool { return tbl.leaving }

// Down reports whether the upstream is known not to run.
func (tbl *Table) Down() bool { return tbl.down }

// Flows returns how many flows are in the table.
func (tbl *Table) Flows() int { return len(tbl.records) }

// Load returns the load of the upstream for load reports.
func (tbl *Table) Load(now time.Time) encap.Load {
	waiting := tbl.admission.queue.Len() + len(tbl.admission.announced)
	return tbl.meter.load(now, waiting, len(tbl.records))
}

// TakeActions returns the actions since the last call. They are valid until the
// next event is handled.
func (tbl *Table) TakeActions() []Action {
	acts := tbl.actions
	tbl.actions = tbl.actions[:0]
	return acts
}

// markDenied records for a while that the upstream does not hold a flow.
func (tbl *Table) markDenied(key flow.Key, now time.Time) {
	if len(tbl.denied) < maxDenied {
		tbl.denied[key] = denial{until: now.Add(deniedRetention)}
	}
}

// markTried records the same of a flow whose packet the upstream has returned. The
// balancers that ask are told, since each such packet counts against the flow.
func (tbl *Table) markTried(key flow.Key, now time.Time) {
	if len(tbl.denied) < maxDenied {
		tbl.denied[key] = denial{until: now.Add(deniedRetention), triedAt: now}
	}
}

// denialSeq returns the sequence number of the denial of a flow.
func (tbl *Table) denialSeq(key flow.Key, now time.Time) uint32 {
	asked := tbl.noteAsked(key, now)
	if triedAt := tbl.denied[key].triedAt; !triedAt.IsZero() {
		return encap.TriedSeq(now.Sub(triedAt), now.Sub(tbl.startedAt), asked)
	}
	return encap.AbsentSeq(now.Sub(tbl.startedAt), asked)
}

// noteAsked records that a balancer asks for a flow, and returns how long ago the first
// one did since when they have gone on asking. Balancers that join the search later learn
// from it that others may have tried the flow.
func (tbl *Table) noteAsked(key flow.Key, now time.Time) time.Duration {
	inq, known := tbl.asked[key]
	if !known || now.Sub(inq.lastAt) >= askedRetention {
		inq.firstAt = now
	}
	inq.lastAt = now
	if known || len(tbl.asked) < maxAsked {
		tbl.asked[key] = inq
	}
	return now.Sub(inq.firstAt)
}

// noteServed records that the upstream serves flows of an address.
func (tbl *Table) noteServed(address flow.Endpoint) {
	if len(tbl.served) < maxServed {
		tbl.served[address] = true
	}
}

// remove deletes a flow with all that is queued, reserved or awaited for it.
func (tbl *Table) remove(key flow.Key, now time.Time) {
	if rec := tbl.records[key]; rec != nil {
		tbl.meter.end(rec, now)
		if rec.held {
			tbl.admission.queue.Remove(key)
		}
		delete(tbl.admission.reserved, key)
		delete(tbl.admission.announced, key)
		delete(tbl.records, key)
		delete(tbl.unanswered, key)
	}
}

// deliver sends a packet to the upstream and notes until when it has to answer.
func (tbl *Table) deliver(key flow.Key, pkt flow.Packet, raw []byte, now time.Time) {
	switch {
	case pkt.Opening():
		tbl.expectAnswerBy(now.Add(openProbeDelay))
	case pkt.DataBytes() > 0 || pkt.Has(flow.Fin):
		tbl.expectAnswerBy(now.Add(dataProbeDelay))
	}
	tbl.actions = append(tbl.actions, Action{kind: ToUpstream, key: key, packet: raw})
}

// expectAnswerBy records that the upstream is probed unless it sends a packet
// before the deadline.
func (tbl *Table) expectAnswerBy(deadline time.Time) {
	if tbl.answerDue.IsZero() || deadline.Before(tbl.answerDue) {
		tbl.answerDue = deadline
	}
}

// notify sends a header, and a packet if there is one, to a balancer.
func (tbl *Table) notify(balancer flow.Endpoint, hdr encap.Header, raw []byte, now time.Time) {
	if balancer == (flow.Endpoint{}) {
		return
	}
	if tbl.leaving {
		hdr = hdr.WithLeaving(false)
	}
	if tbl.down {
		hdr = hdr.WithUpstreamDown()
	}
	tbl.actions = append(tbl.actions, Action{kind: ToBalancer, balancer: balancer, key: hdr.Key(), header: hdr.WithLoad(tbl.Load(now)), packet: raw})
}
