package mmsg

import (
	"encoding/binary"
	"net/netip"
	"unsafe"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Inbox receives datagrams into buffers of its own. Each buffer keeps room
// before the datagram, so that a header is put there without a copy.
type Inbox struct {
	room  int
	count int
	hdrs  [BatchSize]mmsghdr
	iovs  [BatchSize]unix.Iovec
	names [BatchSize]unix.RawSockaddrInet4
	oobs  [BatchSize][oobBytes]byte
	bufs  [BatchSize][]byte
	call  *call
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
	box.call = newCall(unix.SYS_RECVMMSG, &box.hdrs[0])
	return box
}

// Read waits for datagrams and returns how many came, at most BatchSize.
func (con *Conn) Read(box *Inbox) (int, error) {
	for i := range box.hdrs {
		box.hdrs[i].hdr.Namelen = unix.SizeofSockaddrInet4
		box.hdrs[i].hdr.SetControllen(oobBytes)
	}
	box.call.count = BatchSize
	if err := con.raw.Read(box.call.step); err != nil {
		return 0, errors.WithStack(err)
	}
	if box.call.errno != 0 {
		return 0, nil // An ICMP error of an earlier datagram is no failure of the socket.
	}
	box.count = box.call.done
	return box.count, nil
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
	call  *call
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
	out.call = newCall(unix.SYS_SENDMMSG, &out.hdrs[0])
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
	total := out.count
	out.count = 0
	for sent := 0; sent < total; {
		out.call.hdrs = &out.hdrs[sent]
		out.call.count = total - sent
		if err := con.raw.Write(out.call.step); err != nil {
			return refused + total - sent
		}
		if out.call.errno != 0 {
			refused++
			sent++
			continue
		}
		sent += out.call.done
	}
	return refused
}
