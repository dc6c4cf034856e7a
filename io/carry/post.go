package carry

import (
	"net/netip"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/io/mmsg"
)

// post collects datagrams to send over one socket. It copies them, so that what
// they are made of may change.
type post struct {
	con     *mmsg.Conn
	out     *mmsg.Outbox
	bufs    [mmsg.BatchSize][]byte
	refused uint64
}

func newPost(con *mmsg.Conn) *post {
	pst := &post{con: con, out: mmsg.NewOutbox()}
	block := make([]byte, mmsg.BatchSize*mmsg.PacketBytes)
	for i := range pst.bufs {
		pst.bufs[i] = block[i*mmsg.PacketBytes : (i+1)*mmsg.PacketBytes]
	}
	return pst
}

// packet sends a packet as it is.
func (pst *post) packet(raw []byte, to netip.AddrPort) {
	buf := pst.next()
	pst.out.Add(buf[:copy(buf, raw)], to, netip.Addr{})
}

// framed sends a header with what follows it.
func (pst *post) framed(hdr encap.Header, tail []byte, to netip.AddrPort) {
	buf := pst.next()
	hdr.Put(buf)
	pst.out.Add(buf[:encap.HeaderBytes+copy(buf[encap.HeaderBytes:], tail)], to, netip.Addr{})
}

func (pst *post) next() []byte {
	if pst.out.Len() == mmsg.BatchSize {
		pst.flush()
	}
	return pst.bufs[pst.out.Len()]
}

// flush sends what was collected.
func (pst *post) flush() {
	if pst.out.Len() > 0 {
		pst.refused += uint64(pst.con.Flush(pst.out))
	}
}

func addrOf(ip [4]byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}

func addrOfEndpoint(ept flow.Endpoint) netip.AddrPort { return addrOf(ept.IP(), ept.Port()) }
