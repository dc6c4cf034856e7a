package frame

import "lagoondrum/core/token"

// Layout of QUIC packet headers (RFC 9000, section 17) and limits of QUIC version 1.
const (
	longHeaderBit       = 0x80
	fixedBit            = 0x40
	longPacketTypeMask  = 0x30 // Zero for an Initial packet.
	versionBytes        = 4
	longCIDLengthOffset = 1 + versionBytes // Offset of the byte with the length of the destination connection ID.
	maxCIDBytes         = 20
	minInitialBytes     = 1200 // Clients pad every datagram with an Initial to this size.
)

// Packet holds the parts of a QUIC packet header that routing reads.
type Packet struct {
	initial bool
	cid     []byte
}

// ParsePacket parses the header of a QUIC packet and reports whether it is well
// formed. The connection ID is a slice of in.
func ParsePacket(in []byte) (Packet, bool) {
	if len(in) < 1+token.Bytes {
		return Packet{}, false
	}
	if in[0]&longHeaderBit == 0 {
		return Packet{cid: in[1 : 1+token.Bytes]}, in[0]&fixedBit != 0
	}
	size := int(in[longCIDLengthOffset])
	if size > maxCIDBytes || len(in) < longCIDLengthOffset+1+size {
		return Packet{}, false
	}
	cid := in[longCIDLengthOffset+1 : longCIDLengthOffset+1+size]
	initial := in[0]&longPacketTypeMask == 0 && len(in) >= minInitialBytes
	return Packet{initial: initial, cid: cid}, true
}

// Initial reports whether the packet may open a flow: an Initial packet of a
// client, whose datagram has at least 1200 bytes.
func (pkt Packet) Initial() bool { return pkt.initial }

// CID returns the destination connection ID.
func (pkt Packet) CID() []byte { return pkt.cid }
