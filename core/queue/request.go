package queue

import (
	"slices"
	"time"

	"lagoondrum/core/flow"
)

// defaultTimeout bounds the wait of a request whose route has no timeout.
const defaultTimeout = 2 * time.Second

// closeDelay is how long after its timeout a request is kept, so that the packet by
// which a client that gives up closes its flow arrives before.
const closeDelay = 100 * time.Millisecond

// maxPackets is how many packets of one request are kept: clients have no more in
// flight.
const maxPackets = 16

// Packet is a packet that waits, with its bytes.
type Packet struct {
	packet flow.Packet
	raw    []byte
}

// NewPacket returns a packet with its bytes, which the caller must not change.
func NewPacket(pkt flow.Packet, raw []byte) Packet { return Packet{packet: pkt, raw: raw} }

// Packet returns the decoded packet.
func (pkt Packet) Packet() flow.Packet { return pkt.packet }

// Raw returns the packet's bytes.
func (pkt Packet) Raw() []byte { return pkt.raw }

// Request is a request that waits for capacity.
type Request struct {
	key               flow.Key
	first             bool // The first request of its flow.
	packets           []Packet
	priority          uint8
	objectiveDeadline time.Time // An answer after this time misses the latency objective.
	givenUpAt         time.Time // When the client no longer waits for the answer.
	deliverBy         time.Time // When the upstream may discard the idle flow; zero if it does not matter.
}

// New returns a request whose client has waited for its answer since sentAt. For the
// first request of a flow that is when it began to open the flow.
func New(key flow.Key, first bool, urg flow.Urgency, sentAt time.Time) Request {
	req := Request{key: key, first: first, priority: urg.Priority(), givenUpAt: sentAt.Add(defaultTimeout)}
	if urg.Timeout() > 0 {
		req.givenUpAt = sentAt.Add(urg.Timeout())
	}
	req.objectiveDeadline = req.givenUpAt
	if urg.Objective() > 0 {
		req.objectiveDeadline = sentAt.Add(urg.Objective())
	}
	return req
}

// DeliverBy returns the request with a time by which it is delivered, because its upstream
// may discard the flow that is idle while the request waits.
func (req Request) DeliverBy(at time.Time) Request {
	req.deliverBy = at
	return req
}

// waitsUntil returns when the request is taken from the queue whatever its rank.
func (req Request) waitsUntil() time.Time {
	until := req.givenUpAt.Add(closeDelay)
	if !req.deliverBy.IsZero() && req.deliverBy.Before(until) {
		return req.deliverBy
	}
	return until
}

// Key returns the flow.
func (req Request) Key() flow.Key { return req.key }

// ObjectiveDeadline returns the time after which an answer misses the latency
// objective.
func (req Request) ObjectiveDeadline() time.Time { return req.objectiveDeadline }

// Packets returns the packets in the order of their arrival.
func (req Request) Packets() []Packet { return req.packets }

// Closed reports whether the client has closed its side of the flow.
func (req Request) Closed() bool {
	return slices.ContainsFunc(req.packets, func(pkt Packet) bool { return pkt.packet.Has(flow.Fin) })
}

// add appends a packet, unless it is a retransmission of one that waits already. A
// retransmission that also closes the flow replaces what it repeats.
func (req *Request) add(pkt Packet) {
	for i, old := range req.packets {
		if old.packet.Seq() == pkt.packet.Seq() {
			if pkt.packet.Has(flow.Fin) && pkt.packet.DataBytes() >= old.packet.DataBytes() {
				req.packets[i] = pkt
			}
			return
		}
	}
	if len(req.packets) < maxPackets {
		req.packets = append(req.packets, pkt)
	}
}

// rank is how much a client gains from the answer to its request.
type rank uint8

// The ranks, the highest first.
const (
	inTime rank = iota
	late
	abandoned // The client has closed its side, so it has probably given up.
)

// rankAt returns the rank of a request that is answered at the given time.
func (req Request) rankAt(answerAt time.Time) rank {
	switch {
	case req.Closed():
		return abandoned
	case answerAt.After(req.objectiveDeadline):
		return late
	default:
		return inTime
	}
}
