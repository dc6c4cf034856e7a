package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// outcome is how an attempt of a client ended.
type outcome string

const (
	answered     outcome = "answered"
	systemReset  outcome = "reset by the system"
	backendReset outcome = "reset by the backend"
	noAnswer     outcome = "no answer"
)

// client stands in for the clients at one address. Its router sends each flow to the
// front that the hash of the four addresses and ports names among those in rotation.
type client struct {
	w    *world
	ip   [4]byte
	con  *net.UDPConn
	mu   sync.Mutex
	next uint16
	ends map[endpoint]*clientFlow // By the client's own end.
}

// clientFlow is a flow at its client.
type clientFlow struct {
	cli     *client
	key     flowKey
	mu      sync.Mutex
	state   string // "opening", "open", "reset"
	seq     uint32
	isn     uint32
	rcvNext uint32
	lastAck uint32
	buf     []byte
	event   chan struct{}
	cause   outcome
	via     string // The front that the last packet went to.
}

func (w *world) startClient(ip [4]byte) *client {
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(ip), w.port.datagram)))
	w.must(err)
	cli := &client{w: w, ip: ip, con: con, next: uint16(40000 + rand.IntN(2000)), ends: map[endpoint]*clientFlow{}}
	go cli.read()
	return cli
}

func (cli *client) read() {
	buf := make([]byte, 2048)
	for {
		size, _, err := cli.con.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		pkt, genuine, ok := decode(buf[:size])
		if !ok {
			continue
		}
		cli.mu.Lock()
		flw := cli.ends[pkt.dst]
		cli.mu.Unlock()
		if flw == nil || flw.key.service != pkt.src {
			continue
		}
		flw.handle(pkt, genuine)
	}
}

func (flw *clientFlow) wake() {
	select {
	case flw.event <- struct{}{}:
	default:
	}
}

// resetWindow is how far a reset of the system may be from the client's last ack.
const resetWindow = 76800

func (flw *clientFlow) handle(pkt packet, genuine bool) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	defer flw.wake()
	if pkt.has(flagRST) {
		switch {
		case genuine:
			flw.state, flw.cause = "reset", backendReset
		case pkt.sum == 0 && len(pkt.data) == 0:
			off := int32(pkt.seq - flw.lastAck)
			if flw.state == "open" && (off > resetWindow || off < -resetWindow) {
				flw.cli.w.record("client %s: a reset whose seq does not fit is ignored", flw.key.client)
				return
			}
			flw.state, flw.cause = "reset", systemReset
		}
		flw.cli.w.record("client %s: RST, %s, front %s", flw.key.client, flw.cause, flw.via)
		return
	}
	if !genuine {
		flw.cli.w.record("client %s: a packet that no backend wrote", flw.key.client)
		return
	}
	if pkt.has(flagSYN) {
		if flw.state == "opening" {
			flw.state = "open"
			flw.rcvNext, flw.lastAck = pkt.seq+1, pkt.seq+1
		}
		return
	}
	if flw.state != "open" || len(pkt.data) == 0 {
		return
	}
	if pkt.seq == flw.rcvNext {
		flw.rcvNext += uint32(len(pkt.data))
		flw.buf = append(flw.buf, pkt.data...)
	}
	flw.send(packet{flags: flagACK, seq: flw.seq, ack: flw.rcvNext})
}

// send sends a packet of the flow through the front that the router selects now.
func (flw *clientFlow) send(pkt packet) {
	pkt.src, pkt.dst = flw.key.client, flw.key.service
	if pkt.has(flagACK) {
		flw.lastAck = pkt.ack
	}
	frt := flw.cli.w.route(flw.key)
	flw.via = frt.name
	flw.cli.con.WriteToUDPAddrPort(pkt.encode(), netip.AddrPortFrom(netip.AddrFrom4(frt.ip), flw.cli.w.port.datagram))
}

// open opens a flow: the opening, its copies after 200 and 600 ms, and 1.4 s in all.
func (cli *client) open(service endpoint) (*clientFlow, outcome) {
	cli.mu.Lock()
	cli.next++
	own := endpoint{cli.ip, cli.next}
	isn := rand.Uint32()
	flw := &clientFlow{cli: cli, key: flowKey{own, service}, state: "opening", isn: isn, seq: isn + 1, event: make(chan struct{}, 1)}
	cli.ends[own] = flw
	cli.mu.Unlock()
	begun := time.Now()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		flw.mu.Lock()
		flw.send(packet{flags: flagSYN, seq: isn, ack: uint32(copies)})
		flw.mu.Unlock()
		if done, out := flw.await(begun.Add(wait), func() bool { return flw.state == "open" }); done {
			if out == answered {
				flw.mu.Lock()
				flw.send(packet{flags: flagACK, seq: flw.seq, ack: flw.rcvNext})
				flw.mu.Unlock()
			}
			return flw, out
		}
	}
	return flw, noAnswer
}

// close closes the client's side of the flow.
func (flw *clientFlow) close() {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.send(packet{flags: flagACK | flagFIN, seq: flw.seq, ack: flw.rcvNext})
}

// await waits until the flow is reset or cond holds, at most until the deadline.
func (flw *clientFlow) await(deadline time.Time, cond func() bool) (done bool, out outcome) {
	for {
		flw.mu.Lock()
		reset, met := flw.state == "reset", cond()
		cause := flw.cause
		flw.mu.Unlock()
		if reset {
			return true, cause
		}
		if met {
			return true, answered
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-flw.event:
			timer.Stop()
		case <-timer.C:
			return false, noAnswer
		}
	}
}

// request sends a request on the open flow and waits for its whole answer within the
// time budget.
func (flw *clientFlow) request(id string, budget time.Duration) (outcome, string) {
	data := []byte(fmt.Sprintf("GET /board HTTP/1.1\r\nHost: board\r\nLagoondrum-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	flw.cli.w.record("client %s: sent request %s", flw.key.client, id)
	deadline := time.Now().Add(budget)
	flw.mu.Lock()
	flw.buf = nil
	seq := flw.seq
	flw.seq += uint32(len(data))
	flw.mu.Unlock()
	gap := 200 * time.Millisecond
	for time.Now().Before(deadline) {
		flw.mu.Lock()
		if flw.state == "open" {
			flw.send(packet{flags: flagACK, seq: seq, ack: flw.rcvNext, data: data})
		}
		flw.mu.Unlock()
		until := time.Now().Add(gap)
		if until.After(deadline) {
			until = deadline
		}
		body := ""
		done, out := flw.await(until, func() bool {
			head, rest, found := strings.Cut(string(flw.buf), "\r\n\r\n")
			body = rest
			return found && strings.Contains(head, "Lagoondrum-Server-Stamp: ") && strings.HasSuffix(rest, "done "+id)
		})
		if done {
			flw.cli.w.record("client %s: request %s %s %q (front %s)", flw.key.client, id, out, body, flw.via)
			return out, body
		}
		gap = min(2*gap, 1600*time.Millisecond)
	}
	flw.cli.w.record("client %s: request %s %s (front %s)", flw.key.client, id, noAnswer, flw.via)
	return noAnswer, ""
}
