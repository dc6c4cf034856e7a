package gossip

import (
	"time"

	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
)

// News is what a replica has learned at once.
type News struct {
	items  []mirror.Item
	origin Origin
}

// Items returns the items that are new, in the order of their revisions.
func (nws News) Items() []mirror.Item { return nws.items }

// Origin returns where they are from.
func (nws News) Origin() Origin { return nws.origin }

// Origin says where news is from: Watched, Read or Told.
type Origin interface{ origin() }

// Watched is every change since the state that the replica had.
type Watched struct{}

// Read is a whole state, which does not tell the states before it.
type Read struct{}

// Told is the word of a peer.
type Told struct {
	history intent.History
	covered time.Time
}

// History returns what the peer knows of former routes.
func (tld Told) History() intent.History { return tld.history }

// Covered returns until when the replica is known to have missed nothing.
func (tld Told) Covered() time.Time { return tld.covered }

func (Watched) origin() {}
func (Read) origin()    {}
func (Told) origin()    {}

// Past tells what the process knows of former routes.
type Past interface {
	// History is called while news is not being taken.
	History(now time.Time) intent.History
}
