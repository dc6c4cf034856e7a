package carry

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
	"lagoondrum/io/conf"
	"lagoondrum/io/logs"
	"lagoondrum/platform"
)

// Ports and timeout of the tests. Every VM has a loopback address of its own.
const (
	packetPort   = 28172
	outboundPort = 28162
	readyPort    = 28167
	peerPort     = 28720
	upstreamPort = 28165
	waitTimeout  = 10 * time.Second
)

func vmIP(num int) [4]byte { return [4]byte{127, 0, 7, byte(num)} }

func vmAddr(num, port int) netip.AddrPort { return addrPort(vmIP(num), uint16(port)) }

// storeStandIn stands in for the platform's store. It serves the items and long-polls
// for changes.
type storeStandIn struct {
	srv *httptest.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	changed  chan struct{}
	era      uint64 // Told in the header of every answer, unless it is 0.
	down     atomic.Bool
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore(t *testing.T) *storeStandIn {
	t.Helper()
	sto := &storeStandIn{items: make(map[string]storeItem), changed: make(chan struct{}), revision: 10}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-range", func(rw http.ResponseWriter, req *http.Request) { sto.answer(rw, "items", 0) })
	mux.HandleFunc("/api/kv-watch", sto.watch)
	sto.srv = httptest.NewServer(mux)
	t.Cleanup(sto.srv.Close)
	return sto
}

func (sto *storeStandIn) addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(sto.srv.URL, "http://"))
}

func (sto *storeStandIn) put(key, value string, deleted bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.items[key] = storeItem{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), Revision: sto.revision, Deleted: deleted}
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *storeStandIn) answer(rw http.ResponseWriter, field string, after uint64) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.era > 0 {
		rw.Header().Set("Store-Era", fmt.Sprint(sto.era))
	}
	switch {
	case sto.down.Load():
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case after > sto.revision:
		rw.WriteHeader(http.StatusGone)
		return
	}
	list := []storeItem{}
	for _, itm := range sto.items {
		if itm.Revision > after && (field == "events" || !itm.Deleted) {
			list = append(list, itm)
		}
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{field: list, "has-more": false, "at-rev": sto.revision})
}

func (sto *storeStandIn) watch(rw http.ResponseWriter, req *http.Request) {
	var after uint64
	var wait int
	fmt.Sscan(req.URL.Query().Get("after"), &after)
	fmt.Sscan(req.URL.Query().Get("wait-ms"), &wait)
	sto.mu.Lock()
	changed, newer := sto.changed, sto.revision != after
	sto.mu.Unlock()
	if !newer {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-req.Context().Done():
		}
	}
	sto.answer(rw, "events", after)
}

// listUpstream publishes the entry of an upstream.
func (sto *storeStandIn) listUpstream(num int, service, state string) {
	sto.put(fmt.Sprintf("servers/u%d", num), fmt.Sprintf(`{"service":%q,"address":"%s","zone":"z","version":"v1","slots":4,"state":%q,"cold-remaining-ms":0,"sequence":1}`,
		service, vmAddr(num, upstreamPort), state), false)
}

func (sto *storeStandIn) route(version int, address flow.Endpoint, service string) {
	ip := netip.AddrFrom4(address.IP())
	sto.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":%q,"prefix":"/%d/","service":%q}],"limits":{"idle-timeout-ms":15000}}`,
		version, ip, address.Port(), service), false)
}

// upstreamStandIn stands in for an upstream. It accepts flows, answers data, and
// returns packets of flows that it does not hold.
type upstreamStandIn struct {
	con   *net.UDPConn
	agent *net.UDPAddr

	mu      sync.Mutex
	flows   map[flow.Key]uint32
	nextSeq uint32
	opened  int
}

func newUpstream(t *testing.T, num int) *upstreamStandIn {
	t.Helper()
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(vmAddr(num, upstreamPort)))
	assert.NilError(t, err)
	ups := &upstreamStandIn{con: con, agent: net.UDPAddrFromAddrPort(vmAddr(num, outboundPort)), flows: make(map[flow.Key]uint32), nextSeq: uint32(num) << 24}
	t.Cleanup(func() { _ = con.Close() })
	go ups.run()
	return ups
}

func (ups *upstreamStandIn) run() {
	buf := make([]byte, platform.MaxPacket)
	for {
		size, err := ups.con.Read(buf)
		if err != nil {
			return
		}
		if pkt, ok := platform.ParsePacket(buf[:size]); ok {
			_, _ = ups.con.WriteToUDP(ups.answer(pkt, append([]byte(nil), buf[:size]...)), ups.agent)
		}
	}
}

func (ups *upstreamStandIn) answer(pkt flow.Packet, raw []byte) []byte {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	key := pkt.KeyFromClient()
	if pkt.Opening() {
		if ups.flows[key] == 0 {
			ups.nextSeq += 1 << 12
			ups.flows[key] = ups.nextSeq
			ups.opened++
		}
		return encode(pkt.To(), pkt.From(), synBit|ackBit, ups.flows[key], pkt.Seq()+1, nil)
	}
	if seq := ups.flows[key]; seq != 0 && pkt.Ack() == seq+1 {
		return encode(pkt.To(), pkt.From(), ackBit, seq+1, pkt.Seq()+1, []byte("answer"))
	}
	raw[12] |= 128
	return raw
}

func (ups *upstreamStandIn) openedFlows() int {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	return ups.opened
}

const (
	rstBit = 1
	synBit = 2
	ackBit = 8
)

// encode encodes a packet of a client or an upstream.
func encode(from, to flow.Endpoint, flags byte, seq, ack uint32, data []byte) []byte {
	raw := make([]byte, 32, 32+len(data))
	binary.LittleEndian.PutUint16(raw, from.Port())
	binary.LittleEndian.PutUint16(raw[2:], to.Port())
	putIP(raw[4:], to.IP())
	putIP(raw[8:], from.IP())
	raw[12] = flags
	binary.LittleEndian.PutUint16(raw[18:], uint16(len(data)))
	binary.LittleEndian.PutUint32(raw[20:], seq)
	binary.LittleEndian.PutUint32(raw[24:], ack)
	binary.LittleEndian.PutUint32(raw[28:], 0xfeed)
	return append(raw, data...)
}

func putIP(raw []byte, ip [4]byte) { raw[0], raw[1], raw[2], raw[3] = ip[3], ip[2], ip[1], ip[0] }

// process is a balancer or an agent that runs in the test's own process.
type process struct {
	cancel context.CancelFunc
	done   chan error
}

func (prc *process) stop(t *testing.T) {
	t.Helper()
	prc.cancel()
	select {
	case err := <-prc.done:
		assert.NilError(t, err)
		close(prc.done)
	case <-time.After(waitTimeout):
		t.Fatal("the process did not stop in time")
	}
}

// settingsText returns the settings file of a process, with the peer addresses of its
// seeds.
func settingsText(num int, sto *storeStandIn, service string, seeds ...string) string {
	text := fmt.Sprintf(`[process]
name = vm%d
zone = z
region = r
fabric = packets
[peer]
address = %s
seeds = %s
[platform]
address = %s
[packets]
listen = %s
outbound = %s
ready = %s
metrics = %s
graceSeconds = 3
`, num, vmAddr(num, peerPort), strings.Join(seeds, ","), sto.addr(), vmAddr(num, packetPort), vmAddr(num, outboundPort), vmAddr(num, readyPort), vmAddr(num, readyPort+1))
	if service != "" {
		text += fmt.Sprintf("[upstream]\naddress = %s\nservice = %s\n", vmAddr(num, upstreamPort), service)
	}
	return text
}

func newSettings(t *testing.T, num int, sto *storeStandIn, service string) *conf.Settings {
	t.Helper()
	set, err := conf.Parse("test", []byte(settingsText(num, sto, service)))
	assert.NilError(t, err)
	return set
}

type runFunc func(context.Context, *conf.Settings, *zap.Logger, *logs.Output) error

// startProcess starts a balancer or an agent and waits until it is ready.
func startProcess(t *testing.T, num int, set *conf.Settings, run runFunc) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	prc := &process{cancel: cancel, done: make(chan error, 1)}
	go func() { prc.done <- run(ctx, set, zap.NewNop(), logs.NewOutput(&strings.Builder{})) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-prc.done:
		case <-time.After(waitTimeout):
		}
	})
	awaitReady(t, num)
	return prc
}

func awaitReady(t *testing.T, num int) {
	t.Helper()
	eventually(t, "ready", func() bool {
		rsp, err := http.Get("http://" + vmAddr(num, readyPort).String() + platform.ReadyPath)
		if err != nil {
			return false
		}
		_ = rsp.Body.Close()
		return rsp.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not %s after %s", condition, waitTimeout)
		}
	}
}

// clientStandIn stands in for a client behind the routers. Answers arrive at its
// own IP address and the packet port.
type clientStandIn struct {
	t        *testing.T
	con      *net.UDPConn
	endpoint flow.Endpoint
}

func newClient(t *testing.T, num int) *clientStandIn {
	t.Helper()
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(vmAddr(num, packetPort)))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	return &clientStandIn{t: t, con: con, endpoint: flow.NewEndpoint(vmIP(num), 40000)}
}

// exchange sends a packet to a balancer, repeats it every 200 ms as clients do, and
// returns the first answer that matches.
func (cln *clientStandIn) exchange(balancer int, raw []byte, matches func(flow.Packet) bool) flow.Packet {
	cln.t.Helper()
	buf := make([]byte, platform.MaxPacket)
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		_, err := cln.con.WriteToUDPAddrPort(raw, vmAddr(balancer, packetPort))
		assert.NilError(cln.t, err)
		until := time.Now().Add(200 * time.Millisecond)
		for time.Now().Before(until) {
			_ = cln.con.SetReadDeadline(until)
			size, err := cln.con.Read(buf)
			if err != nil {
				break
			}
			if pkt, ok := platform.ParsePacket(buf[:size]); ok && matches(pkt) {
				return pkt
			}
		}
	}
	cln.t.Fatal("no matching answer")
	return flow.Packet{}
}

// open opens a flow and returns its client endpoint and the upstream's sequence
// number.
func (cln *clientStandIn) open(balancer int, address flow.Endpoint, port uint16) (flow.Endpoint, uint32) {
	cln.t.Helper()
	ept := flow.NewEndpoint(cln.endpoint.IP(), port)
	pkt := cln.exchange(balancer, encode(ept, address, synBit, 700, 0, nil), func(pkt flow.Packet) bool { return pkt.Has(flow.Syn) && pkt.To() == ept })
	return ept, pkt.Seq()
}

// request sends data on a flow and returns the answer or reset.
func (cln *clientStandIn) request(balancer int, ept, address flow.Endpoint, seq uint32) flow.Packet {
	cln.t.Helper()
	return cln.exchange(balancer, encode(ept, address, ackBit, 701, seq+1, []byte("question")),
		func(pkt flow.Packet) bool { return pkt.To() == ept && (pkt.DataBytes() > 0 || pkt.Has(flow.Rst)) })
}
