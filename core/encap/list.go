package encap

import (
	"encoding/binary"
	"math"
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

// UnsureSeq returns the sequence number of an Unsure verdict. It tells whether the
// agent's upstream serves other flows of the same address, and for how long the agent
// has been running: it does not know what its predecessor did.
func UnsureSeq(servesAddress bool, uptime time.Duration) uint32 {
	seq := uint32(min(max(uptime.Milliseconds(), 0), math.MaxUint32>>1)) << 1
	if servesAddress {
		seq |= 1
	}
	return seq
}

// ServesAddress reports whether the agent of an Unsure verdict knows that its upstream
// serves other flows of the same address.
func (hdr Header) ServesAddress() bool { return hdr.kind == Unsure && hdr.seq&1 != 0 }

// Uptime returns for how long the agent of an Unsure verdict has been running.
func (hdr Header) Uptime() time.Duration { return time.Duration(hdr.seq>>1) * time.Millisecond }

// TriedSeq returns the sequence number of an Absent verdict whose agent passed a packet
// of the flow to its upstream so long ago, and got it back.
func TriedSeq(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32-1)) + 1
}

// Tried returns how long ago the agent of an Absent verdict passed a packet of the
// flow to its upstream, and false if it did not lately.
func (hdr Header) Tried() (age time.Duration, ok bool) {
	if hdr.kind != Absent || hdr.seq == 0 {
		return 0, false
	}
	return time.Duration(hdr.seq-1) * time.Millisecond, true
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
// For Held, seq is the upstream's first sequence number; see also TriedSeq and
// UnsureSeq.
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
