package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout and flags of a packet, as the protocol page gives them.
const (
	headBytes = 32
	flagRST   = 1
	flagSYN   = 2
	flagACK   = 8
	flagFIN   = 16
	flagBnc   = 128
)

// endpoint is an address and port of a flow's end.
type endpoint struct {
	ip   [4]byte
	port uint16
}

func (ep endpoint) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(ep.ip), ep.port).String()
}

// packet is a decoded packet.
type packet struct {
	src, dst endpoint
	flags    byte
	echo     uint32
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (pkt packet) has(flag byte) bool { return pkt.flags&flag != 0 }

func putIP(buf []byte, ip [4]byte) { buf[0], buf[1], buf[2], buf[3] = ip[3], ip[2], ip[1], ip[0] }
func getIP(buf []byte) [4]byte     { return [4]byte{buf[3], buf[2], buf[1], buf[0]} }

// sumOf is the keyed sum over all fields except echo, pad and BOUNCED.
func sumOf(raw []byte) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte("the key of clients and backends"))
	hash.Write(raw[:12])
	hash.Write([]byte{raw[12] &^ flagBnc})
	hash.Write(raw[18:28])
	hash.Write(raw[headBytes:])
	return hash.Sum32() | 1
}

func (pkt packet) encode() []byte {
	raw := make([]byte, headBytes+len(pkt.data))
	binary.LittleEndian.PutUint16(raw[0:], pkt.src.port)
	binary.LittleEndian.PutUint16(raw[2:], pkt.dst.port)
	putIP(raw[4:], pkt.dst.ip)
	putIP(raw[8:], pkt.src.ip)
	raw[12] = pkt.flags
	binary.LittleEndian.PutUint16(raw[18:], uint16(len(pkt.data)))
	binary.LittleEndian.PutUint32(raw[20:], pkt.seq)
	binary.LittleEndian.PutUint32(raw[24:], pkt.ack)
	copy(raw[headBytes:], pkt.data)
	binary.LittleEndian.PutUint32(raw[28:], sumOf(raw))
	return raw
}

// decode decodes a packet and reports whether its sum is that of a client or backend.
func decode(raw []byte) (pkt packet, genuine, ok bool) {
	if len(raw) < headBytes || int(binary.LittleEndian.Uint16(raw[18:])) != len(raw)-headBytes {
		return packet{}, false, false
	}
	pkt = packet{
		src:   endpoint{getIP(raw[8:]), binary.LittleEndian.Uint16(raw[0:])},
		dst:   endpoint{getIP(raw[4:]), binary.LittleEndian.Uint16(raw[2:])},
		flags: raw[12],
		echo:  binary.LittleEndian.Uint32(raw[14:]),
		seq:   binary.LittleEndian.Uint32(raw[20:]),
		ack:   binary.LittleEndian.Uint32(raw[24:]),
		sum:   binary.LittleEndian.Uint32(raw[28:]),
		data:  append([]byte(nil), raw[headBytes:]...),
	}
	return pkt, pkt.sum == sumOf(raw), true
}
