// Package track decides to which agent a balancer sends the packets of each flow:
// it chooses the agent of a new flow and searches for the agent of an unknown one.
// What a balancer remembers of a flow is only a hint: the agents know which flows
// they hold. A balancer without a hint queries the agents, and resets a flow only
// when no agent can hold it.
package track

import (
	"bytes"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/picker"
)

// Limits of the table.
const (
	searchInterval     = 100 * time.Millisecond // Initial interval between two rounds of queries about a flow.
	searchTimeout      = 2500 * time.Millisecond
	searchRetention    = 4 * time.Second         // A packet within this time after a search gave up continues it; clients retransmit sooner, also if two packets are lost.
	endedRetention     = 5 * time.Second         // How long an ended flow is remembered, to reset late packets.
	rotateInterval     = 20 * time.Second        // A hint that no packet uses is dropped after one to two intervals.
	maxHints           = 200_000                 // Hints of one generation: at most 30 MB.
	maxHeldPackets     = 24                      // Packets held while a flow is searched for; a client has up to 16 in flight.
	maxPendingFlows    = 4096                    // Unknown flows' packets are dropped while so many flows are being opened or searched for.
	firstRoundAgents   = 16                      // Agents queried in the first round; all agents of a small service.
	maxWidenedFleet    = 256                     // Largest fleet, in agents, in which all may be queried about one flow: 4 KB of queries.
	maxBlindTries      = 2                       // Upstreams that all balancers may try while an agent that is not tried may hold the flow: it breaks when three packets reach wrong upstreams and none reaches that agent for 2 s.
	sweepTime          = 1500 * time.Millisecond // Since the first try; after it the holder might not be reached within these 2 s.
	tellSlack          = 100 * time.Millisecond  // By which the times that agents tell may be off: the way of their answers, and rounding.
	startupTime        = 2 * time.Second         // For so long after its start, a balancer that found no older process does not limit tries, because flows are not yet established.
	maxAttemptsPerCopy = 2                       // Agents asked to open a flow for each copy of the opening, once one did not answer.
	maxColdRefusals    = 2                       // After so many refusals of one copy, upstreams that are cold and probably have no room are not asked.
)

// phase is the state of a flow at this balancer.
type phase uint8

const (
	opening phase = iota + 1
	open
	searching
	unfound // A search has given up.
	ended
)

// openAttempt is a request to an agent to open a flow.
type openAttempt struct {
	ip        [4]byte
	sentAt    time.Time
	evacuated bool // The agent refused because its zone is evacuated.
}

// holder is an agent that reported that it holds a flow.
type holder struct {
	ip       [4]byte
	firstSeq uint32
}

// entry is what the balancer remembers of one flow.
type entry struct {
	phase          phase
	unanswered     bool // An agent did not answer the opening, or reported that its upstream did not.
	queueIfFull    bool // An agent was full: the next one asked is to accept the opening although it is full too.
	hash           uint64
	service        string        // Empty if this balancer did not open the flow.
	serviceID      uint64        // ID of the service in headers.
	route          *intent.Route // That the flow was opened on.
	clientFirstSeq uint32
	clientAck      uint32
	openingPacket  []byte
	attempts       []openAttempt
	attemptsOfCopy int // Attempts since the client's last copy of the opening.
	coldRefusals   int // Refusals since then because an upstream is cold.
	holders        []holder
	heldAt         time.Time // When an agent last reported that it holds the flow.
	heldPackets    [][]byte
	search         search
	deadline       time.Time // Of the opening attempt or search step under way.
	endedUntil     time.Time // For an ended flow: when it is forgotten.
}

// Table holds what a balancer remembers of flows, in two generations: an entry
// that is used moves to the recent one, and the older one is dropped at every
// rotation.
type Table struct {
	chooser      *picker.Chooser
	tracker      *intent.Tracker
	fleet        *fleet.Fleet
	recent       map[flow.Key]*entry
	older        map[flow.Key]*entry
	pending      map[flow.Key]*entry // Flows being opened or searched for.
	rotateAt     time.Time
	startupUntil time.Time
	revision     uint64 // Of the platform's state that the fleet reflects.
	newestHeard  uint64 // The highest revision that an agent has told.
	answers      answerEstimator
	queries      queryQueue
	actions      []Action
}

// New returns the empty table of a balancer in an availability zone. linkBytes is
// the capacity of the balancer's link in bytes per second.
func New(zone string, linkBytes float64, trk *intent.Tracker, flt *fleet.Fleet) *Table {
	return &Table{
		chooser: picker.New(zone),
		tracker: trk,
		fleet:   flt,
		recent:  make(map[flow.Key]*entry),
		older:   make(map[flow.Key]*entry),
		pending: make(map[flow.Key]*entry),
		queries: newQueryQueue(linkBytes),
	}
}

// SetZonesWeighed sets whether the room of the balancer's availability zone is weighed
// against that of others.
func (tbl *Table) SetZonesWeighed(weighed bool) { tbl.chooser.SetZonesWeighed(weighed) }

// SetLinkBytes sets the capacity of the balancer's link in bytes per second.
func (tbl *Table) SetLinkBytes(linkBytes float64) { tbl.queries.rate = queryShare * linkBytes }

// TakeActions returns the actions decided since the last call. They are valid
// until the next event.
func (tbl *Table) TakeActions() []Action {
	acts := tbl.actions
	tbl.actions = tbl.actions[:0]
	return acts
}

// Hints returns the number of remembered flows.
func (tbl *Table) Hints() int { return len(tbl.recent) + len(tbl.older) }

// SetRevision sets the revision of the platform's state that the fleet reflects, as a
// number that also rises when the store returns from a copy (mirror.Position). Flows
// that every agent denies are reset then, if only the lagging state held that up.
func (tbl *Table) SetRevision(revision uint64, now time.Time) {
	lagged := tbl.lags()
	tbl.revision = revision
	if lagged && !tbl.lags() {
		tbl.ResetDenied(now)
	}
}

// ResetDenied resets the flows that are being searched for and that no agent can hold, in
// the order of their keys. It is called when more is known, as of an upstream that has
// ended.
func (tbl *Table) ResetDenied(now time.Time) {
	var searched []flow.Key
	for key, ent := range tbl.pending {
		if ent.phase == searching {
			searched = append(searched, key)
		}
	}
	flow.Sort(searched)
	for _, key := range searched {
		tbl.resetIfDenied(key, tbl.pending[key], now)
	}
}

// lags reports whether an agent has told a newer revision than that of the fleet, so
// that an upstream may hold flows that this balancer does not know yet.
func (tbl *Table) lags() bool { return tbl.newestHeard > tbl.revision }

// NeedsTick reports whether flows are being opened or searched for, whose
// deadlines need ticks.
func (tbl *Table) NeedsTick() bool { return len(tbl.pending) > 0 }

// find returns the entry of a flow, or nil, and moves it to the recent generation.
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

// HandleClientPacket handles a packet of a client. Packets that arrive before
// the first state are dropped.
func (tbl *Table) HandleClientPacket(pkt flow.Packet, raw []byte, now time.Time) {
	if tbl.tracker.State() == nil {
		return
	}
	key := pkt.KeyFromClient()
	if pkt.Opening() {
		tbl.handleOpening(key, pkt, raw, now)
		return
	}
	ent := tbl.find(key)
	if ent == nil {
		tbl.handleUnknownFlow(key, &entry{}, pkt, raw, now)
		return
	}
	if pkt.Has(flow.Ack) {
		ent.clientAck = pkt.Ack()
	}
	switch ent.phase {
	case open:
		tbl.sendToHolder(key, ent, pkt, raw, now)
	case opening:
		tbl.handleEarlyPacket(key, ent, pkt, raw, now)
	case searching:
		ent.holdPacket(raw)
	case unfound:
		tbl.handleUnknownFlow(key, ent, pkt, raw, now)
	case ended:
		if now.Before(ent.endedUntil) {
			tbl.sendReset(key, pkt, FlowGone)
			return
		}
		tbl.remove(key)
		tbl.handleUnknownFlow(key, &entry{}, pkt, raw, now)
	}
}

// sendToHolder sends a packet to the flow's holder. If that is not known any more, its
// upstream has ended, and a search finds out whether another one holds the flow.
func (tbl *Table) sendToHolder(key flow.Key, ent *entry, pkt flow.Packet, raw []byte, now time.Time) {
	hld := ent.chosenHolder(pkt)
	if tbl.fleet.Agent(hld) == nil {
		tbl.startSearch(key, ent, raw, HolderEnded, now)
		return
	}
	tbl.send(hld, encap.Data, ent.serviceID, key, raw)
}

// chosenHolder returns the agent that a packet goes to. If several upstreams
// answered the opening, the client's acknowledgement shows which one it chose; the
// others are dropped.
func (ent *entry) chosenHolder(pkt flow.Packet) [4]byte {
	if len(ent.holders) > 1 && pkt.Has(flow.Ack) {
		nearest := 0
		for i, hld := range ent.holders {
			if pkt.Ack()-hld.firstSeq < pkt.Ack()-ent.holders[nearest].firstSeq {
				nearest = i
			}
		}
		ent.holders[0] = ent.holders[nearest]
		ent.holders = ent.holders[:1]
	}
	return ent.holders[0].ip
}

// handleEarlyPacket handles a packet of a flow that this balancer is still opening:
// an upstream has answered the client before the agent's report was handled.
func (tbl *Table) handleEarlyPacket(key flow.Key, ent *entry, pkt flow.Packet, raw []byte, now time.Time) {
	if len(ent.holders) > 0 {
		ent.phase = open
		delete(tbl.pending, key)
		tbl.send(ent.chosenHolder(pkt), encap.Data, ent.serviceID, key, raw)
		return
	}
	tbl.startSearch(key, ent, raw, NoHint, now)
}

// handleUnknownFlow handles a packet of a flow whose agent is not remembered: it starts
// a search for the agent that holds it.
func (tbl *Table) handleUnknownFlow(key flow.Key, ent *entry, pkt flow.Packet, raw []byte, now time.Time) {
	if pkt.Has(flow.Rst) || len(tbl.pending) >= maxPendingFlows {
		return
	}
	ent.clientAck = pkt.Ack()
	tbl.put(key, ent)
	tbl.startSearch(key, ent, raw, NoHint, now)
}

func (ent *entry) holdPacket(raw []byte) {
	if len(ent.heldPackets) < maxHeldPackets {
		ent.heldPackets = append(ent.heldPackets, bytes.Clone(raw))
	}
}

// send sends a packet to an agent. The header names the service of the flow, not
// that of the agent, because the address may now belong to another service.
func (tbl *Table) send(ip [4]byte, knd encap.Kind, service uint64, key flow.Key, raw []byte) {
	tbl.actions = append(tbl.actions, Action{kind: Send, agent: ip, key: key, header: encap.New(knd, service, key), packet: raw})
}

func (tbl *Table) sendReset(key flow.Key, pkt flow.Packet, cse Cause) {
	if pkt.Has(flow.Rst) {
		return
	}
	seq := uint32(0)
	if !pkt.Opening() {
		seq = pkt.Ack()
	}
	tbl.actions = append(tbl.actions, Action{kind: Reset, cause: cse, key: key, seq: seq})
}

func (tbl *Table) notice(key flow.Key, cse Cause, agent [4]byte) {
	tbl.actions = append(tbl.actions, Action{kind: Notice, cause: cse, key: key, agent: agent})
}

// Tick handles openings and searches whose deadline has passed, and drops unused
// hints.
func (tbl *Table) Tick(now time.Time) {
	if tbl.startupUntil.IsZero() {
		tbl.startupUntil = now.Add(startupTime)
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
			tbl.handleOpeningTimeout(key, ent, now)
		} else {
			tbl.handleSearchTimeout(key, ent, now)
		}
	}
	if !now.Before(tbl.rotateAt) {
		tbl.rotateAt = now.Add(rotateInterval)
		tbl.older, tbl.recent = tbl.recent, make(map[flow.Key]*entry)
	}
}
