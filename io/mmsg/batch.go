package mmsg

import (
	"encoding/binary"
	"net"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Inbox holds the buffers for a batch of received datagrams. Each buffer has headroom
// before the datagram, so that a header can be put there without a copy.
type Inbox struct {
	headroom int // Bytes before each datagram.
	hdrs     [BatchSize]mmsghdr
	iovs     [BatchSize]unix.Iovec
	addrs    [BatchSize]unix.RawSockaddrInet4
	oobs     [BatchSize][oobBytes]byte
	bufs     [BatchSize][]byte
}

// NewInbox returns an inbox with headroom bytes before each datagram.
func NewInbox(headroom int) *Inbox {
	box := &Inbox{headroom: headroom}
	block := make([]byte, BatchSize*(headroom+PacketBytes))
	for i := range box.bufs {
		box.bufs[i] = block[i*(headroom+PacketBytes) : (i+1)*(headroom+PacketBytes)]
		box.iovs[i].Base = &box.bufs[i][headroom]
		box.iovs[i].SetLen(PacketBytes)
		hdr := &box.hdrs[i].hdr
		hdr.Name = (*byte)(unsafe.Pointer(&box.addrs[i]))
		hdr.Iov = &box.iovs[i]
		hdr.SetIovlen(1)
		hdr.Control = &box.oobs[i][0]
	}
	return box
}

// Read waits for datagrams and returns how many it received, at most BatchSize. The
// error is net.ErrClosed.
func (con *Conn) Read(box *Inbox) (int, error) {
	for !con.closed.Load() {
		for i := range box.hdrs {
			box.hdrs[i].hdr.Namelen = unix.SizeofSockaddrInet4
			box.hdrs[i].hdr.SetControllen(oobBytes)
		}
		count, err := con.transfer(unix.SYS_RECVMMSG, &box.hdrs[0], BatchSize, unix.MSG_WAITFORONE)
		if err == nil && count > 0 {
			return count, nil
		}
	}
	con.release()
	return 0, net.ErrClosed
}

// Data returns datagram i. Its bytes are valid until the next Read.
func (box *Inbox) Data(i int) []byte {
	return box.bufs[i][box.headroom : box.headroom+int(box.hdrs[i].len)]
}

// Framed returns datagram i with the headroom before it.
func (box *Inbox) Framed(i int) []byte {
	return box.bufs[i][:box.headroom+int(box.hdrs[i].len)]
}

// Source returns the IP address and port of the sender of datagram i.
func (box *Inbox) Source(i int) netip.AddrPort {
	addr := &box.addrs[i]
	port := (*[2]byte)(unsafe.Pointer(&addr.Port))
	return netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), binary.BigEndian.Uint16(port[:]))
}

// Dest returns the IP address that datagram i was sent to, or the zero Addr when it is
// unknown.
func (box *Inbox) Dest(i int) netip.Addr {
	hdr := &box.hdrs[i].hdr
	if hdr.Controllen < unix.SizeofCmsghdr+unix.SizeofInet4Pktinfo {
		return netip.Addr{}
	}
	cm := (*unix.Cmsghdr)(unsafe.Pointer(&box.oobs[i][0]))
	if cm.Level != unix.IPPROTO_IP || cm.Type != unix.IP_PKTINFO {
		return netip.Addr{}
	}
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&box.oobs[i][unix.SizeofCmsghdr]))
	return netip.AddrFrom4(info.Addr)
}

// Outbox is a batch of datagrams to send. It does not copy them: their bytes must not
// change until Flush.
type Outbox struct {
	count int
	hdrs  [BatchSize]mmsghdr
	iovs  [BatchSize]unix.Iovec
	addrs [BatchSize]unix.RawSockaddrInet4
	oobs  [BatchSize][oobBytes]byte
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox {
	out := &Outbox{}
	for i := range out.hdrs {
		out.addrs[i].Family = unix.AF_INET
		hdr := &out.hdrs[i].hdr
		hdr.Name = (*byte)(unsafe.Pointer(&out.addrs[i]))
		hdr.Namelen = unix.SizeofSockaddrInet4
		hdr.Iov = &out.iovs[i]
		hdr.SetIovlen(1)
	}
	return out
}

// Len returns how many datagrams are queued.
func (out *Outbox) Len() int { return out.count }

// Add queues a datagram and reports whether it did: not when the outbox is full or
// data is empty. An IPv4 address from becomes the datagram's source address.
func (out *Outbox) Add(data []byte, to netip.AddrPort, from netip.Addr) bool {
	if out.count == BatchSize || len(data) == 0 {
		return false
	}
	i := out.count
	out.count++
	addr := &out.addrs[i]
	addr.Addr = to.Addr().As4()
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&addr.Port))[:], to.Port())
	out.iovs[i].Base = &data[0]
	out.iovs[i].SetLen(len(data))
	out.setSource(i, from)
	return true
}

// setSource sets the source address of datagram i, or lets the kernel choose it when
// from is not an IPv4 address.
func (out *Outbox) setSource(i int, from netip.Addr) {
	hdr := &out.hdrs[i].hdr
	if !from.Is4() {
		hdr.Control = nil
		hdr.SetControllen(0)
		return
	}
	cm := (*unix.Cmsghdr)(unsafe.Pointer(&out.oobs[i][0]))
	cm.Level = unix.IPPROTO_IP
	cm.Type = unix.IP_PKTINFO
	cm.SetLen(unix.CmsgLen(unix.SizeofInet4Pktinfo))
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&out.oobs[i][unix.SizeofCmsghdr]))
	*info = unix.Inet4Pktinfo{Spec_dst: from.As4()}
	hdr.Control = &out.oobs[i][0]
	hdr.SetControllen(unix.CmsgSpace(unix.SizeofInet4Pktinfo))
}

// Flush sends the queued datagrams, empties the outbox and returns how many were not
// sent: those that the kernel refused, or all when the descriptor is closed.
func (con *Conn) Flush(out *Outbox) (unsent int) {
	con.mu.RLock()
	defer con.mu.RUnlock()
	total := out.count
	out.count = 0
	if con.released {
		return total
	}
	for sent := 0; sent < total; {
		count, err := con.transfer(unix.SYS_SENDMMSG, &out.hdrs[sent], total-sent, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			unsent++
			count = 1
		}
		sent += count
	}
	return unsent
}
