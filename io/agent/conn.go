// Package agent serves callers beside an upstream: it terminates their QUIC
// connections, admits and records their work, and runs it at the upstream or at
// that of another agent.
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

const maxFlowAddrs = 1 << 15 // The cache of flow addresses is cleared at this size.

// flowAddr is the remote address of a QUIC connection: the address of the caller and
// the address that the caller sends to. text is its string form.
type flowAddr struct {
	caller  netip.AddrPort
	address netip.Addr
	text    string
}

func (fla *flowAddr) Network() string { return "udp" }
func (fla *flowAddr) String() string  { return fla.text }

// conn is the net.PacketConn of the agent's QUIC stack. It exchanges the QUIC packets
// of callers with balancers, in datagrams of package frame.
type conn struct {
	udp     *mmsg.Conn
	service lists.ServiceID
	state   func(now time.Time) steer.State
	meter   *meter

	inbox       *mmsg.Inbox
	outbox      *mmsg.Outbox
	received    int // Number of datagrams in inbox.
	nextIndex   int // Index in inbox of the next datagram to handle.
	selector    *steer.Selector
	keptFlights atomic.Int64 // First flights kept since the last tick.
	flowAddrs   map[frame.Header]*flowAddr

	mu          sync.Mutex
	returnPaths *reply.ReturnPaths
	answerCount atomic.Uint64 // Spreads the answers over the balancers.
	buffers     sync.Pool
}

func newConn(addr netip.AddrPort, service lists.ServiceID, state func(time.Time) steer.State, mtr *meter) (*conn, error) {
	udp, err := mmsg.Listen(addr, false)
	if err != nil {
		return nil, err
	}
	con := &conn{
		udp: udp, service: service, state: state, meter: mtr,
		inbox: mmsg.NewInbox(0), outbox: mmsg.NewOutbox(),
		selector: steer.New(), flowAddrs: make(map[frame.Header]*flowAddr), returnPaths: reply.New(),
	}
	con.buffers.New = func() any { buf := make([]byte, frame.HeaderBytes+mmsg.PacketBytes); return &buf }
	return con, nil
}

func (con *conn) setBalancers(balancers []netip.AddrPort) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.returnPaths.SetListed(balancers)
}

// ReadFrom returns the next QUIC packet of a flow that this agent keeps. It answers
// pings and hands first flights over to other agents while it waits.
func (con *conn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		if con.nextIndex == con.received {
			if err := con.readBatch(); err != nil {
				return 0, nil, err
			}
		}
		i := con.nextIndex
		con.nextIndex++
		packet, from := con.handleDatagram(con.inbox.Source(i), con.inbox.Data(i), time.Now())
		if packet != nil {
			return copy(data, packet), from, nil
		}
	}
}

func (con *conn) readBatch() error {
	count, err := con.udp.Read(con.inbox)
	if err != nil {
		return errors.CombineErrors(net.ErrClosed, err)
	}
	con.received, con.nextIndex = count, 0
	return nil
}

// handleDatagram returns the QUIC packet in a datagram and the address of its flow, or
// nil when the packet is not for the agent's QUIC stack.
func (con *conn) handleDatagram(from netip.AddrPort, data []byte, now time.Time) ([]byte, net.Addr) {
	hdr, ok := frame.Parse(data)
	if !ok {
		con.meter.badFrames.Inc(1)
		return nil, nil
	}
	switch hdr.Kind() {
	case frame.PingKind:
		con.sendPong(from, now)
	case frame.ForwardKind:
		return con.handlePacket(from, hdr, data, now)
	default:
		con.meter.badFrames.Inc(1)
	}
	return nil, nil
}

// handlePacket returns the QUIC packet in a forwarded datagram, unless it is of another
// service or is handed over. If another agent handed it over to this one, the header
// holds the balancer that it came through.
func (con *conn) handlePacket(from netip.AddrPort, hdr frame.Header, data []byte, now time.Time) ([]byte, net.Addr) {
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
	if hdr.Has(frame.FirstFlightFlag) && con.handOver(from, hdr, data, now) {
		return nil, nil
	}
	return packet, con.flowAddrOf(hdr)
}

// handOver forwards a first flight to the other of its two candidate agents when the
// selector decides so, and reports whether it did. A first flight that the agent keeps
// counts as a flow until the next tick.
func (con *conn) handOver(from netip.AddrPort, hdr frame.Header, data []byte, now time.Time) bool {
	pkt, ok := frame.ParsePacket(data[frame.HeaderBytes:])
	if !ok {
		return false
	}
	fl := steer.NewFlight(hdr.Caller(), xxhash.Sum64(pkt.CID()))
	self := con.state(now)
	decisions := con.selector.Len()
	target := con.selector.Decide(fl, hdr, from, self, now)
	if !target.IsValid() {
		if con.selector.Len() > decisions {
			con.keptFlights.Add(1)
		}
		return false
	}
	con.meter.flightsPassed.Inc(1)
	if hdr.Has(frame.PassedFlag) {
		hdr.HandBack().Put(data)
	} else {
		hdr.Pass(from, self.Load()).Put(data)
	}
	con.outbox.Add(data, target, netip.Addr{})
	con.meter.unsent.Inc(int64(con.udp.Flush(con.outbox)))
	return true
}

// sendPong answers a ping with the load of the agent.
func (con *conn) sendPong(to netip.AddrPort, now time.Time) {
	self := con.state(now)
	data := make([]byte, frame.HeaderBytes)
	frame.Pong(self.Load(), self.Refusing()).Put(data)
	if con.udp.WriteTo(data, to) != nil {
		con.meter.unsent.Inc(1)
	}
}

func (con *conn) noteHeard(balancer netip.AddrPort, now time.Time) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.returnPaths.NoteHeard(balancer, now)
}

// flowAddrOf returns the cached address of a flow, so that its packets allocate none.
func (con *conn) flowAddrOf(hdr frame.Header) net.Addr {
	key := frame.Return(hdr.Caller(), hdr.Address(), 0, false)
	if fla, ok := con.flowAddrs[key]; ok {
		return fla
	}
	if len(con.flowAddrs) >= maxFlowAddrs {
		clear(con.flowAddrs)
	}
	fla := &flowAddr{hdr.Caller(), hdr.Address(), hdr.Caller().String() + ">" + hdr.Address().String()}
	con.flowAddrs[key] = fla
	return fla
}

// WriteTo sends a QUIC packet to a caller through a balancer that was heard recently,
// else through a listed one. Without any it drops the packet.
func (con *conn) WriteTo(packet []byte, to net.Addr) (int, error) {
	fla, ok := to.(*flowAddr)
	if !ok {
		return 0, errors.WithStack(net.InvalidAddrError(to.String()))
	}
	now := time.Now()
	con.mu.Lock()
	balancer := con.returnPaths.Pick(con.answerCount.Add(1), now)
	con.mu.Unlock()
	if !balancer.IsValid() {
		return len(packet), nil
	}
	self := con.state(now)
	buf := con.buffers.Get().(*[]byte)
	defer con.buffers.Put(buf)
	frame.Return(fla.caller, fla.address, self.Load(), self.Refusing()).Put(*buf)
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

// SetDeadline does nothing: the QUIC stack ends its reads by closing the socket.
func (con *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (con *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (con *conn) SetWriteDeadline(time.Time) error { return nil }
