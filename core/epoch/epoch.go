// Package epoch judges what a process knows when the platform's store returns from a
// copy that is some seconds old. What was written since the copy was made is gone
// from the store until its writers write it again; the process may still know it.
package epoch

import "time"

// Subject is what an item is about, as far as a judgement depends on it: Goal, Entry,
// Order or Other.
type Subject interface{ subject() }

// Goal is the desired state.
type Goal struct{ version uint64 }

// NewGoal returns the desired state at a version of the operator's.
func NewGoal(version uint64) Goal { return Goal{version: version} }

// Entry is the entry of an upstream.
type Entry struct {
	startMillis int64
	sequence    float64
	draining    bool
}

// NewEntry returns the entry of an upstream with the start of its incarnation as Unix
// time in ms, 0 when unknown, and a sequence number that rises with each report of the
// incarnation.
func NewEntry(startMillis int64, sequence float64, draining bool) Entry {
	return Entry{startMillis: startMillis, sequence: sequence, draining: draining}
}

// Order is an order of the operator that is in force while its item exists, such as
// that to evacuate an availability zone.
type Order struct{}

// Other is an item that the system does not use, or cannot read.
type Other struct{}

func (Goal) subject()  {}
func (Entry) subject() {}
func (Order) subject() {}
func (Other) subject() {}

// Verdict is what becomes of an item over a return of the store: Take, Hold or Doubt.
type Verdict interface{ verdict() }

// Take lets the store's item replace the known one.
type Take struct{}

// Hold keeps the known item.
type Hold struct {
	reason  string
	expires bool
}

// Reason returns why the item is kept.
func (hld Hold) Reason() string { return hld.reason }

// Expires reports whether the hold ends when the store has been whole for long enough;
// see Recovery.
func (hld Hold) Expires() bool { return hld.expires }

// Doubt takes the store's item, which may describe an upstream that has left. It is
// not used before its upstream is known to run.
type Doubt struct{ reason string }

// Reason returns why the upstream may have left.
func (dbt Doubt) Reason() string { return dbt.reason }

func (Take) verdict()  {}
func (Hold) verdict()  {}
func (Doubt) verdict() {}

// Reasons of verdicts in logs.
const (
	reasonOlderVersion = "the store has an older version"
	reasonLackedGoal   = "the store lacks the desired state"
	reasonOlderEntry   = "the store has an older entry"
	reasonLackedOrder  = "the store lacks an order that was in force"
	reasonLackedEntry  = "the store lacks the entry of a draining upstream"
	reasonLeft         = "the upstream had left"
)

// JudgeLacked judges an item that is known from an earlier era and that the store
// lacks. Take means that it is deleted.
//
// An upstream that takes new flows is given up at once, as the fleet keeps it while
// its agent lives. One that drains is kept, because it may still hold flows.
func JudgeLacked(known Subject) Verdict {
	switch sub := known.(type) {
	case Goal:
		return Hold{reason: reasonLackedGoal}
	case Order:
		return Hold{reason: reasonLackedOrder, expires: true}
	case Entry:
		if sub.draining {
			return Hold{reason: reasonLackedEntry, expires: true}
		}
	}
	return Take{}
}

// JudgeChanged judges an item that differs from the one that is known from an earlier
// era. rewritten reports whether the item was certainly written after the return; if
// not, it may come from the copy.
func JudgeChanged(known, found Subject, rewritten bool) Verdict {
	switch old := known.(type) {
	case Goal:
		if sub, ok := found.(Goal); !ok || sub.version < old.version {
			return Hold{reason: reasonOlderVersion}
		}
	case Entry:
		if sub, ok := found.(Entry); ok && !rewritten && sub.before(old) {
			return Hold{reason: reasonOlderEntry}
		}
	}
	return Take{}
}

// before reports whether an entry was written before another one with the same name.
func (ent Entry) before(other Entry) bool {
	if ent.startMillis != other.startMillis {
		return ent.startMillis < other.startMillis
	}
	return ent.sequence < other.sequence
}

// JudgeReturned judges an item whose deletion is known from an earlier era. An order
// that returns is taken as in force: that costs room only.
func JudgeReturned(found Subject, rewritten bool) Verdict {
	if _, ok := found.(Entry); ok && !rewritten {
		return Doubt{reason: reasonLeft}
	}
	return Take{}
}

// How long the store has to be whole before what it lacks counts as deleted. Entries
// of upstreams that run are back two seconds after the store. An operator's next
// attempt to write may take longer: a hold of an order that is not written again costs
// room for that time, an order that is dropped too early sends flows to where the
// operator has forbidden them.
const (
	entryRecovery = 2300 * time.Millisecond
	orderRecovery = 30 * time.Second
	maxGap        = 6 * time.Second // A state without confirmation for longer means that the store was away again.
)

// Recovery tells when a store has been whole for long enough after a return.
type Recovery struct {
	entriesAt   time.Time
	ordersAt    time.Time
	confirmedAt time.Time
}

// Begin returns the recovery of a store whose new era was learned at a time.
func Begin(at time.Time) Recovery {
	return Recovery{entriesAt: at.Add(entryRecovery), ordersAt: at.Add(orderRecovery), confirmedAt: at}
}

// Confirm returns the recovery after the state was confirmed to be the newest at a
// time. It begins again after a gap, as the store may have been away.
func (rcv Recovery) Confirm(at time.Time) Recovery {
	switch {
	case !at.After(rcv.confirmedAt):
		return rcv
	case at.Sub(rcv.confirmedAt) > maxGap:
		return Begin(at)
	}
	rcv.confirmedAt = at
	return rcv
}

// Ended reports whether an item that the store still lacks counts as deleted.
func (rcv Recovery) Ended(held Subject) bool {
	switch held.(type) {
	case Entry:
		return !rcv.confirmedAt.Before(rcv.entriesAt)
	case Order:
		return !rcv.confirmedAt.Before(rcv.ordersAt)
	default:
		return false
	}
}
