package track

import (
	"bytes"
	"slices"
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
	"lagoondrum/core/place"
)

// opener handles a packet that asks to open a flow.
func (tbl *Table) opener(key flow.Key, pkt flow.Packet, raw []byte, now time.Time) {
	ent := tbl.find(key)
	if ent != nil && ent.first == pkt.Seq() && (ent.phase == opening || ent.phase == open) {
		tbl.repeated(key, ent, raw, now)
		return
	}
	rte := tbl.board.State().Route(pkt.To())
	if rte == nil {
		tbl.reset(key, pkt, NoRoute)
		return
	}
	hash := place.Hash(key)
	service := rte.Pick(hash)
	tbl.remove(key)
	ent = &entry{phase: opening, hash: hash, service: service, id: hop.ServiceID(service), route: rte, first: pkt.Seq(), opener: bytes.Clone(raw)}
	tbl.put(key, ent)
	tbl.pending[key] = ent
	tbl.next(key, ent, now)
}

// repeated handles a copy of an opening packet. Nothing has reached the client
// yet: when no upstream answered, the next one is asked.
func (tbl *Table) repeated(key flow.Key, ent *entry, raw []byte, now time.Time) {
	if len(ent.holders) > 0 {
		tbl.send(ent.holders[0].ip, hop.Open, ent.id, key, raw)
		return
	}
	tbl.pending[key] = ent
	if ent.queued {
		tbl.sendOpening(ent.tries[len(ent.tries)-1].ip, key, ent)
		return
	}
	tbl.notice(key, RepeatedOpen, [4]byte{})
	ent.copyTries = 0
	tbl.next(key, ent, now)
}

// next asks the next agent to open a flow. A few agents that kept silent are
// enough for one copy: the client sends another one.
func (tbl *Table) next(key flow.Key, ent *entry, now time.Time) {
	if ent.copyTries >= triesACopy && ent.silent {
		delete(tbl.pending, key)
		return
	}
	agt := tbl.choose(ent, now)
	if agt == nil {
		tbl.exhausted(key, ent, now)
		return
	}
	ent.tries = append(ent.tries, attempt{ip: agt.IP(), sentAt: now})
	ent.copyTries++
	ent.deadline = now.Add(tbl.answers.limit())
	agt.NoteOpening(now)
	tbl.notice(key, Asked, agt.IP())
	tbl.sendOpening(agt.IP(), key, ent)
}

func (tbl *Table) sendOpening(ip [4]byte, key flow.Key, ent *entry) {
	hdr := hop.New(hop.Open, ent.id, key).WithUrgency(ent.route.Priority(), ent.route.Objective())
	if ent.waits {
		hdr = hdr.WithWaits()
	}
	tbl.out = append(tbl.out, Action{kind: Send, agent: ip, key: key, header: hdr, packet: ent.opener})
}

func (tbl *Table) choose(ent *entry, now time.Time) *fleet.Agent {
	return place.Choose(tbl.fleet.Service(ent.service), ent.tried, ent.hash, tbl.zone, now)
}

func (ent *entry) tried(ip [4]byte) bool {
	return slices.ContainsFunc(ent.tries, func(atp attempt) bool { return atp.ip == ip })
}

// noteAnswer takes the time that an agent took as evidence on all of them.
func (tbl *Table) noteAnswer(key flow.Key, ent *entry, from [4]byte, now time.Time) {
	for _, atp := range ent.tries {
		if atp.ip == from {
			took := now.Sub(atp.sentAt)
			tbl.answers.note(took)
			tbl.out = append(tbl.out, Action{kind: Notice, cause: Answered, key: key, agent: from, took: took})
		}
	}
}

// exhausted handles an opening that no agent is left for. When all of them said
// no, the client is told at once. While some kept silent, they are asked again
// with the client's next copy.
func (tbl *Table) exhausted(key flow.Key, ent *entry, now time.Time) {
	delete(tbl.pending, key)
	if ent.silent {
		ent.tries = ent.tries[:0]
		ent.silent = false
		return
	}
	cse := AllRefused
	if len(ent.tries) == 0 {
		cse = NoUpstream
	}
	tbl.remove(key)
	tbl.out = append(tbl.out, Action{kind: Reset, cause: cse, key: key})
}

// unanswered handles an opening that an agent kept silent on.
func (tbl *Table) unanswered(key flow.Key, ent *entry, now time.Time) {
	if len(ent.holders) > 0 || len(ent.tries) == 0 {
		delete(tbl.pending, key)
		return
	}
	last := ent.tries[len(ent.tries)-1].ip
	ent.queued = false
	if agt := tbl.fleet.Agent(last); agt != nil {
		agt.NoteMiss(now)
	}
	ent.silent = true
	tbl.answers.missed()
	tbl.notice(key, Unanswered, last)
	tbl.next(key, ent, now)
}

// opened handles an agent's word that its upstream answered an opening.
func (tbl *Table) opened(key flow.Key, ent *entry, hdr hop.Header, from [4]byte, now time.Time) {
	if len(ent.holders) == 0 {
		tbl.noteAnswer(key, ent, from, now)
	}
	if ent.phase != opening && ent.phase != open {
		return
	}
	delete(tbl.pending, key)
	ent.phase = open
	for i := range ent.holders {
		if ent.holders[i].ip == from {
			ent.holders[i].seq = hdr.Seq()
			return
		}
	}
	ent.holders = append(ent.holders, holder{ip: from, seq: hdr.Seq()})
}

// refused handles an agent's word that it does not open a flow.
func (tbl *Table) refused(key flow.Key, ent *entry, hdr hop.Header, from [4]byte, now time.Time) {
	tbl.noteAnswer(key, ent, from, now)
	if hdr.Reason() == hop.Silent {
		ent.silent = true
	}
	current := len(ent.tries) > 0 && ent.tries[len(ent.tries)-1].ip == from
	if ent.phase != opening || len(ent.holders) > 0 || !current {
		return
	}
	tbl.notice(key, Refusal, from)
	ent.queued = false
	if hdr.Reason() == hop.Full && !ent.waits {
		ent.waits = true
		ent.tries = ent.tries[:len(ent.tries)-1] // It may still be the best to wait at, by the load that it told.
	}
	tbl.next(key, ent, now)
}

// queued handles an agent's word that an opening waits until its upstream has
// room. The client's copies go there too, and no other agent is asked.
func (tbl *Table) queued(key flow.Key, ent *entry, from [4]byte, now time.Time) {
	if ent.phase != opening || len(ent.tries) == 0 || ent.tries[len(ent.tries)-1].ip != from {
		return
	}
	if !ent.queued {
		tbl.notice(key, Queued, from)
	}
	ent.queued = true
	ent.deadline = now.Add(queueTime)
}
