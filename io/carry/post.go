package carry

import (
	"net/netip"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/io/mmsg"
)

// ipUDPHeaderBytes is the length of the IPv4 and UDP headers of a datagram.
const ipUDPHeaderBytes = 28

// sender collects datagrams and sends them in batches over one socket. It copies
// them, so that callers can reuse their buffers.
type sender struct {
	con     *mmsg.Conn
	out     *mmsg.Outbox
	buffers [mmsg.BatchSize][]byte
	refused uint64 // Datagrams that the kernel did not accept.
	bytes   uint64 // Of datagrams with a header, with their IPv4 and UDP headers.
}

func newSender(con *mmsg.Conn) *sender {
	snd := &sender{con: con, out: mmsg.NewOutbox()}
	block := make([]byte, mmsg.BatchSize*mmsg.PacketBytes)
	for i := range snd.buffers {
		snd.buffers[i] = block[i*mmsg.PacketBytes : (i+1)*mmsg.PacketBytes]
	}
	return snd
}

// addPacket adds a packet as it is.
func (snd *sender) addPacket(raw []byte, to netip.AddrPort) {
	buf := snd.nextBuffer()
	snd.out.Add(buf[:copy(buf, raw)], to, netip.Addr{})
}

// addDatagram adds a datagram that consists of a header and a payload.
func (snd *sender) addDatagram(hdr encap.Header, payload []byte, to netip.AddrPort) {
	buf := snd.nextBuffer()
	hdr.Put(buf)
	size := encap.HeaderBytes + copy(buf[encap.HeaderBytes:], payload)
	snd.bytes += uint64(size + ipUDPHeaderBytes)
	snd.out.Add(buf[:size], to, netip.Addr{})
}

// nextBuffer returns the buffer for the next datagram. A full batch is sent first.
func (snd *sender) nextBuffer() []byte {
	if snd.out.Len() == mmsg.BatchSize {
		snd.flush()
	}
	return snd.buffers[snd.out.Len()]
}

// flush sends the collected datagrams.
func (snd *sender) flush() {
	if snd.out.Len() > 0 {
		snd.refused += uint64(snd.con.Flush(snd.out))
	}
}

func addrPort(ip [4]byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}

func endpointAddrPort(ept flow.Endpoint) netip.AddrPort { return addrPort(ept.IP(), ept.Port()) }
