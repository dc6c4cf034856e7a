// Package mmsg reads and writes many UDP datagrams with one system call and
// without allocation.
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
	oobBytes    = 64
)

const (
	socketBytes = 4 << 20                // Asked for the kernel's buffers; it may grant less.
	readTimeout = 100 * time.Millisecond // A reader sees within this time that the socket is closed.
)

// Conn is a UDP socket over IPv4 with one reader. It blocks its thread and stays
// out of the runtime's poller, which would wake for every datagram that leaves.
type Conn struct {
	fd     int
	local  *net.UDPAddr
	closed atomic.Bool
	mu     sync.RWMutex // Held to write, and held whole to close the descriptor.
	gone   bool
}

// mmsghdr is struct mmsghdr of recvmmsg(2).
type mmsghdr struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// Listen opens a socket. With info set, each received datagram tells the IP
// number it was sent to.
func Listen(addr netip.AddrPort, info bool) (*Conn, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	con := &Conn{fd: fd}
	if err := con.prepare(addr, info); err != nil {
		_ = unix.Close(fd)
		return nil, errors.Wrapf(err, "listen at %s", addr)
	}
	return con, nil
}

func (con *Conn) prepare(addr netip.AddrPort, info bool) error {
	if info {
		if err := unix.SetsockoptInt(con.fd, unix.IPPROTO_IP, unix.IP_PKTINFO, 1); err != nil {
			return err
		}
	}
	timeout := unix.NsecToTimeval(readTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(con.fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return err
	}
	_ = unix.SetsockoptInt(con.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBytes)
	_ = unix.SetsockoptInt(con.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBytes)
	if err := unix.Bind(con.fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		return err
	}
	name, err := unix.Getsockname(con.fd)
	if err != nil {
		return err
	}
	own := name.(*unix.SockaddrInet4) // The socket is of this family.
	con.local = &net.UDPAddr{IP: net.IP(own.Addr[:]), Port: own.Port}
	return nil
}

// Close closes the socket; its reader returns soon.
func (con *Conn) Close() error {
	con.closed.Store(true)
	return nil
}

// release gives the descriptor back once nobody uses it.
func (con *Conn) release() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if !con.gone {
		con.gone = true
		_ = unix.Close(con.fd)
	}
}

// LocalAddr returns the socket's address.
func (con *Conn) LocalAddr() net.Addr { return con.local }

// WriteTo sends one datagram.
func (con *Conn) WriteTo(data []byte, to netip.AddrPort) error {
	con.mu.RLock()
	defer con.mu.RUnlock()
	if con.gone {
		return net.ErrClosed
	}
	return unix.Sendto(con.fd, data, 0, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()})
}

// transfer makes one system call on a prepared array of messages and returns
// how many of them it carried.
func (con *Conn) transfer(trap uintptr, hdrs *mmsghdr, count, flags int) (int, error) {
	got, _, errno := unix.Syscall6(trap, uintptr(con.fd), uintptr(unsafe.Pointer(hdrs)),
		uintptr(count), uintptr(flags), 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(got), nil
}
