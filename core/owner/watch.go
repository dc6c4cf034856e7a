package owner

import (
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// Tick handles the passing of time.
func (bok *Book) Tick(now time.Time) {
	bok.checkWaiting(now)
	bok.watchUpstream(now)
	bok.sweepRoom(now)
	bok.admit(now) // Before doomed flows go: whoever waits is told.
	bok.resetDoomed()
	if !now.Before(bok.sweepAt) {
		bok.sweepAt = now.Add(sweepEvery)
		bok.sweep(now)
	}
}

func (bok *Book) checkWaiting(now time.Time) {
	var due []flow.Key
	for key, rec := range bok.waiting {
		if !now.Before(rec.deadline) {
			due = append(due, key)
		}
	}
	flow.Sort(due)
	for _, key := range due {
		bok.overdue(key, bok.waiting[key], now)
	}
}

// overdue handles a flow whose upstream did not answer in time. An opening stays
// recorded: the answer may still come.
func (bok *Book) overdue(key flow.Key, rec *record, now time.Time) {
	delete(bok.waiting, key)
	if rec.phase == trying {
		delete(bok.records, key)
		bok.meter.end(rec, now)
		return
	}
	if !rec.refused {
		rec.refused = true
		bok.tell(rec.via, hop.New(hop.Refused, bok.service, key).WithReason(hop.Silent), nil, now)
	}
}

// watchUpstream probes an upstream that owes answers, and one that is down.
func (bok *Book) watchUpstream(now time.Time) {
	silent := !bok.silentBy.IsZero() && !now.Before(bok.silentBy)
	if !silent && !bok.down || now.Before(bok.probeAt) {
		return
	}
	bok.probeAt = now.Add(probeEvery)
	bok.out = append(bok.out, Action{kind: Probe})
}

// Evidence is what a probe of the upstream found: Running, NotRunning or
// Unclear.
type Evidence interface{ evidence() }

// Running is a connection that the upstream accepted.
type Running struct{}

// NotRunning is a connection that the VM refused: nothing listens there.
type NotRunning struct{}

// Unclear is a connection attempt without any answer.
type Unclear struct{}

func (Running) evidence()    {}
func (NotRunning) evidence() {}
func (Unclear) evidence()    {}

// Probed handles what a probe found and reports whether that changed the belief.
func (bok *Book) Probed(evd Evidence) bool {
	was := bok.down
	switch evd.(type) {
	case Running:
		bok.down = false
		bok.silentBy = time.Time{}
	case NotRunning:
		bok.down = true
		bok.complete = true // Whatever starts there next holds nothing.
		bok.silentBy = time.Time{}
		bok.doom()
	case Unclear:
	}
	return was != bok.down
}

// doom marks every flow as over: the upstream that held them does not run.
func (bok *Book) doom() {
	for key := range bok.records {
		bok.doomed = append(bok.doomed, key)
	}
	flow.Sort(bok.doomed)
	clear(bok.waiting)
}

func (bok *Book) resetDoomed() {
	count := min(len(bok.doomed), resetsATick)
	for _, key := range bok.doomed[:count] {
		rec := bok.records[key]
		if rec == nil {
			continue
		}
		delete(bok.records, key)
		bok.meter.end(rec, time.Time{})
		if rec.phase != open {
			continue // Not proved to be this upstream's: others may have answered the opening too.
		}
		bok.out = append(bok.out, Action{kind: Reset, key: key, seq: rec.ack})
		if rec.via != (flow.End{}) {
			bok.out = append(bok.out, Action{kind: Tell, peer: rec.via, key: key, header: hop.New(hop.Gone, bok.service, key).WithDown()})
		}
	}
	bok.doomed = bok.doomed[count:]
}

func (bok *Book) sweep(now time.Time) {
	for key, rec := range bok.records {
		if !now.Before(rec.idleAt) {
			bok.drop(key, now)
		} else if now.Sub(rec.idleAt.Add(-bok.idle)) >= stalledTime {
			bok.meter.end(rec, now)
		}
	}
	for key, until := range bok.denied {
		if !now.Before(until) {
			delete(bok.denied, key)
		}
	}
}

// Busy reports whether a tick is due soon: answers are awaited.
func (bok *Book) Busy() bool {
	return len(bok.waiting) > 0 || bok.room.queue.Len() > 0 || len(bok.doomed) > 0 || !bok.silentBy.IsZero()
}
