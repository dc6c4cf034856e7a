package track

import (
	"bytes"
	"slices"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/picker"
)

// handleOpening handles a client's opening packet: it chooses a service by the
// route's shares and asks an agent of it to open the flow.
func (tbl *Table) handleOpening(key flow.Key, pkt flow.Packet, raw []byte, now time.Time) {
	ent := tbl.find(key)
	if ent != nil && ent.clientFirstSeq == pkt.Seq() && (ent.phase == opening || ent.phase == open) {
		tbl.handleOpeningCopy(key, ent, raw, now)
		return
	}
	rte := tbl.tracker.State().Route(pkt.To())
	if rte == nil {
		tbl.sendReset(key, pkt, NoRoute)
		return
	}
	hash := picker.FlowHash(key)
	service := rte.Pick(hash)
	tbl.remove(key)
	ent = &entry{phase: opening, hash: hash, service: service, serviceID: encap.ServiceID(service), route: rte, clientFirstSeq: pkt.Seq(), openingPacket: bytes.Clone(raw)}
	tbl.put(key, ent)
	tbl.pending[key] = ent
	tbl.askNextAgent(key, ent, now)
}

// handleOpeningCopy handles an opening packet that the client sent again, as it
// does while no answer has reached it. If no upstream has answered, the next
// candidate is asked.
func (tbl *Table) handleOpeningCopy(key flow.Key, ent *entry, raw []byte, now time.Time) {
	if len(ent.holders) > 0 {
		hdr := tbl.withColdLimit(encap.New(encap.Open, ent.serviceID, key), ent.holders[0].ip, now)
		tbl.actions = append(tbl.actions, Action{kind: Send, agent: ent.holders[0].ip, key: key, header: hdr, packet: raw})
		return
	}
	tbl.pending[key] = ent
	tbl.notice(key, RepeatedOpen, [4]byte{})
	ent.attemptsOfCopy, ent.coldRefusals = 0, 0
	tbl.askNextAgent(key, ent, now)
}

// askNextAgent asks the best remaining candidate to open a flow. Once an agent has
// not answered, at most maxAttemptsPerCopy agents are asked for one copy of the
// opening; the client sends another copy.
func (tbl *Table) askNextAgent(key flow.Key, ent *entry, now time.Time) {
	if ent.attemptsOfCopy >= maxAttemptsPerCopy && ent.unanswered {
		delete(tbl.pending, key)
		return
	}
	tbl.overflow(key, ent, now)
	agt := tbl.chooseAgent(ent, now)
	if agt == nil || ent.coldRefusals >= maxColdRefusals && agt.ColdWait(now) > 0 {
		tbl.handleNoAgentLeft(key, ent, now)
		return
	}
	ent.attempts = append(ent.attempts, openAttempt{ip: agt.IP(), sentAt: now})
	ent.attemptsOfCopy++
	ent.deadline = now.Add(tbl.answers.timeout())
	agt.NoteOpeningSent(now)
	tbl.noticeAsked(key, agt.IP())
	tbl.sendOpening(agt.IP(), key, ent, now)
}

// noticeAsked notices that an agent is asked, and why it is one of its zone.
func (tbl *Table) noticeAsked(key flow.Key, agent [4]byte) {
	act := Action{kind: Notice, cause: Asked, key: key, agent: agent}
	if chc, weighed := tbl.chooser.ZoneChoice(); weighed {
		act.zone = chc
	}
	tbl.actions = append(tbl.actions, act)
}

func (tbl *Table) sendOpening(ip [4]byte, key flow.Key, ent *entry, now time.Time) {
	hdr := encap.New(encap.Open, ent.serviceID, key).WithUrgency(ent.route.Urgency())
	if ent.queueIfFull {
		hdr = hdr.WithQueueIfFull()
	}
	hdr = tbl.withColdLimit(hdr, ip, now)
	tbl.actions = append(tbl.actions, Action{kind: Send, agent: ip, key: key, header: hdr, packet: ent.openingPacket})
}

// withColdLimit adds the limit of a cold upstream to the header of an opening. The agent
// may have restarted and not know it.
func (tbl *Table) withColdLimit(hdr encap.Header, ip [4]byte, now time.Time) encap.Header {
	if agt := tbl.fleet.Agent(ip); agt != nil {
		if limit, ok := agt.ColdLimit(now); ok {
			return hdr.WithColdLimit(limit)
		}
	}
	return hdr
}

func (tbl *Table) chooseAgent(ent *entry, now time.Time) *fleet.Agent {
	return tbl.chooser.Choose(tbl.fleet.Service(ent.service), ent.attempted, ent.hash, now)
}

func (ent *entry) attempted(ip [4]byte) bool {
	return slices.ContainsFunc(ent.attempts, func(att openAttempt) bool { return att.ip == ip })
}

// recordAnswerTime updates the estimate of answer times, which all agents share,
// with the time that one took to answer an opening.
func (tbl *Table) recordAnswerTime(key flow.Key, ent *entry, from [4]byte, now time.Time) {
	for _, att := range ent.attempts {
		if att.ip == from {
			took := now.Sub(att.sentAt)
			tbl.answers.observe(took)
			tbl.actions = append(tbl.actions, Action{kind: Notice, cause: Answered, key: key, agent: from, took: took})
		}
	}
}

// handleNoAgentLeft handles an opening that no candidate is left for. If all agents
// refused it or are excluded, the flow is reset at once. If some did not answer, all
// are asked again when the client sends its next copy.
func (tbl *Table) handleNoAgentLeft(key flow.Key, ent *entry, now time.Time) {
	delete(tbl.pending, key)
	if ent.unanswered {
		ent.attempts = ent.attempts[:0]
		ent.unanswered = false
		return
	}
	cse := AllRefused
	switch {
	case tbl.fleet.OnlyEvacuated(ent.service, now), ent.refusedAsEvacuated():
		cse = AllEvacuated
	case len(ent.attempts) == 0:
		cse = NoUpstream
	}
	tbl.remove(key)
	tbl.actions = append(tbl.actions, Action{kind: Reset, cause: cse, key: key})
}

// refusedAsEvacuated reports whether every agent that was asked refused the opening
// because its zone is evacuated: this balancer may not know the order yet.
func (ent *entry) refusedAsEvacuated() bool {
	return len(ent.attempts) > 0 && !slices.ContainsFunc(ent.attempts, func(att openAttempt) bool { return !att.evacuated })
}

// handleOpeningTimeout handles an opening that the agent asked last did not answer
// in time.
func (tbl *Table) handleOpeningTimeout(key flow.Key, ent *entry, now time.Time) {
	if len(ent.holders) > 0 || len(ent.attempts) == 0 {
		delete(tbl.pending, key)
		return
	}
	last := ent.attempts[len(ent.attempts)-1].ip
	if agt := tbl.fleet.Agent(last); agt != nil {
		agt.NoteOpeningUnanswered(now)
	}
	ent.unanswered = true
	tbl.answers.backOff()
	tbl.notice(key, Unanswered, last)
	tbl.askNextAgent(key, ent, now)
}

// handleOpened handles an agent's report that its upstream answered an opening.
func (tbl *Table) handleOpened(key flow.Key, ent *entry, hdr encap.Header, from [4]byte, now time.Time) {
	if len(ent.holders) == 0 {
		tbl.recordAnswerTime(key, ent, from, now)
	}
	if ent.phase != opening && ent.phase != open {
		return
	}
	delete(tbl.pending, key)
	ent.phase, ent.heldAt = open, now
	for i := range ent.holders {
		if ent.holders[i].ip == from {
			ent.holders[i].firstSeq = hdr.Seq()
			return
		}
	}
	ent.holders = append(ent.holders, holder{ip: from, firstSeq: hdr.Seq()})
}

// handleRefused handles an agent's refusal to open a flow.
func (tbl *Table) handleRefused(key flow.Key, ent *entry, hdr encap.Header, from [4]byte, now time.Time) {
	tbl.recordAnswerTime(key, ent, from, now)
	if hdr.Reason() == encap.Silent {
		ent.unanswered = true
	}
	if agt := tbl.fleet.Agent(from); agt != nil && hdr.Reason() == encap.ColdLimit {
		agt.NoteColdRefusal(now)
		ent.coldRefusals++
	}
	current := len(ent.attempts) > 0 && ent.attempts[len(ent.attempts)-1].ip == from
	if ent.phase != opening || len(ent.holders) > 0 || !current {
		return
	}
	tbl.notice(key, Refusal, from)
	ent.attempts[len(ent.attempts)-1].evacuated = hdr.Reason() == encap.Evacuated
	if hdr.Reason() == encap.Full && !ent.queueIfFull {
		ent.queueIfFull = true
		ent.attempts = ent.attempts[:len(ent.attempts)-1] // By its load report it may still be the best agent to queue at.
	}
	tbl.askNextAgent(key, ent, now)
}

// overflow moves an opening that an agent refused as full or cold to the route's service
// whose best agent costs least: it is not queued or refused at the service that the
// shares chose while another one has capacity. An agent that did not answer may
// still open the flow, so then the service stays.
func (tbl *Table) overflow(key flow.Key, ent *entry, now time.Time) {
	if !ent.queueIfFull && ent.coldRefusals == 0 || ent.unanswered {
		return
	}
	agt := bestOfRoute(tbl.chooser, ent.route, tbl.fleet.Service, ent.attempted, ent.hash, now)
	if agt == nil || agt.Upstream().Service() == ent.service {
		return
	}
	ent.service, ent.serviceID = agt.Upstream().Service(), agt.ServiceID()
	tbl.notice(key, Overflowed, agt.IP())
}

// bestOfRoute returns the agent that costs least among the best ones of the route's
// services, whose agents agentsOf returns, or nil.
func bestOfRoute(chs *picker.Chooser, rte *intent.Route, agentsOf func(service string) []*fleet.Agent, tried func([4]byte) bool, hash uint64, now time.Time) *fleet.Agent {
	var agts []*fleet.Agent
	for _, name := range rte.Services() {
		if agt := chs.Choose(agentsOf(name), tried, hash, now); agt != nil {
			agts = append(agts, agt)
		}
	}
	return chs.Choose(agts, tried, hash, now)
}
