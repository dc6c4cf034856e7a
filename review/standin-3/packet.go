package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagRst     = 1
	flagSyn     = 2
	flagAck     = 8
	flagFin     = 16
	flagBounced = 128
)

const headBytes = 32

// sumKey is the key of the sum, which only clients and backends know.
const sumKey = "standin-3"

// packet is one packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	pad      byte
	echo     uint32
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (pkt packet) has(flags byte) bool { return pkt.flags&flags != 0 }

// encode returns the packet's bytes, with the sum that it has.
func (pkt packet) encode() []byte {
	buf := make([]byte, headBytes, headBytes+len(pkt.data))
	binary.LittleEndian.PutUint16(buf[0:], pkt.src.Port())
	binary.LittleEndian.PutUint16(buf[2:], pkt.dst.Port())
	src, dst := pkt.src.Addr().As4(), pkt.dst.Addr().As4()
	for i := range 4 { // Addresses are little-endian like the other fields.
		buf[4+i], buf[8+i] = dst[3-i], src[3-i]
	}
	buf[12], buf[13] = pkt.flags, pkt.pad
	binary.LittleEndian.PutUint32(buf[14:], pkt.echo)
	binary.LittleEndian.PutUint16(buf[18:], uint16(len(pkt.data)))
	binary.LittleEndian.PutUint32(buf[20:], pkt.seq)
	binary.LittleEndian.PutUint32(buf[24:], pkt.ack)
	binary.LittleEndian.PutUint32(buf[28:], pkt.sum)
	return append(buf, pkt.data...)
}

// sealed returns the packet with its sum.
func (pkt packet) sealed() packet {
	pkt.sum = pkt.wantedSum()
	return pkt
}

// wantedSum returns the sum over all fields but echo, pad and BOUNCED. It is never 0.
func (pkt packet) wantedSum() uint32 {
	pkt.flags &^= flagBounced
	pkt.pad, pkt.echo, pkt.sum = 0, 0, 0
	return crc32.ChecksumIEEE(append([]byte(sumKey), pkt.encode()...)) | 1
}

func parsePacket(raw []byte) (packet, bool) {
	if len(raw) < headBytes || int(binary.LittleEndian.Uint16(raw[18:])) != len(raw)-headBytes {
		return packet{}, false
	}
	addr := func(at int) netip.Addr { return netip.AddrFrom4([4]byte{raw[at+3], raw[at+2], raw[at+1], raw[at]}) }
	return packet{
		src:   netip.AddrPortFrom(addr(8), binary.LittleEndian.Uint16(raw[0:])),
		dst:   netip.AddrPortFrom(addr(4), binary.LittleEndian.Uint16(raw[2:])),
		flags: raw[12],
		pad:   raw[13],
		echo:  binary.LittleEndian.Uint32(raw[14:]),
		seq:   binary.LittleEndian.Uint32(raw[20:]),
		ack:   binary.LittleEndian.Uint32(raw[24:]),
		sum:   binary.LittleEndian.Uint32(raw[28:]),
		data:  append([]byte(nil), raw[headBytes:]...),
	}, true
}
