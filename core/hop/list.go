package hop

import (
	"encoding/binary"

	"lagoondrum/core/flow"
)

// Lengths of the entries of questions and of verdicts, and how many of them a
// datagram holds.
const (
	questionBytes = flow.KeyBytes + 4
	verdictBytes  = flow.KeyBytes + 5
	MaxQuestions  = 64 // 1,100 bytes of verdicts with their header: a datagram that no link splits.
)

// AppendQuestion adds the question who holds a flow whose client acknowledged so
// much.
func AppendQuestion(list []byte, key flow.Key, ack uint32) []byte {
	var buf [questionBytes]byte
	key.Put(buf[:])
	binary.BigEndian.PutUint32(buf[flow.KeyBytes:], ack)
	return append(list, buf[:]...)
}

// EachQuestion calls visit for every question of a list.
func EachQuestion(list []byte, visit func(key flow.Key, ack uint32)) {
	for ; len(list) >= questionBytes; list = list[questionBytes:] {
		visit(flow.ParseKey(list), binary.BigEndian.Uint32(list[flow.KeyBytes:]))
	}
}

// AppendVerdict adds the answer to a question: Held, Absent or Unsure, and for a
// flow that is held the upstream's first sequence number.
func AppendVerdict(list []byte, key flow.Key, knd Kind, seq uint32) []byte {
	var buf [verdictBytes]byte
	key.Put(buf[:])
	buf[flow.KeyBytes] = byte(knd)
	binary.BigEndian.PutUint32(buf[flow.KeyBytes+1:], seq)
	return append(list, buf[:]...)
}

// EachVerdict calls visit with the header that every answer of a list stands for.
func (hdr Header) EachVerdict(list []byte, visit func(Header)) {
	for ; len(list) >= verdictBytes; list = list[verdictBytes:] {
		knd := Kind(list[flow.KeyBytes])
		if knd == Held || knd == Absent || knd == Unsure {
			visit(New(knd, hdr.service, flow.ParseKey(list)).WithSeq(binary.BigEndian.Uint32(list[flow.KeyBytes+1:])))
		}
	}
}
