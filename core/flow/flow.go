// Package flow identifies the flows of callers and describes their packets,
// independently of the packets' wire format.
package flow

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
)

// Endpoint is an endpoint of a flow: an IPv4 address and a port.
type Endpoint struct {
	ip   [4]byte
	port uint16
}

// NewEndpoint returns the endpoint with an IPv4 address and a port.
func NewEndpoint(ip [4]byte, port uint16) Endpoint { return Endpoint{ip: ip, port: port} }

// EndpointOf returns the endpoint of addr, or the zero value if addr is not IPv4.
func EndpointOf(addr netip.AddrPort) Endpoint {
	if !addr.Addr().Is4() {
		return Endpoint{}
	}
	return Endpoint{ip: addr.Addr().As4(), port: addr.Port()}
}

// IP returns the endpoint's IPv4 address.
func (ept Endpoint) IP() [4]byte { return ept.ip }

// Port returns the endpoint's port.
func (ept Endpoint) Port() uint16 { return ept.port }

// String returns the endpoint as ip:port.
func (ept Endpoint) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(ept.ip), ept.port).String()
}

// Key identifies a flow by its two endpoints.
type Key struct {
	client  Endpoint
	service Endpoint
}

// NewKey returns the key of the flow between a client and the address that a
// service is reached at.
func NewKey(client, service Endpoint) Key { return Key{client: client, service: service} }

// Client returns the client's endpoint.
func (key Key) Client() Endpoint { return key.client }

// Service returns the address that the client sends to.
func (key Key) Service() Endpoint { return key.service }

// String returns the key as client>service, as logs show it.
func (key Key) String() string { return fmt.Sprintf("%s>%s", key.client, key.service) }

// KeyBytes is the encoded length of a key.
const KeyBytes = 12

// Put encodes the key at the start of buf, which holds KeyBytes or more.
func (key Key) Put(buf []byte) {
	copy(buf, key.client.ip[:])
	binary.BigEndian.PutUint16(buf[4:], key.client.port)
	copy(buf[6:], key.service.ip[:])
	binary.BigEndian.PutUint16(buf[10:], key.service.port)
}

// ParseKey decodes the key at the start of buf, which holds KeyBytes or more.
func ParseKey(buf []byte) Key {
	return Key{
		client:  Endpoint{ip: [4]byte(buf), port: binary.BigEndian.Uint16(buf[4:])},
		service: Endpoint{ip: [4]byte(buf[6:]), port: binary.BigEndian.Uint16(buf[10:])},
	}
}

// Sort sorts keys, so that callers handle flows in an order that does not depend
// on map iteration.
func Sort(keys []Key) {
	slices.SortFunc(keys, func(one, other Key) int {
		var left, right [KeyBytes]byte
		one.Put(left[:])
		other.Put(right[:])
		return bytes.Compare(left[:], right[:])
	})
}

// Flags is a set of packet flags.
type Flags uint8

// The flags of a packet.
const (
	Syn Flags = 1 << iota
	Ack
	Fin
	Rst
	Bounced // Set by the upstream on a packet that it sends back because it does not hold the flow.
)

// Packet describes a packet as far as forwarding depends on it.
type Packet struct {
	from  Endpoint
	to    Endpoint
	flags Flags
	size  uint16 // Bytes of data, without the header.
	seq   uint32
	ack   uint32
}

// NewPacket returns the description of a packet with size bytes of data.
func NewPacket(from, to Endpoint, flags Flags, seq, ack uint32, size uint16) Packet {
	return Packet{from: from, to: to, flags: flags, seq: seq, ack: ack, size: size}
}

// Has reports whether the packet has any of the flags.
func (pkt Packet) Has(flags Flags) bool { return pkt.flags&flags != 0 }

// Opening reports whether the packet asks to open a flow.
func (pkt Packet) Opening() bool { return pkt.flags&(Syn|Ack) == Syn }

// From returns the endpoint that sent the packet.
func (pkt Packet) From() Endpoint { return pkt.from }

// To returns the endpoint that the packet is addressed to.
func (pkt Packet) To() Endpoint { return pkt.to }

// Seq returns the sequence number.
func (pkt Packet) Seq() uint32 { return pkt.seq }

// Ack returns the acknowledgement number. In an opening packet, which acknowledges
// nothing, the client writes here how many copies of it were sent before.
func (pkt Packet) Ack() uint32 { return pkt.ack }

// DataBytes returns the number of data bytes.
func (pkt Packet) DataBytes() int { return int(pkt.size) }

// KeyFromClient returns the flow of a packet that a client sent.
func (pkt Packet) KeyFromClient() Key { return Key{client: pkt.from, service: pkt.to} }

// KeyFromUpstream returns the flow of a packet that an upstream sent.
func (pkt Packet) KeyFromUpstream() Key { return Key{client: pkt.to, service: pkt.from} }

// ackSlack is how far an acknowledgement may exceed the data that was sent, in
// sequence numbers: the opening and the end of a flow take one each.
const ackSlack = 2

// AckInRange reports whether a client's acknowledgement lies in the sequence range
// of an upstream whose first sequence number is first and which has sent up to
// sent. If two upstreams answered one opening, the client's packets acknowledge
// only the one that the client chose.
func AckInRange(ack, first, sent uint32) bool { return ack-first <= sent-first+ackSlack }

// EndSeq returns the sequence number that follows the packet's data.
func (pkt Packet) EndSeq() uint32 { return pkt.seq + uint32(pkt.size) }
