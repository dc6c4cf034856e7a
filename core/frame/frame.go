// Package frame encodes the datagrams between balancers and agents where callers
// speak QUIC: a fixed header and the unchanged QUIC packet of a flow. Package encap
// is the format where callers send packets in the platform's own format.
package frame

import (
	"encoding/binary"
	"net/netip"

	"lagoondrum/core/lists"
)

// Kind is the purpose of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	ForwardKind Kind = 1 + iota // A caller's packet on its way to an agent.
	ReturnKind                  // An agent's packet on its way to a caller.
	DetourKind                  // A caller's packet that another balancer is to forward.
	PingKind                    // A balancer's probe whether an agent answers.
	PongKind                    // An agent's answer to a ping.
)

// Flag is one bit of a header.
type Flag uint8

// The flags of a header.
const (
	FirstFlightFlag Flag = 1 << iota // The packet may open a flow, and its agent was chosen, not named by a token.
	PassedFlag                       // The agent that the balancer chose first handed the packet to the second choice, which may only keep it or hand it back.
	DetouredFlag                     // Another balancer has forwarded the packet already, so it is not detoured again.
	LeavingFlag                      // The sending agent takes no new flows.
	HandedBackFlag                   // The second choice handed the packet back; the first one has to keep it.
)

// HeaderBytes is the length of the fixed header.
const HeaderBytes = 26

// Header is the fixed header. Its kind determines which fields are used.
type Header struct {
	kind    Kind
	flags   Flag
	load    Load
	caller  netip.AddrPort
	address netip.Addr
	service lists.ServiceID
	agent   netip.AddrPort
}

// Forward returns the header of a caller's packet for an agent. For a first
// flight, WithSecondChoice adds the second choice and the load last heard from it.
func Forward(caller netip.AddrPort, address netip.Addr, service lists.ServiceID) Header {
	return Header{kind: ForwardKind, caller: caller, address: address, service: service}
}

// Return returns the header of an agent's packet for a caller.
func Return(caller netip.AddrPort, address netip.Addr, load Load, leaving bool) Header {
	hdr := Header{kind: ReturnKind, caller: caller, address: address, load: load}
	return hdr.withFlag(LeavingFlag, leaving)
}

// Ping returns the header of a balancer's probe of an agent.
func Ping() Header { return Header{kind: PingKind} }

// Pong returns the header of an agent's answer to a ping.
func Pong(load Load, leaving bool) Header {
	hdr := Header{kind: PongKind, load: load}
	return hdr.withFlag(LeavingFlag, leaving)
}

// WithSecondChoice returns the header of a first flight with the second choice
// and the load last heard from it.
func (hdr Header) WithSecondChoice(second netip.AddrPort, load Load) Header {
	hdr.flags |= FirstFlightFlag
	hdr.agent = second
	hdr.load = load
	return hdr
}

// Detour returns the header that asks another balancer to forward the packet to
// agent.
func (hdr Header) Detour(agent netip.AddrPort) Header {
	hdr.kind = DetourKind
	hdr.agent = agent
	return hdr
}

// EndDetour returns the header with which the second balancer forwards a detoured
// packet to the agent.
func (hdr Header) EndDetour() Header {
	hdr.kind = ForwardKind
	hdr.flags |= DetouredFlag
	hdr.agent = netip.AddrPort{}
	return hdr
}

// Pass returns the header with which the first choice hands a packet to the
// second. It holds the first choice's own load and the balancer that the packet
// came through.
func (hdr Header) Pass(balancer netip.AddrPort, own Load) Header {
	hdr.flags |= PassedFlag
	hdr.agent = balancer
	hdr.load = own
	return hdr
}

// HandBack returns the header with which the second choice hands a packet back
// to the first.
func (hdr Header) HandBack() Header {
	hdr.flags |= HandedBackFlag
	return hdr
}

// withFlag returns the header with a flag added if set is true.
func (hdr Header) withFlag(fl Flag, set bool) Header {
	if set {
		hdr.flags |= fl
	}
	return hdr
}

// Kind returns the purpose of the datagram.
func (hdr Header) Kind() Kind { return hdr.kind }

// Has reports whether a flag is set.
func (hdr Header) Has(fl Flag) bool { return hdr.flags&fl != 0 }

// Load returns the load in the header: that of the sending agent, or that of the
// second choice in a packet from a balancer.
func (hdr Header) Load() Load { return hdr.load }

// Caller returns the caller's IP address and port.
func (hdr Header) Caller() netip.AddrPort { return hdr.caller }

// Address returns the IP address that the caller connects to.
func (hdr Header) Address() netip.Addr { return hdr.address }

// Service returns the service that the balancer found for the address.
func (hdr Header) Service() lists.ServiceID { return hdr.service }

// Agent returns the address of another process. In a first flight it is the agent
// that is the second choice, in a detour the agent that the packet is for, and in a
// packet that one agent passed to another the balancer that it came through.
func (hdr Header) Agent() netip.AddrPort { return hdr.agent }

// Put writes the header into out, which holds at least HeaderBytes bytes.
func (hdr Header) Put(out []byte) {
	out[0] = byte(hdr.kind)
	out[1] = byte(hdr.flags)
	binary.BigEndian.PutUint32(out[2:], uint32(hdr.load))
	putAddrPort(out[6:], hdr.caller)
	putAddr(out[12:], hdr.address)
	binary.BigEndian.PutUint32(out[16:], uint32(hdr.service))
	putAddrPort(out[20:], hdr.agent)
}

// Parse decodes the header of a datagram and reports whether it is well formed.
// The QUIC packet follows the header.
func Parse(in []byte) (Header, bool) {
	if len(in) < HeaderBytes {
		return Header{}, false
	}
	hdr := Header{
		kind:    Kind(in[0]),
		flags:   Flag(in[1]),
		load:    Load(binary.BigEndian.Uint32(in[2:])),
		caller:  getAddrPort(in[6:]),
		address: netip.AddrFrom4([4]byte(in[12:16])),
		service: lists.ServiceID(binary.BigEndian.Uint32(in[16:])),
		agent:   getAddrPort(in[20:]),
	}
	return hdr, hdr.kind >= ForwardKind && hdr.kind <= PongKind
}

// putAddr writes an IPv4 address, or zeros for any other address.
func putAddr(out []byte, addr netip.Addr) {
	if !addr.Is4() {
		clear(out[:4])
		return
	}
	ip := addr.As4()
	copy(out, ip[:])
}

func putAddrPort(out []byte, ap netip.AddrPort) {
	putAddr(out, ap.Addr())
	binary.BigEndian.PutUint16(out[4:], ap.Port())
}

func getAddrPort(in []byte) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte(in[:4]))
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(in[4:]))
}
