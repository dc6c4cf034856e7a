// Package encap encodes and decodes the datagrams between balancers and agents
// where callers send packets in the platform's own format. Package frame is the
// format where callers speak QUIC. A datagram is a header of fixed length, followed
// by a payload if its kind has one: a packet of a flow, or a list such as queries
// or verdicts.
package encap

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/flow"
)

// Kind is the type of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	Open      Kind = iota + 1 // Balancer to agent: carries the client's opening packet, which asks to open a flow.
	Data                      // Balancer to agent: carries a packet of a flow that the agent holds.
	Seek                      // Balancer to agent: asks which flows of a list the agent holds; each flow comes with its client's last acknowledgement.
	Try                       // Balancer to agent: carries a packet that the agent delivers unless it knows that it does not hold the flow.
	Opened                    // Agent to balancer: the upstream answered the opening packet.
	Refused                   // Agent to balancer: the agent does not open the flow; Reason says why.
	Held                      // Agent to balancer: the agent holds the flow.
	Absent                    // Agent to balancer: the agent does not hold the flow; may carry the undelivered packet.
	Unsure                    // Agent to balancer: the agent cannot tell, because the flow may be older than its records.
	Verdicts                  // Agent to balancer: answers a list of queries.
	Gone                      // Agent to balancer: the flow has ended.
	_                         // Earlier versions sent it for an opening that waits for a free slot.
	Heartbeat                 // Both ways: heartbeat of the sender.
	kindEnd
)

var kindNames = [...]string{"", "open", "data", "seek", "try", "opened", "refused", "held", "absent", "unsure", "verdicts", "gone", "queued", "beat"}

// String returns the kind's name in logs and metrics.
func (knd Kind) String() string { return kindNames[knd] }

// Reason is why an agent refused to open a flow.
type Reason uint8

// The reasons of a refusal.
const (
	NoReason     Reason = iota
	OtherService        // The agent's upstream belongs to another service.
	Leaving             // The upstream is draining, or the agent is stopping.
	Down                // The upstream is not running.
	Silent              // The upstream did not answer in time.
	Bounced             // The upstream returned the opening packet.
	Full                // The upstream has no free slot, or none will be free in time.
	Evacuated           // The upstream's availability zone is evacuated.
	ColdLimit           // The upstream has just started and has got as many openings as it bears.
	reasonEnd
)

var reasonNames = [...]string{"none", "otherService", "leaving", "down", "silent", "bounced", "full", "evacuated", "coldLimit"}

// String returns the reason's name in logs and metrics.
func (rsn Reason) String() string { return reasonNames[rsn] }

// Flags of a header. Except for flagQueueIfFull they describe the sender.
const (
	flagLeaving           = 1 << iota // The sender takes no new flows.
	flagRestarting                    // The sender is stopping and will be restarted.
	flagUpstreamDown                  // The upstream on the sender's VM is not running.
	flagPlatformReachable             // The platform answered the sender's last call.
	flagStateConfirmed                // The desired state at the sender has been confirmed to be the newest.
	flagReadsPlatform                 // The sender reads the state from the platform itself.
	flagQueueIfFull                   // The receiver queues the opening if its upstream is full, because other agents were full too.
	flagSeed                          // The sender is a seed by its own settings.
)

// HeaderBytes is the length of every header.
const HeaderBytes = 48

// formatVersion is the first byte of every datagram. Datagrams of other programs
// and formats are rejected by it.
const formatVersion = 0xd1

// Load is an upstream's load report.
type Load struct {
	requests uint16 // In sixteenths of a request.
	flows    uint16
}

// NewLoad returns the load of an upstream that has the given numbers of requests
// under way, in sixteenths of a request, and of open flows.
func NewLoad(sixteenths, flows int) Load {
	return Load{requests: clampUint16(sixteenths), flows: clampUint16(flows)}
}

// clampUint16 limits num to the range of a uint16.
func clampUint16(num int) uint16 { return uint16(min(max(num, 0), 1<<16-1)) }

// Requests returns how many requests are under way, averaged over a short time.
func (lod Load) Requests() float64 { return float64(lod.requests) / 16 }

// Flows returns how many flows are open.
func (lod Load) Flows() int { return int(lod.flows) }

// Header is the header of a datagram.
type Header struct {
	kind        Kind
	reason      Reason
	flags       uint8
	service     uint64 // ServiceID of the service; 0 in a heartbeat of a balancer.
	key         flow.Key
	seq         uint32 // Upstream's first sequence number; in a heartbeat the age of the sender's state in milliseconds.
	load        Load
	incarnation uint64       // In heartbeats; in Open the limit of a cold upstream plus 1, 0 when there is none.
	revision    uint64       // Of the platform's state at the sender, as a mirror.Position; not in Open.
	urgency     flow.Urgency // Of the route; only in Open.
}

// ServiceID returns the hash that identifies a service in headers.
func ServiceID(name string) uint64 { return xxhash.Sum64String(name) }

// New returns a header about one flow of a service.
func New(knd Kind, service uint64, key flow.Key) Header {
	return Header{kind: knd, service: service, key: key}
}

// NewHeartbeat returns the header of a heartbeat. The sender holds the given
// revision of the platform's state.
func NewHeartbeat(service, incarnation, revision uint64) Header {
	return Header{kind: Heartbeat, service: service, incarnation: incarnation, revision: revision}
}

// Parse decodes the header of a datagram. It reports false when the datagram is
// too short or its version, kind or reason is unknown.
func Parse(data []byte) (Header, bool) {
	if len(data) < HeaderBytes || data[0] != formatVersion || data[1] == 0 || data[1] >= byte(kindEnd) || data[2] >= byte(reasonEnd) {
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
	if hdr.kind == Open { // Open carries the urgency in place of the revision.
		hdr.urgency = decodeUrgency(hdr.revision)
		hdr.revision = 0
	}
	return hdr, true
}

// Put encodes the header at the start of buf, which holds HeaderBytes or more.
func (hdr Header) Put(buf []byte) {
	buf[0], buf[1], buf[2], buf[3] = formatVersion, byte(hdr.kind), byte(hdr.reason), hdr.flags
	binary.BigEndian.PutUint64(buf[4:], hdr.service)
	hdr.key.Put(buf[12:])
	binary.BigEndian.PutUint32(buf[24:], hdr.seq)
	binary.BigEndian.PutUint16(buf[28:], hdr.load.requests)
	binary.BigEndian.PutUint16(buf[30:], hdr.load.flows)
	binary.BigEndian.PutUint64(buf[32:], hdr.incarnation)
	revision := hdr.revision
	if hdr.kind == Open {
		revision = encodeUrgency(hdr.urgency)
	}
	binary.BigEndian.PutUint64(buf[40:], revision)
}

// maxTimeout is the longest timeout that an opening's header can tell.
const maxTimeout = (1<<24 - 1) * time.Millisecond

// encodeUrgency packs the priority and, in whole milliseconds, the objective and the
// timeout of a route.
func encodeUrgency(urg flow.Urgency) uint64 {
	timeout := min(urg.Timeout(), maxTimeout)
	return uint64(timeout.Milliseconds())<<40 | uint64(urg.Priority())<<32 | uint64(uint32(urg.Objective().Milliseconds()))
}

func decodeUrgency(packed uint64) flow.Urgency {
	objective := time.Duration(uint32(packed)) * time.Millisecond
	return flow.NewUrgency(uint8(packed>>32), objective, time.Duration(packed>>40)*time.Millisecond)
}

// WithUrgency returns the header with the urgency of an opening's route.
func (hdr Header) WithUrgency(urg flow.Urgency) Header {
	hdr.urgency = urg
	return hdr
}

// WithQueueIfFull returns the header of an opening that the receiver accepts although
// its upstream is full; the first request then waits.
func (hdr Header) WithQueueIfFull() Header { hdr.flags |= flagQueueIfFull; return hdr }

// WithColdLimit returns the header of an opening to an upstream that the sender takes for
// cold, with the limit of its openings in any second.
func (hdr Header) WithColdLimit(limit int) Header {
	hdr.incarnation = uint64(limit) + 1
	return hdr
}

// ColdLimit returns the limit that an opening names, and false if it names none.
func (hdr Header) ColdLimit() (limit int, ok bool) {
	if hdr.kind != Open || hdr.incarnation == 0 || hdr.incarnation > math.MaxUint16 {
		return 0, false
	}
	return int(hdr.incarnation) - 1, true
}

// WithRevision returns the header with the revision of the platform's state that the
// sender holds. Open carries none.
func (hdr Header) WithRevision(revision uint64) Header { hdr.revision = revision; return hdr }

// WithReason returns the header with the reason of a refusal.
func (hdr Header) WithReason(rsn Reason) Header { hdr.reason = rsn; return hdr }

// WithSeq returns the header with the upstream's first sequence number, or in a
// heartbeat with the age of the sender's state in milliseconds.
func (hdr Header) WithSeq(seq uint32) Header { hdr.seq = seq; return hdr }

// WithLoad returns the header with the load of the sender's upstream.
func (hdr Header) WithLoad(lod Load) Header { hdr.load = lod; return hdr }

// WithLeaving returns the header of a sender that takes no new flows. If restart
// is set, the sender is about to be restarted.
func (hdr Header) WithLeaving(restart bool) Header {
	hdr.flags |= flagLeaving
	if restart {
		hdr.flags |= flagRestarting
	}
	return hdr
}

// WithUpstreamDown returns the header of a sender whose upstream is not running.
func (hdr Header) WithUpstreamDown() Header { hdr.flags |= flagUpstreamDown; return hdr }

// WithPlatformReachable returns the header of a sender whose last call to the
// platform was answered.
func (hdr Header) WithPlatformReachable() Header { hdr.flags |= flagPlatformReachable; return hdr }

// WithReadsPlatform returns the header of a sender that reads the state from
// the platform itself.
func (hdr Header) WithReadsPlatform() Header { hdr.flags |= flagReadsPlatform; return hdr }

// WithSeed returns the header of a sender that is a seed by its own settings.
func (hdr Header) WithSeed() Header { hdr.flags |= flagSeed; return hdr }

// WithStateConfirmed returns the header of a sender whose state has been
// confirmed to be the newest. WithSeq sets how long ago.
func (hdr Header) WithStateConfirmed() Header { hdr.flags |= flagStateConfirmed; return hdr }

// Urgency returns the urgency of an opening's route.
func (hdr Header) Urgency() flow.Urgency { return hdr.urgency }

// QueueIfFull reports whether the receiver accepts the opening although its upstream
// is full.
func (hdr Header) QueueIfFull() bool { return hdr.flags&flagQueueIfFull != 0 }

// Kind returns the type of the datagram.
func (hdr Header) Kind() Kind { return hdr.kind }

// Reason returns why an agent refused to open a flow.
func (hdr Header) Reason() Reason { return hdr.reason }

// Service returns the ID of the service, 0 in a heartbeat of a balancer.
func (hdr Header) Service() uint64 { return hdr.service }

// Key returns the key of the flow.
func (hdr Header) Key() flow.Key { return hdr.key }

// Seq returns the upstream's first sequence number, or in a heartbeat the age of
// the sender's state in milliseconds.
func (hdr Header) Seq() uint32 { return hdr.seq }

// Load returns the load of the sender's upstream.
func (hdr Header) Load() Load { return hdr.load }

// Incarnation returns the number that the sender drew when it started. It differs
// after a restart.
func (hdr Header) Incarnation() uint64 { return hdr.incarnation }

// Revision returns the revision of the platform's state that the sender holds, as a
// mirror.Position, 0 when the datagram does not tell it.
func (hdr Header) Revision() uint64 { return hdr.revision }

// Leaving reports whether the sender takes no new flows.
func (hdr Header) Leaving() bool { return hdr.flags&flagLeaving != 0 }

// Restarting reports whether the sender is about to be restarted.
func (hdr Header) Restarting() bool { return hdr.flags&flagRestarting != 0 }

// UpstreamDown reports whether the sender's upstream is not running.
func (hdr Header) UpstreamDown() bool { return hdr.flags&flagUpstreamDown != 0 }

// PlatformReachable reports whether the platform answered the sender's last call to it.
func (hdr Header) PlatformReachable() bool { return hdr.flags&flagPlatformReachable != 0 }

// ReadsPlatform reports whether the sender reads the state from the platform itself.
func (hdr Header) ReadsPlatform() bool { return hdr.flags&flagReadsPlatform != 0 }

// Seed reports whether the sender is a seed by its own settings.
func (hdr Header) Seed() bool { return hdr.flags&flagSeed != 0 }

// StateConfirmed reports whether the sender's state has been confirmed to be
// the newest. Seq returns how long ago.
func (hdr Header) StateConfirmed() bool { return hdr.flags&flagStateConfirmed != 0 }
