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
	ent = &entry{phase: opening, hash: hash, service: service, id: hop.ServiceID(service), first: pkt.Seq(), opener: bytes.Clone(raw)}
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
	tbl.notice(key, RepeatedOpen, [4]byte{})
	tbl.next(key, ent, now)
}

// next asks the next agent to open a flow.
func (tbl *Table) next(key flow.Key, ent *entry, now time.Time) {
	agt := tbl.choose(ent, now)
	if agt == nil {
		tbl.exhausted(key, ent, now)
		return
	}
	ent.tried = append(ent.tried, agt.IP())
	ent.deadline = now.Add(openTimeout)
	agt.NoteOpening()
	tbl.send(agt.IP(), hop.Open, ent.id, key, ent.opener)
}

func (tbl *Table) choose(ent *entry, now time.Time) *fleet.Agent {
	tried := func(ip [4]byte) bool { return slices.Contains(ent.tried, ip) }
	return place.Choose(tbl.fleet.Service(ent.service), tried, ent.hash, tbl.zone, now)
}

// exhausted handles an opening that no agent is left for. When all of them said
// no, the client is told at once. While some kept silent, they are asked again
// with the client's next copy.
func (tbl *Table) exhausted(key flow.Key, ent *entry, now time.Time) {
	delete(tbl.pending, key)
	if ent.silent {
		ent.tried = ent.tried[:0]
		ent.silent = false
		return
	}
	cse := AllRefused
	if len(ent.tried) == 0 {
		cse = NoUpstream
	}
	tbl.remove(key)
	tbl.out = append(tbl.out, Action{kind: Reset, cause: cse, key: key})
}

// unanswered handles an opening that an agent kept silent on.
func (tbl *Table) unanswered(key flow.Key, ent *entry, now time.Time) {
	if len(ent.holders) > 0 || len(ent.tried) == 0 {
		delete(tbl.pending, key)
		return
	}
	last := ent.tried[len(ent.tried)-1]
	if agt := tbl.fleet.Agent(last); agt != nil {
		agt.NoteMiss(now)
	}
	ent.silent = true
	tbl.notice(key, Unanswered, last)
	tbl.next(key, ent, now)
}

// opened handles an agent's word that its upstream answered an opening.
func (tbl *Table) opened(key flow.Key, ent *entry, hdr hop.Header, from [4]byte) {
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
	if hdr.Reason() == hop.Silent {
		ent.silent = true
	}
	current := len(ent.tried) > 0 && ent.tried[len(ent.tried)-1] == from
	if ent.phase != opening || len(ent.holders) > 0 || !current {
		return
	}
	tbl.notice(key, Refusal, from)
	tbl.next(key, ent, now)
}
