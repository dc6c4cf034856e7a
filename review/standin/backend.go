package main

import (
	"bytes"
	"encoding/json"
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

// flowKey names a flow by its ends.
type flowKey struct{ client, service endpoint }

// backendFlow is a flow at a backend.
type backendFlow struct {
	open      bool
	clientISN uint32
	isn       uint32
	rcvNext   uint32
	sndNext   uint32
	acked     uint32
	buf       []byte
	unacked   []packet
	resendAt  time.Time
	resends   int
	finSent   bool
	ended     bool
}

// backend stands in for one backend: it runs what it gets, returns what it does not
// hold, and never discards a flow by itself.
type backend struct {
	w        *world
	id       string
	service  string
	ip       [4]byte
	zone     string
	workMs   int
	born     int64
	sequence int

	mu       sync.Mutex
	con      *net.UDPConn
	http     net.Listener
	outbound netip.AddrPort
	flows    map[flowKey]*backendFlow
	draining bool
	stopped  bool
}

func (w *world) startBackend(id, service string, ip [4]byte, zone string) *backend {
	return w.startBackendBorn(id, service, ip, zone, time.Now())
}

// startBackendBorn starts a backend whose clock shows the time born.
func (w *world) startBackendBorn(id, service string, ip [4]byte, zone string, born time.Time) *backend {
	bck := &backend{w: w, id: id, service: service, ip: ip, zone: zone, workMs: 30, born: born.UnixMilli(), flows: map[flowKey]*backendFlow{}}
	app := netip.AddrPortFrom(netip.AddrFrom4(ip), w.port.app)
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	w.must(err)
	lst, err := net.Listen("tcp4", app.String())
	w.must(err)
	bck.con, bck.http = con, lst
	bck.outbound = netip.AddrPortFrom(netip.AddrFrom4(ip), w.port.outbound)
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(rw http.ResponseWriter, _ *http.Request) {
		bck.mu.Lock()
		defer bck.mu.Unlock()
		if bck.draining {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go http.Serve(lst, mux)
	go bck.read()
	go bck.resend()
	bck.register()
	return bck
}

// register writes the backend's entry to the store.
func (bck *backend) register() {
	bck.mu.Lock()
	bck.sequence++
	state := "ready"
	if bck.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": bck.service, "address": netip.AddrPortFrom(netip.AddrFrom4(bck.ip), bck.w.port.app).String(), "zone": bck.zone,
		"version": "v1", "slots": 4, "state": state, "cold-remaining-ms": 0, "sequence": bck.sequence, "born": bck.born,
	}
	bck.mu.Unlock()
	value, _ := json.Marshal(entry)
	bck.w.store.put("servers/"+bck.id, value)
}

// drain reports that the backend leaves; it keeps its flows and still accepts.
func (bck *backend) drain() {
	bck.mu.Lock()
	bck.draining = true
	bck.mu.Unlock()
	bck.register()
	bck.w.record("backend %s: the store accepted its report 'draining'", bck.id)
}

func (bck *backend) send(pkt packet) {
	bck.con.WriteToUDPAddrPort(pkt.encode(), bck.outbound)
}

func (bck *backend) read() {
	buf := make([]byte, 2048)
	for {
		size, _, err := bck.con.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		pkt, genuine, ok := decode(buf[:size])
		if !ok || !genuine {
			bck.w.record("backend %s: a packet that no client wrote", bck.id)
			continue
		}
		bck.mu.Lock()
		bck.handle(pkt, buf[:size])
		bck.mu.Unlock()
	}
}

func (bck *backend) bounce(raw []byte) {
	back := append([]byte(nil), raw...)
	back[12] |= flagBnc
	back[13] = 0
	bck.con.WriteToUDPAddrPort(back, bck.outbound)
}

func (bck *backend) handle(pkt packet, raw []byte) {
	key := flowKey{pkt.src, pkt.dst}
	flw := bck.flows[key]
	if pkt.has(flagSYN) {
		if flw == nil || flw.clientISN != pkt.seq {
			flw = &backendFlow{clientISN: pkt.seq, isn: rand.Uint32(), rcvNext: pkt.seq + 1}
			flw.sndNext, flw.acked = flw.isn+1, flw.isn+1
			bck.flows[key] = flw
			bck.w.noteOpening(bck, key)
		}
		bck.send(packet{src: pkt.dst, dst: pkt.src, flags: flagSYN | flagACK, seq: flw.isn, ack: flw.clientISN + 1})
		return
	}
	if flw == nil || !flw.open && pkt.ack != flw.isn+1 {
		bck.w.noteArrival(bck, key, false)
		bck.bounce(raw)
		return
	}
	bck.w.noteArrival(bck, key, true)
	if flw.ended {
		switch {
		case pkt.has(flagFIN):
			bck.send(packet{src: pkt.dst, dst: pkt.src, flags: flagACK, seq: flw.sndNext, ack: flw.rcvNext})
		case len(pkt.data) > 0:
			bck.send(packet{src: pkt.dst, dst: pkt.src, flags: flagRST, seq: flw.sndNext, ack: flw.rcvNext})
		}
		return
	}
	if !flw.open {
		flw.open = true
		bck.w.noteOpen(bck, key)
	}
	if pkt.has(flagRST) {
		flw.ended = true
		return
	}
	if pkt.has(flagACK) && int32(pkt.ack-flw.acked) > 0 {
		flw.acked = pkt.ack
		for len(flw.unacked) > 0 && int32(flw.acked-flw.unacked[0].seq) > 0 {
			flw.unacked = flw.unacked[1:]
		}
		flw.resends, flw.resendAt = 0, time.Now().Add(200*time.Millisecond)
	}
	if len(pkt.data) > 0 {
		if pkt.seq == flw.rcvNext {
			flw.rcvNext += uint32(len(pkt.data))
			flw.buf = append(flw.buf, pkt.data...)
			bck.takeRequests(key, flw)
		} else {
			bck.send(packet{src: pkt.dst, dst: pkt.src, flags: flagACK, seq: flw.sndNext, ack: flw.rcvNext})
		}
	}
	if pkt.has(flagFIN) && pkt.seq+uint32(len(pkt.data)) == flw.rcvNext {
		flw.rcvNext++
		bck.send(packet{src: pkt.dst, dst: pkt.src, flags: flagACK | flagFIN, seq: flw.sndNext, ack: flw.rcvNext})
		flw.ended = true
	}
}

// takeRequests runs each request that has arrived whole.
func (bck *backend) takeRequests(key flowKey, flw *backendFlow) {
	head, rest, found := bytes.Cut(flw.buf, []byte("\r\n\r\n"))
	if !found {
		return
	}
	id, length := "", 0
	for _, line := range strings.Split(string(head), "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			switch name {
			case "Lagoondrum-Request-Id":
				id = value
			case "Content-Length":
				length, _ = strconv.Atoi(value)
			}
		}
	}
	if len(rest) < length {
		return
	}
	flw.buf = append([]byte(nil), rest[length:]...)
	bck.w.noteRun(bck, key, id)
	time.AfterFunc(time.Duration(bck.workMs)*time.Millisecond, func() {
		bck.mu.Lock()
		defer bck.mu.Unlock()
		if bck.stopped || bck.flows[key] != flw || flw.ended {
			return
		}
		body := "done " + id
		data := fmt.Sprintf("HTTP/1.1 200 OK\r\nLagoondrum-Server-Stamp: %s/%s\r\nContent-Length: %d\r\n\r\n%s", bck.id, id, len(body), body)
		rsp := packet{src: key.service, dst: key.client, flags: flagACK, seq: flw.sndNext, ack: flw.rcvNext, data: []byte(data)}
		flw.sndNext += uint32(len(data))
		flw.unacked = append(flw.unacked, rsp)
		flw.resendAt, flw.resends = time.Now().Add(200*time.Millisecond), 0
		bck.send(rsp)
	})
}

// resend repeats answers that the client has not acknowledged.
func (bck *backend) resend() {
	for range time.Tick(20 * time.Millisecond) {
		bck.mu.Lock()
		if bck.stopped {
			bck.mu.Unlock()
			return
		}
		for _, flw := range bck.flows {
			if len(flw.unacked) == 0 || flw.resends >= 8 || time.Now().Before(flw.resendAt) {
				continue
			}
			flw.resends++
			flw.resendAt = time.Now().Add(min(200*time.Millisecond<<flw.resends, 1600*time.Millisecond))
			bck.send(flw.unacked[0])
		}
		bck.mu.Unlock()
	}
}

// stop ends the backend.
func (bck *backend) stop() {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	bck.stopped = true
	bck.con.Close()
	bck.http.Close()
}
