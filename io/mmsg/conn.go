// Package mmsg receives and sends batches of UDP datagrams with one system call for
// each batch, recvmmsg or sendmmsg, and without allocations.
package mmsg

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Sizes of a batch.
const (
	BatchSize   = 64   // Datagrams for each system call.
	PacketBytes = 2048 // Longest datagram.
	oobBytes    = 64   // Buffer for the control messages of a datagram.
)

const (
	socketBufferBytes = 4 << 20                // Requested for each of the kernel's buffers; it may grant less.
	readTimeout       = 100 * time.Millisecond // A blocked reader notices within this time that the socket is closed.
)

// Conn is a UDP socket over IPv4 with one reader. Its system calls block their thread:
// it is not registered with the runtime's network poller, which would wake up for
// every datagram that is sent.
type Conn struct {
	fd       int
	local    *net.UDPAddr
	closed   atomic.Bool  // Set by Close.
	mu       sync.RWMutex // Held for reading to send, and for writing to close the descriptor.
	released bool
}

// mmsghdr is struct mmsghdr of recvmmsg(2).
type mmsghdr struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// Listen opens a socket. With pktInfo set, Inbox.Dest returns the IP address that a
// received datagram was sent to.
func Listen(addr netip.AddrPort, pktInfo bool) (*Conn, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	con := &Conn{fd: fd}
	if err := con.bind(addr, pktInfo); err != nil {
		_ = unix.Close(fd)
		return nil, errors.Wrapf(err, "listen at %s", addr)
	}
	return con, nil
}

// bind sets the options of the socket, binds it and reads its local address.
func (con *Conn) bind(addr netip.AddrPort, pktInfo bool) error {
	if pktInfo {
		if err := unix.SetsockoptInt(con.fd, unix.IPPROTO_IP, unix.IP_PKTINFO, 1); err != nil {
			return err
		}
	}
	timeout := unix.NsecToTimeval(readTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(con.fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return err
	}
	_ = unix.SetsockoptInt(con.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
	_ = unix.SetsockoptInt(con.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
	if err := unix.Bind(con.fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		return err
	}
	bound, err := unix.Getsockname(con.fd)
	if err != nil {
		return err
	}
	own := bound.(*unix.SockaddrInet4) // An AF_INET socket has an address of this type.
	con.local = &net.UDPAddr{IP: net.IP(own.Addr[:]), Port: own.Port}
	return nil
}

// Close makes the reader return within readTimeout; the reader then closes the
// descriptor.
func (con *Conn) Close() error {
	con.closed.Store(true)
	return nil
}

// release closes the descriptor, after the sends in progress. Later ones fail.
func (con *Conn) release() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if !con.released {
		con.released = true
		_ = unix.Close(con.fd)
	}
}

// LocalAddr returns the socket's address.
func (con *Conn) LocalAddr() net.Addr { return con.local }

// WriteTo sends one datagram.
func (con *Conn) WriteTo(data []byte, to netip.AddrPort) error {
	con.mu.RLock()
	defer con.mu.RUnlock()
	if con.released {
		return net.ErrClosed
	}
	return unix.Sendto(con.fd, data, 0, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()})
}

// transfer makes one recvmmsg or sendmmsg call with count messages and returns how
// many of them were received or sent.
func (con *Conn) transfer(trap uintptr, hdrs *mmsghdr, count, flags int) (int, error) {
	done, _, errno := unix.Syscall6(trap, uintptr(con.fd), uintptr(unsafe.Pointer(hdrs)),
		uintptr(count), uintptr(flags), 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(done), nil
}
