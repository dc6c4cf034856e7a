package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Copies of datagrams on a path that may be losing them.
const (
	copies        = 3                      // The fabric hands each to a balancer of its own, and one of them may be dead.
	freshPackets  = 16                     // Datagrams of a new path that are sent in copies: its validation both ways, which QUIC does not repeat by itself.
	doubtfulAfter = 200 * time.Millisecond // Unanswered for this long, some of QUIC's own repeats are due.
)

// Dialer opens the socket that a path sends from.
type Dialer interface {
	Dial() (net.PacketConn, error)
}

// UDPDialer opens a UDP socket on a new port.
type UDPDialer struct{}

// Dial returns the socket.
func (UDPDialer) Dial() (net.PacketConn, error) {
	pc, err := net.ListenUDP("udp4", nil)
	return pc, errors.WithStack(err)
}

// path is one socket of a QUIC connection, with what it tells about the way to
// the agent. The remote end of every packet is the address of the service.
type path struct {
	net.PacketConn
	remote    net.Addr
	transport *quic.Transport
	sent      atomic.Int64 // Datagrams, copies counted once.
	askedAt   atomic.Int64 // When the first packet since the last answer was sent, ns; 0: none.
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

// silentSince returns since when packets have gone unanswered, zero when none.
func (pth *path) silentSince() time.Time {
	if at := pth.askedAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// ReadFrom returns the next packet.
func (pth *path) ReadFrom(data []byte) (int, net.Addr, error) {
	count, _, err := pth.PacketConn.ReadFrom(data)
	if err != nil {
		return 0, nil, err
	}
	pth.askedAt.Store(0)
	return count, pth.remote, nil
}

// doubtful reports whether datagrams on the path may be lost: it is new, or it
// has been silent for a while.
func (pth *path) doubtful() bool {
	since := pth.silentSince()
	return pth.sent.Load() < freshPackets || !since.IsZero() && time.Since(since) >= doubtfulAfter
}

// WriteTo sends a packet, in copies while the path is in doubt. QUIC drops
// duplicates.
func (pth *path) WriteTo(data []byte, to net.Addr) (int, error) {
	pth.askedAt.CompareAndSwap(0, time.Now().UnixNano())
	times := 1
	if pth.doubtful() {
		times = copies
	}
	pth.sent.Add(1)
	for range times {
		if _, err := pth.PacketConn.WriteTo(data, to); err != nil && errors.Is(err, net.ErrClosed) {
			return 0, err
		}
	}
	return len(data), nil // Any other failed send is a lost packet: QUIC sends it again.
}

// close ends the path. The transport waits for its reader, which only closing
// the socket ends.
func (pth *path) close() {
	_ = pth.PacketConn.Close()
	_ = pth.transport.Close()
}
