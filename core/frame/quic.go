package frame

import "lagoondrum/core/token"

const (
	longHeaderBit   = 0x80
	fixedBit        = 0x40
	longTypeMask    = 0x30
	versionBytes    = 4
	longCIDOffset   = 1 + versionBytes
	maxCIDBytes     = 20
	minInitialBytes = 1200
)

// Packet is the part of a QUIC packet's invariant header that routing reads.
type Packet struct {
	initial bool
	cid     []byte
}

// ParsePacket reads the invariant header of a QUIC packet and reports whether
// it is well formed. The connection ID points into in.
func ParsePacket(in []byte) (Packet, bool) {
	if len(in) < 1+token.Bytes {
		return Packet{}, false
	}
	if in[0]&longHeaderBit == 0 {
		return Packet{cid: in[1 : 1+token.Bytes]}, in[0]&fixedBit != 0
	}
	size := int(in[longCIDOffset])
	if size > maxCIDBytes || len(in) < longCIDOffset+1+size {
		return Packet{}, false
	}
	cid := in[longCIDOffset+1 : longCIDOffset+1+size]
	initial := in[0]&longTypeMask == 0 && len(in) >= minInitialBytes
	return Packet{initial: initial, cid: cid}, true
}

// Initial reports whether the packet may open a flow: a client's Initial, which
// fills its datagram to 1200 bytes.
func (pkt Packet) Initial() bool { return pkt.initial }

// CID returns the destination connection ID.
func (pkt Packet) CID() []byte { return pkt.cid }
