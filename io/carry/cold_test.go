package carry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
	"lagoondrum/io/conf"
)

// The rate is in the desired state, the bounds in the settings, and the entry tells that
// the upstream is cold. Openings beyond the limit of three in any second are refused.
func TestColdUpstreamOfRealProcesses(t *testing.T) {
	sto := newStore(t)
	sto.put("op/config", `{"version":1,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","service":"feed"}],"services":[{"name":"feed","cold-per-s":2}]}`, false)
	ups := newUpstream(t, firstUpstream)
	sto.put("servers/u", fmt.Sprintf(`{"service":"feed","address":"%s","zone":"z","version":"v1","slots":4,"state":"ready","cold-remaining-ms":60000,"sequence":1}`, vmAddr(firstUpstream, upstreamPort)), false)
	for num, run := range map[int]runFunc{firstUpstream: RunAgent, firstBalancer: RunBalancer} {
		text := settingsText(num, sto, map[int]string{firstUpstream: "feed"}[num])
		set, err := conf.Parse("test", []byte(strings.Replace(text, "[packets]", "coldOverage = 1.5\n[packets]", 1)))
		assert.NilError(t, err)
		startProcess(t, num, set, run)
	}
	cln := newClient(t, testClient)
	cln.open(firstBalancer, testAddress, 40001) // The agent's window is full at its start.
	begun, refused := time.Now(), 0
	for port := range uint16(7) {
		ept := flow.NewEndpoint(cln.endpoint.IP(), 50000+port)
		pkt := cln.exchange(firstBalancer, encode(ept, testAddress, synBit, 700, 0, nil), func(pkt flow.Packet) bool { return pkt.To() == ept })
		if pkt.Has(flow.Rst) {
			refused++
		}
	}
	seconds := 1 + int(time.Since(begun)/time.Second) // One, unless the machine is busy.
	assert.Assert(t, ups.openedFlows() <= 3*seconds, "%d in %d s", ups.openedFlows(), seconds)
	assert.Equal(t, ups.openedFlows()+refused, 8)
}
