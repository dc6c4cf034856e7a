package warm

import "time"

// presumption is for how long an upstream counts as cold that was seen to start and
// whose entry has not been read since. Entries arrive within three seconds.
const presumption = 5 * time.Second

// Source is from whom an agent knows that its upstream is cold.
type Source uint8

// The sources.
const (
	NotCold    Source = iota
	FromEntry         // The upstream's entry says so.
	FromOpener        // A balancer says so in an opening.
	Presumed          // The upstream has started, and its entry has not been read since.
)

var sourceNames = [...]string{"notCold", "entry", "opener", "presumed"}

// String returns the source's name in logs.
func (src Source) String() string { return sourceNames[src] }

// Gate holds the limit of the upstream beside an agent. All openings pass through it,
// so that the limit needs no agreement between balancers.
type Gate struct {
	limit         int
	limited       bool // A limit is known.
	own           bool // It is known from the desired state, not from an opening.
	incarnation   string
	coldUntil     time.Time // As the upstream's entry says.
	toldUntil     time.Time // Until when an opening's word holds.
	started       bool      // The upstream has started, or may have, and its entry is not known yet.
	presumedUntil time.Time // Until when it is cold therefore; zero until the first opening.
	refused       int
	window        window
}

// NewGate returns the gate of an agent that does not know its upstream's entry.
func NewGate() Gate { return Gate{started: true} }

// SetLimit sets the limit of the desired state; limited is false when it states none.
func (gat *Gate) SetLimit(limit int, limited bool, now time.Time) {
	gat.own = limited
	gat.setLimit(limit, limited, now)
}

func (gat *Gate) setLimit(limit int, limited bool, now time.Time) {
	if limited && (!gat.limited || limit != gat.limit) {
		gat.window = gat.window.resized(limit, now)
	}
	if !limited {
		gat.window = window{}
	}
	gat.limit, gat.limited = limit, limited
}

// SetEntry sets until when the upstream is cold by its entry.
func (gat *Gate) SetEntry(incarnation string, coldUntil time.Time) {
	if incarnation != gat.incarnation {
		gat.started = false
		gat.presumedUntil = time.Time{}
	}
	gat.incarnation, gat.coldUntil = incarnation, coldUntil
}

// NoteDown records that the upstream does not run: when it runs again it is cold, which
// its entry tells later.
func (gat *Gate) NoteDown() {
	gat.started = true
	gat.presumedUntil = time.Time{}
}

// NoteTold records the limit that an opening names. Balancers name one to upstreams that
// they take for cold: an agent that restarts beside one has neither its entry nor the
// desired state yet.
func (gat *Gate) NoteTold(limit int, now time.Time) {
	if !gat.own {
		gat.setLimit(min(limit, maxLimit), true, now)
	}
	gat.toldUntil = now.Add(span)
}

// Source returns from whom the upstream is known to be cold, NotCold if no limit is in
// force.
func (gat *Gate) Source(now time.Time) Source {
	switch {
	case !gat.limited:
		return NotCold
	case now.Before(gat.coldUntil):
		return FromEntry
	case now.Before(gat.toldUntil):
		return FromOpener
	case gat.started && (gat.presumedUntil.IsZero() || now.Before(gat.presumedUntil)):
		return Presumed
	default:
		return NotCold
	}
}

// Open reports whether the upstream may get another opening now, and counts the
// refusal otherwise.
func (gat *Gate) Open(now time.Time) bool {
	if gat.started && gat.limited && gat.presumedUntil.IsZero() {
		gat.presumedUntil = now.Add(presumption)
	}
	if gat.WouldOpen(now) {
		return true
	}
	gat.refused++
	return false
}

// WouldOpen reports whether the upstream may get another opening now, and changes
// nothing.
func (gat *Gate) WouldOpen(now time.Time) bool {
	return gat.Source(now) == NotCold || gat.hasRoom(now)
}

func (gat *Gate) hasRoom(now time.Time) bool {
	at := gat.window.roomAt()
	return !at.IsZero() && !now.Before(at)
}

// Count counts an opening, or a request on an open flow, that the upstream gets.
func (gat *Gate) Count(now time.Time) { gat.window.add(now) }

// EntryUntil returns until when the upstream is cold by its entry.
func (gat *Gate) EntryUntil() time.Time { return gat.coldUntil }

// Limit returns the limit in any second, 0 when there is none.
func (gat *Gate) Limit() int { return gat.limit }

// Room returns how many openings the upstream can take now.
func (gat *Gate) Room(now time.Time) int { return gat.window.room(now) }

// TakeRefused returns how many openings were refused since the last call.
func (gat *Gate) TakeRefused() int {
	count := gat.refused
	gat.refused = 0
	return count
}
