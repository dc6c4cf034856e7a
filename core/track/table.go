// Package track decides at a balancer: to which agent the packets of each flow
// go. What it remembers of a flow is only a hint. A balancer without a hint asks
// the agents, and a flow is reset only on proof that it is gone.
package track

import (
	"bytes"
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
	"lagoondrum/core/intent"
)

// Limits of the table.
const (
	seekWave   = 100 * time.Millisecond // Between two rounds of asking the agents about a flow.
	seekTime   = 2500 * time.Millisecond
	goneTime   = 5 * time.Second         // A flow that ended is remembered for late packets.
	turnEvery  = 20 * time.Second        // Hints without packets for one to two of these are forgotten.
	maxHints   = 200_000                 // Hints of one turn: 30 MB at most.
	maxQueue   = 24                      // Packets that wait while a flow is sought; a client has 16 under way.
	maxSeeking = 4096                    // Flows that are sought at once.
	queueTime  = 1400 * time.Millisecond // For an opening that waits at an agent: its client then gives up.
	firstWave  = 16                      // Agents asked first; all of a small service.
	wideLimit  = 256                     // Agents of a fleet in which all may be asked about one flow: 4 KB of questions.
	blindTries = 2                       // Packets of a flow that upstreams get in vain while an agent is not heard; a third one breaks the flow if that agent holds it.
	youngTime  = 2 * time.Second         // After its start a balancer that found no older process tries unsure agents freely: flows are not settled yet.
	triesACopy = 2                       // Agents that are asked to open a flow for each copy of its opening.
)

type phase uint8

const (
	opening phase = iota + 1
	open
	seeking
	gone
)

// attempt is a question to an agent to open a flow.
type attempt struct {
	ip     [4]byte
	sentAt time.Time
}

// holder is an agent that says that it holds a flow.
type holder struct {
	ip  [4]byte
	seq uint32
}

// entry is what the balancer remembers of one flow.
type entry struct {
	phase     phase
	silent    bool // An agent left the opening unanswered, or said so of its upstream.
	waits     bool // An agent had no room: the next one asked has the opening wait.
	queued    bool // The opening waits at the agent asked last.
	hash      uint64
	service   string        // Empty until it is known.
	id        uint64        // The service's number in headers.
	route     *intent.Route // Of an opening.
	first     uint32        // The client's first sequence number.
	ack       uint32
	opener    []byte
	tries     []attempt
	copyTries int // Agents asked since the client's last copy.
	holders   []holder
	queue     [][]byte
	search    search
	deadline  time.Time // Of the step under way.
	goneTill  time.Time // Until then a flow that has ended is remembered.
}

// Table is what one balancer remembers of flows.
type Table struct {
	zone      string
	board     *intent.Board
	fleet     *fleet.Fleet
	recent    map[flow.Key]*entry
	older     map[flow.Key]*entry
	pending   map[flow.Key]*entry // Opening or seeking.
	turnAt    time.Time
	youngTill time.Time
	answers   answerTime
	inquiry   inquiry
	out       []Action
}

// New returns an empty table of a balancer in an availability zone, whose link
// carries so many bytes a second.
func New(zone string, linkBytes float64, brd *intent.Board, flt *fleet.Fleet) *Table {
	return &Table{
		zone:    zone,
		board:   brd,
		fleet:   flt,
		recent:  make(map[flow.Key]*entry),
		older:   make(map[flow.Key]*entry),
		pending: make(map[flow.Key]*entry),
		inquiry: newInquiry(linkBytes),
	}
}

// Take returns the actions since the last call. They are valid until the next
// event.
func (tbl *Table) Take() []Action {
	acts := tbl.out
	tbl.out = tbl.out[:0]
	return acts
}

// Hints returns how many flows are remembered.
func (tbl *Table) Hints() int { return len(tbl.recent) + len(tbl.older) }

// Busy reports whether a tick is due soon: answers are awaited.
func (tbl *Table) Busy() bool { return len(tbl.pending) > 0 }

func (tbl *Table) find(key flow.Key) *entry {
	if ent := tbl.recent[key]; ent != nil {
		return ent
	}
	ent := tbl.older[key]
	if ent != nil {
		delete(tbl.older, key)
		tbl.recent[key] = ent
	}
	return ent
}

func (tbl *Table) put(key flow.Key, ent *entry) {
	delete(tbl.older, key)
	if len(tbl.recent) < maxHints {
		tbl.recent[key] = ent
	}
}

func (tbl *Table) remove(key flow.Key) {
	delete(tbl.recent, key)
	delete(tbl.older, key)
	delete(tbl.pending, key)
}

// FromClient handles a packet of a client.
func (tbl *Table) FromClient(pkt flow.Packet, raw []byte, now time.Time) {
	if tbl.board.State() == nil {
		return
	}
	key := pkt.FromClient()
	if pkt.Opening() {
		tbl.opener(key, pkt, raw, now)
		return
	}
	ent := tbl.find(key)
	if ent == nil {
		tbl.unknown(key, pkt, raw, now)
		return
	}
	if pkt.Has(flow.Ack) {
		ent.ack = pkt.Ack()
	}
	switch ent.phase {
	case open:
		tbl.send(ent.holderOf(pkt), hop.Data, ent.id, key, raw)
	case opening:
		tbl.settle(key, ent, pkt, raw, now)
	case seeking:
		ent.enqueue(raw)
		tbl.concluded(key, ent, now) // An agent may have been silent for long enough by now.
	case gone:
		if now.Before(ent.goneTill) {
			tbl.reset(key, pkt, FlowGone)
			return
		}
		tbl.remove(key)
		tbl.unknown(key, pkt, raw, now)
	}
}

// holderOf returns the agent that a packet goes to. When several upstreams
// answered the opening, the client's acknowledgement tells which one it chose.
func (ent *entry) holderOf(pkt flow.Packet) [4]byte {
	if len(ent.holders) > 1 && pkt.Has(flow.Ack) {
		nearest := 0
		for i, hld := range ent.holders {
			if pkt.Ack()-hld.seq < pkt.Ack()-ent.holders[nearest].seq {
				nearest = i
			}
		}
		ent.holders[0] = ent.holders[nearest]
		ent.holders = ent.holders[:1]
	}
	return ent.holders[0].ip
}

// settle handles a packet of a flow whose opening is under way here: an upstream
// has answered the client before its agent told this balancer.
func (tbl *Table) settle(key flow.Key, ent *entry, pkt flow.Packet, raw []byte, now time.Time) {
	if len(ent.holders) > 0 {
		ent.phase = open
		delete(tbl.pending, key)
		tbl.send(ent.holderOf(pkt), hop.Data, ent.id, key, raw)
		return
	}
	tbl.seek(key, ent, raw, NoHint, now)
}

// unknown handles a packet of a flow that is not remembered.
func (tbl *Table) unknown(key flow.Key, pkt flow.Packet, raw []byte, now time.Time) {
	if pkt.Has(flow.Rst) || len(tbl.pending) >= maxSeeking {
		return
	}
	ent := &entry{ack: pkt.Ack()}
	tbl.put(key, ent)
	tbl.seek(key, ent, raw, NoHint, now)
}

func (ent *entry) enqueue(raw []byte) {
	if len(ent.queue) < maxQueue {
		ent.queue = append(ent.queue, bytes.Clone(raw))
	}
}

// send sends a packet to an agent under the flow's own service: the address may
// by now be another service's.
func (tbl *Table) send(ip [4]byte, knd hop.Kind, service uint64, key flow.Key, raw []byte) {
	tbl.out = append(tbl.out, Action{kind: Send, agent: ip, key: key, header: hop.New(knd, service, key), packet: raw})
}

func (tbl *Table) reset(key flow.Key, pkt flow.Packet, cse Cause) {
	if pkt.Has(flow.Rst) {
		return
	}
	seq := uint32(0)
	if !pkt.Opening() {
		seq = pkt.Ack()
	}
	tbl.out = append(tbl.out, Action{kind: Reset, cause: cse, key: key, seq: seq})
}

func (tbl *Table) notice(key flow.Key, cse Cause, agent [4]byte) {
	tbl.out = append(tbl.out, Action{kind: Notice, cause: cse, key: key, agent: agent})
}

// Tick handles the passing of time.
func (tbl *Table) Tick(now time.Time) {
	if tbl.youngTill.IsZero() {
		tbl.youngTill = now.Add(youngTime)
	}
	var due []flow.Key
	for key, ent := range tbl.pending {
		if !now.Before(ent.deadline) {
			due = append(due, key)
		}
	}
	flow.Sort(due)
	for _, key := range due {
		if ent := tbl.pending[key]; ent.phase == opening {
			tbl.unanswered(key, ent, now)
		} else {
			tbl.advance(key, ent, now)
		}
	}
	if !now.Before(tbl.turnAt) {
		tbl.turnAt = now.Add(turnEvery)
		tbl.older, tbl.recent = tbl.recent, make(map[flow.Key]*entry)
	}
}
