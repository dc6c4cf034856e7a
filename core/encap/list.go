package encap

import (
	"encoding/binary"
	"time"

	"lagoondrum/core/flow"
)

// Encoded lengths of a query and of a verdict, and the most queries in one
// datagram.
const (
	queryBytes   = flow.KeyBytes + 4
	verdictBytes = flow.KeyBytes + 5
	MaxQueries   = 64 // The verdicts on so many take 1,100 bytes with the header, which no link fragments.
)

// OldAfter is how long an agent has been running when it counts as old: it did not start
// together with a process that has just started, as after the loss of all processes.
const OldAfter = 4 * time.Second

// The fields of the sequence number of an Unsure or Absent verdict hold times in
// milliseconds. Longer ones are told as the largest value.
const (
	uptimeBits = 16
	triedBits  = 16
	maxUptime  = 1<<uptimeBits - 1
	maxTried   = 1<<triedBits - 2 // One more stands for it, as 0 means that no packet was tried.
	maxAsked   = 1<<15 - 1
	oldFlag    = 1 << 31 // Of an Absent verdict; an Unsure one tells the uptime.
)

func limitMillis(span time.Duration, limit int64) uint32 {
	return uint32(min(max(span.Milliseconds(), 0), limit))
}

// UnsureSeq returns the sequence number of an Unsure verdict. It tells whether the
// agent's upstream serves other flows of the same address, for how long the agent
// has been running, as it does not know what its predecessor did, and how long ago a
// balancer first asked for the flow; see Asked.
func UnsureSeq(servesAddress bool, uptime, asked time.Duration) uint32 {
	seq := limitMillis(asked, maxAsked)<<(1+uptimeBits) | limitMillis(uptime, maxUptime)<<1
	if servesAddress {
		seq |= 1
	}
	return seq
}

// ServesAddress reports whether the agent of an Unsure verdict knows that its upstream
// serves other flows of the same address.
func (hdr Header) ServesAddress() bool { return hdr.kind == Unsure && hdr.seq&1 != 0 }

// Uptime returns for how long the agent of an Unsure verdict has been running.
func (hdr Header) Uptime() time.Duration {
	return time.Duration(hdr.seq>>1&maxUptime) * time.Millisecond
}

// Old reports whether the agent of an Unsure or Absent verdict is old; see OldAfter.
func (hdr Header) Old() bool {
	return hdr.kind == Unsure && hdr.Uptime() > OldAfter || hdr.kind == Absent && hdr.seq&oldFlag != 0
}

// AbsentSeq returns the sequence number of an Absent verdict. It tells how long ago a
// balancer first asked for the flow, see Asked, and whether the agent is old.
func AbsentSeq(uptime, asked time.Duration) uint32 {
	seq := limitMillis(asked, maxAsked) << triedBits
	if uptime > OldAfter {
		seq |= oldFlag
	}
	return seq
}

// TriedSeq returns the sequence number of an Absent verdict whose agent, besides, passed
// a packet of the flow to its upstream so long ago, and got it back.
func TriedSeq(tried, uptime, asked time.Duration) uint32 {
	return AbsentSeq(uptime, asked) | (limitMillis(tried, maxTried) + 1)
}

// Tried returns how long ago the agent of an Absent verdict passed a packet of the
// flow to its upstream, and false if it did not lately.
func (hdr Header) Tried() (age time.Duration, ok bool) {
	tried := hdr.seq & (1<<triedBits - 1)
	if hdr.kind != Absent || tried == 0 {
		return 0, false
	}
	return time.Duration(tried-1) * time.Millisecond, true
}

// Asked returns how long ago a balancer first asked the agent of an Unsure or Absent
// verdict for the flow, since when they have gone on asking.
func (hdr Header) Asked() time.Duration {
	switch hdr.kind {
	case Unsure:
		return time.Duration(hdr.seq>>(1+uptimeBits)) * time.Millisecond
	case Absent:
		return time.Duration(hdr.seq&^oldFlag>>triedBits) * time.Millisecond
	default:
		return 0
	}
}

// AppendQuery appends to a list the query whether the agent holds a flow. ack
// is the last acknowledgement of the flow's client.
func AppendQuery(list []byte, key flow.Key, ack uint32) []byte {
	var buf [queryBytes]byte
	key.Put(buf[:])
	binary.BigEndian.PutUint32(buf[flow.KeyBytes:], ack)
	return append(list, buf[:]...)
}

// EachQuery calls visit for each query of a list.
func EachQuery(list []byte, visit func(key flow.Key, ack uint32)) {
	for ; len(list) >= queryBytes; list = list[queryBytes:] {
		visit(flow.ParseKey(list), binary.BigEndian.Uint32(list[flow.KeyBytes:]))
	}
}

// AppendVerdict appends to a list the answer to a query: Held, Absent or Unsure.
// For Held, seq is the upstream's first sequence number; see also AbsentSeq, TriedSeq
// and UnsureSeq.
func AppendVerdict(list []byte, key flow.Key, knd Kind, seq uint32) []byte {
	var buf [verdictBytes]byte
	key.Put(buf[:])
	buf[flow.KeyBytes] = byte(knd)
	binary.BigEndian.PutUint32(buf[flow.KeyBytes+1:], seq)
	return append(list, buf[:]...)
}

// EachVerdict calls visit for each valid verdict of a list, as the header of a
// datagram that carries this verdict alone. Other kinds are ignored.
func (hdr Header) EachVerdict(list []byte, visit func(Header)) {
	for ; len(list) >= verdictBytes; list = list[verdictBytes:] {
		knd := Kind(list[flow.KeyBytes])
		if knd == Held || knd == Absent || knd == Unsure {
			visit(New(knd, hdr.service, flow.ParseKey(list)).WithRevision(hdr.revision).WithSeq(binary.BigEndian.Uint32(list[flow.KeyBytes+1:])))
		}
	}
}
