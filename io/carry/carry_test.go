package carry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

var testAddress = flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)

// inForce is how long the tests give a change; the promise is seconds.
const inForce = 500 * time.Millisecond

// The VMs of the tests: two balancers, two upstreams, one client.
const (
	firstBalancer  = 1
	secondBalancer = 2
	firstUpstream  = 11
	secondUpstream = 12
	testClient     = 21
)

// assertAnswered checks that a flow is served by its own upstream.
func assertAnswered(t *testing.T, pkt flow.Packet) {
	t.Helper()
	assert.Assert(t, !pkt.Has(flow.Rst), "the flow was reset")
	assert.Equal(t, pkt.DataBytes(), len("answer"))
}

// TestWholePath has the real processes serve flows in front of stand-ins while
// they are stopped and replaced.
func TestWholePath(t *testing.T) {
	whole := t // Processes outlive the step that starts them.
	sto := newStore(t)
	sto.route(1, testAddress, "feed")
	ups := map[int]*upstreamStandIn{}
	agents := map[int]*running{}
	for _, num := range []int{firstUpstream, secondUpstream} {
		ups[num] = newUpstream(t, num)
		sto.listUpstream(num, "feed", "ready")
		agents[num] = start(t, num, settings(t, num, sto, "feed"), RunAgent)
	}
	first := start(t, firstBalancer, settings(t, firstBalancer, sto, ""), RunBalancer)
	start(t, secondBalancer, settings(t, secondBalancer, sto, ""), RunBalancer)
	cln := newClient(t, testClient)

	ept, seq := cln.open(firstBalancer, testAddress, 40001)
	holder := firstUpstream
	if ups[secondUpstream].openings() > 0 {
		holder = secondUpstream
	}
	other := firstUpstream + secondUpstream - holder

	t.Run("an open flow is answered", func(t *testing.T) {
		assertAnswered(t, cln.ask(firstBalancer, ept, testAddress, seq))
	})
	t.Run("another balancer finds its agent", func(t *testing.T) {
		assertAnswered(t, cln.ask(secondBalancer, ept, testAddress, seq))
	})
	t.Run("it survives a restart of its agent", func(t *testing.T) {
		agents[holder].stop(t)
		agents[holder] = start(whole, holder, settings(t, holder, sto, "feed"), RunAgent)
		assertAnswered(t, cln.ask(firstBalancer, ept, testAddress, seq))
	})
	t.Run("it survives a restart of its balancer", func(t *testing.T) {
		first.stop(t)
		assertAnswered(t, cln.ask(secondBalancer, ept, testAddress, seq))
		start(whole, firstBalancer, settings(t, firstBalancer, sto, ""), RunBalancer)
		assertAnswered(t, cln.ask(firstBalancer, ept, testAddress, seq))
	})
	t.Run("a leaving upstream gets no new flow and keeps the old one", func(t *testing.T) {
		sto.listUpstream(holder, "feed", "draining")
		time.Sleep(inForce)
		before := ups[holder].openings()
		for port := range uint16(10) {
			cln.open(firstBalancer, testAddress, 41000+port)
		}
		assert.Equal(t, ups[holder].openings(), before)
		assert.Assert(t, ups[other].openings() >= 10)
		assertAnswered(t, cln.ask(firstBalancer, ept, testAddress, seq))
	})
	t.Run("a flow that no upstream holds is reset", func(t *testing.T) {
		gone := flow.NewEndpoint(cln.endpoint.IP(), 42000)
		assert.Assert(t, cln.ask(firstBalancer, gone, testAddress, 77).Has(flow.Rst))
	})
	t.Run("a route that was dropped refuses new flows, while the platform is down", func(t *testing.T) {
		sto.put("op/config", `{"version":2,"routes":[],"limits":{"idle-timeout-ms":15000}}`, false)
		time.Sleep(inForce)
		fresh := flow.NewEndpoint(cln.endpoint.IP(), 43000)
		pkt := cln.exchange(firstBalancer, encode(fresh, testAddress, synBit, 700, 0, nil), func(pkt flow.Packet) bool { return pkt.To() == fresh && pkt.Has(flow.Rst) })
		assert.Assert(t, pkt.Has(flow.Rst))
		sto.down.Store(true)
		assertAnswered(t, cln.ask(firstBalancer, ept, testAddress, seq))
	})
	t.Run("metrics are served", func(t *testing.T) {
		rsp, err := http.Get("http://" + vmAddr(firstBalancer, readyPort+1).String() + "/metrics")
		assert.NilError(t, err)
		assert.Equal(t, rsp.StatusCode, http.StatusOK)
		_ = rsp.Body.Close()
	})
}
