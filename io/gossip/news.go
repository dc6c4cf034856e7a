package gossip

import (
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
)

// News is one set of changes to a replica.
type News struct {
	items    []mirror.Item
	origin   Origin
	position mirror.Position
}

// Position returns the position that the state reflects with the changes.
func (nws News) Position() mirror.Position { return nws.position }

// Items returns the changed items in the order of their positions.
func (nws News) Items() []mirror.Item { return nws.items }

// Origin returns where the changes come from.
func (nws News) Origin() Origin { return nws.origin }

// Origin is where changes come from: Watched, Read, Told or Settled.
type Origin interface{ origin() }

// Watched is the origin of changes from a watch of the platform, which returns
// every change after the replica's position.
type Watched struct{}

// Read is the origin of a full state from the platform, which lacks the desired states
// between it and the replica's previous one.
type Read struct{ stateUnchanged bool }

// StateUnchanged reports whether the desired state is that of before, at the same
// position, so that there was none between.
func (rd Read) StateUnchanged() bool { return rd.stateUnchanged }

// Told is the origin of changes from a peer.
type Told struct {
	history       intent.History
	memory        fleet.Memory
	completeUntil time.Time
}

// Settled is the origin of deletions of items that the store has lacked since it
// returned from a copy.
type Settled struct{}

// History returns the peer's history of former routes.
func (tld Told) History() intent.History { return tld.history }

// Memory returns what the peer remembers of upstreams and agents.
func (tld Told) Memory() fleet.Memory { return tld.memory }

// Covered returns the time until which the replica is known to have missed no
// state.
func (tld Told) Covered() time.Time { return tld.completeUntil }

func (Watched) origin() {}
func (Read) origin()    {}
func (Told) origin()    {}
func (Settled) origin() {}

// Past provides what peers are told beside the items. For an answer to a peer it is
// called while Apply is not running, so that it fits the items.
type Past interface {
	// History returns the former routes.
	History(now time.Time) intent.History
	// Memory returns what is remembered of upstreams and agents.
	Memory(now time.Time) fleet.Memory
}

// SetStateKey sets how the key of the desired state is told. It must be called before
// Serve; without it every key counts as one.
func (rep *Replica) SetStateKey(isState func(key string) bool) { rep.stateKey = isState }

// isState reports whether an item is the desired state.
func (rep *Replica) isState(itm mirror.Item) bool {
	return rep.stateKey == nil || rep.stateKey(itm.Key())
}

// continues reports whether an update continues the states that the replica has seen
// before.
func continues(org Origin) bool {
	switch src := org.(type) {
	case Read:
		return src.stateUnchanged
	case Told:
		return !src.history.Since().After(src.completeUntil)
	default:
		return true
	}
}

// withState returns the origin with what it tells of the states before the update. If
// the desired state is still that of before, at the same position, the replica has missed
// none until now.
func withState(org Origin, unchanged bool, now time.Time) Origin {
	switch src := org.(type) {
	case Read:
		return Read{stateUnchanged: unchanged}
	case Told:
		if unchanged {
			src.completeUntil = now
		}
		return src
	default:
		return org
	}
}
