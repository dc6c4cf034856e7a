// Command standin2 plays the cases of the second review: it stands in for the
// platform's store, its routers, the backends and the clients, and starts the
// project's own programs as separate processes.
package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags byte of a packet.
const (
	rstBit     = 1
	synBit     = 2
	ackBit     = 8
	finBit     = 16
	bouncedBit = 128
)

const (
	headerBytes = 32
	maxData     = 1200
	sumKey      = 0x5eed
)

// packet is the decoded header of a packet with its data.
type packet struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	sumOK    bool // The sum is that of the packet's sender.
	sumZero  bool
}

func (pkt packet) has(bit byte) bool { return pkt.flags&bit != 0 }

// flowKey names a flow by its client's end and its address of the platform.
type flowKey struct{ client, service netip.AddrPort }

func putIP(raw []byte, addr netip.Addr) {
	ip := addr.As4()
	raw[0], raw[1], raw[2], raw[3] = ip[3], ip[2], ip[1], ip[0]
}

func getIP(raw []byte) netip.Addr { return netip.AddrFrom4([4]byte{raw[3], raw[2], raw[1], raw[0]}) }

// checksum returns the keyed sum over all fields except echo, pad and the bounced bit.
func checksum(raw []byte) uint32 {
	sum := crc32.NewIEEE()
	var key [4]byte
	binary.LittleEndian.PutUint32(key[:], sumKey)
	_, _ = sum.Write(key[:])
	_, _ = sum.Write(raw[:12])
	_, _ = sum.Write([]byte{raw[12] &^ bouncedBit})
	_, _ = sum.Write(raw[18:28])
	_, _ = sum.Write(raw[headerBytes:])
	return sum.Sum32() | 1 // Never 0, which marks a reset of the system.
}

func encode(from, to netip.AddrPort, flags byte, seq, ack uint32, data []byte) []byte {
	raw := make([]byte, headerBytes, headerBytes+len(data))
	binary.LittleEndian.PutUint16(raw, from.Port())
	binary.LittleEndian.PutUint16(raw[2:], to.Port())
	putIP(raw[4:], to.Addr())
	putIP(raw[8:], from.Addr())
	raw[12] = flags
	binary.LittleEndian.PutUint16(raw[18:], uint16(len(data)))
	binary.LittleEndian.PutUint32(raw[20:], seq)
	binary.LittleEndian.PutUint32(raw[24:], ack)
	raw = append(raw, data...)
	binary.LittleEndian.PutUint32(raw[28:], checksum(raw))
	return raw
}

func decode(raw []byte) (packet, bool) {
	if len(raw) < headerBytes || len(raw) > headerBytes+maxData || int(binary.LittleEndian.Uint16(raw[18:])) != len(raw)-headerBytes {
		return packet{}, false
	}
	sum := binary.LittleEndian.Uint32(raw[28:])
	return packet{
		from:    netip.AddrPortFrom(getIP(raw[8:]), binary.LittleEndian.Uint16(raw)),
		to:      netip.AddrPortFrom(getIP(raw[4:]), binary.LittleEndian.Uint16(raw[2:])),
		flags:   raw[12],
		seq:     binary.LittleEndian.Uint32(raw[20:]),
		ack:     binary.LittleEndian.Uint32(raw[24:]),
		data:    append([]byte(nil), raw[headerBytes:]...),
		sumOK:   sum == checksum(raw),
		sumZero: sum == 0,
	}, true
}
