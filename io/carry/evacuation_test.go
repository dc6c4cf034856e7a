package carry

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/evac"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/mirror"
	"lagoondrum/io/conf"
	"lagoondrum/io/gossip"
	"lagoondrum/platform"
)

const northOrder = "op/evacuate/north"

// One upstream is listed, in the zone north, and each case applies what a mirror hands
// over for the changes of the platform.
func TestEvacuationsOfAMirror(t *testing.T) {
	order := func(key, value string, revision uint64) mirror.Item {
		return mirror.NewItem(key, []byte(value), mirror.Position(revision))
	}
	for name, tc := range map[string]struct {
		changes func(mir *mirror.Mirror, apply func([]mirror.Item))
		inForce bool
		lines   []string
	}{
		"order": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			apply(mir.Replace(5, []mirror.Item{order(northOrder, "{}", 5)}))
		}, true, []string{"zone evacuated"}},
		"order that is written again": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			apply(mir.Replace(5, []mirror.Item{order(northOrder, "{}", 5)}))
			applied, _ := mir.Update(5, 6, []mirror.Item{order(northOrder, "{}", 6)})
			apply(applied)
		}, true, []string{"zone evacuated"}},
		"order and removal in one poll": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			applied, _ := mir.Update(0, 6, []mirror.Item{order(northOrder, "{}", 5), mirror.NewDeletion(northOrder, 6)})
			apply(applied)
		}, false, []string{"zone evacuated", "zone taken back"}},
		"removal of an order that was never read": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			applied, _ := mir.Update(0, 6, []mirror.Item{mirror.NewDeletion(northOrder, 6)})
			apply(applied)
		}, false, nil},
		"removal that a compaction has dropped": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			apply(mir.Replace(5, []mirror.Item{order(northOrder, "{}", 5)}))
			apply(mir.Replace(9, nil))
		}, false, []string{"zone evacuated", "zone taken back"}},
		"older full state without the order": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			apply(mir.Replace(5, []mirror.Item{order(northOrder, "{}", 5)}))
			apply(mir.Replace(4, nil))
		}, true, []string{"zone evacuated"}},
		"zone without upstreams": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			apply(mir.Replace(5, []mirror.Item{order("op/evacuate/nowhere", "{}", 5)}))
		}, false, []string{"zone evacuated in which no upstream is listed"}},
		"odd bytes": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			apply(mir.Replace(5, []mirror.Item{order(northOrder, "{\"\xff", 5)}))
		}, true, []string{"value of an evacuation is not used", "zone evacuated"}},
		"key without a zone": {func(mir *mirror.Mirror, apply func([]mirror.Item)) {
			apply(mir.Replace(5, []mirror.Item{order("op/evacuate/", "{}", 5)}))
		}, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			cor, observed := observer.New(zap.InfoLevel)
			bas, flt, now := &base{log: zap.New(cor)}, fleet.New(), time.Now()
			flt.PutEntry(fleet.NewUpstream(fleet.Listing{ID: "u1", Service: "feed", Address: vmIP(firstUpstream), Zone: "north"}, now), now)
			tc.changes(mirror.New(), func(items []mirror.Item) { bas.applyEvacuations(flt, items, gossip.Told{}, now) })
			assert.Equal(t, flt.Evacuations().InForce("north"), tc.inForce)
			assert.Equal(t, flt.Evacuated() == 1, tc.inForce)
			var lines []string
			for _, ent := range observed.All() {
				lines = append(lines, ent.Message)
			}
			assert.DeepEqual(t, lines, tc.lines)
		})
	}
}

// The zone of an agent is that of its upstream's entry, else that of its settings.
func TestAgentRefusesWhileItsOwnZoneIsEvacuated(t *testing.T) {
	now := time.Now()
	set, err := conf.Parse("test", []byte("[process]\nzone = z\n"))
	assert.NilError(t, err)
	newInZone := func(service, zone string) *agent {
		agt := newTestAgent(now)
		agt.settings = set
		lst := fleet.Listing{ID: "own", Service: service, Address: vmIP(firstUpstream), Zone: zone}
		agt.fleet.PutEntry(fleet.NewUpstream(lst, now), now)
		return agt
	}
	for name, tc := range map[string]struct {
		agt       *agent
		evacuated string
		want      bool
	}{
		"by its entry":                   {newInZone("feed", "north"), "north", true},
		"by its entry, not its settings": {newInZone("feed", "north"), "z", false},
		"by its settings":                {newInZone("upload", "north"), "z", true},
	} {
		t.Run(name, func(t *testing.T) {
			tc.agt.fleet.Evacuate(evac.NewOrder(tc.evacuated, 7, evac.Peer, now))
			tc.agt.applyOwnZone()
			assert.Equal(t, tc.agt.table.Evacuated(), tc.want)
			tc.agt.fleet.TakeBack(tc.evacuated)
			tc.agt.applyOwnZone()
			assert.Assert(t, !tc.agt.table.Evacuated())
		})
	}
}

// listInZone publishes the entry of a ready upstream of the service feed in a zone.
func (sto *storeStandIn) listInZone(num int, zone string) {
	sto.put(fmt.Sprintf("servers/u%d", num), fmt.Sprintf(`{"service":"feed","address":"%s","zone":%q,"version":"v1","slots":4,"state":"ready","cold-remaining-ms":0,"sequence":1}`,
		vmAddr(num, upstreamPort), zone), false)
}

// TestEvacuation runs real processes. The first upstream is in the zone of the
// balancers, which prefer it; its zone is evacuated.
func TestEvacuation(t *testing.T) {
	sto := newStore(t)
	sto.route(1, testAddress, "feed")
	ups := map[int]*upstreamStandIn{}
	for num, zone := range map[int]string{firstUpstream: "z", secondUpstream: "y"} {
		ups[num] = newUpstream(t, num)
		sto.listInZone(num, zone)
		startProcess(t, num, newSettings(t, num, sto, "feed"), RunAgent)
	}
	startProcess(t, firstBalancer, newSettings(t, firstBalancer, sto, ""), RunBalancer)
	cln := newClient(t, testClient)
	port := uint16(40000)
	openFlows := func(balancer int) (inZone int) { // Opens ten flows and returns how many of them the evacuated zone got.
		before := ups[firstUpstream].openedFlows()
		for range 10 {
			port++
			cln.open(balancer, testAddress, port)
		}
		return ups[firstUpstream].openedFlows() - before
	}
	ept, seq := cln.open(firstBalancer, testAddress, port)
	assert.Assert(t, openFlows(firstBalancer) > 0)

	t.Run("holds although the store is down right after it", func(t *testing.T) {
		sto.put("op/evacuate/z", "{}", false)
		time.Sleep(settleTime / 10) // The only reader has it, and the store answers nobody else.
		sto.down.Store(true)
		time.Sleep(settleTime)
		assert.Equal(t, openFlows(firstBalancer), 0)
		assertAnswered(t, cln.request(firstBalancer, ept, testAddress, seq))
	})
	t.Run("is enforced by an agent against a balancer with an old state", func(t *testing.T) {
		con, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(vmAddr(secondBalancer, peerPort)))
		assert.NilError(t, err)
		defer con.Close()
		ept := flow.NewEndpoint(cln.endpoint.IP(), 49000)
		raw := make([]byte, encap.HeaderBytes)
		encap.New(encap.Open, encap.ServiceID("feed"), flow.NewKey(ept, testAddress)).Put(raw)
		_, err = con.WriteToUDPAddrPort(append(raw, encode(ept, testAddress, synBit, 700, 0, nil)...), vmAddr(firstUpstream, peerPort))
		assert.NilError(t, err)
		assert.NilError(t, con.SetReadDeadline(time.Now().Add(waitTimeout)))
		buf := make([]byte, platform.MaxPacket)
		size, err := con.Read(buf)
		assert.NilError(t, err)
		hdr, ok := encap.Parse(buf[:size])
		assert.Assert(t, ok)
		assert.Equal(t, hdr.Reason(), encap.Evacuated)
	})
	t.Run("is known to a process that starts without peers", func(t *testing.T) {
		sto.down.Store(false)
		prc := startProcess(t, secondBalancer, newSettings(t, secondBalancer, sto, ""), RunBalancer)
		assert.Equal(t, openFlows(secondBalancer), 0)
		prc.stop(t)
	})
	t.Run("of every zone resets new flows at once", func(t *testing.T) {
		sto.put("op/evacuate/y", "", false)
		time.Sleep(settleTime)
		fresh := flow.NewEndpoint(cln.endpoint.IP(), 50000)
		asked := time.Now()
		cln.exchange(firstBalancer, encode(fresh, testAddress, synBit, 700, 0, nil), func(pkt flow.Packet) bool { return pkt.To() == fresh && pkt.Has(flow.Rst) })
		assert.Assert(t, time.Since(asked) < 200*time.Millisecond, "before the client repeats its opening")
	})
	t.Run("is taken back", func(t *testing.T) {
		sto.put("op/evacuate/y", "", true)
		sto.put("op/evacuate/z", "", true)
		time.Sleep(settleTime)
		assert.Assert(t, openFlows(firstBalancer) > 0)
	})
}
