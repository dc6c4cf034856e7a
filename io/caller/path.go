package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Each datagram is sent in several copies while a path may lose datagrams.
const (
	copiesPerDatagram = 3                      // The fabric forwards each copy to a balancer chosen independently, which may be dead.
	newPathDatagrams  = 16                     // The first datagrams of a path are sent in copies: they carry its validation in both directions, which QUIC does not retransmit.
	suspectAfter      = 200 * time.Millisecond // QUIC has begun to retransmit packets that were unanswered for this long.
)

// Dialer opens the socket of a path.
type Dialer interface {
	Dial() (net.PacketConn, error)
}

// UDPDialer opens a UDP socket on a new port.
type UDPDialer struct{}

// Dial returns a new socket.
func (UDPDialer) Dial() (net.PacketConn, error) {
	pc, err := net.ListenUDP("udp4", nil)
	return pc, errors.WithStack(err)
}

// path is one socket of a QUIC connection, with counters that show whether packets
// reach the agent. Every received packet is reported as sent by the service's
// address, whichever balancer it came from.
type path struct {
	net.PacketConn
	remote          net.Addr
	transport       *quic.Transport
	sent            atomic.Int64 // Datagrams sent, each counted once for all its copies.
	unansweredSince atomic.Int64 // Unix time in ns of the first packet sent since the last one received; 0 when none was sent.
}

func newPath(dialer Dialer, remote net.Addr) (*path, error) {
	socket, err := dialer.Dial()
	if err != nil {
		return nil, err
	}
	pth := &path{PacketConn: socket, remote: remote}
	pth.transport = &quic.Transport{Conn: pth}
	return pth, nil
}

// silentSince returns when the first unanswered packet was sent, or the zero time
// when there is none.
func (pth *path) silentSince() time.Time {
	if at := pth.unansweredSince.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// ReadFrom returns the next packet and clears unansweredSince.
func (pth *path) ReadFrom(data []byte) (int, net.Addr, error) {
	count, _, err := pth.PacketConn.ReadFrom(data)
	if err != nil {
		return 0, nil, err
	}
	pth.unansweredSince.Store(0)
	return count, pth.remote, nil
}

// lossSuspected reports whether the path may lose datagrams: it is new, or packets
// have been unanswered for suspectAfter.
func (pth *path) lossSuspected() bool {
	since := pth.silentSince()
	return pth.sent.Load() < newPathDatagrams || !since.IsZero() && time.Since(since) >= suspectAfter
}

// WriteTo sends a packet, in several copies while the path may lose datagrams. QUIC
// drops duplicates.
func (pth *path) WriteTo(data []byte, to net.Addr) (int, error) {
	pth.unansweredSince.CompareAndSwap(0, time.Now().UnixNano())
	copies := 1
	if pth.lossSuspected() {
		copies = copiesPerDatagram
	}
	pth.sent.Add(1)
	for range copies {
		if _, err := pth.PacketConn.WriteTo(data, to); err != nil && errors.Is(err, net.ErrClosed) {
			return 0, err
		}
	}
	return len(data), nil // Any other failed send counts as a lost packet, which QUIC retransmits.
}

// close closes the path. The socket is closed first, because the transport's Close
// waits for its reader, which ends only when the socket is closed.
func (pth *path) close() {
	_ = pth.PacketConn.Close()
	_ = pth.transport.Close()
}
