package intent

import (
	"slices"
	"time"

	"lagoondrum/core/flow"
)

// Tracker holds the desired state in force, whose version never decreases, and the
// former services of its routes: flows that were opened under an earlier version
// stay at the service that they were opened at.
type Tracker struct {
	state       *State
	history     History
	confirmedAt time.Time
}

// NewTracker returns a tracker without a state, whose history is complete since the
// given time: the zero time when the system starts for the first time.
func NewTracker(since time.Time) *Tracker { return &Tracker{history: newHistory(since)} }

// State returns the state in force, or nil before the first one.
func (trk *Tracker) State() *State { return trk.state }

// Adopt puts a state in force and reports whether it did. It ignores a state
// whose version is not above the one in force.
func (trk *Tracker) Adopt(stt *State, now time.Time) bool {
	old := trk.state
	if old != nil && stt.version <= old.version {
		return false
	}
	trk.state = stt
	trk.history.expire(now)
	if old == nil {
		return true
	}
	for address, rte := range old.routes {
		successor := stt.routes[address]
		for _, shr := range rte.shares {
			if successor == nil || !successor.hasService(shr.service) {
				trk.history.record(address, shr.service, now.Add(formerRetention))
			}
		}
	}
	return true
}

// NoteServed records evidence that the route of an address leads or has led to a
// service, although no state that this tracker has seen says so.
func (trk *Tracker) NoteServed(address flow.Endpoint, service string, now time.Time) {
	if rte := trk.state.Route(address); rte == nil || !rte.hasService(service) {
		trk.history.record(address, service, now.Add(formerRetention))
	}
}

// Confirm records that the state in force was the newest one at the given time.
func (trk *Tracker) Confirm(at time.Time) {
	if at.After(trk.confirmedAt) {
		trk.confirmedAt = at
	}
}

// ConfirmedAt returns when the state in force was last known to be the newest.
func (trk *Tracker) ConfirmedAt() time.Time { return trk.confirmedAt }

// NoteGap records a gap in the history: states may have been missed until the given
// time, for example because the platform dropped its history.
func (trk *Tracker) NoteGap(until time.Time) { trk.history.since = until }

// MergeHistory merges the history of another process, where covered is the time
// until which this tracker is known to have missed no state. If the other
// history starts before covered, the two overlap and the longer one counts.
// Otherwise states in between may have been missed, and the history is complete
// only since its start.
func (trk *Tracker) MergeHistory(his History, covered time.Time) {
	if his.since.After(covered) || his.since.Before(trk.history.since) {
		trk.history.since = his.since
	}
	for _, fsv := range his.FormerServices() {
		trk.history.record(fsv.address, fsv.service, fsv.until)
	}
}

// History returns a copy of the history without the former services whose flows
// have all ended.
func (trk *Tracker) History(now time.Time) History {
	his := newHistory(trk.history.since)
	for _, fsv := range trk.history.FormerServices() {
		if now.Before(fsv.until) {
			his.record(fsv.address, fsv.service, fsv.until)
		}
	}
	return his
}

// Since returns the time from which on the tracker has missed no state.
func (trk *Tracker) Since() time.Time { return trk.history.since }

// Complete reports whether the tracker knows every service that may hold an open
// flow: its history reaches back at least the longest lifetime of a flow.
func (trk *Tracker) Complete(now time.Time) bool { return trk.history.Complete(now) }

// CandidateServices returns the services that may hold an open flow of an
// address: those of its route and the former ones. Other services may hold one
// too, unless the tracker is complete and was confirmed after the flow's packet
// arrived.
func (trk *Tracker) CandidateServices(address flow.Endpoint) []string {
	if trk.state == nil {
		return nil
	}
	var names []string
	if rte := trk.state.Route(address); rte != nil {
		names = rte.Services()
	}
	for _, fsv := range trk.history.formerServices[address] {
		if !slices.Contains(names, fsv.service) {
			names = append(names, fsv.service)
		}
	}
	return names
}
