package carry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

var testAddress = flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)

// settleTime is how long the test waits for a change to take effect. The system
// only guarantees seconds.
const settleTime = 500 * time.Millisecond

// The VMs of the tests: two balancers, two upstreams, one client.
const (
	firstBalancer  = 1
	secondBalancer = 2
	firstUpstream  = 11
	secondUpstream = 12
	testClient     = 21
)

// assertAnswered checks that a packet is an answer of the upstream that holds the
// flow.
func assertAnswered(t *testing.T, pkt flow.Packet) {
	t.Helper()
	assert.Assert(t, !pkt.Has(flow.Rst), "the flow was reset")
	assert.Equal(t, pkt.DataBytes(), len("answer"))
}

// TestWholePath runs real balancers and agents between a client stand-in and
// upstream stand-ins, and checks that flows survive while processes are restarted,
// upstreams drain and the platform is down.
func TestWholePath(t *testing.T) {
	outer := t // For processes that outlive the subtest that starts them.
	sto := newStore(t)
	sto.route(1, testAddress, "feed")
	ups := map[int]*upstreamStandIn{}
	agents := map[int]*process{}
	for _, num := range []int{firstUpstream, secondUpstream} {
		ups[num] = newUpstream(t, num)
		sto.listUpstream(num, "feed", "ready")
		agents[num] = startProcess(t, num, newSettings(t, num, sto, "feed"), RunAgent)
	}
	first := startProcess(t, firstBalancer, newSettings(t, firstBalancer, sto, ""), RunBalancer)
	startProcess(t, secondBalancer, newSettings(t, secondBalancer, sto, ""), RunBalancer)
	cln := newClient(t, testClient)

	ept, seq := cln.open(firstBalancer, testAddress, 40001)
	holder := firstUpstream
	if ups[secondUpstream].openedFlows() > 0 {
		holder = secondUpstream
	}
	other := firstUpstream + secondUpstream - holder

	t.Run("data on an open flow is answered", func(t *testing.T) {
		assertAnswered(t, cln.request(firstBalancer, ept, testAddress, seq))
	})
	t.Run("another balancer finds the flow's agent", func(t *testing.T) {
		assertAnswered(t, cln.request(secondBalancer, ept, testAddress, seq))
	})
	t.Run("flow survives a restart of its agent", func(t *testing.T) {
		agents[holder].stop(t)
		agents[holder] = startProcess(outer, holder, newSettings(t, holder, sto, "feed"), RunAgent)
		assertAnswered(t, cln.request(firstBalancer, ept, testAddress, seq))
	})
	t.Run("flow survives a restart of its balancer", func(t *testing.T) {
		first.stop(t)
		assertAnswered(t, cln.request(secondBalancer, ept, testAddress, seq))
		startProcess(outer, firstBalancer, newSettings(t, firstBalancer, sto, ""), RunBalancer)
		assertAnswered(t, cln.request(firstBalancer, ept, testAddress, seq))
	})
	t.Run("draining upstream gets no new flows and keeps the open one", func(t *testing.T) {
		sto.listUpstream(holder, "feed", "draining")
		time.Sleep(settleTime)
		before := ups[holder].openedFlows()
		for port := range uint16(10) {
			cln.open(firstBalancer, testAddress, 41000+port)
		}
		assert.Equal(t, ups[holder].openedFlows(), before)
		assert.Assert(t, ups[other].openedFlows() >= 10)
		assertAnswered(t, cln.request(firstBalancer, ept, testAddress, seq))
	})
	t.Run("flow that no upstream holds is reset", func(t *testing.T) {
		gone := flow.NewEndpoint(cln.endpoint.IP(), 42000)
		assert.Assert(t, cln.request(firstBalancer, gone, testAddress, 77).Has(flow.Rst))
	})
	t.Run("removed route refuses new flows and open flows survive a platform outage", func(t *testing.T) {
		sto.put("op/config", `{"version":2,"routes":[],"limits":{"idle-timeout-ms":15000}}`, false)
		time.Sleep(settleTime)
		fresh := flow.NewEndpoint(cln.endpoint.IP(), 43000)
		pkt := cln.exchange(firstBalancer, encode(fresh, testAddress, synBit, 700, 0, nil), func(pkt flow.Packet) bool { return pkt.To() == fresh && pkt.Has(flow.Rst) })
		assert.Assert(t, pkt.Has(flow.Rst))
		sto.down.Store(true)
		assertAnswered(t, cln.request(firstBalancer, ept, testAddress, seq))
	})
	t.Run("metrics are served", func(t *testing.T) {
		rsp, err := http.Get("http://" + vmAddr(firstBalancer, readyPort+1).String() + "/metrics")
		assert.NilError(t, err)
		assert.Equal(t, rsp.StatusCode, http.StatusOK)
		_ = rsp.Body.Close()
	})
}
