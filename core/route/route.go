// Package route decides to which agent, and on which path, a balancer forwards a
// caller's datagram.
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

// Reason tells why a datagram is forwarded or dropped. Verdicts are plain values,
// not a sealed interface, so that a decision allocates nothing.
type Reason uint8

// The reasons of verdicts.
const (
	OpenFlow       Reason = iota // Forwarded to the agent that the token names.
	FirstFlight                  // A new flow: forwarded to the agent chosen for it.
	BadPacket                    // Dropped: not a QUIC packet.
	UnknownAddress               // Dropped: no grant has the address.
	OtherService                 // Dropped: the token is for another service.
	UnknownFlow                  // Dropped: neither a token nor a first flight.
	NoAgent                      // Dropped: no agent can take a new flow.
	reasonEnd
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonEnd)

var reasonNames = [ReasonCount]string{
	"openFlow", "firstFlight", "badPacket", "unknownAddress", "otherService", "unknownFlow", "noAgent",
}

// String returns the reason's name in metrics.
func (rsn Reason) String() string { return reasonNames[rsn] }

// Verdict is the decision on one datagram. Without a target it is dropped.
type Verdict struct {
	reason Reason
	header frame.Header
	target netip.AddrPort
	link   *health.Link
}

// Links gives access to the links to agents.
type Links interface {
	// Link returns the link to an agent, nil when there is none.
	Link(agent netip.AddrPort) *health.Link
}

// Router decides on datagrams by one state of the lists. It is immutable.
type Router struct {
	table   *table.Table
	keyring *token.Keyring
	links   Links
	usable  func(netip.AddrPort) bool
}

// New returns a router over a table, a keyring and the links to agents.
func New(tab *table.Table, krg *token.Keyring, links Links) *Router {
	rtr := &Router{table: tab, keyring: krg, links: links}
	rtr.usable = func(agent netip.AddrPort) bool {
		lnk := links.Link(agent)
		return lnk == nil || lnk.Usable()
	}
	return rtr
}

// Table returns the lookup table of the router.
func (rtr *Router) Table() *table.Table { return rtr.table }

// Decide returns the verdict on a caller's datagram for an address. An open flow
// continues after its address has lost its grant, because the token holds the
// service.
func (rtr *Router) Decide(caller netip.AddrPort, address netip.Addr, packet []byte) Verdict {
	pkt, ok := frame.ParsePacket(packet)
	if !ok {
		return Verdict{reason: BadPacket}
	}
	ent, granted := rtr.table.Lookup(address)
	tok, hasToken := rtr.keyring.Open(pkt.CID())
	switch {
	case hasToken && granted && tok.Service() != ent.Service():
		return Verdict{reason: OtherService}
	case hasToken:
		return rtr.openFlow(tok, frame.Forward(caller, address, tok.Service()))
	case !granted:
		return Verdict{reason: UnknownAddress}
	case !pkt.Initial():
		return Verdict{reason: UnknownFlow}
	default:
		return rtr.firstFlight(pkt.CID(), ent, frame.Forward(caller, address, ent.Service()))
	}
}

// openFlow returns the verdict that forwards to the agent of a token.
func (rtr *Router) openFlow(tok token.Token, hdr frame.Header) Verdict {
	return Verdict{reason: OpenFlow, header: hdr, target: tok.Agent(), link: rtr.links.Link(tok.Agent())}
}

// firstFlight chooses the agent of a new flow and a second choice, among the
// usable candidates or, without any, among all.
func (rtr *Router) firstFlight(cid []byte, ent *table.Entry, hdr frame.Header) Verdict {
	first, second := ent.Choose(xxhash.Sum64(cid), rtr.usable)
	if !first.IsValid() {
		first, second = ent.Choose(xxhash.Sum64(cid), anyAgent)
	}
	if !first.IsValid() {
		return Verdict{reason: NoAgent}
	}
	return Verdict{
		reason: FirstFlight,
		header: hdr.WithSecondChoice(second, rtr.loadOf(second)),
		target: first,
		link:   rtr.links.Link(first),
	}
}

// anyAgent accepts every candidate. It is used when all candidates seem unusable,
// because wrong evidence is then more likely than the failure of every agent.
func anyAgent(netip.AddrPort) bool { return true }

// loadOf returns the load last heard from an agent, zero when none is known.
func (rtr *Router) loadOf(agent netip.AddrPort) frame.Load {
	if lnk := rtr.links.Link(agent); lnk != nil {
		return lnk.Load()
	}
	return 0
}

// Reason returns why the datagram is forwarded or dropped.
func (ver Verdict) Reason() Reason { return ver.reason }

// Dropped reports whether the datagram is dropped.
func (ver Verdict) Dropped() bool { return !ver.target.IsValid() }

// Header returns the header to send before the packet.
func (ver Verdict) Header() frame.Header { return ver.header }

// Target returns the agent that the datagram is for.
func (ver Verdict) Target() netip.AddrPort { return ver.target }

// Link returns the link to the agent, nil when there is none.
func (ver Verdict) Link() *health.Link { return ver.link }

// NextHop is the next address that a datagram is sent to, and its header.
type NextHop struct {
	next   netip.AddrPort
	header frame.Header
}

// Address returns the address that the datagram is sent to.
func (nxt NextHop) Address() netip.AddrPort { return nxt.next }

// Header returns the header that the datagram is sent with.
func (nxt NextHop) Header() frame.Header { return nxt.header }

// NextHop returns the next hop to the verdict's agent: direct, or through a
// balancer of another availability zone while the link to the agent is silent.
func (rtr *Router) NextHop(ver Verdict, now time.Time) NextHop {
	balancers := rtr.table.DetourBalancers()
	if ver.link == nil || !ver.link.Silent() || len(balancers) == 0 {
		return NextHop{next: ver.target, header: ver.header}
	}
	index := uint64(now.UnixNano()) % uint64(len(balancers))
	return NextHop{next: balancers[index], header: ver.header.Detour(ver.target)}
}

// DecideDetour decides on a datagram that another balancer detoured to this
// one, and reports whether it may be forwarded to its agent: when the token
// names that agent, or when the packet is a first flight and the agent is
// listed.
func (rtr *Router) DecideDetour(hdr frame.Header, packet []byte) (NextHop, bool) {
	pkt, ok := frame.ParsePacket(packet)
	if !ok || hdr.Has(frame.DetouredFlag) {
		return NextHop{}, false
	}
	nxt := NextHop{next: hdr.Agent(), header: hdr.EndDetour()}
	ent, granted := rtr.table.Lookup(hdr.Address())
	if granted && ent.Service() != hdr.Service() {
		return NextHop{}, false
	}
	if tok, hasToken := rtr.keyring.Open(pkt.CID()); hasToken {
		return nxt, tok.Agent() == hdr.Agent() && tok.Service() == hdr.Service()
	}
	return nxt, granted && pkt.Initial() && rtr.table.HasAgent(hdr.Agent())
}
