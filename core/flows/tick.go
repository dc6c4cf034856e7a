package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// Tick handles deadlines that have passed, and admits queued openings.
func (tbl *Table) Tick(now time.Time) {
	tbl.checkDeadlines(now)
	tbl.probeIfDue(now)
	tbl.expireQueued(now)
	tbl.admitQueued(now) // Before resetEnded deletes the records through which the balancers of queued openings are told.
	tbl.resetEnded()
	if !now.Before(tbl.nextSweepAt) {
		tbl.nextSweepAt = now.Add(sweepInterval)
		tbl.removeExpired(now)
	}
}

// checkDeadlines handles the flows that the upstream did not answer in time, in the
// order of their keys.
func (tbl *Table) checkDeadlines(now time.Time) {
	var due []flow.Key
	for key, rec := range tbl.unanswered {
		if !now.Before(rec.deadline) {
			due = append(due, key)
		}
	}
	flow.Sort(due)
	for _, key := range due {
		tbl.handleTimeout(key, tbl.unanswered[key], now)
	}
}

// handleTimeout handles a flow that the upstream did not answer in time. An opening
// stays in the table, because the answer may still come.
func (tbl *Table) handleTimeout(key flow.Key, rec *record, now time.Time) {
	delete(tbl.unanswered, key)
	if rec.phase == trying {
		delete(tbl.records, key)
		tbl.meter.end(rec, now)
		return
	}
	if !rec.silentReported {
		rec.silentReported = true
		tbl.window.NoteUnanswered(1, now)
		tbl.notify(rec.balancer, encap.New(encap.Refused, tbl.service, key).WithReason(encap.Silent), nil, now)
	}
}

// probeIfDue probes an upstream whose answer is overdue, and one that is down.
func (tbl *Table) probeIfDue(now time.Time) {
	silent := !tbl.answerDue.IsZero() && !now.Before(tbl.answerDue)
	if !silent && !tbl.down || now.Before(tbl.nextProbeAt) {
		return
	}
	tbl.nextProbeAt = now.Add(probeInterval)
	tbl.actions = append(tbl.actions, Action{kind: Probe})
}

// ProbeResult is the result of a probe of the upstream: Running, NotRunning or
// NoAnswer.
type ProbeResult interface{ probeResult() }

// Running means that the upstream accepted the connection.
type Running struct{}

// NotRunning means that the VM refused the connection: nothing listens there.
type NotRunning struct{}

// NoAnswer means that the connection attempt got no answer.
type NoAnswer struct{}

func (Running) probeResult()    {}
func (NotRunning) probeResult() {}
func (NoAnswer) probeResult()   {}

// HandleProbeResult handles the result of a probe and reports whether it
// changed what Down returns.
func (tbl *Table) HandleProbeResult(res ProbeResult) bool {
	wasDown := tbl.down
	switch res.(type) {
	case Running:
		tbl.down = false
		tbl.answerDue = time.Time{}
	case NotRunning:
		tbl.down = true
		tbl.cold.NoteDown()
		tbl.complete = true // An upstream that starts there next holds no flows.
		tbl.answerDue = time.Time{}
		tbl.markAllEnded()
		tbl.window.Clear()
	case NoAnswer:
	}
	return wasDown != tbl.down
}

// markAllEnded marks every flow to be reset, because the upstream that held them
// does not run.
func (tbl *Table) markAllEnded() {
	for key := range tbl.records {
		tbl.ended = append(tbl.ended, key)
	}
	flow.Sort(tbl.ended)
	clear(tbl.unanswered)
}

// resetEnded removes flows of an upstream that has ended, and resets those that
// were open, at most maxResetsPerTick in a call.
func (tbl *Table) resetEnded() {
	count := min(len(tbl.ended), maxResetsPerTick)
	for _, key := range tbl.ended[:count] {
		rec := tbl.records[key]
		if rec == nil {
			continue
		}
		if rec.held {
			tbl.admission.queue.Remove(key)
		}
		delete(tbl.records, key)
		tbl.meter.end(rec, time.Time{})
		if rec.phase != open {
			continue // It may be open at another upstream that answered the opening too.
		}
		tbl.actions = append(tbl.actions, Action{kind: Reset, key: key, seq: rec.clientAck})
		if rec.balancer != (flow.Endpoint{}) {
			tbl.actions = append(tbl.actions, Action{kind: ToBalancer, balancer: rec.balancer, key: key, header: encap.New(encap.Gone, tbl.service, key).WithUpstreamDown()})
		}
	}
	tbl.ended = tbl.ended[count:]
}

// removeExpired removes idle flows, outdated denials and inquiries, and stops counting
// stalled requests.
func (tbl *Table) removeExpired(now time.Time) {
	for key, rec := range tbl.records {
		if !now.Before(rec.expiresAt) {
			tbl.remove(key, now)
		} else if now.Sub(rec.activeAt) >= stallTimeout {
			tbl.meter.end(rec, now)
		}
	}
	for key, den := range tbl.denied {
		if !now.Before(den.until) {
			delete(tbl.denied, key)
		}
	}
	for key, inq := range tbl.asked {
		if now.Sub(inq.lastAt) >= askedRetention {
			delete(tbl.asked, key)
		}
	}
}

// NeedsTick reports whether ticks are needed at short intervals, because
// answers, queued openings or resets are pending.
func (tbl *Table) NeedsTick() bool {
	return len(tbl.unanswered) > 0 || tbl.admission.queue.Len() > 0 || len(tbl.ended) > 0 || !tbl.answerDue.IsZero()
}
