// Package agent is the process beside an upstream: it owns the QUIC
// connections of callers, admits and records their work, and has it run.
package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lagoondrum/core/frame"
	"lagoondrum/core/lists"
	"lagoondrum/core/reply"
	"lagoondrum/core/steer"
	"lagoondrum/io/mmsg"
)

const maxFlowAddrs = 1 << 15

// flowAddr is a caller's address together with the address that it uses. QUIC
// sees it as the remote address of a connection.
type flowAddr struct {
	caller  netip.AddrPort
	address netip.Addr
	text    string
}

func (fla *flowAddr) Network() string { return "udp" }
func (fla *flowAddr) String() string  { return fla.text }

// conn carries QUIC packets between the agent's QUIC stack and the balancers.
type conn struct {
	udp          *mmsg.Conn
	service      lists.ServiceID
	currentState func(now time.Time) steer.State
	meter        *meter

	inbox    *mmsg.Inbox
	outbox   *mmsg.Outbox
	count    int
	next     int
	selector *steer.Selector
	kept     atomic.Int64 // First flights kept since the last tick.
	flows    map[frame.Header]*flowAddr

	mu      sync.Mutex
	paths   *reply.ReturnPaths
	answers atomic.Uint64
	buffers sync.Pool
}

func newConn(self netip.AddrPort, service lists.ServiceID, state func(time.Time) steer.State, mtr *meter) (*conn, error) {
	udp, err := mmsg.Listen(self, false)
	if err != nil {
		return nil, err
	}
	con := &conn{
		udp: udp, service: service, currentState: state, meter: mtr,
		inbox: mmsg.NewInbox(0), outbox: mmsg.NewOutbox(),
		selector: steer.New(), flows: make(map[frame.Header]*flowAddr), paths: reply.New(),
	}
	con.buffers.New = func() any { buf := make([]byte, frame.HeaderBytes+mmsg.PacketBytes); return &buf }
	return con, nil
}

func (con *conn) setBalancers(balancers []netip.AddrPort) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.paths.SetListed(balancers)
}

// ReadFrom returns the next QUIC packet of a flow that this agent keeps.
func (con *conn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		if con.next == con.count {
			if err := con.fill(); err != nil {
				return 0, nil, err
			}
		}
		i := con.next
		con.next++
		packet, from := con.accept(con.inbox.Source(i), con.inbox.Data(i), time.Now())
		if packet != nil {
			return copy(data, packet), from, nil
		}
	}
}

func (con *conn) fill() error {
	count, err := con.udp.Read(con.inbox)
	if err != nil {
		return errors.CombineErrors(net.ErrClosed, err)
	}
	con.count, con.next = count, 0
	return nil
}

// accept returns the QUIC packet in a datagram, or nil when it is not for the
// agent's QUIC stack.
func (con *conn) accept(from netip.AddrPort, data []byte, now time.Time) ([]byte, net.Addr) {
	hdr, ok := frame.Parse(data)
	if !ok {
		con.meter.badFrames.Inc(1)
		return nil, nil
	}
	switch hdr.Kind() {
	case frame.PingKind:
		con.pong(from, now)
	case frame.ForwardKind:
		return con.acceptPacket(from, hdr, data, now)
	default:
		con.meter.badFrames.Inc(1)
	}
	return nil, nil
}

func (con *conn) acceptPacket(from netip.AddrPort, hdr frame.Header, data []byte, now time.Time) ([]byte, net.Addr) {
	if hdr.Service() != con.service {
		con.meter.otherService.Inc(1)
		return nil, nil
	}
	balancer := from
	if hdr.Has(frame.PassedFlag) {
		balancer = hdr.Agent()
	}
	con.noteHeard(balancer, now)
	packet := data[frame.HeaderBytes:]
	if hdr.Has(frame.FirstFlightFlag) && con.pass(from, hdr, data, now) {
		return nil, nil
	}
	return packet, con.addrOf(hdr)
}

// pass hands a first flight to the other choice when that is decided, and
// reports whether it did. A kept one counts as a flow until the next tick.
func (con *conn) pass(from netip.AddrPort, hdr frame.Header, data []byte, now time.Time) bool {
	pkt, ok := frame.ParsePacket(data[frame.HeaderBytes:])
	if !ok {
		return false
	}
	fl := steer.NewFlight(hdr.Caller(), xxhash.Sum64(pkt.CID()))
	sta := con.currentState(now)
	before := con.selector.Len()
	target := con.selector.Decide(fl, hdr, from, sta, now)
	if !target.IsValid() {
		if con.selector.Len() > before {
			con.kept.Add(1)
		}
		return false
	}
	con.meter.passed.Inc(1)
	if hdr.Has(frame.PassedFlag) {
		hdr.HandBack().Put(data)
	} else {
		hdr.Pass(from, sta.Load()).Put(data)
	}
	con.outbox.Add(data, target, netip.Addr{})
	con.meter.unsent.Inc(int64(con.udp.Flush(con.outbox)))
	return true
}

func (con *conn) pong(to netip.AddrPort, now time.Time) {
	sta := con.currentState(now)
	data := make([]byte, frame.HeaderBytes)
	frame.Pong(sta.Load(), sta.Refusing()).Put(data)
	if con.udp.WriteTo(data, to) != nil {
		con.meter.unsent.Inc(1)
	}
}

func (con *conn) noteHeard(balancer netip.AddrPort, now time.Time) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.paths.NoteHeard(balancer, now)
}

// addrOf returns one address object for each flow, so that packets allocate none.
func (con *conn) addrOf(hdr frame.Header) net.Addr {
	key := frame.Return(hdr.Caller(), hdr.Address(), 0, false)
	if fla, ok := con.flows[key]; ok {
		return fla
	}
	if len(con.flows) >= maxFlowAddrs {
		clear(con.flows)
	}
	fla := &flowAddr{hdr.Caller(), hdr.Address(), hdr.Caller().String() + ">" + hdr.Address().String()}
	con.flows[key] = fla
	return fla
}

// WriteTo sends a QUIC packet to a caller through a balancer heard lately.
func (con *conn) WriteTo(packet []byte, to net.Addr) (int, error) {
	fla, ok := to.(*flowAddr)
	if !ok {
		return 0, errors.WithStack(net.InvalidAddrError(to.String()))
	}
	now := time.Now()
	con.mu.Lock()
	balancer := con.paths.Pick(con.answers.Add(1), now)
	con.mu.Unlock()
	if !balancer.IsValid() {
		return len(packet), nil
	}
	sta := con.currentState(now)
	buf := con.buffers.Get().(*[]byte)
	defer con.buffers.Put(buf)
	frame.Return(fla.caller, fla.address, sta.Load(), sta.Refusing()).Put(*buf)
	size := frame.HeaderBytes + copy((*buf)[frame.HeaderBytes:], packet)
	if con.udp.WriteTo((*buf)[:size], balancer) != nil {
		con.meter.unsent.Inc(1)
	}
	return len(packet), nil
}

// Close closes the socket.
func (con *conn) Close() error { return con.udp.Close() }

// LocalAddr returns the socket's address.
func (con *conn) LocalAddr() net.Addr { return con.udp.LocalAddr() }

// SetDeadline does nothing: QUIC ends its reads by closing the socket.
func (con *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (con *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (con *conn) SetWriteDeadline(time.Time) error { return nil }
