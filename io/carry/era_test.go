package carry

import (
	"fmt"
	"maps"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/platform"
)

// storeCopy is what a store held at one time.
type storeCopy struct {
	revision uint64
	items    map[string]storeItem
}

// copy returns what the store holds now.
func (sto *storeStandIn) copy() storeCopy {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return storeCopy{revision: sto.revision, items: maps.Clone(sto.items)}
}

// awayFor is how long the store answers nobody before it returns from a copy.
const awayFor = 800 * time.Millisecond

// returnTo lets the store be away, and come back from a copy in the next era.
func (sto *storeStandIn) returnTo(cpy storeCopy) {
	sto.down.Store(true)
	time.Sleep(awayFor)
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.era++
	sto.revision, sto.items = cpy.revision, maps.Clone(cpy.items)
	sto.down.Store(false)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// eraWorld is a fleet of real processes with a client, and a store that can return
// from a copy.
type eraWorld struct {
	sto       *storeStandIn
	ups       map[int]*upstreamStandIn
	processes []*realProcess
	cln       *clientStandIn
	port      uint16
}

var (
	eraBalancers = []int{firstBalancer, secondBalancer, 3, 4}
	eraAgents    = []int{firstUpstream, secondUpstream, 13, 14}
)

// newEraWorld starts balancers, and agents of which the first two have the service
// feed and the others upload.
func newEraWorld(t *testing.T) *eraWorld {
	t.Helper()
	wld := &eraWorld{sto: newStore(t), ups: make(map[int]*upstreamStandIn), cln: newClient(t, testClient), port: 42000}
	wld.sto.era = 1
	wld.sto.route(1, testAddress, "feed")
	for _, num := range eraAgents {
		wld.ups[num] = newUpstream(t, num)
		wld.list(num, "ready")
		wld.processes = append(wld.processes, startRealProcess(t, "agent", num, wld.sto, serviceOf(num)))
	}
	for _, num := range eraBalancers {
		wld.processes = append(wld.processes, startRealProcess(t, "balancer", num, wld.sto, ""))
	}
	for _, num := range eraBalancers {
		awaitReady(t, num)
	}
	return wld
}

func serviceOf(agent int) string {
	if agent > secondUpstream {
		return "upload"
	}
	return "feed"
}

func (wld *eraWorld) list(agent int, state string) {
	wld.sto.listUpstream(agent, serviceOf(agent), state)
}

// assertServed opens flows of an address at balancers and checks that their requests
// are answered.
func (wld *eraWorld) assertServed(t *testing.T, address flow.Endpoint, balancers ...int) {
	t.Helper()
	wld.cln.t = t
	for _, blc := range balancers {
		for range 3 {
			wld.port++
			ept, seq := wld.cln.open(blc, address, wld.port)
			assertAnswered(t, wld.cln.request(blc, ept, address, seq))
		}
	}
}

// assertOnly checks that new flows of the address go to upstreams beside some agents only.
func (wld *eraWorld) assertOnly(t *testing.T, address flow.Endpoint, agents ...int) {
	t.Helper()
	before := map[int]int{}
	for num, ups := range wld.ups {
		before[num] = ups.openedFlows()
	}
	wld.assertServed(t, address, eraBalancers...)
	for _, num := range agents {
		before[num] = wld.ups[num].openedFlows()
	}
	for num, ups := range wld.ups {
		assert.Equal(t, ups.openedFlows(), before[num], fmt.Sprintf("upstream %d", num))
	}
}

// leftAgent is the VM of an upstream that is listed although neither it nor its agent
// runs.
const leftAgent = 15

// countOpenings counts the openings that reach the place of an agent.
func countOpenings(t *testing.T, num int) *atomic.Int64 {
	t.Helper()
	con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(vmAddr(num, peerPort)))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	var openings atomic.Int64
	go func() {
		buf := make([]byte, platform.MaxPacket+encap.HeaderBytes)
		for {
			size, err := con.Read(buf)
			if err != nil {
				return
			}
			if hdr, ok := encap.Parse(buf[:size]); ok && hdr.Kind() == encap.Open {
				openings.Add(1)
			}
		}
	}()
	return &openings
}

// TestStoreReturnsOlder plays returns of the store from a copy, with processes that
// know more than it.
func TestStoreReturnsOlder(t *testing.T) {
	wld := newEraWorld(t)
	next := flow.NewEndpoint([4]byte{198, 18, 0, 2}, 443)
	cpy := wld.sto.copy()
	wld.sto.route(2, testAddress, "upload")
	wld.sto.put("op/evacuate/elsewhere", "", false)
	for range 5 { // Revisions that are given out again.
		wld.sto.put("other/key", "x", false)
	}
	time.Sleep(settleTime)
	wld.assertOnly(t, testAddress, 13, 14)

	t.Run("desired state does not go back", func(t *testing.T) {
		wld.sto.returnTo(cpy)
		time.Sleep(settleTime)
		wld.assertOnly(t, testAddress, 13, 14)
		for _, prc := range wld.processes {
			assert.Equal(t, prc.lines(`"era changed"`, `"itemsHeld":2`), 1, prc.name) // The desired state and the evacuation.
		}
	})
	t.Run("a new version takes effect", func(t *testing.T) {
		wld.sto.route(2, testAddress, "upload")
		wld.sto.route(3, next, "feed")
		time.Sleep(3 * time.Second)
		wld.assertOnly(t, next, firstUpstream, secondUpstream)
	})
	t.Run("a process that starts in the middle gets no older version", func(t *testing.T) {
		cpy := wld.sto.copy()
		wld.sto.route(4, next, "upload")
		time.Sleep(settleTime)
		wld.sto.returnTo(cpy)
		time.Sleep(settleTime)
		late := startRealProcess(t, "balancer", 5, wld.sto, "")
		awaitReady(t, 5)
		feed := wld.ups[firstUpstream].openedFlows() + wld.ups[secondUpstream].openedFlows()
		wld.assertServed(t, next, 5)
		assert.Equal(t, wld.ups[firstUpstream].openedFlows()+wld.ups[secondUpstream].openedFlows(), feed)
		assert.Assert(t, late.alive())
	})
	t.Run("an upstream that left gets no new flows", func(t *testing.T) {
		wld.sto.route(4, next, "upload")
		wld.list(leftAgent, "ready")
		cpy := wld.sto.copy()
		time.Sleep(settleTime)
		wld.sto.put(fmt.Sprintf("servers/u%d", leftAgent), "", true)
		wld.sto.put("servers/u13", "", true)
		time.Sleep(3 * time.Second)
		wld.assertOnly(t, next, 14)
		before := wld.ups[13].openedFlows()
		openings := countOpenings(t, leftAgent)
		wld.sto.returnTo(cpy)
		time.Sleep(settleTime)
		wld.assertOnly(t, next, 13, 14)
		assert.Equal(t, openings.Load(), int64(0))
		assert.Assert(t, wld.ups[13].openedFlows() > before, "its agent lives")
		assert.Assert(t, wld.processes[0].lines("item doubted", "servers/u15") == 1)
	})
	t.Run("an upstream that the copy lacks is kept until it is listed again", func(t *testing.T) {
		for _, num := range []int{13, 14, leftAgent} { // Only 14 comes back.
			wld.sto.put(fmt.Sprintf("servers/u%d", num), "", true)
		}
		time.Sleep(3 * time.Second)
		cpy := wld.sto.copy()
		wld.list(14, "ready")
		time.Sleep(settleTime)
		wld.sto.returnTo(cpy)
		time.Sleep(1200 * time.Millisecond)
		wld.assertOnly(t, next, 14)
		wld.list(14, "ready")
		time.Sleep(2500 * time.Millisecond)
		wld.assertOnly(t, next, 14)
	})
	for _, prc := range wld.processes {
		assert.Assert(t, prc.alive(), prc.name)
	}
}
