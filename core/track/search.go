package track

import (
	"slices"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
)

// maxDoublings limits the exponential backoff between two rounds of a search: the
// interval grows from searchInterval to 0.8 s.
const maxDoublings = 3

// HandleAgentDatagram handles a datagram of an agent about a flow, or a list of
// verdicts. For a single flow raw is the packet that the agent did not deliver,
// if any.
func (tbl *Table) HandleAgentDatagram(hdr encap.Header, raw []byte, from [4]byte, now time.Time) {
	tbl.newestHeard = max(tbl.newestHeard, hdr.Revision())
	if hdr.Kind() == encap.Verdicts {
		hdr.EachVerdict(raw, func(one encap.Header) { tbl.handleAnswer(one, nil, from, now) })
		return
	}
	tbl.recordUpstreamEvidence(hdr, from, now)
	tbl.handleAnswer(hdr, raw, from, now)
}

func (tbl *Table) handleAnswer(hdr encap.Header, raw []byte, from [4]byte, now time.Time) {
	key := hdr.Key()
	ent := tbl.find(key)
	if ent == nil {
		return
	}
	switch hdr.Kind() {
	case encap.Opened:
		tbl.handleOpened(key, ent, hdr, from, now)
	case encap.Refused:
		tbl.handleRefused(key, ent, hdr, from, now)
	case encap.Held:
		tbl.handleHeld(key, ent, hdr, from, now)
	case encap.Absent:
		tbl.handleAbsent(key, ent, hdr, raw, from, now)
	case encap.Unsure:
		tbl.handleUnsure(key, ent, hdr, from, now)
	case encap.Gone:
		tbl.handleGone(key, ent, from, now)
	}
}

// recordUpstreamEvidence records whether the agent's upstream answered an opening.
// A refusal because the upstream leaves, is full, cold or evacuated is no evidence
// against it.
func (tbl *Table) recordUpstreamEvidence(hdr encap.Header, from [4]byte, now time.Time) {
	agt := tbl.fleet.Agent(from)
	if agt == nil {
		return
	}
	switch {
	case hdr.Kind() == encap.Opened:
		agt.NoteOpeningAnswered()
	case hdr.Kind() == encap.Refused && hdr.Reason() != encap.Leaving && hdr.Reason() != encap.Full && hdr.Reason() != encap.Evacuated && hdr.Reason() != encap.ColdLimit:
		agt.NoteOpeningUnanswered(now)
	}
}

// search is the state of the search for the agent that holds a flow. In the query
// phase the candidates are queried. In the try phase the agents that cannot tell
// get the flow's first held packet, one agent after the other.
type search struct {
	rounds      int
	allServices bool      // The agents of every service are queried.
	startedAt   time.Time // When the packet arrived that started the search.
	firstAt     time.Time // When this balancer began to search, also if searches have given up since.
	unknownAt   time.Time // When balancers began to search, as far as agents tell.
	tryPhase    bool      // The queries of the round are answered or timed out, and tries are under way.
	denied      [][4]byte // Agents that answered that they do not hold the flow.
	unsure      [][4]byte // Agents that cannot tell and are still to try the packet.
	lostTries   [][4]byte // Agents that did not answer a try; each gets one more.
	tryingAgent [4]byte   // The agent that has been sent the packet and has not answered; zero if none.
	tryCount    int       // Tries sent in this search.
	tried       []trial   // Tries of this balancer and of others, and those that a former agent may have got.
	oldAgent    bool      // An agent is too old to have started after the loss of all processes.
	giveUpAt    time.Time
}

// startSearch queries the agents which of them holds a flow. The balancer holds the
// flow's packets until the answer, because sending them to every candidate would
// take many times the bytes of the queries.
func (tbl *Table) startSearch(key flow.Key, ent *entry, raw []byte, cse Cause, now time.Time) {
	next := search{startedAt: now, firstAt: now, unknownAt: now, giveUpAt: now.Add(searchTimeout)}
	if ent.phase == unfound && now.Before(ent.search.giveUpAt.Add(searchRetention)) {
		next.firstAt, next.unknownAt, next.tried = ent.search.firstAt, ent.search.unknownAt, ent.search.tried
	}
	ent.search = next
	ent.phase = searching
	ent.holders = nil
	ent.heldPackets = nil
	ent.holdPacket(raw)
	tbl.pending[key] = ent
	tbl.notice(key, cse, [4]byte{})
	agts := tbl.candidates(key, ent)
	tbl.queryAgents(key, ent, agts, now)
	if len(agts) == 0 {
		tbl.resetIfDenied(key, ent, now)
	}
}

// queryAgents starts a round of the search: it queries those of agts that have not
// denied holding the flow. The first round is limited to firstRoundAgents.
func (tbl *Table) queryAgents(key flow.Key, ent *entry, agts []*fleet.Agent, now time.Time) {
	sch := &ent.search
	ent.deadline = now.Add(tbl.answers.timeout())
	if sch.rounds == 0 && len(agts) > firstRoundAgents {
		agts = agts[:firstRoundAgents]
	}
	sch.rounds++
	sch.tryPhase = false
	sch.unsure = sch.unsure[:0]
	sch.tryingAgent = [4]byte{}
	for _, agt := range agts {
		if !slices.Contains(sch.denied, agt.IP()) {
			tbl.queries.add(agt, key, ent.clientAck)
		}
	}
}

// QueryAgain queries an agent about the flows that are being searched for. It is
// called when an agent that left something unanswered is heard again: the packets
// of those flows are held until it answers.
func (tbl *Table) QueryAgain(agt *fleet.Agent) {
	var keys []flow.Key
	for key, ent := range tbl.pending {
		if ent.phase == searching && ent.search.awaitsAnswer(agt.IP()) && (ent.search.allServices || slices.Contains(tbl.routeServices(key, ent), agt.Upstream().Service())) {
			keys = append(keys, key)
		}
	}
	flow.Sort(keys)
	for _, key := range keys {
		tbl.queries.add(agt, key, tbl.pending[key].clientAck)
	}
}

// awaitsAnswer reports whether an agent has answered neither a query nor a try of
// the current round.
func (sch *search) awaitsAnswer(ip [4]byte) bool {
	return !slices.Contains(sch.denied, ip) && !slices.Contains(sch.unsure, ip) && sch.tryingAgent != ip
}

// handleSearchTimeout takes the next step of a search whose deadline has passed.
func (tbl *Table) handleSearchTimeout(key flow.Key, ent *entry, now time.Time) {
	ent.search.requeueLostTry()
	agts := tbl.candidates(key, ent)
	switch {
	case tbl.resetIfDenied(key, ent, now):
	case !now.Before(ent.search.giveUpAt) && len(tbl.routeAgents(key, ent)) == 0 && tbl.holdersKnown(&ent.search, now) && (tbl.servicesKnown(ent, now) || len(agts) == 0):
		tbl.endWithReset(key, ent, NoUpstream, now)
	case !now.Before(ent.search.giveUpAt):
		tbl.actions = append(tbl.actions, Action{kind: Notice, cause: NotFound, key: key, sought: tbl.sought(key, ent)})
		delete(tbl.pending, key)
		ent.phase, ent.heldPackets = unfound, nil
	case tbl.tryNext(key, ent, now):
	default:
		tbl.queryAgents(key, ent, agts, now)
		ent.deadline = now.Add(max(searchInterval<<min(ent.search.rounds, maxDoublings), tbl.answers.timeout()))
	}
}

// handleUnsure handles an agent's answer that it cannot tell whether it holds a
// flow. If its upstream serves the flow's address, the route has led to its service,
// even if no process is left that knows when.
func (tbl *Table) handleUnsure(key flow.Key, ent *entry, hdr encap.Header, from [4]byte, now time.Time) {
	sch := &ent.search
	if agt := tbl.fleet.Agent(from); hdr.ServesAddress() && agt != nil && agt.ServiceID() == hdr.Service() {
		tbl.tracker.NoteServed(key.Service(), agt.Upstream().Service(), now)
	}
	if ent.phase != searching || sch.tryingAgent == from || slices.Contains(sch.unsure, from) {
		return
	}
	sch.unsure = append(sch.unsure, from)
	sch.noteAsked(hdr, ent.heldAt, now)
	sch.noteStart(from, now.Add(-hdr.Uptime()))
	tbl.continueSearch(key, ent, now)
}

// continueSearch starts the tries once every agent has answered, and then sends the
// next one whenever none is under way.
func (tbl *Table) continueSearch(key flow.Key, ent *entry, now time.Time) {
	sch := &ent.search
	if sch.tryPhase {
		if sch.tryingAgent == ([4]byte{}) {
			tbl.tryNext(key, ent, now)
		}
		return
	}
	if tbl.allAnswered(key, ent) {
		tbl.tryNext(key, ent, now)
	} else if sch.rounds == 1 && sch.firstRoundAnswered(tbl.candidates(key, ent), now) {
		tbl.queryAgents(key, ent, tbl.candidates(key, ent), now)
	}
}

// firstRoundAnswered reports whether every agent of a limited first round that is not
// dead has answered, so that the others need not wait for its timeout.
func (sch *search) firstRoundAnswered(agts []*fleet.Agent, now time.Time) bool {
	return len(agts) > firstRoundAgents && !slices.ContainsFunc(agts[:firstRoundAgents], func(agt *fleet.Agent) bool {
		return sch.awaitsAnswer(agt.IP()) && !agt.Dead(now)
	})
}

// allAnswered reports whether every candidate whose upstream has not ended has answered.
// One that was tried has answered the query before.
func (tbl *Table) allAnswered(key flow.Key, ent *entry) bool {
	sch := &ent.search
	for _, agt := range tbl.candidates(key, ent) {
		ip := agt.IP()
		if !slices.Contains(sch.denied, ip) && !slices.Contains(sch.unsure, ip) && !sch.hasTried(ip) && !agt.Ended() {
			return false
		}
	}
	return true
}

// endWithReset resets a flow and remembers for endedRetention that it has ended.
func (tbl *Table) endWithReset(key flow.Key, ent *entry, cse Cause, now time.Time) {
	sgt := tbl.sought(key, ent)
	delete(tbl.pending, key)
	ent.phase = ended
	ent.holders, ent.heldPackets, ent.openingPacket = nil, nil, nil
	ent.endedUntil = now.Add(endedRetention)
	tbl.actions = append(tbl.actions, Action{kind: Reset, cause: cse, key: key, seq: ent.clientAck, sought: sgt})
}

// sought counts the agents that could hold a flow by what is known of them.
func (tbl *Table) sought(key flow.Key, ent *entry) Sought {
	var sgt Sought
	sch := &ent.search
	for _, agt := range tbl.candidates(key, ent) {
		switch {
		case slices.Contains(sch.denied, agt.IP()):
			sgt.denied++
		case agt.Ended():
			sgt.ended++
		case sch.awaitsAnswer(agt.IP()):
			sgt.silent++
		default:
			sgt.unsure++
		}
	}
	return sgt
}

// handleHeld handles an agent's answer that it holds a flow that is being searched
// for: the held packets are sent to it.
func (tbl *Table) handleHeld(key flow.Key, ent *entry, hdr encap.Header, from [4]byte, now time.Time) {
	if ent.phase != searching && ent.phase != unfound {
		return
	}
	tried := ent.phase == searching && ent.search.tryingAgent == from
	delete(tbl.pending, key)
	ent.phase, ent.heldAt = open, now
	ent.serviceID = hdr.Service()
	ent.holders = append(ent.holders[:0], holder{ip: from, firstSeq: hdr.Seq()})
	tbl.notice(key, Found, from)
	packets := ent.heldPackets
	if tried {
		packets = packets[1:] // The first one was delivered by the try.
	}
	for _, raw := range packets {
		tbl.send(from, encap.Data, ent.serviceID, key, raw)
	}
	ent.heldPackets = nil
}

// handleAbsent handles an agent's answer that it does not hold a flow. For an open
// flow, whose packet the agent returned, a search starts.
func (tbl *Table) handleAbsent(key flow.Key, ent *entry, hdr encap.Header, raw []byte, from [4]byte, now time.Time) {
	switch ent.phase {
	case open:
		if ent.holders[0].ip != from || len(raw) == 0 {
			return
		}
		tbl.startSearch(key, ent, raw, HintWrong, now)
		ent.search.denied = append(ent.search.denied, from)
		ent.search.noteDenial(hdr, from, ent.heldAt, now)
	case searching:
		ent.search.noteDenial(hdr, from, ent.heldAt, now)
		if !slices.Contains(ent.search.denied, from) {
			ent.search.denied = append(ent.search.denied, from)
		}
		if len(raw) > 0 {
			ent.holdPacket(raw)
		}
		if ent.search.tryingAgent == from {
			ent.search.tryingAgent = [4]byte{}
		}
		if !tbl.resetIfDenied(key, ent, now) && ent.phase == searching {
			tbl.continueSearch(key, ent, now)
		}
	}
}

// handleGone handles an agent's report that a flow of its upstream has ended. The
// agent resets the flow itself.
func (tbl *Table) handleGone(key flow.Key, ent *entry, from [4]byte, now time.Time) {
	if ent.phase == open && ent.holders[0].ip != from || ent.phase == opening {
		return
	}
	delete(tbl.pending, key)
	ent.phase = ended
	ent.holders, ent.heldPackets, ent.openingPacket = nil, nil, nil
	ent.endedUntil = now.Add(endedRetention)
	tbl.notice(key, FlowGone, from)
}
