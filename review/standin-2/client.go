package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// synOffsets are when a client sends its opening packet and the copies.
var synOffsets = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const synTimeout = 1400 * time.Millisecond

// outcome is how an attempt ended for its client.
type outcome string

// The outcomes.
const (
	answered     outcome = "answered"
	notExecuted  outcome = "notExecuted"
	neverOpened  outcome = "neverOpened" // No answer to the opening, or a reset before the flow was open.
	resetOnOpen  outcome = "resetOnOpen" // A reset of the system on an open flow.
	resetByOther outcome = "resetByBackend"
	gaveUp       outcome = "gaveUp"
)

// attempt is one request on a flow of its own.
type attempt struct {
	id     string
	key    flowKey
	isn    uint32
	began  time.Time
	budget time.Duration
	body   []byte
	stm    *stream // Nil until the flow is open for the client.
	copies int
	last   time.Time // When the client last sent a packet.
	maxGap time.Duration
	done   chan outcome
	long   bool // The flow stays open after an answer.
	waits  bool // A request is not answered yet.
	ended  bool
	linger time.Time // Until when the end of the flow is awaited.
}

// client is one client address with its flows.
type client struct {
	wld      *world
	zone     string
	addr     netip.AddrPort // Of its socket.
	con      *net.UDPConn
	mu       sync.Mutex
	attempts map[flowKey]*attempt
	nextPort uint16
	stop     chan struct{}
}

func newClient(wld *world, zone string, addr netip.AddrPort) (*client, error) {
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = con.SetReadBuffer(4 << 20)
	cln := &client{wld: wld, zone: zone, addr: addr, con: con, attempts: make(map[flowKey]*attempt), nextPort: 1024, stop: make(chan struct{})}
	go cln.read()
	go cln.tick()
	return cln, nil
}

func (cln *client) end() {
	close(cln.stop)
	_ = cln.con.Close()
}

// requestText returns the bytes of a request.
func requestText(id string, service netip.AddrPort, size int) []byte {
	head := fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: %v\r\nLagoondrum-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", service, id, size)
	return append([]byte(head), bytes.Repeat([]byte("b"), size)...)
}

// start begins an attempt on a flow of its own. A long flow stays open.
func (cln *client) start(id string, service netip.AddrPort, size int, budget time.Duration, long bool) *attempt {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	cln.nextPort++
	now := time.Now()
	att := &attempt{
		id: id, key: flowKey{netip.AddrPortFrom(cln.addr.Addr(), cln.nextPort), service}, isn: rand.Uint32(), began: now, budget: budget, long: long, waits: true, done: make(chan outcome, 1),
		body: requestText(id, service, size),
	}
	cln.attempts[att.key] = att
	cln.wld.rec.note("send %s on %v>%v", id, att.key.client, service)
	cln.advance(att, now)
	return att
}

func (cln *client) send(att *attempt, raw []byte, now time.Time) {
	if !att.last.IsZero() && att.stm != nil {
		att.maxGap = max(att.maxGap, now.Sub(att.last))
	}
	att.last = now
	if to, ok := cln.wld.router.pick(cln.zone, att.key); ok {
		_, _ = cln.con.WriteToUDP(raw, net.UDPAddrFromAddrPort(to))
	}
}

func (cln *client) sender(att *attempt) func(byte, uint32, uint32, []byte) {
	return func(flags byte, seq, ack uint32, data []byte) {
		cln.send(att, encode(att.key.client, att.key.service, flags, seq, ack, data), time.Now())
	}
}

// advance sends what is due for an attempt.
func (cln *client) advance(att *attempt, now time.Time) {
	switch {
	case att.stm != nil:
		att.stm.due(now, 0, cln.sender(att))
		switch {
		case att.ended && (now.After(att.linger) || att.stm.peerFin && len(att.stm.unacked) == 0):
			delete(cln.attempts, att.key)
		case att.waits && now.Sub(att.began) >= att.budget:
			cln.finish(att, gaveUp)
		}
	case now.Sub(att.began) >= synTimeout:
		cln.finish(att, neverOpened)
		delete(cln.attempts, att.key)
	case att.copies < len(synOffsets) && now.Sub(att.began) >= synOffsets[att.copies]:
		cln.send(att, encode(att.key.client, att.key.service, synBit, att.isn, uint32(att.copies), nil), now)
		att.copies++
	}
}

// again sends a further request on the flow of an attempt that was answered, and reports
// false if the flow is closed.
func (cln *client) again(att *attempt, id string, size int) bool {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	if att.ended || att.stm == nil || att.stm.peerFin {
		return false
	}
	now := time.Now()
	att.id, att.began, att.waits, att.maxGap = id, now, true, 0
	att.stm.toSend = append(att.stm.toSend, requestText(id, att.key.service, size)...)
	cln.wld.rec.note("send %s on %v>%v", id, att.key.client, att.key.service)
	cln.advance(att, now)
	return true
}

// session sends up to count requests on one flow, with pauses between them, and begins
// none after until.
func (cln *client) session(id string, service netip.AddrPort, count int, pause, budget time.Duration, until time.Time) {
	att := cln.start(id+"-0", service, 200, budget, true)
	for num := 1; <-att.done == answered && num < count; num++ {
		time.Sleep(pause)
		if time.Now().After(until) {
			break
		}
		if !cln.again(att, fmt.Sprintf("%s-%d", id, num), 200) {
			return
		}
	}
	cln.mu.Lock()
	defer cln.mu.Unlock()
	att.long = false
	cln.finish(att, answered)
}

// finish ends an attempt for its caller. The flow is closed, unless it is a long one and
// the request was answered.
func (cln *client) finish(att *attempt, out outcome) {
	if att.ended {
		return
	}
	if att.long && out == answered {
		att.waits = false
		cln.wld.rec.note("end %s %s after %.3f s", att.id, out, time.Since(att.began).Seconds())
		cln.wld.rec.count("ended " + string(out))
		att.done <- out
		return
	}
	if !att.waits {
		att.ended, att.linger = true, time.Now().Add(4*time.Second)
		if att.stm != nil {
			att.stm.closing = true
		}
		return
	}
	att.waits = false
	att.ended = true
	att.linger = time.Now().Add(4 * time.Second)
	if att.stm != nil {
		att.stm.closing = true
	}
	cln.wld.rec.note("end %s %s after %.3f s, longest pause between two packets of the client %.3f s", att.id, out, time.Since(att.began).Seconds(), att.maxGap.Seconds())
	cln.wld.rec.count("ended " + string(out))
	att.done <- out
}

func (cln *client) read() {
	buf := make([]byte, 2048)
	for {
		size, err := cln.con.Read(buf)
		if err != nil {
			select {
			case <-cln.stop:
				return
			default:
				continue
			}
		}
		if pkt, ok := decode(buf[:size]); ok {
			cln.handle(pkt, time.Now())
		}
	}
}

func (cln *client) handle(pkt packet, now time.Time) {
	cln.mu.Lock()
	defer cln.mu.Unlock()
	att := cln.attempts[flowKey{pkt.to, pkt.from}]
	if att == nil {
		return
	}
	if !pkt.sumOK && !(pkt.has(rstBit) && pkt.sumZero) {
		cln.wld.rec.breach("MIXED", fmt.Sprintf("client got a packet that its sender did not write so: %v to %v", pkt.from, pkt.to))
		return
	}
	switch {
	case pkt.has(rstBit):
		cln.handleReset(att, pkt, now)
	case pkt.has(synBit):
		if att.stm == nil && pkt.has(ackBit) && pkt.ack == att.isn+1 {
			att.stm = newStream(att.isn+1, pkt.seq+1)
			att.stm.acknowledge(now, cln.sender(att))
			att.stm.toSend = att.body
			cln.advance(att, now)
		}
	case att.stm != nil:
		if att.stm.take(pkt, now) {
			att.stm.acknowledge(now, cln.sender(att))
		}
		cln.parse(att)
		cln.advance(att, now)
	}
}

// handleReset handles a reset. One of the system on a flow that is open while its
// backend lives and holds it breaks the rule FLOW.
func (cln *client) handleReset(att *attempt, pkt packet, now time.Time) {
	if att.stm == nil {
		cln.finish(att, neverOpened)
		delete(cln.attempts, att.key)
		return
	}
	if !pkt.sumZero {
		if !att.ended {
			cln.finish(att, resetByOther)
		}
		delete(cln.attempts, att.key)
		return
	}
	if diff := int32(pkt.seq - att.stm.recvNext); diff > 76800 || diff < -76800 {
		return // Not a valid reset.
	}
	if flw, open := cln.wld.rec.holder(att.key); open && !att.ended {
		cln.wld.judgeReset(att, flw, now)
	}
	cln.finish(att, resetOnOpen)
	delete(cln.attempts, att.key)
}

// parse looks for the answer of an attempt.
func (cln *client) parse(att *attempt) {
	if !att.waits {
		return
	}
	head, rest, found := bytes.Cut(att.stm.received, []byte("\r\n\r\n"))
	if !found {
		return
	}
	text, size := string(head), 0
	for _, line := range strings.Split(text, "\r\n") {
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			size, _ = strconv.Atoi(value)
		}
	}
	if len(rest) < size {
		return
	}
	att.stm.received = append([]byte(nil), rest[size:]...)
	switch {
	case !strings.Contains(text, "Lagoondrum-Request-Id: "+att.id+"\r\n"):
		cln.wld.rec.breach("MIXED", "answer of another request for "+att.id)
		cln.finish(att, answered)
	case strings.HasPrefix(text, "HTTP/1.1 200"):
		cln.finish(att, answered)
	default:
		cln.finish(att, notExecuted)
	}
}

func (cln *client) tick() {
	tick := time.NewTicker(streamPeriod)
	defer tick.Stop()
	for {
		select {
		case <-cln.stop:
			return
		case now := <-tick.C:
			cln.mu.Lock()
			for _, att := range cln.attempts {
				cln.advance(att, now)
			}
			cln.mu.Unlock()
		}
	}
}
