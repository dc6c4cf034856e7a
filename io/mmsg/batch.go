package mmsg

import (
	"encoding/binary"
	"net"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Inbox receives datagrams into buffers of its own. Each buffer keeps room
// before the datagram, so that a header is put there without a copy.
type Inbox struct {
	room  int
	hdrs  [BatchSize]mmsghdr
	iovs  [BatchSize]unix.Iovec
	names [BatchSize]unix.RawSockaddrInet4
	oobs  [BatchSize][oobBytes]byte
	bufs  [BatchSize][]byte
}

// NewInbox returns an inbox with room bytes before each datagram.
func NewInbox(room int) *Inbox {
	box := &Inbox{room: room}
	block := make([]byte, BatchSize*(room+PacketBytes))
	for i := range box.bufs {
		box.bufs[i] = block[i*(room+PacketBytes) : (i+1)*(room+PacketBytes)]
		box.iovs[i].Base = &box.bufs[i][room]
		box.iovs[i].SetLen(PacketBytes)
		hdr := &box.hdrs[i].hdr
		hdr.Name = (*byte)(unsafe.Pointer(&box.names[i]))
		hdr.Iov = &box.iovs[i]
		hdr.SetIovlen(1)
		hdr.Control = &box.oobs[i][0]
	}
	return box
}

// Read waits for datagrams and returns how many came, at most BatchSize. The
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

// Data returns datagram i.
func (box *Inbox) Data(i int) []byte {
	return box.bufs[i][box.room : box.room+int(box.hdrs[i].len)]
}

// Framed returns datagram i with the room before it.
func (box *Inbox) Framed(i int) []byte {
	return box.bufs[i][:box.room+int(box.hdrs[i].len)]
}

// Source returns who sent datagram i.
func (box *Inbox) Source(i int) netip.AddrPort {
	name := &box.names[i]
	port := (*[2]byte)(unsafe.Pointer(&name.Port))
	return netip.AddrPortFrom(netip.AddrFrom4(name.Addr), binary.BigEndian.Uint16(port[:]))
}

// Dest returns the IP number that datagram i was sent to, zero when unknown.
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

// Outbox collects datagrams to send. It keeps references to their bytes until
// Flush.
type Outbox struct {
	count int
	hdrs  [BatchSize]mmsghdr
	iovs  [BatchSize]unix.Iovec
	names [BatchSize]unix.RawSockaddrInet4
	oobs  [BatchSize][oobBytes]byte
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox {
	out := &Outbox{}
	for i := range out.hdrs {
		out.names[i].Family = unix.AF_INET
		hdr := &out.hdrs[i].hdr
		hdr.Name = (*byte)(unsafe.Pointer(&out.names[i]))
		hdr.Namelen = unix.SizeofSockaddrInet4
		hdr.Iov = &out.iovs[i]
		hdr.SetIovlen(1)
	}
	return out
}

// Len returns how many datagrams wait to be sent.
func (out *Outbox) Len() int { return out.count }

// Add queues a datagram. A valid from becomes its source IP number. It reports
// false when the outbox is full.
func (out *Outbox) Add(data []byte, to netip.AddrPort, from netip.Addr) bool {
	if out.count == BatchSize || len(data) == 0 {
		return false
	}
	i := out.count
	out.count++
	name := &out.names[i]
	name.Addr = to.Addr().As4()
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&name.Port))[:], to.Port())
	out.iovs[i].Base = &data[0]
	out.iovs[i].SetLen(len(data))
	out.setSource(i, from)
	return true
}

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

// Flush sends what was added and returns how many datagrams the kernel refused.
func (con *Conn) Flush(out *Outbox) (refused int) {
	con.mu.RLock()
	defer con.mu.RUnlock()
	total := out.count
	out.count = 0
	if con.gone {
		return total
	}
	for sent := 0; sent < total; {
		count, err := con.transfer(unix.SYS_SENDMMSG, &out.hdrs[sent], total-sent, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			refused++
			count = 1
		}
		sent += count
	}
	return refused
}
