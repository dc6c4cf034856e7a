// Package entry is the data path of a balancer. It forwards datagrams one by one
// between callers and agents and keeps no state for any flow.
package entry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lagoondrum/core/frame"
	"lagoondrum/core/route"
	"lagoondrum/core/table"
	"lagoondrum/core/token"
	"lagoondrum/io/mmsg"
	"lagoondrum/io/stats"
)

// pollInterval is how often the states of the links to agents are updated.
const pollInterval = 50 * time.Millisecond

// Entry is the data path of one balancer.
type Entry struct {
	locality   table.Locality
	callerConn *mmsg.Conn
	agentConn  *mmsg.Conn
	router     atomic.Pointer[route.Router]
	links      *linkSet
	meter      *meter
	log        *zap.Logger
}

// New opens the sockets of a balancer: port on every local address for callers,
// and the locality's own address for agents and other balancers.
func New(port int, loc table.Locality, scope *stats.Scope, log *zap.Logger) (*Entry, error) {
	callers, err := mmsg.Listen(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(port)), true)
	if err != nil {
		return nil, err
	}
	agents, err := mmsg.Listen(loc.Self(), false)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	ent := &Entry{locality: loc, callerConn: callers, agentConn: agents, links: newLinkSet(), meter: newMeter(scope), log: log}
	ent.SetTable(table.New(nil, nil, loc), token.NewKeyring())
	return ent, nil
}

// SetTable puts a table and a keyring in force.
func (ent *Entry) SetTable(tab *table.Table, krg *token.Keyring) {
	ent.links.update(tab)
	ent.router.Store(route.New(tab, krg, ent.links))
}

// Router returns the router in force.
func (ent *Entry) Router() *route.Router { return ent.router.Load() }

// Links returns the state of the link to each agent.
func (ent *Entry) Links() []LinkState { return ent.links.states() }

// Supervise adds the data path's services to a supervisor.
func (ent *Entry) Supervise(sup *suture.Supervisor) {
	sup.Add(&inbound{ent})
	sup.Add(&outbound{ent})
	sup.Add(&linkPoller{ent})
}

// Close closes the sockets.
func (ent *Entry) Close() {
	_ = ent.callerConn.Close()
	_ = ent.agentConn.Close()
}

// inbound forwards datagrams from callers to agents.
type inbound struct{ ent *Entry }

func (inb *inbound) String() string { return "inbound" }

// Serve runs until the socket is closed.
func (inb *inbound) Serve(context.Context) error {
	ent := inb.ent
	box := mmsg.NewInbox(frame.HeaderBytes)
	out := mmsg.NewOutbox()
	for {
		count, err := ent.callerConn.Read(box)
		if err != nil {
			return suture.ErrDoNotRestart
		}
		now := time.Now()
		rtr := ent.router.Load()
		for i := range count {
			ent.forward(rtr, box, i, out, now)
		}
		ent.meter.countUnsent(ent.agentConn.Flush(out))
	}
}

// forward queues datagram i for its agent, or drops it, as the router decides.
func (ent *Entry) forward(rtr *route.Router, box *mmsg.Inbox, i int, out *mmsg.Outbox, now time.Time) {
	ver := rtr.Decide(box.Source(i), box.Dest(i), box.Data(i))
	ent.meter.countVerdict(ver.Reason())
	if ver.Dropped() {
		return
	}
	if lnk := ver.Link(); lnk != nil {
		lnk.NoteSent(now)
	}
	nxt := rtr.NextHop(ver, now)
	framed := box.Framed(i)
	nxt.Header().Put(framed)
	out.Add(framed, nxt.Address(), netip.Addr{})
}

// outbound handles the datagrams of agents and other balancers: answers to
// callers, pongs, and detoured packets for an agent that the other balancer cannot
// reach.
type outbound struct{ ent *Entry }

func (otb *outbound) String() string { return "outbound" }

// Serve runs until the socket is closed.
func (otb *outbound) Serve(context.Context) error {
	ent := otb.ent
	box := mmsg.NewInbox(0)
	toCallers, toAgents := mmsg.NewOutbox(), mmsg.NewOutbox()
	for {
		count, err := ent.agentConn.Read(box)
		if err != nil {
			return suture.ErrDoNotRestart
		}
		now := time.Now()
		for i := range count {
			ent.handleFrame(box.Source(i), box.Data(i), toCallers, toAgents, now)
		}
		ent.meter.countUnsent(ent.callerConn.Flush(toCallers) + ent.agentConn.Flush(toAgents))
	}
}

// handleFrame handles one datagram from an agent or another balancer.
func (ent *Entry) handleFrame(from netip.AddrPort, data []byte, toCallers, toAgents *mmsg.Outbox, now time.Time) {
	hdr, ok := frame.Parse(data)
	if !ok {
		ent.meter.countBadFrame()
		return
	}
	switch hdr.Kind() {
	case frame.ReturnKind:
		ent.noteHeard(from, hdr, now)
		ent.returnToCaller(from, hdr, data[frame.HeaderBytes:], toCallers)
	case frame.PongKind:
		ent.noteHeard(from, hdr, now)
	case frame.DetourKind:
		ent.forwardDetour(hdr, data, toAgents)
	default:
		ent.meter.countBadFrame()
	}
}

// noteHeard records a datagram from a listed agent, with its load report, on its
// link.
func (ent *Entry) noteHeard(from netip.AddrPort, hdr frame.Header, now time.Time) {
	if lnk := ent.links.Link(from); lnk != nil {
		lnk.NoteHeard(now, hdr.Load(), hdr.Has(frame.LeavingFlag))
	}
}

// returnToCaller queues an agent's packet for its caller, with the address that the
// caller uses as its source. For an address without a grant it accepts packets only
// from listed agents, so that their open flows continue.
func (ent *Entry) returnToCaller(from netip.AddrPort, hdr frame.Header, packet []byte, out *mmsg.Outbox) {
	_, granted := ent.router.Load().Table().Lookup(hdr.Address())
	if !granted && ent.links.Link(from) == nil {
		ent.meter.countBadFrame()
		return
	}
	ent.meter.countReturned()
	out.Add(packet, hdr.Caller(), hdr.Address())
}

// forwardDetour queues a packet that another balancer detoured to this one for its
// agent.
func (ent *Entry) forwardDetour(hdr frame.Header, data []byte, out *mmsg.Outbox) {
	nxt, ok := ent.router.Load().DecideDetour(hdr, data[frame.HeaderBytes:])
	if !ok {
		ent.meter.countBadFrame()
		return
	}
	ent.meter.countDetoured()
	nxt.Header().Put(data)
	out.Add(data, nxt.Address(), netip.Addr{})
}
