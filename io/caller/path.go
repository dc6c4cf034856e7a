package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
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

// WriteTo sends a packet.
func (pth *path) WriteTo(data []byte, to net.Addr) (int, error) {
	pth.askedAt.CompareAndSwap(0, time.Now().UnixNano())
	if _, err := pth.PacketConn.WriteTo(data, to); err != nil && errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return len(data), nil // Any other failed send is a lost packet: QUIC sends it again.
}

// close ends the path. The transport waits for its reader, which only closing
// the socket ends.
func (pth *path) close() {
	_ = pth.PacketConn.Close()
	_ = pth.transport.Close()
}
