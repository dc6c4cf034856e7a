package agent

import (
	"context"
	"io"
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

	"lagoondrum/core/drain"
	"lagoondrum/core/ledger"
	"lagoondrum/core/lists"
	"lagoondrum/core/relay"
	"lagoondrum/core/table"
	"lagoondrum/io/feed"
	"lagoondrum/io/peer"
	"lagoondrum/io/stats"
)

const testPlans = "[service feed]\nshedStatus = 503\n[plan gold]\n[grant gold feed]\naddress = 192.0.2.1\nupstreams = 2\nshare = 1\n[end]\n"

// unreachablePeers is a relayer that reaches no peer.
type unreachablePeers struct{}

func (unreachablePeers) Relay(context.Context, netip.AddrPort, peer.Request, func() bool) peer.Response {
	return peer.Response{Outcome: relay.NotRun, Reason: "peerUnreachable"}
}

func newTestAgent(t *testing.T, handler http.HandlerFunc) *Agent {
	t.Helper()
	upstream := httptest.NewServer(handler)
	t.Cleanup(upstream.Close)
	loc := table.NewLocality("z", "r", freeAddr(t))
	scope := stats.New("test")
	lst := feed.New(loc, scope, zap.NewNop())
	lst.Offer(lists.PlansName, 1, []byte(testPlans), time.Now())
	lst.Offer(lists.VMsName, 1, []byte("[vm u]\naddress = "+loc.Self().String()+"\nzone = z\nregion = r\nservice = feed\nslots = 4\n[end]\n"), time.Now())
	agt, err := New(loc, "feed", netip.MustParseAddrPort(strings.TrimPrefix(upstream.URL, "http://")), lst, scope, zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(agt.Close)
	agt.worker.relayer = unreachablePeers{}
	agt.SetLists(lists.VMsName)
	return agt
}

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer udp.Close()
	return udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

func testRequest(timeout time.Duration) peer.Request {
	return peer.Request{
		Customer: "a", Plan: "gold", Service: "feed", Method: http.MethodPost, Path: "/",
		Header: map[string][]string{"Idempotency-Key": {"k"}}, Body: []byte("x"), Deadline: time.Now().Add(timeout),
	}
}

func (agt *Agent) newWorkID(t *testing.T) ledger.ID {
	t.Helper()
	ses, ok := agt.worker.openSession()
	assert.Assert(t, ok)
	return ledger.NewID(ses, 1)
}

func answerOK(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) }

// hangUntilCancelled waits until the client disconnects. The HTTP server detects that
// only after the body has been read.
func hangUntilCancelled(_ http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
}

func TestStopWaitsForAPeersWork(t *testing.T) {
	agt := newTestAgent(t, answerOK)
	rsv, reason := agt.Worker().Reserve(context.Background(), testRequest(time.Minute))
	assert.Equal(t, reason, "")
	now := time.Now()
	agt.Drain(now.Add(time.Hour))
	agt.drain.advance(now.Add(drain.ClosingDelay), agt.inFlight())
	assert.Equal(t, agt.drain.advance(now.Add(time.Minute), agt.inFlight()), drain.Closing)
	rsv.Release()
	assert.Equal(t, agt.drain.advance(now.Add(time.Minute), agt.inFlight()), drain.Stopped)
}

func TestLeavingAgentTakesNoWork(t *testing.T) {
	agt := newTestAgent(t, answerOK)
	agt.Drain(time.Now().Add(time.Hour))
	rsp := agt.worker.execute(context.Background(), agt.newWorkID(t), testRequest(time.Second))
	assert.Equal(t, rsp.Outcome, relay.NotRun)
	_, reason := agt.Worker().Reserve(context.Background(), testRequest(time.Second))
	assert.Equal(t, reason, string(leaving))
}

// TestOutcomesOfAnUpstream checks the outcome of work for each behavior of its
// upstream.
func TestOutcomesOfAnUpstream(t *testing.T) {
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    relay.Outcome
	}{
		"complete answer":    {answerOK, relay.Done},
		"shed status":        {func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(503) }, relay.NotRun},
		"server error":       {func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) }, relay.Done},
		"aborted connection": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, relay.Unknown},
		"deadline exceeded":  {hangUntilCancelled, relay.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			agt := newTestAgent(t, tc.handler)
			rsp := agt.worker.execute(context.Background(), agt.newWorkID(t), testRequest(300*time.Millisecond))
			assert.Equal(t, rsp.Outcome.String(), tc.want.String())
		})
	}
}

// TestSameIDRunsOnce executes work with one ID concurrently, at an upstream that aborts
// its connections: neither the agent nor its HTTP transport may repeat the work.
func TestSameIDRunsOnce(t *testing.T) {
	var runs atomic.Int64
	agt := newTestAgent(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	id := agt.newWorkID(t)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			rsp := agt.worker.execute(context.Background(), id, testRequest(time.Second))
			assert.Check(t, rsp.Outcome == relay.Unknown)
		})
	}
	wg.Wait()
	assert.Equal(t, runs.Load(), int64(1))
}

// TestRefusalProvesNothingAboutWorkWithAnID checks the outcome in the answer to a caller
// that no plan allows: work with an ID may have run before the plan changed.
func TestRefusalProvesNothingAboutWorkWithAnID(t *testing.T) {
	hdl := newTestAgent(t, answerOK).newHandler()
	for workID, want := range map[string]relay.Outcome{"": relay.NotRun, "some.1": relay.Unknown} {
		t.Run("work ID "+workID, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "/order", nil)
			req.Header.Set(WorkField, workID)
			rec := httptest.NewRecorder()
			hdl.ServeHTTP(rec, req)
			assert.Equal(t, rec.Code, http.StatusForbidden)
			assert.Equal(t, rec.Header().Get(OutcomeField), want.String())
		})
	}
}
