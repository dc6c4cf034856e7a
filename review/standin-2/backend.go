package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backendConfig is what a backend is started with.
type backendConfig struct {
	id, service, zone string
	app, outbound     netip.AddrPort
	slots, queue      int
	work              func() time.Duration
	cold              time.Duration
	heartbeat         time.Duration
}

// run is one request that a backend began to work on.
type run struct {
	id      string
	backend string
	service string
	at      time.Time
}

// backendFlow is a flow at a backend.
type backendFlow struct {
	key    flowKey
	isn    uint32
	peer   uint32 // The client's first sequence number.
	stm    *stream
	openAt time.Time // When the end of the handshake came.
	ended  bool
	busy   bool // A request is queued or worked on.
}

// backend stands in for a server of an application.
type backend struct {
	wld   *world
	cfg   backendConfig
	born  time.Time
	con   *net.UDPConn
	tcp   *http.Server
	stop  chan struct{}
	mu    sync.Mutex
	flows map[flowKey]*backendFlow
	busy  int
	queue []func()

	state    string
	sequence int
}

func newBackend(wld *world, cfg backendConfig) (*backend, error) {
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.app))
	if err != nil {
		return nil, err
	}
	_ = con.SetReadBuffer(4 << 20)
	lst, err := net.Listen("tcp4", cfg.app.String())
	if err != nil {
		return nil, err
	}
	bck := &backend{wld: wld, cfg: cfg, born: time.Now(), con: con, stop: make(chan struct{}), flows: make(map[flowKey]*backendFlow), state: "ready"}
	bck.tcp = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Lagoondrum-Instance-Id", cfg.id)
	})}
	go func() { _ = bck.tcp.Serve(lst) }()
	go bck.read()
	go bck.tick()
	bck.register()
	go bck.beat()
	return bck, nil
}

// end ends the backend at once, with all of its flows.
func (bck *backend) end() {
	close(bck.stop)
	_ = bck.con.Close()
	_ = bck.tcp.Close()
}

func (bck *backend) beat() {
	tick := time.NewTicker(bck.cfg.heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-bck.stop:
			return
		case <-tick.C:
			bck.register()
		}
	}
}

// register writes the backend's entry. As in the store of the platform the entry changes
// only when more than its sequence does.
func (bck *backend) register() {
	bck.mu.Lock()
	state := bck.state
	bck.sequence++
	seq := bck.sequence
	bck.mu.Unlock()
	cold := max(bck.cfg.cold-time.Since(bck.born), 0)
	bck.wld.store.putEntry("servers/"+bck.cfg.id, map[string]any{
		"service": bck.cfg.service, "address": bck.cfg.app.String(), "zone": bck.cfg.zone, "version": "v1", "slots": bck.cfg.slots,
		"state": state, "cold-remaining-ms": cold.Milliseconds(), "sequence": seq, "born": bck.born.UnixMilli(),
	}, state)
}

func (bck *backend) read() {
	buf := make([]byte, 2048)
	for {
		size, err := bck.con.Read(buf)
		if err != nil {
			select {
			case <-bck.stop:
				return
			default:
				continue
			}
		}
		if pkt, ok := decode(buf[:size]); ok {
			bck.handle(pkt, append([]byte(nil), buf[:size]...))
		}
	}
}

func (bck *backend) send(raw []byte) {
	_, _ = bck.con.WriteToUDP(raw, net.UDPAddrFromAddrPort(bck.cfg.outbound))
}

func (bck *backend) sender(flw *backendFlow) func(byte, uint32, uint32, []byte) {
	return func(flags byte, seq, ack uint32, data []byte) {
		bck.send(encode(flw.key.service, flw.key.client, flags, seq, ack, data))
	}
}

func (bck *backend) handle(pkt packet, raw []byte) {
	now := time.Now()
	bck.mu.Lock()
	defer bck.mu.Unlock()
	if !pkt.sumOK {
		bck.wld.rec.breach("UNASKED", fmt.Sprintf("backend %s got a packet that its sender did not write so: %v to %v flags %d", bck.cfg.id, pkt.from, pkt.to, pkt.flags))
		return
	}
	key := flowKey{pkt.from, pkt.to}
	flw := bck.flows[key]
	if pkt.has(synBit) {
		if pkt.has(ackBit) {
			bck.wld.rec.breach("UNASKED", "backend "+bck.cfg.id+" got a SYN+ACK")
			return
		}
		if flw == nil || flw.peer != pkt.seq {
			flw = &backendFlow{key: key, isn: rand.Uint32(), peer: pkt.seq}
			bck.flows[key] = flw
			bck.wld.rec.opening(bck, key, now)
		} else {
			bck.wld.rec.note("copy of the opening %v>%v at %s", key.client, key.service, bck.cfg.id)
		}
		bck.send(encode(key.service, key.client, synBit|ackBit, flw.isn, pkt.seq+1, nil))
		return
	}
	if flw != nil && flw.stm == nil && pkt.has(ackBit) && pkt.ack == flw.isn+1 {
		flw.stm = newStream(flw.isn+1, flw.peer+1)
		flw.openAt = now
		bck.wld.rec.opened(bck, key, now)
	}
	if flw == nil || flw.stm == nil {
		raw[12] |= bouncedBit
		raw[13] = 0
		bck.wld.rec.bounced(bck, key, now)
		bck.send(raw)
		return
	}
	bck.wld.rec.reached(key)
	if flw.ended {
		switch {
		case pkt.has(finBit):
			flw.stm.acknowledge(now, bck.sender(flw))
		case len(pkt.data) > 0:
			bck.send(encode(key.service, key.client, rstBit|ackBit, flw.stm.sendNext, pkt.seq, nil))
		}
		return
	}
	if pkt.has(rstBit) {
		flw.ended = true
		return
	}
	if flw.stm.take(pkt, now) {
		flw.stm.acknowledge(now, bck.sender(flw))
	}
	bck.parse(flw)
	if flw.stm.peerFin {
		flw.stm.closing = true
	}
	bck.advance(flw, now)
}

// parse begins the next request of a flow once it is whole.
func (bck *backend) parse(flw *backendFlow) {
	if flw.busy {
		return
	}
	head, _, found := bytes.Cut(flw.stm.received, []byte("\r\n\r\n"))
	if !found {
		return
	}
	id, size := "", 0
	for _, line := range strings.Split(string(head), "\r\n")[1:] {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Lagoondrum-Request-Id":
			id = value
		case "Content-Length":
			size, _ = strconv.Atoi(value)
		}
	}
	if len(flw.stm.received) < len(head)+4+size {
		return
	}
	flw.stm.received = flw.stm.received[len(head)+4+size:]
	flw.busy = true
	switch {
	case bck.busy < bck.cfg.slots:
		bck.begin(flw, id)
	case len(bck.queue) < bck.cfg.queue:
		bck.queue = append(bck.queue, func() { bck.begin(flw, id) })
	default:
		bck.wld.rec.shed(bck, id)
		bck.answer(flw, "503 Service Unavailable", id, "Lagoondrum-Not-Executed: 1\r\n", nil)
	}
}

func (bck *backend) begin(flw *backendFlow, id string) {
	bck.busy++
	bck.wld.rec.ran(run{id: id, backend: bck.cfg.id, service: bck.cfg.service, at: time.Now()})
	time.AfterFunc(bck.cfg.work(), func() {
		bck.mu.Lock()
		defer bck.mu.Unlock()
		select {
		case <-bck.stop:
			return
		default:
		}
		bck.busy--
		bck.answer(flw, "200 OK", id, "Lagoondrum-Server-Stamp: "+bck.cfg.id+"\r\n", bytes.Repeat([]byte("r"), 600))
		if len(bck.queue) > 0 {
			next := bck.queue[0]
			bck.queue = bck.queue[1:]
			next()
		}
	})
}

func (bck *backend) answer(flw *backendFlow, status, id, more string, body []byte) {
	flw.busy = false
	if flw.ended {
		return
	}
	flw.stm.toSend = append(flw.stm.toSend, fmt.Sprintf("HTTP/1.1 %s\r\nLagoondrum-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, id, more, len(body))...)
	flw.stm.toSend = append(flw.stm.toSend, body...)
	if bck.state == "draining" {
		flw.stm.closing = true
	}
	bck.parse(flw)
	bck.advance(flw, time.Now())
}

// advance sends what is due on a flow.
func (bck *backend) advance(flw *backendFlow, now time.Time) {
	if flw.stm == nil || flw.ended {
		return
	}
	if !flw.stm.due(now, maxResends, bck.sender(flw)) {
		flw.ended = true
	}
	if flw.stm.peerFin && flw.stm.finSent && len(flw.stm.unacked) == 0 {
		flw.ended = true
	}
}

func (bck *backend) tick() {
	tick := time.NewTicker(streamPeriod)
	defer tick.Stop()
	for {
		select {
		case <-bck.stop:
			return
		case now := <-tick.C:
			bck.mu.Lock()
			for _, flw := range bck.flows {
				bck.advance(flw, now)
			}
			bck.mu.Unlock()
		}
	}
}

// holds reports whether the backend holds a flow that is open.
func (bck *backend) holds(key flowKey) bool {
	select {
	case <-bck.stop:
		return false
	default:
	}
	bck.mu.Lock()
	defer bck.mu.Unlock()
	flw := bck.flows[key]
	return flw != nil && flw.stm != nil && !flw.ended
}
