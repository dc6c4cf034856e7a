// Package token encrypts the address of an agent into a QUIC connection ID, so
// that any balancer finds the agent of an open flow without state. A token here is
// that connection ID, not the address validation token of QUIC.
package token

import (
	"encoding/binary"
	"net/netip"

	"lagoondrum/core/lists"
)

// Bytes is the length of a sealed token: key ID, one cipher block, and the tail
// unencrypted.
const Bytes = 1 + blockBytes + tailBytes

const (
	blockBytes = 16
	tailBytes  = 3
	checkBytes = 4 // At the end of the block, compared with the tail.
)

// Token holds the agent that owns a flow and the service that the flow is for.
type Token struct {
	agent   netip.AddrPort
	service lists.ServiceID
	serial  uint16
	tail    [tailBytes]byte
}

// New returns a token for a flow of service at agent. The serial and the tail
// together make the connection IDs of one agent distinct.
func New(agent netip.AddrPort, service lists.ServiceID, serial uint16, tail [tailBytes]byte) Token {
	return Token{agent: agent, service: service, serial: serial, tail: tail}
}

// Agent returns the address of the agent that owns the flow.
func (tok Token) Agent() netip.AddrPort { return tok.agent }

// Service returns the service of the flow.
func (tok Token) Service() lists.ServiceID { return tok.service }

// encodeBlock writes the token into out as one cipher block. The last four bytes
// are the tail and a zero, by which decodeBlock detects a forged or altered token.
func (tok Token) encodeBlock(out []byte) {
	ip := tok.agent.Addr().As4()
	copy(out, ip[:])
	binary.BigEndian.PutUint16(out[4:], tok.agent.Port())
	binary.BigEndian.PutUint32(out[6:], uint32(tok.service))
	binary.BigEndian.PutUint16(out[10:], tok.serial)
	copy(out[12:], tok.tail[:])
	out[15] = 0
}

// decodeBlock returns the token in a decrypted block and reports whether it is
// genuine: the block ends with the tail and a zero, and the agent has a port.
func decodeBlock(in []byte, tail []byte) (Token, bool) {
	var tok Token
	copy(tok.tail[:], tail)
	if [checkBytes]byte(in[12:16]) != [checkBytes]byte{tail[0], tail[1], tail[2], 0} {
		return Token{}, false
	}
	addr := netip.AddrFrom4([4]byte(in[:4]))
	tok.agent = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(in[4:]))
	tok.service = lists.ServiceID(binary.BigEndian.Uint32(in[6:]))
	tok.serial = binary.BigEndian.Uint16(in[10:])
	return tok, tok.agent.Port() != 0
}
