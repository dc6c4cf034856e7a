package owner

import (
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// ActionKind says what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Deliver  ActionKind = iota + 1 // Give the packet to the upstream.
	ToClient                       // Send the packet to the flow's client.
	Tell                           // Send the header, and the packet if any, to a process.
	Reset                          // Send a reset of the system's own to the flow's client.
	Probe                          // Find out whether the upstream runs.
)

// Action is one thing to do. Actions are values, not a sealed interface, so that
// a packet allocates nothing. A packet is valid until the next event.
type Action struct {
	kind   ActionKind
	peer   flow.End
	key    flow.Key
	seq    uint32
	header hop.Header
	packet []byte
}

// Kind returns what is to be done.
func (act Action) Kind() ActionKind { return act.kind }

// Peer returns the process to tell.
func (act Action) Peer() flow.End { return act.peer }

// Key returns the flow.
func (act Action) Key() flow.Key { return act.key }

// Seq returns the sequence number of a reset.
func (act Action) Seq() uint32 { return act.seq }

// Header returns what to tell.
func (act Action) Header() hop.Header { return act.header }

// Packet returns the packet, if one is part of the action.
func (act Action) Packet() []byte { return act.packet }
