package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// HandleUpstreamPacket handles a packet that the upstream sent or returned.
func (tbl *Table) HandleUpstreamPacket(pkt flow.Packet, raw []byte, now time.Time) {
	tbl.handleUpstream(pkt, raw, now)
	tbl.admitQueued(now)
}

func (tbl *Table) handleUpstream(pkt flow.Packet, raw []byte, now time.Time) {
	tbl.answerDue = time.Time{}
	tbl.down = false
	if pkt.Has(flow.Bounced) {
		tbl.handleBounced(pkt, raw, now)
		return
	}
	key := pkt.KeyFromUpstream()
	if !pkt.Has(flow.Rst) {
		tbl.noteServed(key.Service())
	}
	rec := tbl.records[key]
	if rec == nil {
		rec = &record{phase: open, accepted: true}
		if pkt.Has(flow.Syn) {
			rec.phase = halfOpen // The opening packet was delivered before the agent restarted.
		}
		tbl.records[key] = rec
	}
	tbl.noteActivity(rec, now)
	rec.answeredAt = now
	tbl.actions = append(tbl.actions, Action{kind: ToClient, key: key, packet: raw})
	switch {
	case pkt.Has(flow.Syn):
		tbl.handleOpenAnswer(key, rec, pkt, now)
	case pkt.Has(flow.Rst):
		if rec.requestPending || rec.phase == opening {
			tbl.window.NoteReset(now)
		}
		tbl.close(rec, now)
	default:
		tbl.noteUpstreamPacket(key, rec, pkt, now)
	}
}

// handleOpenAnswer handles the upstream's answer to an opening packet.
func (tbl *Table) handleOpenAnswer(key flow.Key, rec *record, pkt flow.Packet, now time.Time) {
	if rec.phase == trying {
		return // To a late copy of the opening; the packet on trial is still unanswered.
	}
	delete(tbl.unanswered, key)
	if rec.silentReported && !rec.accepted {
		tbl.window.NoteLateAnswer(now)
	}
	if rec.phase == opening || rec.phase == halfOpen {
		rec.phase = halfOpen
	}
	rec.upstreamISN, rec.upstreamEnd = pkt.Seq(), pkt.EndSeq()
	rec.accepted = true
	tbl.notifyOpened(key, rec, now)
}

// notifyOpened tells the flow's balancer that the upstream answered the opening.
func (tbl *Table) notifyOpened(key flow.Key, rec *record, now time.Time) {
	if rec.balancer != (flow.Endpoint{}) {
		tbl.notify(rec.balancer, encap.New(encap.Opened, tbl.service, key).WithSeq(rec.upstreamISN), nil, now)
	}
}

// noteUpstreamPacket updates the record of a flow from a packet of the upstream.
func (tbl *Table) noteUpstreamPacket(key flow.Key, rec *record, pkt flow.Packet, now time.Time) {
	switch {
	case rec.phase == trying:
		tbl.markOpen(key, rec)
		tbl.notify(rec.balancer, encap.New(encap.Held, tbl.service, key), nil, now)
	case (rec.phase == opening || rec.phase == halfOpen) && !tbl.authoritative(now):
		tbl.markOpen(key, rec) // Older than the agent, which has delivered a late copy of its opening.
	}
	if rec.phase == halfOpen && pkt.EndSeq()-rec.upstreamISN > rec.upstreamEnd-rec.upstreamISN {
		rec.upstreamEnd = pkt.EndSeq()
	}
	if pkt.DataBytes() > 0 && rec.requestPending {
		tbl.admission.noteAnswerTime(now.Sub(rec.requestedAt))
		tbl.noteWork(key, rec, now)
		tbl.window.NoteAnswer(key.Service(), now.Sub(rec.requestedAt), now)
		tbl.meter.end(rec, now)
	}
	if pkt.Has(flow.Fin) {
		rec.upstreamFin = true
		tbl.closeIfBothFin(rec, now)
	}
}

// markOpen records that the upstream's own packets show that it holds a flow.
func (tbl *Table) markOpen(key flow.Key, rec *record) {
	delete(tbl.unanswered, key)
	rec.phase, rec.accepted = open, true
}

func (tbl *Table) closeIfBothFin(rec *record, now time.Time) {
	if rec.upstreamFin && rec.clientFin {
		tbl.close(rec, now)
	}
}

func (tbl *Table) close(rec *record, now time.Time) {
	tbl.meter.end(rec, now)
	rec.phase = closed
	rec.expiresAt = now.Add(closedRetention)
}

// handleBounced handles a packet that the upstream returned because it does not
// hold the flow.
func (tbl *Table) handleBounced(pkt flow.Packet, raw []byte, now time.Time) {
	key := pkt.KeyFromClient()
	rec := tbl.records[key]
	if rec == nil || pkt.Opening() != (rec.phase == opening) {
		return // A returned copy of an opening tells nothing of a flow that has been answered.
	}
	balancer := rec.balancer
	switch rec.phase {
	case opening:
		tbl.remove(key, now)
		tbl.notify(balancer, encap.New(encap.Refused, tbl.service, key).WithReason(encap.Bounced), nil, now)
	case halfOpen:
		tbl.markTried(key, now) // Its client chose another upstream, which may hold the flow.
	case trying:
		tbl.remove(key, now)
		tbl.markTried(key, now)
		if !rec.trialOfData {
			raw = nil
		}
		tbl.notify(balancer, encap.New(encap.Absent, tbl.service, key).WithSeq(tbl.denialSeq(key, now)), raw, now)
	case open:
		tbl.endFlow(key, rec, pkt, now)
		if tbl.provesRestart(rec, now) {
			tbl.cold.NoteDown()
			tbl.actions = append(tbl.actions, Action{kind: NoteRestarted, key: key})
		}
	case closed:
		tbl.remove(key, now)
		tbl.markDenied(key, now)
	}
}

// provesRestart reports whether an upstream that returns a packet of an open flow is
// another one than that which held the flow: an upstream may discard no flow that was
// answered lately and is not old. The age of a flow from before the agent's start is not
// known.
func (tbl *Table) provesRestart(rec *record, now time.Time) bool {
	return !rec.answeredAt.IsZero() && now.Sub(rec.answeredAt) < tbl.idleTimeout-idleMargin &&
		!rec.deliveredAt.IsZero() && now.Sub(rec.deliveredAt) < maxFlowAge-idleMargin
}

// endFlow handles the proof that a flow of this upstream has ended. It resets the
// client at once, which would otherwise wait for an answer that cannot come.
func (tbl *Table) endFlow(key flow.Key, rec *record, pkt flow.Packet, now time.Time) {
	tbl.remove(key, now)
	tbl.markDenied(key, now)
	if pkt.Has(flow.Rst) {
		return
	}
	tbl.actions = append(tbl.actions, Action{kind: Reset, key: key, seq: pkt.Ack()})
	tbl.notify(rec.balancer, encap.New(encap.Gone, tbl.service, key), nil, now)
}
