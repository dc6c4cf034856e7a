// Package flow names the flows of callers and describes their packets, free of
// the format in which packets travel.
package flow

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
)

// End is one end of a flow.
type End struct {
	ip   [4]byte
	port uint16
}

// NewEnd returns the end at an IPv4 number and port.
func NewEnd(ip [4]byte, port uint16) End { return End{ip: ip, port: port} }

// EndOf returns the end at an address. It is the zero End unless the address is
// IPv4.
func EndOf(addr netip.AddrPort) End {
	if !addr.Addr().Is4() {
		return End{}
	}
	return End{ip: addr.Addr().As4(), port: addr.Port()}
}

// IP returns the end's IP number.
func (end End) IP() [4]byte { return end.ip }

// Port returns the end's port.
func (end End) Port() uint16 { return end.port }

// String returns the end as ip:port.
func (end End) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(end.ip), end.port).String()
}

// Key names a flow by its two ends.
type Key struct {
	client  End
	service End
}

// NewKey returns the key of the flow between a client and the address of a
// service.
func NewKey(client, service End) Key { return Key{client: client, service: service} }

// Client returns the client's end.
func (key Key) Client() End { return key.client }

// Service returns the end that the client addresses.
func (key Key) Service() End { return key.service }

// String returns the key as client>service, as logs show it.
func (key Key) String() string { return fmt.Sprintf("%s>%s", key.client, key.service) }

// KeyBytes is the length of an encoded key.
const KeyBytes = 12

// Put encodes the key at the start of buf.
func (key Key) Put(buf []byte) {
	copy(buf, key.client.ip[:])
	binary.BigEndian.PutUint16(buf[4:], key.client.port)
	copy(buf[6:], key.service.ip[:])
	binary.BigEndian.PutUint16(buf[10:], key.service.port)
}

// ParseKey decodes the key at the start of buf, which holds KeyBytes or more.
func ParseKey(buf []byte) Key {
	return Key{
		client:  End{ip: [4]byte(buf), port: binary.BigEndian.Uint16(buf[4:])},
		service: End{ip: [4]byte(buf[6:]), port: binary.BigEndian.Uint16(buf[10:])},
	}
}

// Sort orders keys, so that decisions on many flows do not depend on the order in
// which they are stored.
func Sort(keys []Key) {
	slices.SortFunc(keys, func(one, other Key) int {
		var left, right [KeyBytes]byte
		one.Put(left[:])
		other.Put(right[:])
		return bytes.Compare(left[:], right[:])
	})
}

// Flags are the flags of a packet.
type Flags uint8

// The flags.
const (
	Syn Flags = 1 << iota
	Ack
	Fin
	Rst
	Bounced // The upstream returned the packet: it does not hold the flow.
)

// Packet is what a decision needs to know of a packet.
type Packet struct {
	from  End
	to    End
	flags Flags
	size  uint16
	seq   uint32
	ack   uint32
}

// NewPacket describes a packet with size bytes of data.
func NewPacket(from, to End, flags Flags, seq, ack uint32, size uint16) Packet {
	return Packet{from: from, to: to, flags: flags, seq: seq, ack: ack, size: size}
}

// Has reports whether any of the flags is set.
func (pkt Packet) Has(flags Flags) bool { return pkt.flags&flags != 0 }

// Opening reports whether the packet asks to open a flow.
func (pkt Packet) Opening() bool { return pkt.flags&(Syn|Ack) == Syn }

// From returns the end that wrote the packet.
func (pkt Packet) From() End { return pkt.from }

// To returns the end that the packet is for.
func (pkt Packet) To() End { return pkt.to }

// Seq returns the sequence number.
func (pkt Packet) Seq() uint32 { return pkt.seq }

// Ack returns the acknowledgement. In an opening packet it counts the copies
// that were sent before.
func (pkt Packet) Ack() uint32 { return pkt.ack }

// Size returns the bytes of data.
func (pkt Packet) Size() int { return int(pkt.size) }

// FromClient returns the flow of a packet that a client wrote.
func (pkt Packet) FromClient() Key { return Key{client: pkt.from, service: pkt.to} }

// FromUpstream returns the flow of a packet that an upstream wrote.
func (pkt Packet) FromUpstream() Key { return Key{client: pkt.to, service: pkt.from} }

// ackSlack is how far an acknowledgement may be beyond what was sent: the
// opening and the end of a flow count as one each.
const ackSlack = 2

// Answers reports whether a client's acknowledgement answers an upstream that
// opened the flow with the sequence number first and has sent up to sent. Of two
// upstreams that answered one opening, a client's packets answer only the one it
// chose.
func Answers(ack, first, sent uint32) bool { return ack-first <= sent-first+ackSlack }

// End returns the sequence number after the packet's data.
func (pkt Packet) End() uint32 { return pkt.seq + uint32(pkt.size) }
