package flows

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/share"
)

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	ToUpstream    ActionKind = iota + 1 // Send the packet to the upstream.
	ToClient                            // Send the packet to the flow's client.
	ToBalancer                          // Send the header, and the packet if there is one, to a balancer.
	Reset                               // Send the flow's client a reset that the upstream did not write.
	Probe                               // Find out by a connection attempt whether the upstream runs.
	NoteQueued                          // Log that a request waits for capacity; nothing is sent.
	NoteAdmitted                        // Log that a request that waited is delivered; nothing is sent.
	NoteRestarted                       // Log that the upstream has restarted unnoticed; nothing is sent.
	NoteRefused                         // Log why an opening is refused for lack of capacity; nothing is sent. Only with the order by cost.
)

// Action is one thing that the agent has to do. It is a struct and not a sealed
// interface so that handling a packet allocates nothing. Its packet is valid until
// the next event is handled.
type Action struct {
	kind     ActionKind
	balancer flow.Endpoint // The balancer that ToBalancer sends to.
	key      flow.Key
	seq      uint32 // Of Reset.
	header   encap.Header
	packet   []byte
	deadline time.Time // Of NoteQueued, NoteAdmitted and NoteRefused: when the request's objective is missed.
	prospect share.Prospect
}

// Kind returns the kind of the action.
func (act Action) Kind() ActionKind { return act.kind }

// Balancer returns the address of the balancer that ToBalancer sends to.
func (act Action) Balancer() flow.Endpoint { return act.balancer }

// Key returns the flow of the action.
func (act Action) Key() flow.Key { return act.key }

// Seq returns the sequence number of a reset.
func (act Action) Seq() uint32 { return act.seq }

// Header returns the header that ToBalancer sends.
func (act Action) Header() encap.Header { return act.header }

// ObjectiveDeadline returns when the latency objective of a request that waits or
// waited is missed.
func (act Action) ObjectiveDeadline() time.Time { return act.deadline }

// Prospect returns what a request that waits or is refused could expect, Unplanned
// without the order by cost.
func (act Action) Prospect() share.Prospect { return act.prospect }

// Packet returns the packet to send, nil when there is none.
func (act Action) Packet() []byte { return act.packet }
