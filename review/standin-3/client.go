package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// copyOffsets are the times at which a client sends its opening packet.
var copyOffsets = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout = 1400 * time.Millisecond
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	resetRange  = 76800 // How far the seq of a reset of an open flow may be from the client's last ack.
)

// clients is the machine of all clients.
type clients struct {
	wld  *world
	con  *net.UDPConn
	addr netip.AddrPort

	mu    sync.Mutex
	flows map[flowKey]*flow
	port  uint16
}

// flow is a flow of a client.
type flow struct {
	cls *clients
	key flowKey

	mu        sync.Mutex
	open      bool
	seq       uint32 // The next sequence number.
	ack       uint32 // The next one of the backend.
	copies    []time.Time
	resetAt   time.Time // Zero until a reset is received.
	resetOpen bool      // The flow was open then.
	answers   []string
	changed   chan struct{}
}

func newClients(wld *world, addr netip.AddrPort) (*clients, error) {
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	cls := &clients{wld: wld, con: con, addr: addr, flows: make(map[flowKey]*flow), port: 40000}
	go cls.read()
	return cls, nil
}

func (cls *clients) read() {
	buf := make([]byte, 2048)
	for {
		size, _, err := cls.con.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		pkt, ok := parsePacket(buf[:size])
		if !ok {
			continue
		}
		cls.mu.Lock()
		flw := cls.flows[flowKey{client: pkt.dst, route: pkt.src}]
		cls.mu.Unlock()
		if flw != nil {
			flw.handle(pkt)
		}
	}
}

// newFlow returns a flow from a new port.
func (cls *clients) newFlow(route netip.AddrPort) *flow {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cls.port++
	flw := &flow{cls: cls, key: flowKey{client: netip.AddrPortFrom(cls.addr.Addr(), cls.port), route: route}, seq: rand.Uint32(), changed: make(chan struct{})}
	cls.flows[flw.key] = flw
	return flw
}

// send sends a packet to the balancer that the router chooses now.
func (flw *flow) send(pkt packet) {
	front := flw.cls.wld.router.choose(flw.key)
	_, _ = flw.cls.con.WriteToUDPAddrPort(pkt.sealed().encode(), front)
}

func (flw *flow) packet(flags byte, seq, ack uint32, data []byte) packet {
	return packet{src: flw.key.client, dst: flw.key.route, flags: flags, seq: seq, ack: ack, data: data}
}

// notify wakes who waits for a change. The caller holds mu.
func (flw *flow) notify() {
	close(flw.changed)
	flw.changed = make(chan struct{})
}

func (flw *flow) handle(pkt packet) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	rec := flw.cls.wld.rec
	switch {
	case pkt.has(flagRst):
		valid := pkt.sum == 0 && len(pkt.data) == 0 && (!flw.open || flw.ack-pkt.seq <= resetRange || pkt.seq-flw.ack <= resetRange)
		rec.note("client of %s gets a reset, seq %d, sum %d, flow open: %v, valid: %v", flw.key.client, pkt.seq, pkt.sum, flw.open, valid)
		if valid && flw.resetAt.IsZero() {
			flw.resetAt, flw.resetOpen = time.Now(), flw.open
			flw.notify()
		}
	case pkt.sum != pkt.wantedSum():
		rec.note("client of %s gets a forged packet", flw.key.client)
	case pkt.has(flagSyn) && !flw.open:
		flw.open = true
		flw.seq++
		flw.ack = pkt.seq + 1
		flw.notify()
	case len(pkt.data) > 0 && pkt.seq == flw.ack:
		flw.ack += uint32(len(pkt.data))
		_, body, _ := strings.Cut(string(pkt.data), "\r\n\r\n")
		flw.answers = append(flw.answers, body)
		rec.note("client of %s gets the answer %q", flw.key.client, body)
		flw.notify()
	}
}

// state returns what happened to the flow.
func (flw *flow) state() (open bool, resetAt time.Time, resetOpen bool, answers int, changed chan struct{}) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	return flw.open, flw.resetAt, flw.resetOpen, len(flw.answers), flw.changed
}

// connect opens the flow and reports whether it opened.
func (flw *flow) connect() bool {
	begun := time.Now()
	flw.mu.Lock()
	seq := flw.seq
	flw.mu.Unlock()
	for num, offset := range copyOffsets {
		if flw.waitUntil(begun.Add(offset), func(open, reset bool) bool { return open || reset }) {
			break
		}
		flw.mu.Lock()
		flw.copies = append(flw.copies, time.Now())
		flw.mu.Unlock()
		if num > 0 {
			flw.cls.wld.rec.note("client of %s sends copy %d of its opening", flw.key.client, num)
		}
		flw.send(flw.packet(flagSyn, seq, uint32(num), nil))
	}
	flw.waitUntil(begun.Add(openTimeout), func(open, reset bool) bool { return open || reset })
	open, _, _, _, _ := flw.state()
	return open
}

// waitUntil waits until a condition holds and reports whether it does.
func (flw *flow) waitUntil(deadline time.Time, cond func(open, reset bool) bool) bool {
	for {
		open, resetAt, _, _, changed := flw.state()
		if cond(open, !resetAt.IsZero()) {
			return true
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
			return false
		}
	}
}

// request sends a request on the open flow, and reports whether it was answered before
// the time budget ended.
func (flw *flow) request(id string, budget time.Duration) bool {
	deadline := time.Now().Add(budget)
	data := []byte(fmt.Sprintf("POST /work HTTP/1.1\r\nHost: h\r\nLagoondrum-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	flw.mu.Lock()
	seq, want := flw.seq, len(flw.answers)+1
	flw.seq += uint32(len(data))
	flw.mu.Unlock()
	flw.cls.wld.rec.note("client of %s sends request %s", flw.key.client, id)
	for wait := firstResend; ; wait = min(2*wait, lastResend) {
		flw.mu.Lock()
		pkt := flw.packet(flagAck, seq, flw.ack, data)
		flw.mu.Unlock()
		flw.send(pkt)
		resendAt := time.Now().Add(wait)
		if resendAt.After(deadline) {
			resendAt = deadline
		}
		for time.Now().Before(resendAt) {
			_, resetAt, _, answers, changed := flw.state()
			if answers >= want {
				return true
			}
			if !resetAt.IsZero() {
				return false
			}
			select {
			case <-changed:
			case <-time.After(time.Until(resendAt)):
			}
		}
		if !time.Now().Before(deadline) {
			return false
		}
	}
}
