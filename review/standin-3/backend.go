package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// flowKey names a flow by its client's end and the route's end.
type flowKey struct{ client, route netip.AddrPort }

// taken is an opening packet that a backend took.
type taken struct {
	flow flowKey
	at   time.Time
}

// backendFlow is a flow at a backend.
type backendFlow struct {
	isn      uint32
	clientAt uint32 // The next sequence number of the client.
	sent     uint32 // The sequence number after what was sent.
	open     bool
	answer   *packet // To the last request.
}

// backend is a stand-in of one backend. A start creates a new lifetime.
type backend struct {
	wld     *world
	side    *side
	id      string
	service string
	work    time.Duration
	cold    time.Duration // How long the backend is cold after a start.

	mu       sync.Mutex
	con      *net.UDPConn
	lst      net.Listener
	bornAt   time.Time
	coldTold time.Duration // What the entry says.
	cut      bool          // The backend has no path to the store.
	sequence int
	flows    map[flowKey]*backendFlow
	taken    []taken // New flows, by their opening packets.
	returned []taken // Packets of flows that the backend does not hold.
	stop     chan struct{}

	leased    bool                 // The store removes the entry only when the case says so.
	heardAt   map[string]time.Time // When the store last heard a lifetime, by its ID.
	removedAt time.Time            // When the store last removed an entry for its silence.
}

// newBackend returns a backend beside a side machine, not yet started.
func newBackend(sid *side, id string, work time.Duration) *backend {
	return &backend{wld: sid.wld, side: sid, id: id, service: sid.service, work: work, heardAt: make(map[string]time.Time)}
}

// start begins a lifetime of the backend. It registers itself after a delay, and
// then at every heartbeat.
func (bck *backend) start(registerAfter time.Duration) error {
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bck.side.app))
	if err != nil {
		return err
	}
	lst, err := net.Listen("tcp4", bck.side.app.String())
	if err != nil {
		return errors.Join(err, con.Close())
	}
	bck.mu.Lock()
	bck.con, bck.lst, bck.bornAt, bck.sequence = con, lst, time.Now(), 0
	bck.flows = make(map[flowKey]*backendFlow)
	bck.stop = make(chan struct{})
	stop := bck.stop
	bck.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(lst, mux) }()
	go bck.read(con)
	go bck.report(stop, registerAfter)
	bck.wld.rec.note("backend %s of %s starts", bck.id, bck.service)
	return nil
}

// cutFromStore cuts the backend's path to the store.
func (bck *backend) cutFromStore() {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	bck.cut = true
	bck.wld.rec.note("backend %s has no path to the store any more", bck.id)
}

// removeSilent has the store remove the entry of a lifetime that it has not heard for
// three ping intervals.
func (bck *backend) removeSilent(id string, heardAt time.Time) {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	if !bck.heardAt[id].Equal(heardAt) {
		return
	}
	rev := bck.wld.store.put("servers/"+id, nil)
	bck.removedAt = time.Now()
	bck.wld.rec.note("the store removes the entry of backend %s after its silence, revision %d", id, rev)
}

// removed returns when the store last removed an entry of the backend.
func (bck *backend) removed() time.Time {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	return bck.removedAt
}

// crash ends the lifetime of the backend without a word.
func (bck *backend) crash() {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	close(bck.stop)
	_ = bck.con.Close()
	_ = bck.lst.Close()
	bck.wld.rec.note("backend %s crashes", bck.id)
}

func (bck *backend) report(stop chan struct{}, after time.Duration) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
		}
		bck.writeEntry()
		timer.Reset(heartbeat)
	}
}

// writeEntry reports to the store, which changes the entry when more than the sequence
// has changed.
func (bck *backend) writeEntry() {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	if bck.cut {
		return
	}
	bck.sequence++
	id, heardAt := bck.id, time.Now()
	bck.heardAt[id] = heardAt
	if !bck.leased {
		time.AfterFunc(3*heartbeat, func() { bck.removeSilent(id, heardAt) })
	}
	left := max(bck.cold-time.Since(bck.bornAt), 0)
	if bck.sequence > 1 && left == bck.coldTold {
		return
	}
	bck.coldTold = left
	rev := bck.wld.store.putJSON("servers/"+id, map[string]any{
		"service": bck.service, "address": bck.side.app.String(), "zone": zoneName, "version": "v1", "slots": 4,
		"state": "ready", "cold-remaining-ms": left.Milliseconds(), "sequence": bck.sequence, "born": bck.bornAt.UnixMilli(),
	})
	if bck.sequence == 1 {
		bck.wld.rec.note("backend %s registers, cold for %d ms more, revision %d", id, left.Milliseconds(), rev)
	}
}

func (bck *backend) read(con *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		size, _, err := con.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if pkt, ok := parsePacket(buf[:size]); ok {
			bck.handle(pkt)
		}
	}
}

// send gives a packet of the backend to the node on its machine.
func (bck *backend) send(pkt packet) {
	_, _ = bck.con.WriteToUDPAddrPort(pkt.encode(), bck.side.outbound)
}

func (bck *backend) handle(pkt packet) {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	key := flowKey{client: pkt.src, route: pkt.dst}
	if pkt.sum != pkt.wantedSum() {
		bck.wld.rec.note("backend %s gets a forged packet of %s", bck.id, key.client)
		return
	}
	flw := bck.flows[key]
	switch {
	case pkt.has(flagSyn) && flw == nil:
		flw = &backendFlow{isn: rand.Uint32(), clientAt: pkt.seq + 1}
		flw.sent = flw.isn + 1
		bck.flows[key] = flw
		bck.taken = append(bck.taken, taken{key, time.Now()})
		bck.wld.rec.note("backend %s takes the opening of %s to %s, copy %d", bck.id, key.client, key.route, pkt.ack)
		bck.send(bck.reply(key, flw, flagSyn|flagAck, flw.isn, nil))
	case pkt.has(flagSyn):
		if !flw.open {
			bck.send(bck.reply(key, flw, flagSyn|flagAck, flw.isn, nil))
		}
	case flw == nil || !flw.open && pkt.ack != flw.isn+1:
		bck.returned = append(bck.returned, taken{key, time.Now()})
		bck.wld.rec.note("backend %s returns a packet of %s", bck.id, key.client)
		pkt.flags |= flagBounced
		pkt.pad = 0
		bck.send(pkt)
	case pkt.has(flagRst):
		delete(bck.flows, key)
	default:
		flw.open = true
		bck.handleData(key, flw, pkt)
	}
}

// handleData runs a request, which is one packet.
func (bck *backend) handleData(key flowKey, flw *backendFlow, pkt packet) {
	if len(pkt.data) == 0 {
		return
	}
	if pkt.seq != flw.clientAt { // A retransmission.
		if flw.answer != nil {
			bck.send(*flw.answer)
		}
		return
	}
	flw.clientAt += uint32(len(pkt.data))
	flw.answer = nil
	id := requestID(pkt.data)
	bck.wld.rec.note("backend %s runs request %s of %s", bck.id, id, key.client)
	time.AfterFunc(bck.work, func() {
		bck.mu.Lock()
		defer bck.mu.Unlock()
		if bck.flows[key] != flw {
			return
		}
		body := "done " + id
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nLagoondrum-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", bck.id, len(body), body)
		ans := bck.reply(key, flw, flagAck, flw.sent, []byte(text))
		flw.sent += uint32(len(text))
		flw.answer = &ans
		bck.send(ans)
	})
}

func (bck *backend) reply(key flowKey, flw *backendFlow, flags byte, seq uint32, data []byte) packet {
	return packet{src: key.route, dst: key.client, flags: flags, seq: seq, ack: flw.clientAt, data: data}.sealed()
}

// requestID returns the ID of the request in a packet.
func requestID(data []byte) string {
	_, rest, found := bytes.Cut(data, []byte("Lagoondrum-Request-Id: "))
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}

// rename gives the next lifetime an ID.
func (bck *backend) rename(id string) {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	bck.id = id
}

// lastHeard returns when the store last heard the backend.
func (bck *backend) lastHeard() time.Time {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	return bck.heardAt[bck.id]
}

// holds reports whether the backend holds a flow, open at both ends.
func (bck *backend) holds(key flowKey) bool {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	flw := bck.flows[key]
	return flw != nil && flw.open
}

// openings returns the opening packets that the backend took.
func (bck *backend) openings() []taken {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	return append([]taken(nil), bck.taken...)
}
