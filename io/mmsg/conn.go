// Package mmsg reads and writes many UDP datagrams with one system call and
// without allocation.
package mmsg

import (
	"context"
	"net"
	"net/netip"
	"syscall"
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

// socketBytes is the size that is asked for the kernel's buffers.
const socketBytes = 4 << 20

// Conn is a UDP socket over IPv4.
type Conn struct {
	udp *net.UDPConn
	raw syscall.RawConn
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
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error { return prepare(rc, info) }}
	pc, err := lc.ListenPacket(context.Background(), "udp4", addr.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	udp := pc.(*net.UDPConn)
	_ = udp.SetReadBuffer(socketBytes) // The kernel may grant less.
	_ = udp.SetWriteBuffer(socketBytes)
	raw, err := udp.SyscallConn()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Conn{udp: udp, raw: raw}, nil
}

func prepare(rc syscall.RawConn, info bool) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		if info {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_PKTINFO, 1)
		}
	})
	return errors.CombineErrors(err, optErr)
}

// Close closes the socket; a waiting Read returns.
func (con *Conn) Close() error { return con.udp.Close() }

// LocalAddr returns the socket's address.
func (con *Conn) LocalAddr() net.Addr { return con.udp.LocalAddr() }

// WriteTo sends one datagram.
func (con *Conn) WriteTo(data []byte, to netip.AddrPort) error {
	_, err := con.udp.WriteToUDPAddrPort(data, to)
	return err
}

// call is one system call on a prepared array of messages. Its method value is
// made once, so that the poller's callback allocates nothing.
type call struct {
	trap  uintptr
	hdrs  *mmsghdr
	count int
	done  int
	errno syscall.Errno
	step  func(fd uintptr) bool
}

func newCall(trap uintptr, hdrs *mmsghdr) *call {
	cl := &call{trap: trap, hdrs: hdrs}
	cl.step = cl.try
	return cl
}

func (cl *call) try(fd uintptr) bool {
	got, _, errno := unix.Syscall6(cl.trap, fd, uintptr(unsafe.Pointer(cl.hdrs)),
		uintptr(cl.count), unix.MSG_DONTWAIT, 0, 0)
	if errno == unix.EAGAIN || errno == unix.EINTR {
		return false
	}
	cl.done = int(got)
	cl.errno = errno
	return true
}
