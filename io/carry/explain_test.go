package carry

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/io/where"
)

// explained is what the test reads of an answer.
type explained struct {
	Outcome string `json:"outcome"`
	Version uint64 `json:"version"`
	Asked   string `json:"asked"`
	Hint    *struct {
		Phase  string   `json:"phase"`
		Agents []string `json:"agents"`
	} `json:"hint"`
	Agent *struct {
		Refusal string `json:"refusal"`
		Flows   int    `json:"flows"`
	} `json:"agent"`
}

// explain asks a process where the flow of a client's port would go.
func explain(t *testing.T, num int, port uint16) explained {
	t.Helper()
	client := netip.AddrPortFrom(netip.AddrFrom4(vmIP(testClient)), port)
	query, err := where.Query(testAddress.String(), client.String())
	assert.NilError(t, err)
	rsp, err := http.Get("http://" + vmAddr(num, readyPort+1).String() + where.Path + "?" + query.Encode())
	assert.NilError(t, err)
	defer rsp.Body.Close()
	assert.Equal(t, rsp.StatusCode, http.StatusOK)
	var ans explained
	assert.NilError(t, json.NewDecoder(rsp.Body).Decode(&ans))
	return ans
}

// A real balancer and real agents explain where a flow would go; it goes there, and
// nothing was sent before.
func TestExplainedFlow(t *testing.T) {
	sto := newStore(t)
	sto.route(1, testAddress, "feed")
	ups := map[string]*upstreamStandIn{}
	nums := []int{firstUpstream, secondUpstream}
	for _, num := range nums {
		ups[netip.AddrFrom4(vmIP(num)).String()] = newUpstream(t, num)
		sto.listUpstream(num, "feed", "ready")
		startProcess(t, num, newSettings(t, num, sto, "feed"), RunAgent)
	}
	startProcess(t, firstBalancer, newSettings(t, firstBalancer, sto, ""), RunBalancer)
	eventually(t, "explained", func() bool { return explain(t, firstBalancer, 40001).Outcome == "asked" })
	ans := explain(t, firstBalancer, 40001)
	assert.Equal(t, ans.Version, uint64(1))
	assert.Assert(t, ans.Hint == nil)
	for _, num := range nums {
		eventually(t, "delivered", func() bool { return explain(t, num, 40001).Outcome == "delivered" })
		assert.Equal(t, explain(t, num, 40001).Agent.Refusal, "none")
		assert.Equal(t, explain(t, num, 40001).Agent.Flows, 0)
	}
	for _, upstream := range ups {
		assert.Equal(t, upstream.openedFlows(), 0)
	}
	newClient(t, testClient).open(firstBalancer, testAddress, 40001)
	assert.Assert(t, ups[ans.Asked].openedFlows() > 0, "not opened at %s", ans.Asked)
	eventually(t, "hinted", func() bool {
		hnt := explain(t, firstBalancer, 40001).Hint
		return hnt != nil && hnt.Phase == "open" && hnt.Agents[0] == ans.Asked
	})
}
