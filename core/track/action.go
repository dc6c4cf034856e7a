package track

import (
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/picker"
)

// ActionKind is the type of an action.
type ActionKind uint8

// The kinds of actions.
const (
	Send   ActionKind = iota + 1 // Send a datagram with the header and the packet to an agent.
	Reset                        // Send a reset of the balancer's own to the flow's client.
	Notice                       // Log and count a decision; nothing is sent.
)

// Cause is the reason for an action on a flow.
type Cause uint8

// The causes.
const (
	NoCause      Cause = iota
	NoRoute            // The desired state has no route for the address.
	NoUpstream         // No upstream of the service takes new flows, or none exists that could hold the flow.
	AllRefused         // Every agent of the service refused the flow.
	FlowGone           // The flow's upstream has ended, or no longer holds the flow.
	AllDenied          // Every agent that could hold the flow denies holding it.
	NoHint             // The balancer does not know the flow's agent and queries the agents.
	HintWrong          // The agent that the balancer remembers does not hold the flow; other agents are queried.
	Found              // An agent holds the flow.
	NotFound           // The search timed out: no agent reported the flow, but not every agent could be asked.
	Refusal            // An agent refused to open the flow; the next candidate is asked.
	Unanswered         // An agent did not answer an opening in time; the next candidate is asked.
	RepeatedOpen       // The client sent its opening again; the next candidate is asked.
	Asked              // An agent, the best candidate by load and zone, is asked to open the flow.
	Answered           // The upstream answered the opening.
	Widened            // No agent of the route's known services reported the flow, but another service may hold it; all agents are queried.
	Overflowed         // The service chosen by the route's shares is full; another service of the route is asked.
	HolderEnded        // The upstream that held the flow has ended; other agents are queried.
	AllEvacuated       // The service has upstreams that could take the flow, but all of their availability zones are evacuated.
	causeEnd
)

// CauseCount is the number of causes.
const CauseCount = int(causeEnd)

var causeNames = [CauseCount]string{
	"none", "noRoute", "noUpstream", "allRefused", "flowGone", "allDenied", "noHint", "hintWrong",
	"found", "notFound", "refusal", "unanswered", "repeatedOpen",
	"asked", "answered", "widened", "overflowed", "holderEnded", "allEvacuated",
}

// String returns the cause's name in logs and metrics.
func (cse Cause) String() string { return causeNames[cse] }

// Action is one action for the balancer to perform. It is a struct rather than a
// sealed interface, so that forwarding a packet allocates no memory. Its packet
// is valid until the next event.
type Action struct {
	kind   ActionKind
	cause  Cause
	agent  [4]byte
	key    flow.Key
	seq    uint32 // Of a reset.
	header encap.Header
	packet []byte
	took   time.Duration     // From the opening to the agent's answer.
	sought Sought            // Of AllDenied, NoUpstream and NotFound.
	zone   picker.ZoneChoice // Of Asked, where zones are weighed.
}

// Kind returns the type of the action.
func (act Action) Kind() ActionKind { return act.kind }

// Cause returns the reason for the action.
func (act Action) Cause() Cause { return act.cause }

// Agent returns the IPv4 address of the agent's VM, or the zero address if the
// action concerns no single agent.
func (act Action) Agent() [4]byte { return act.agent }

// Key returns the key of the flow.
func (act Action) Key() flow.Key { return act.key }

// Seq returns the sequence number of a reset.
func (act Action) Seq() uint32 { return act.seq }

// Header returns the header of the datagram to send.
func (act Action) Header() encap.Header { return act.header }

// Took returns how long the agent took to answer an opening; it is set for
// Answered only.
func (act Action) Took() time.Duration { return act.took }

// Sought returns what the search that ended with the action has found out, and false if
// it ended none.
func (act Action) Sought() (Sought, bool) {
	return act.sought, act.cause == AllDenied || act.cause == NoUpstream || act.cause == NotFound
}

// ZoneChoice returns why an agent of its availability zone was asked, and false unless
// the action is Asked and zones are weighed.
func (act Action) ZoneChoice() (picker.ZoneChoice, bool) {
	return act.zone, act.cause == Asked && act.zone != picker.ZoneChoice{}
}

// Packet returns the bytes to send after the header.
func (act Action) Packet() []byte { return act.packet }

// Sought is what a search has found out about the agents that could hold its flow.
type Sought struct {
	denied int
	ended  int
	silent int
	unsure int
}

// Denied returns how many agents denied holding the flow.
func (sgt Sought) Denied() int { return sgt.denied }

// Ended returns how many of the others have an upstream that is known to have ended.
func (sgt Sought) Ended() int { return sgt.ended }

// Silent returns how many of the others have not answered.
func (sgt Sought) Silent() int { return sgt.silent }

// Unsure returns how many agents could not tell, or were tried in vain.
func (sgt Sought) Unsure() int { return sgt.unsure }
