package track

import (
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// ActionKind says what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Send   ActionKind = iota + 1 // Send the header and the packet to an agent.
	Reset                        // Send a reset of the system's own to the flow's client.
	Notice                       // Tell what was decided; nothing is to be sent.
)

// Cause says why a flow is reset, sought or opened elsewhere.
type Cause uint8

// The causes.
const (
	NoCause      Cause = iota
	NoRoute            // The desired state has no route for the address.
	NoUpstream         // No upstream of the service takes new flows, or is there to hold the flow.
	AllRefused         // Every agent of the service refused the flow.
	FlowGone           // The upstream of the flow has ended, or does not hold it any more.
	AllDenied          // Every agent that could hold the flow denies it.
	NoHint             // The flow is not known here; agents are asked.
	HintWrong          // The agent that held the flow does not hold it; agents are asked.
	Found              // An agent holds the flow.
	NotFound           // No agent holds the flow, but not all could be asked.
	Refusal            // An agent refused to open the flow; the next one is asked.
	Unanswered         // An agent left an opening unanswered; the next one is asked.
	RepeatedOpen       // The client repeated its opening; the next agent is asked.
	Asked              // An agent is asked to open the flow: the best by load and zone.
	Answered           // The upstream answered the opening.
	Queued             // The opening waits at an agent until its upstream has room.
	Widened            // The route's services deny the flow, but it may be at another one; all agents are asked.
	causeEnd
)

// Causes is how many causes there are.
const Causes = int(causeEnd)

var causeNames = [Causes]string{
	"none", "noRoute", "noUpstream", "allRefused", "flowGone", "allDenied", "noHint", "hintWrong",
	"found", "notFound", "refusal", "unanswered", "repeatedOpen",
	"asked", "answered", "queued", "widened",
}

// String returns the cause's name in logs and metrics.
func (cse Cause) String() string { return causeNames[cse] }

// Action is one thing to do. Actions are values, not a sealed interface, so that
// a packet allocates nothing. A packet is valid until the next event.
type Action struct {
	kind   ActionKind
	cause  Cause
	agent  [4]byte
	key    flow.Key
	seq    uint32
	header hop.Header
	packet []byte
	took   time.Duration
}

// Kind returns what is to be done.
func (act Action) Kind() ActionKind { return act.kind }

// Cause returns why.
func (act Action) Cause() Cause { return act.cause }

// Agent returns the IP number of the agent's VM.
func (act Action) Agent() [4]byte { return act.agent }

// Key returns the flow.
func (act Action) Key() flow.Key { return act.key }

// Seq returns the sequence number of a reset.
func (act Action) Seq() uint32 { return act.seq }

// Header returns the header to send.
func (act Action) Header() hop.Header { return act.header }

// Took returns how long an answer took, for Answered.
func (act Action) Took() time.Duration { return act.took }

// Packet returns the packet to send behind the header.
func (act Action) Packet() []byte { return act.packet }
