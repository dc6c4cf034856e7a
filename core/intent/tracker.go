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

// NewTracker returns a board without a state, whose history is complete since the
// given time: the zero time when the system starts for the first time.
func NewTracker(since time.Time) *Tracker { return &Tracker{history: newHistory(since)} }

// State returns the state in force, or nil before the first one.
func (brd *Tracker) State() *State { return brd.state }

// Adopt puts a state in force and reports whether it did. It ignores a state
// whose version is not above the one in force.
func (brd *Tracker) Adopt(stt *State, now time.Time) bool {
	old := brd.state
	if old != nil && stt.version <= old.version {
		return false
	}
	brd.state = stt
	brd.history.expire(now)
	if old == nil {
		return true
	}
	for address, rte := range old.routes {
		successor := stt.routes[address]
		for _, shr := range rte.shares {
			if successor == nil || !successor.hasService(shr.service) {
				brd.history.record(address, shr.service, now.Add(formerRetention))
			}
		}
	}
	return true
}

// Confirm records that the state in force was the newest one at the given time.
func (brd *Tracker) Confirm(at time.Time) {
	if at.After(brd.confirmedAt) {
		brd.confirmedAt = at
	}
}

// ConfirmedAt returns when the state in force was last known to be the newest.
func (brd *Tracker) ConfirmedAt() time.Time { return brd.confirmedAt }

// NoteGap records a gap in the history: states may have been missed until the given
// time, for example because the platform dropped its history.
func (brd *Tracker) NoteGap(until time.Time) { brd.history.since = until }

// MergeHistory merges the history of another process, where covered is the time until
// which this board is known to have missed no state. If the other history starts
// before covered, the two overlap and the longer one counts. Otherwise states in
// between may have been missed, and the history is complete only since its start.
func (brd *Tracker) MergeHistory(his History, covered time.Time) {
	if his.since.After(covered) || his.since.Before(brd.history.since) {
		brd.history.since = his.since
	}
	for _, fmr := range his.FormerServices() {
		brd.history.record(fmr.address, fmr.service, fmr.until)
	}
}

// History returns a copy of the history without the former services whose flows
// have all ended.
func (brd *Tracker) History(now time.Time) History {
	his := newHistory(brd.history.since)
	for _, fmr := range brd.history.FormerServices() {
		if now.Before(fmr.until) {
			his.record(fmr.address, fmr.service, fmr.until)
		}
	}
	return his
}

// Since returns the time from which on the board has missed no state.
func (brd *Tracker) Since() time.Time { return brd.history.since }

// Complete reports whether the board knows every service that may hold an open
// flow: its history reaches back at least the longest lifetime of a flow.
func (brd *Tracker) Complete(now time.Time) bool { return brd.history.Complete(now) }

// CandidateServices returns the services that may hold an open flow of an address: those
// of its route and the former ones. Other services may hold one too, unless the
// board is complete and was confirmed after the flow's packet arrived.
func (brd *Tracker) CandidateServices(address flow.Endpoint) []string {
	if brd.state == nil {
		return nil
	}
	var names []string
	if rte := brd.state.Route(address); rte != nil {
		names = rte.Services()
	}
	for _, fmr := range brd.history.formers[address] {
		if !slices.Contains(names, fmr.service) {
			names = append(names, fmr.service)
		}
	}
	return names
}
