package intent

import (
	"slices"
	"time"

	"lagoondrum/core/flow"
)

// Board holds the desired state in force, whose version never falls, and what is
// known of where routes led before: flows that were opened under an earlier
// version stay where they are.
type Board struct {
	state       *State
	history     History
	confirmedAt time.Time
}

// NewBoard returns a board without a state, which knows where routes led since a
// time: the zero time when nothing ran before.
func NewBoard(since time.Time) *Board { return &Board{history: newHistory(since)} }

// State returns the state in force, nil before the first.
func (brd *Board) State() *State { return brd.state }

// Adopt puts a state in force and reports whether it did: an older version, or
// the one in force, changes nothing.
func (brd *Board) Adopt(stt *State, now time.Time) bool {
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
		next := stt.routes[address]
		for _, shr := range rte.shares {
			if next == nil || !next.leadsTo(shr.service) {
				brd.history.note(address, shr.service, now.Add(keepFormer))
			}
		}
	}
	return true
}

// Confirm records that the state in force was the newest one at a time.
func (brd *Board) Confirm(at time.Time) {
	if at.After(brd.confirmedAt) {
		brd.confirmedAt = at
	}
}

// ConfirmedAt returns when the state in force was last known to be the newest.
func (brd *Board) ConfirmedAt() time.Time { return brd.confirmedAt }

// Lose records that states may have been missed until a time, as when they were
// read after the platform dropped its history.
func (brd *Board) Lose(until time.Time) { brd.history.since = until }

// Inherit takes over what another process knows of former routes. Its knowledge
// reaches back beyond this board's only where the two overlap: covered is until
// when this board is known to have missed no state.
func (brd *Board) Inherit(his History, covered time.Time) {
	if his.since.After(covered) || his.since.Before(brd.history.since) {
		brd.history.since = his.since
	}
	for _, fmr := range his.Formers() {
		brd.history.note(fmr.address, fmr.service, fmr.until)
	}
}

// History returns what is known of former routes.
func (brd *Board) History(now time.Time) History {
	his := newHistory(brd.history.since)
	for _, fmr := range brd.history.Formers() {
		if now.Before(fmr.until) {
			his.note(fmr.address, fmr.service, fmr.until)
		}
	}
	return his
}

// Since returns from when on the board lacks no state.
func (brd *Board) Since() time.Time { return brd.history.since }

// Complete reports whether the board knows of every service that may hold an
// open flow: its history is longer than flows live.
func (brd *Board) Complete(now time.Time) bool { return brd.history.Complete(now) }

// Holders returns the services that may hold an open flow of an address: those
// of its route, and those it led to lately. Unless the board is complete and was
// confirmed after the flow's packet came, there may be others.
func (brd *Board) Holders(address flow.End) []string {
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
