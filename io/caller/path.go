package caller

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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

// path is a socket that can move to a new port under a QUIC connection. The
// remote end of every packet is the address of the service.
type path struct {
	dialer  Dialer
	remote  net.Addr
	heardAt atomic.Int64
	askedAt atomic.Int64 // When the first packet since the last answer was sent, ns; 0: none.

	mu     sync.Mutex
	socket net.PacketConn
	closed bool
}

func newPath(dialer Dialer, remote net.Addr) (*path, error) {
	socket, err := dialer.Dial()
	if err != nil {
		return nil, err
	}
	return &path{dialer: dialer, remote: remote, socket: socket}, nil
}

// move goes on from a new port.
func (pth *path) move() error {
	socket, err := pth.dialer.Dial()
	if err != nil {
		return err
	}
	pth.mu.Lock()
	old := pth.socket
	pth.socket = socket
	closed := pth.closed
	pth.mu.Unlock()
	if closed {
		_ = socket.Close()
	}
	_ = old.Close()
	return nil
}

// silentSince returns since when packets have gone unanswered, zero when none.
func (pth *path) silentSince() time.Time {
	if at := pth.askedAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

func (pth *path) current() (net.PacketConn, bool) {
	pth.mu.Lock()
	defer pth.mu.Unlock()
	return pth.socket, pth.closed
}

// ReadFrom returns the next packet from whichever socket is current.
func (pth *path) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		socket, closed := pth.current()
		if closed {
			return 0, nil, net.ErrClosed
		}
		count, _, err := socket.ReadFrom(data)
		if err == nil {
			pth.askedAt.Store(0)
			pth.heardAt.Store(time.Now().UnixNano())
			return count, pth.remote, nil
		}
		if now, closed := pth.current(); now == socket || closed {
			return 0, nil, err
		}
	}
}

// WriteTo sends a packet from the current socket.
func (pth *path) WriteTo(data []byte, to net.Addr) (int, error) {
	socket, _ := pth.current()
	pth.askedAt.CompareAndSwap(0, time.Now().UnixNano())
	count, err := socket.WriteTo(data, to)
	if err != nil {
		return len(data), nil // A failed send is a lost packet: QUIC sends it again.
	}
	return count, nil
}

// Close closes the current socket for good.
func (pth *path) Close() error {
	pth.mu.Lock()
	defer pth.mu.Unlock()
	pth.closed = true
	return pth.socket.Close()
}

// LocalAddr returns the current socket's address.
func (pth *path) LocalAddr() net.Addr {
	socket, _ := pth.current()
	return socket.LocalAddr()
}

// SetDeadline does nothing: QUIC ends its reads by closing the path.
func (pth *path) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (pth *path) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (pth *path) SetWriteDeadline(time.Time) error { return nil }
