// Package hop is the format of datagrams between balancers and agents: a header
// of fixed length, and behind it the packet of a flow where one travels along.
package hop

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/flow"
)

// Kind says what a datagram asks or tells.
type Kind uint8

// The kinds of datagrams.
const (
	Open     Kind = iota + 1 // Balancer to agent: a packet that asks to open a flow.
	Data                     // Balancer to agent: a packet of a flow that the agent holds.
	Seek                     // Balancer to agent: a list of flows, each with its client's acknowledgement; which does the agent hold?
	Try                      // Balancer to agent: deliver the packet unless the agent knows that it does not hold its flow.
	Opened                   // Agent to balancer: the upstream answered the opening packet.
	Refused                  // Agent to balancer: the flow is not opened here.
	Held                     // Agent to balancer: the flow is held here.
	Absent                   // Agent to balancer: the flow is not held here; the packet may follow.
	Unsure                   // Agent to balancer: the agent's memory does not reach back far enough to tell.
	Verdicts                 // Agent to balancer: the answers to a list of questions.
	Gone                     // Agent to balancer: the flow has ended.
	Queued                   // Agent to balancer: the opening waits until the upstream has room.
	Beat                     // Both ways: the sender lives.
	kindEnd
)

var kindNames = [...]string{"", "open", "data", "seek", "try", "opened", "refused", "held", "absent", "unsure", "verdicts", "gone", "queued", "beat"}

// String returns the kind's name in logs and metrics.
func (knd Kind) String() string { return kindNames[knd] }

// Reason says why an agent refused to open a flow.
type Reason uint8

// The reasons of a refusal.
const (
	NoReason     Reason = iota
	OtherService        // The agent's upstream is of another service.
	Leaving             // The upstream drains, or the agent ends.
	Down                // The upstream does not run.
	Silent              // The upstream did not answer in time.
	Bounced             // The upstream returned the packet.
	Full                // The upstream has no room, or will not have it in time.
	reasonEnd
)

var reasonNames = [...]string{"none", "otherService", "leaving", "down", "silent", "bounced", "full"}

// String returns the reason's name in logs and metrics.
func (rsn Reason) String() string { return reasonNames[rsn] }

// Flags of a datagram's sender.
const (
	flagLeaving = 1 << iota // The sender takes no new flows.
	flagRestart             // The sender ends and is about to be started again.
	flagDown                // The upstream beside the sender does not run.
	flagAble                // The platform answered the sender's last call.
	flagFresh               // The sender has a state that was confirmed.
	flagReads               // The sender reads the platform.
	flagWaits               // The opening waits where it is sent if there is no room: other agents had none.
)

// HeaderBytes is the length of every header.
const HeaderBytes = 48

// version guards against datagrams of other programs and formats.
const version = 0xd1

// Load tells how busy an upstream is.
type Load struct {
	requests uint16
	flows    uint16
}

// NewLoad returns the load of an upstream with so many requests under way, in
// sixteenths, and flows open.
func NewLoad(sixteenths, flows int) Load {
	return Load{requests: clip(sixteenths), flows: clip(flows)}
}

func clip(num int) uint16 { return uint16(min(max(num, 0), 1<<16-1)) }

// Requests returns how many requests are under way, averaged over a short time.
func (lod Load) Requests() float64 { return float64(lod.requests) / 16 }

// Flows returns how many flows are open.
func (lod Load) Flows() int { return int(lod.flows) }

// Header is the header of a datagram.
type Header struct {
	kind        Kind
	reason      Reason
	flags       uint8
	service     uint64
	key         flow.Key
	seq         uint32
	load        Load
	incarnation uint64
	revision    uint64
	priority    uint8         // Of the route, in Open.
	objective   time.Duration // Of the route, in Open.
}

// ServiceID returns the number that stands for a service's name in headers.
func ServiceID(name string) uint64 { return xxhash.Sum64String(name) }

// New returns a header about one flow of a service.
func New(knd Kind, service uint64, key flow.Key) Header {
	return Header{kind: knd, service: service, key: key}
}

// NewBeat returns the header of a heartbeat from a process that holds a revision
// of the platform's state.
func NewBeat(service, incarnation, revision uint64) Header {
	return Header{kind: Beat, service: service, incarnation: incarnation, revision: revision}
}

// Parse decodes the header of a datagram.
func Parse(data []byte) (Header, bool) {
	if len(data) < HeaderBytes || data[0] != version || data[1] == 0 || data[1] >= byte(kindEnd) || data[2] >= byte(reasonEnd) {
		return Header{}, false
	}
	hdr := Header{
		kind:        Kind(data[1]),
		reason:      Reason(data[2]),
		flags:       data[3],
		service:     binary.BigEndian.Uint64(data[4:]),
		key:         flow.ParseKey(data[12:]),
		seq:         binary.BigEndian.Uint32(data[24:]),
		load:        Load{requests: binary.BigEndian.Uint16(data[28:]), flows: binary.BigEndian.Uint16(data[30:])},
		incarnation: binary.BigEndian.Uint64(data[32:]),
		revision:    binary.BigEndian.Uint64(data[40:]),
	}
	if hdr.kind == Open { // An opening names no revision.
		hdr.priority = uint8(hdr.revision >> 32)
		hdr.objective = time.Duration(uint32(hdr.revision)) * time.Millisecond
		hdr.revision = 0
	}
	return hdr, true
}

// Put encodes the header at the start of buf, which holds HeaderBytes or more.
func (hdr Header) Put(buf []byte) {
	buf[0], buf[1], buf[2], buf[3] = version, byte(hdr.kind), byte(hdr.reason), hdr.flags
	binary.BigEndian.PutUint64(buf[4:], hdr.service)
	hdr.key.Put(buf[12:])
	binary.BigEndian.PutUint32(buf[24:], hdr.seq)
	binary.BigEndian.PutUint16(buf[28:], hdr.load.requests)
	binary.BigEndian.PutUint16(buf[30:], hdr.load.flows)
	binary.BigEndian.PutUint64(buf[32:], hdr.incarnation)
	revision := hdr.revision
	if hdr.kind == Open {
		revision = uint64(hdr.priority)<<32 | uint64(uint32(hdr.objective.Milliseconds()))
	}
	binary.BigEndian.PutUint64(buf[40:], revision)
}

// WithUrgency returns the header of an opening on a route with a priority and a
// latency objective, which is kept in whole milliseconds.
func (hdr Header) WithUrgency(priority uint8, objective time.Duration) Header {
	hdr.priority, hdr.objective = priority, objective
	return hdr
}

// WithWaits returns the header of an opening that waits where it is sent.
func (hdr Header) WithWaits() Header { hdr.flags |= flagWaits; return hdr }

// WithReason returns the header with the reason of a refusal.
func (hdr Header) WithReason(rsn Reason) Header { hdr.reason = rsn; return hdr }

// WithSeq returns the header with the upstream's first sequence number, in
// heartbeats with the age of the state in milliseconds.
func (hdr Header) WithSeq(seq uint32) Header { hdr.seq = seq; return hdr }

// WithLoad returns the header with the load of the sender's upstream.
func (hdr Header) WithLoad(lod Load) Header { hdr.load = lod; return hdr }

// WithLeaving returns the header of a sender that takes no new flows. With
// restart set it is about to be started again.
func (hdr Header) WithLeaving(restart bool) Header {
	hdr.flags |= flagLeaving
	if restart {
		hdr.flags |= flagRestart
	}
	return hdr
}

// WithDown returns the header of a sender whose upstream does not run.
func (hdr Header) WithDown() Header { hdr.flags |= flagDown; return hdr }

// WithAble returns the header of a sender whose last call the platform answered.
func (hdr Header) WithAble() Header { hdr.flags |= flagAble; return hdr }

// WithReads returns the header of a sender that reads the platform.
func (hdr Header) WithReads() Header { hdr.flags |= flagReads; return hdr }

// WithFresh returns the header of a sender whose state was confirmed lately.
func (hdr Header) WithFresh() Header { hdr.flags |= flagFresh; return hdr }

// Priority returns the priority of an opening's route, 0 the highest.
func (hdr Header) Priority() uint8 { return hdr.priority }

// Objective returns the latency objective of an opening's route, 0 for none.
func (hdr Header) Objective() time.Duration { return hdr.objective }

// Waits reports whether an opening waits for room where it is sent.
func (hdr Header) Waits() bool { return hdr.flags&flagWaits != 0 }

// Kind returns what the datagram asks or tells.
func (hdr Header) Kind() Kind { return hdr.kind }

// Reason returns why an agent refused.
func (hdr Header) Reason() Reason { return hdr.reason }

// Service returns the number of the service.
func (hdr Header) Service() uint64 { return hdr.service }

// Key returns the flow.
func (hdr Header) Key() flow.Key { return hdr.key }

// Seq returns what WithSeq set.
func (hdr Header) Seq() uint32 { return hdr.seq }

// Load returns the load of the sender's upstream.
func (hdr Header) Load() Load { return hdr.load }

// Incarnation returns the number of the sender's life, drawn at its start.
func (hdr Header) Incarnation() uint64 { return hdr.incarnation }

// Revision returns the revision of the platform's state that the sender holds.
func (hdr Header) Revision() uint64 { return hdr.revision }

// Leaving reports whether the sender takes no new flows.
func (hdr Header) Leaving() bool { return hdr.flags&flagLeaving != 0 }

// Restarting reports whether the sender is about to be started again.
func (hdr Header) Restarting() bool { return hdr.flags&flagRestart != 0 }

// Down reports whether the sender's upstream does not run.
func (hdr Header) Down() bool { return hdr.flags&flagDown != 0 }

// Able reports whether the platform answered the sender's last call.
func (hdr Header) Able() bool { return hdr.flags&flagAble != 0 }

// Reads reports whether the sender reads the platform.
func (hdr Header) Reads() bool { return hdr.flags&flagReads != 0 }

// Fresh reports whether the sender's state was confirmed lately.
func (hdr Header) Fresh() bool { return hdr.flags&flagFresh != 0 }
