// Package route decides where a balancer sends one datagram.
package route

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/frame"
	"lagoondrum/core/health"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
)

// Reason says why a datagram goes where it goes. Verdicts are values, not a
// sealed interface, so that a decision allocates nothing.
type Reason uint8

// The reasons of verdicts.
const (
	OpenFlow       Reason = iota // The token names the agent.
	FirstFlight                  // A new flow: the agent was chosen.
	BadPacket                    // Dropped: not a QUIC packet.
	UnknownAddress               // Dropped: no grant has the address.
	OtherService                 // Dropped: the token is for another service.
	UnknownFlow                  // Dropped: neither a token nor a first flight.
	NoAgent                      // Dropped: no agent can take a new flow.
	reasonCount
)

// Reasons is how many reasons there are.
const Reasons = int(reasonCount)

var reasonNames = [Reasons]string{
	"openFlow", "firstFlight", "badPacket", "unknownAddress", "otherService", "unknownFlow", "noAgent",
}

// String returns the reason's name in metrics.
func (rsn Reason) String() string { return reasonNames[rsn] }

// Verdict is where one datagram goes. Without a target it is dropped.
type Verdict struct {
	reason Reason
	header frame.Header
	target netip.AddrPort
	link   *health.Link
}

// Links finds what is known about an agent.
type Links interface {
	Link(agent netip.AddrPort) *health.Link
}

// Router decides for one state of the lists. It is immutable.
type Router struct {
	table  *table.Table
	ring   *token.Ring
	links  Links
	usable func(netip.AddrPort) bool
}

// New returns a router over a table, a key ring and the links to agents.
func New(tab *table.Table, rng *token.Ring, links Links) *Router {
	rtr := &Router{table: tab, ring: rng, links: links}
	rtr.usable = func(agent netip.AddrPort) bool {
		lnk := links.Link(agent)
		return lnk == nil || lnk.Usable()
	}
	return rtr
}

// Table returns the table the router decides by.
func (rtr *Router) Table() *table.Table { return rtr.table }

// Decide returns the verdict on a caller's datagram for an address. An open flow
// goes on when its address has lost its grant: the token alone tells its service.
func (rtr *Router) Decide(caller netip.AddrPort, address netip.Addr, packet []byte) Verdict {
	pkt, ok := frame.ParsePacket(packet)
	if !ok {
		return Verdict{reason: BadPacket}
	}
	ent, granted := rtr.table.Lookup(address)
	tok, sealed := rtr.ring.Open(pkt.CID())
	switch {
	case sealed && granted && tok.Service() != ent.Service():
		return Verdict{reason: OtherService}
	case sealed:
		return rtr.open(tok, frame.Forward(caller, address, tok.Service()))
	case !granted:
		return Verdict{reason: UnknownAddress}
	case !pkt.Initial():
		return Verdict{reason: UnknownFlow}
	default:
		return rtr.first(pkt.CID(), ent, frame.Forward(caller, address, ent.Service()))
	}
}

func (rtr *Router) open(tok token.Token, hdr frame.Header) Verdict {
	return Verdict{reason: OpenFlow, header: hdr, target: tok.Agent(), link: rtr.links.Link(tok.Agent())}
}

func (rtr *Router) first(cid []byte, ent *table.Entry, hdr frame.Header) Verdict {
	first, second := ent.Choose(xxhash.Sum64(cid), rtr.usable)
	if !first.IsValid() {
		first, second = ent.Choose(xxhash.Sum64(cid), anyAgent)
	}
	if !first.IsValid() {
		return Verdict{reason: NoAgent}
	}
	return Verdict{
		reason: FirstFlight,
		header: hdr.WithSecond(second, rtr.loadOf(second)),
		target: first,
		link:   rtr.links.Link(first),
	}
}

// anyAgent accepts every candidate: when all look unusable, the evidence is
// more likely wrong than every agent dead.
func anyAgent(netip.AddrPort) bool { return true }

func (rtr *Router) loadOf(agent netip.AddrPort) frame.Load {
	if lnk := rtr.links.Link(agent); lnk != nil {
		return lnk.Load()
	}
	return 0
}

// Reason returns why the datagram goes there.
func (ver Verdict) Reason() Reason { return ver.reason }

// Dropped reports whether the datagram goes nowhere.
func (ver Verdict) Dropped() bool { return !ver.target.IsValid() }

// Header returns the header to put before the packet.
func (ver Verdict) Header() frame.Header { return ver.header }

// Target returns the agent.
func (ver Verdict) Target() netip.AddrPort { return ver.target }

// Link returns what is known about the agent, nil when nothing.
func (ver Verdict) Link() *health.Link { return ver.link }

// Path says how a verdict's datagram leaves: to Next, under Header.
type Path struct {
	next   netip.AddrPort
	header frame.Header
}

// Next returns where the datagram is sent.
func (pth Path) Next() netip.AddrPort { return pth.next }

// Header returns the header to send it under.
func (pth Path) Header() frame.Header { return pth.header }

// Path returns the way to the verdict's agent: direct, or over a balancer of
// another availability zone while the agent is silent here.
func (rtr *Router) Path(ver Verdict, now time.Time) Path {
	relays := rtr.table.Relays()
	if ver.link == nil || !ver.link.Silent() || len(relays) == 0 {
		return Path{next: ver.target, header: ver.header}
	}
	pick := uint64(now.UnixNano()) % uint64(len(relays))
	return Path{next: relays[pick], header: ver.header.Detour(ver.target)}
}

// Relayed decides on a datagram that another balancer detoured here, and
// reports whether it may go on to its agent: when the token names it, or when it
// is a first flight for a listed agent.
func (rtr *Router) Relayed(hdr frame.Header, packet []byte) (Path, bool) {
	pkt, ok := frame.ParsePacket(packet)
	if !ok || hdr.Has(frame.HopFlag) {
		return Path{}, false
	}
	path := Path{next: hdr.Agent(), header: hdr.Hop()}
	ent, granted := rtr.table.Lookup(hdr.Address())
	if granted && ent.Service() != hdr.Service() {
		return Path{}, false
	}
	if tok, sealed := rtr.ring.Open(pkt.CID()); sealed {
		return path, tok.Agent() == hdr.Agent() && tok.Service() == hdr.Service()
	}
	return path, granted && pkt.Initial() && rtr.table.Names(hdr.Agent())
}
