package tool_test

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/core/track"
	"lagoondrum/io/tool"
	"lagoondrum/io/where"
)

// balancer answers by a flow table with one upstream.
type balancer struct{ table *track.Table }

func newBalancer() balancer {
	now := time.Now()
	trk, flt := intent.NewTracker(now), fleet.New()
	rte := intent.NewRoute("plaques", []intent.Share{intent.NewShare("feed", 1)})
	trk.Adopt(intent.NewState(3, map[flow.Endpoint]*intent.Route{flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443): rte}, time.Second), now)
	flt.PutEntry(fleet.NewUpstream(fleet.Listing{ID: "u1", Service: "feed", Address: [4]byte{10, 0, 0, 1}, Zone: "z", Slots: 4}, now), now)
	flt.Agent([4]byte{10, 0, 0, 1}).NoteHeard(encap.NewHeartbeat(encap.ServiceID("feed"), 1, 1), now)
	return balancer{track.New("z", 125e4, trk, flt)}
}

func (blc balancer) Explain(key flow.Key, now time.Time) where.Answer {
	return where.NewAnswer("b1", true, now).WithState(mirror.Position(42), now, false).WithBalancer(blc.table.Explain(key, now))
}

func serve(t *testing.T, hdl http.Handler) tool.API {
	t.Helper()
	srv := httptest.NewServer(hdl)
	t.Cleanup(srv.Close)
	return tool.API{URL: srv.URL}
}

func TestExplainFlow(t *testing.T) {
	api := serve(t, where.NewHandler(newBalancer(), zap.NewNop()))
	for name, tc := range map[string]struct {
		address, client string
		json            bool
		want            []string
	}{
		"client":   {"198.18.0.1:443", "100.64.0.7:40001", false, []string{"asked    10.0.0.1; if silent or unable none; if full 10.0.0.1", "from peer", "service feed (weight 1): asked"}},
		"any":      {"198.18.0.1:443", "", false, []string{"plaques to feed (weight 1)", "u1"}},
		"no route": {"198.18.0.9:443", "", false, []string{"outcome  noRoute"}},
		"json":     {"198.18.0.1:443", "100.64.0.7:40001", true, []string{`"asked":"10.0.0.1"`, `"terms":[{"name":"load","value":0.25}`}},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			assert.NilError(t, tool.ExplainFlow(&out, api, tc.address, tc.client, tc.json))
			for _, want := range tc.want {
				assert.Assert(t, strings.Contains(out.String(), want), "%s", out.String())
			}
		})
	}
}

func TestExplainFlowThatFails(t *testing.T) {
	api := serve(t, where.NewHandler(newBalancer(), zap.NewNop()))
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	for name, tc := range map[string]struct {
		api             tool.API
		address, client string
		want            string
	}{
		"name":           {api, "feed:443", "", "address feed:443 is not an IPv4 address with a port"},
		"no port":        {api, "198.18.0.1", "", "address 198.18.0.1 is not an IPv4 address with a port"},
		"IPv6":           {api, "[::1]:443", "", "is not an IPv4 address with a port"},
		"bad client":     {api, "198.18.0.1:443", "100.64.0.7:0", "client 100.64.0.7:0 is not an IPv4 address with a port"},
		"silent process": {tool.API{URL: "http://" + silent.Addr().String(), Timeout: 50 * time.Millisecond}, "198.18.0.1:443", "", "no explanation from http://127.0.0.1"},
		"no process":     {tool.API{URL: "http://" + closed.Addr().String()}, "198.18.0.1:443", "", "no explanation from http://127.0.0.1"},
		"older process":  {serve(t, http.NotFoundHandler()), "198.18.0.1:443", "", "status 404"},
		"other answer":   {serve(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })), "198.18.0.1:443", "", "not that of a process"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, tool.ExplainFlow(&bytes.Buffer{}, tc.api, tc.address, tc.client, false), tc.want)
		})
	}
}

func TestHandlerRefusesBadQuestions(t *testing.T) {
	api := serve(t, where.NewHandler(newBalancer(), zap.NewNop()))
	for query, want := range map[string]int{"": 400, "?address=feed:1": 400, "?address=198.18.0.1:443&client=": 400, "?address=198.18.0.1:443": 200} {
		rsp, err := http.Get(api.URL + where.Path + query)
		assert.NilError(t, err)
		assert.NilError(t, rsp.Body.Close())
		assert.Equal(t, rsp.StatusCode, want, query)
	}
}
