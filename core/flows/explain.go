package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
)

var phaseNames = [...]string{opening: "opening", halfOpen: "halfOpen", trying: "trying", open: "open", closed: "closed"}

// Explanation is what would become of the opening of a flow at an agent now.
type Explanation struct {
	route    *intent.Route
	leads    bool
	refusal  encap.Reason
	queueing encap.Reason
	phase    string
	slots    int
	limit    int
	underWay int
	queued   int
	flows    int
}

// Route returns the route of the address, or nil.
func (exp Explanation) Route() *intent.Route { return exp.route }

// LeadsHere reports whether the route leads to the upstream's service.
func (exp Explanation) LeadsHere() bool { return exp.leads }

// Refusal returns why an opening would be refused, NoReason if it would be delivered.
func (exp Explanation) Refusal() encap.Reason { return exp.refusal }

// QueueRefusal returns why an opening would be refused that may wait for capacity,
// because another agent was full. NoReason means that it would be delivered.
func (exp Explanation) QueueRefusal() encap.Reason { return exp.queueing }

// Phase returns the state of the client's flow, empty when it is not in the table.
func (exp Explanation) Phase() string { return exp.phase }

// Slots returns how many requests the upstream runs concurrently, 0 when not known.
func (exp Explanation) Slots() int { return exp.slots }

// Limit returns how many requests the upstream is given at once.
func (exp Explanation) Limit() int { return exp.limit }

// UnderWay returns how many requests the upstream works on or is about to get.
func (exp Explanation) UnderWay() int { return exp.underWay }

// Queued returns how many requests wait.
func (exp Explanation) Queued() int { return exp.queued }

// Flows returns how many flows are in the table.
func (exp Explanation) Flows() int { return exp.flows }

// Explain returns what would become of the opening of a flow now, and changes nothing.
// The load it answers: an operator who traces a caller's complaint while the agent
// serves.
func (tbl *Table) Explain(key flow.Key, now time.Time) Explanation {
	adm := &tbl.admission
	exp := Explanation{slots: adm.slots, limit: adm.requestLimit(), underWay: tbl.committed(), queued: adm.queue.Len(), flows: len(tbl.records)}
	if rec := tbl.records[key]; rec != nil {
		exp.phase = phaseNames[rec.phase]
	}
	var urg flow.Urgency
	if tbl.state != nil {
		exp.route = tbl.state.Route(key.Service())
	}
	if exp.route != nil {
		urg = exp.route.Urgency()
		for _, name := range exp.route.Services() {
			exp.leads = exp.leads || encap.ServiceID(name) == tbl.service
		}
	}
	hdr := encap.New(encap.Open, tbl.service, key).WithUrgency(urg)
	exp.refusal = tbl.openingRefusal(key, hdr, now)
	exp.queueing = tbl.openingRefusal(key, hdr.WithQueueIfFull(), now)
	return exp
}

// openingRefusal returns why the first copy of an opening would be refused now.
func (tbl *Table) openingRefusal(key flow.Key, hdr encap.Header, now time.Time) encap.Reason {
	rsn := tbl.refusalReason(hdr, false)
	switch {
	case rsn != encap.NoReason:
		return rsn
	case !tbl.cold.WouldOpen(now):
		return encap.ColdLimit
	case tbl.refusesOpening(key, hdr, now, now):
		return encap.Full
	default:
		return encap.NoReason
	}
}
