package fault

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/io/caller"
	"lagoondrum/io/stand"
)

// stopTimeout bounds how long a process may take to stop after SIGTERM, and the
// requests of drainDuringRelay.
const stopTimeout = 30 * time.Second

// load is background load during planned changes: each caller keeps a stream open
// and sends a request every 100 ms.
type load struct {
	reg      *region
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	requests []*request
}

const loadCallers = 14

// startLoad opens the streams and starts to send. Request IDs start with prefix.
func startLoad(t *testing.T, reg *region, prefix string) *load {
	ld := &load{reg: reg, stop: make(chan struct{})}
	for num := range loadCallers {
		cln := reg.client("till-gold")
		str, err := cln.Stream(context.Background(), stand.LivePath, func(line string) string { return line })
		assert.NilError(t, err)
		ld.wg.Go(func() { followStream(t, str, ld.stop, noLoss) })
		ld.wg.Go(func() { ld.sendWork(cln, fmt.Sprintf("%s-%d", prefix, num)) })
	}
	return ld
}

// sendWork sends one request after another until the load is stopped.
func (ld *load) sendWork(cln *caller.Client, prefix string) {
	for num := 0; ; num++ {
		select {
		case <-ld.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		req := &request{id: fmt.Sprintf("%s-%d", prefix, num), body: "x"}
		ld.reg.do(cln, "till-gold", req)
		ld.mu.Lock()
		ld.requests = append(ld.requests, req)
		ld.mu.Unlock()
	}
}

// finish stops the load and checks that every request was answered completely and
// none was misrouted. followStream checks the streams.
func (ld *load) finish(t *testing.T) {
	t.Helper()
	close(ld.stop)
	ld.wg.Wait()
	for _, req := range ld.requests {
		ld.reg.assertComplete(t, req)
	}
	ld.reg.assertNoneMisrouted(t)
}

// awaitStopped waits until a process has exited.
func (reg *region) awaitStopped(t *testing.T, name string) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- reg.procs[name].Wait() }()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not stop within %s", name, stopTimeout)
	}
}

// TestPlannedChanges checks that drains, restarts and list edits lose no work and
// break no stream. It also checks the fetching of outcomes and the admin API.
func TestPlannedChanges(t *testing.T) {
	reg := newRegion(t, basePort+2000)
	t.Run("drain by signal", func(t *testing.T) { drainBySignal(t, reg) })
	t.Run("drain while a peer's work runs", func(t *testing.T) { drainDuringRelay(t, reg) })
	t.Run("drain by list", func(t *testing.T) { drainByList(t, reg) })
	t.Run("every process is replaced in turn", func(t *testing.T) { restartInTurn(t, reg) })
	t.Run("a plan loses its grant", func(t *testing.T) { revokeGrant(t, reg) })
	t.Run("an outcome is fetched through any agent", func(t *testing.T) { fetchOutcome(t, reg) })
	t.Run("administration", func(t *testing.T) { checkAdminAPI(t, reg) })
}

// drainBySignal sends SIGTERM to an agent while requests of 2.5 s are running. All of
// them must be answered, and the agent's upstream must get no new work once
// maxDrainDelay has passed.
func drainBySignal(t *testing.T, reg *region) {
	ld := startLoad(t, reg, "signal")
	long := make([]*request, callerCount)
	var wg sync.WaitGroup
	for num, cln := range reg.connected(t, "long") {
		long[num] = &request{id: fmt.Sprintf("long-%d", num), query: "?millis=2500"}
		wg.Go(func() { reg.do(cln, "till-gold", long[num]) })
	}
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	reg.signal(targetAgent, syscall.SIGTERM)
	reg.awaitStopped(t, targetAgent)
	wg.Wait()
	time.Sleep(maxDrainDelay)
	last := reg.upstreams[targetAgent].Report().LastNewWork
	assert.Assert(t, last.Sub(begun) < maxDrainDelay, "new work %s after the signal", last.Sub(begun))
	ld.finish(t)
	for _, req := range long {
		reg.assertComplete(t, req)
	}
	reg.restart(targetAgent)
}

// drainDuringRelay drains an agent while agents run work for each other. It sends two
// requests fewer than the service has slots, over connections to all agents, so that
// agents with too few free slots relay work to peers.
func drainDuringRelay(t *testing.T, reg *region) {
	clients := reg.connected(t, "relay")
	requests := make([]*request, 2*len(clients)-2)
	var wg sync.WaitGroup
	for num := range requests {
		requests[num] = &request{id: fmt.Sprintf("relay-%d", num), query: "?millis=5000", timeout: stopTimeout}
		wg.Go(func() { reg.do(clients[num%len(clients)], "till-gold", requests[num]) })
	}
	time.Sleep(500 * time.Millisecond)
	reg.signal(targetAgent, syscall.SIGTERM)
	reg.awaitStopped(t, targetAgent)
	wg.Wait()
	for _, req := range requests {
		reg.assertComplete(t, req)
	}
	reg.restart(targetAgent)
}

// drainByList marks an upstream as leaving in the VMs list while one balancer is
// stopped and does not receive the edit. The upstream must get no new work once
// maxDrainDelay has passed.
func drainByList(t *testing.T, reg *region) {
	ld := startLoad(t, reg, "list")
	reg.signal(targetBalancer, syscall.SIGSTOP)
	begun := time.Now()
	reg.publish("vms", reg.scn.VMsList(targetAgent))
	time.Sleep(maxDrainDelay / 2)
	reg.signal(targetBalancer, syscall.SIGCONT)
	time.Sleep(maxDrainDelay)
	last := reg.upstreams[targetAgent].Report().LastNewWork
	assert.Assert(t, last.Sub(begun) < maxDrainDelay, "new work %s after the edit", last.Sub(begun))
	ld.finish(t)
	reg.publish("vms", reg.scn.VMsList())
}

// restartInTurn restarts the three balancers and two agents, one at a time, under
// load.
func restartInTurn(t *testing.T, reg *region) {
	ld := startLoad(t, reg, "turn")
	for _, name := range []string{"karlin-b1", targetAgent, "smichov-b2", "karlin-u4", "podoli-b3"} {
		reg.signal(name, syscall.SIGTERM)
		reg.awaitStopped(t, name)
		reg.restart(name)
	}
	ld.finish(t)
}

// revokeGrant removes the grant for plaque-feed from the silver plan. An open stream
// must go on, and new requests must be refused without running.
func revokeGrant(t *testing.T, reg *region) {
	cln := reg.client("till-silver")
	str, err := cln.Stream(context.Background(), stand.LivePath, func(line string) string { return line })
	assert.NilError(t, err)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { followStream(t, str, stop, noLoss) })
	plans := reg.scn.Lists()["plans"]
	start := strings.Index(plans, "[grant silver plaque-feed]")
	reg.publish("plans", plans[:start]+plans[strings.Index(plans, "[grant gold photo-upload]"):])
	for _, hst := range reg.scn.Hosts() {
		reg.awaitRevision(t, hst, "plans", reg.revisions["plans"], time.Now().Add(maxEditDelay))
	}
	time.Sleep(streamDuration)
	req := &request{id: "no longer allowed"}
	reg.do(reg.client("till-silver"), "till-silver", req)
	assert.Assert(t, req.err != nil)
	assert.Equal(t, reg.runs(req.id), 0)
	reg.publish("plans", plans)
	time.Sleep(streamDuration)
	close(stop)
	wg.Wait()
}

// fetchOutcome fetches the recorded answer of one request over several new
// connections, each to any agent. The request must not run again.
func fetchOutcome(t *testing.T, reg *region) {
	req := &request{id: "fetched", body: "x"}
	reg.do(reg.client("till-gold"), "till-gold", req)
	assert.NilError(t, req.err)
	for range callerCount {
		ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
		defer cancel()
		ans, err := reg.client("till-gold").Outcome(ctx, req.ans.Work)
		assert.NilError(t, err)
		assert.Equal(t, string(ans.Body), string(req.ans.Body))
	}
	reg.assertAtMostOnce(t, req)
}

// checkAdminAPI checks the metrics, the usage counts and the responses of the admin
// API.
func checkAdminAPI(t *testing.T, reg *region) {
	t.Run("metrics", func(t *testing.T) { assertMetrics(t, reg.scn.Balancers()[0]) })
	t.Run("usage at the agents", func(t *testing.T) { assertUsage(t, reg) })
	hst := reg.scn.Balancers()[0]
	for name, tc := range map[string]struct {
		method, path, body string
		status             int
		want               string
	}{
		"status":           {"GET", "/v1/status", "", 200, `"role":"balancer"`},
		"upstreams":        {"GET", "/v1/upstreams", "", 200, `"service":"plaque-feed"`},
		"plans":            {"GET", "/v1/plans", "", 200, `"address":"127.20.0.1"`},
		"customers":        {"GET", "/v1/customers", "", 200, `"name":"engraver"`},
		"explain":          {"GET", "/v1/explain?customer=till-gold&service=plaque-feed", "", 200, `"allowed":true`},
		"explain refusal":  {"GET", "/v1/explain?customer=till-silver&service=photo-upload", "", 200, `"allowed":false`},
		"explain nobody":   {"GET", "/v1/explain?customer=nobody&service=plaque-feed", "", 404, `"error":"unknownCustomer"`},
		"explain no query": {"GET", "/v1/explain", "", 400, `"error":"badQuery"`},
		"check bad list":   {"POST", "/v1/check/plans", "[plan gold]\n", 200, "truncated"},
		"check good list":  {"POST", "/v1/check/plans", reg.scn.Lists()["plans"], 200, `"valid":true`},
		"check no list":    {"POST", "/v1/check/other", "x", 200, "unknown list other"},
		"no such path":     {"GET", "/v1/other", "", 404, `"error":"notFound"`},
	} {
		t.Run(name, func(t *testing.T) {
			url := fmt.Sprintf("http://127.0.0.1:%d%s", hst.Admin, tc.path)
			req, err := http.NewRequest(tc.method, url, strings.NewReader(tc.body))
			assert.NilError(t, err)
			rsp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer rsp.Body.Close()
			raw, err := io.ReadAll(rsp.Body)
			assert.NilError(t, err)
			assert.Equal(t, rsp.StatusCode, tc.status, "%s", raw)
			assert.Assert(t, strings.Contains(string(raw), tc.want), "%s", raw)
			if strings.HasPrefix(string(raw), "{") {
				assert.Assert(t, json.Valid(raw))
			}
		})
	}
}

// assertMetrics checks that a process serves its metrics. They appear with its
// first metrics report, so the check polls until readyTimeout.
func assertMetrics(t *testing.T, hst stand.Host) {
	t.Helper()
	raw := []byte(nil)
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		rsp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", hst.Admin))
		assert.NilError(t, err)
		raw, err = io.ReadAll(rsp.Body)
		assert.NilError(t, err)
		_ = rsp.Body.Close()
		if strings.Contains(string(raw), "lagoondrum_listRevision") {
			return
		}
	}
	t.Fatalf("metrics lack lagoondrum_listRevision: %s", raw)
}

// assertUsage checks that the agents count one request and one flow of a customer.
func assertUsage(t *testing.T, reg *region) {
	req := &request{id: "used"}
	reg.do(reg.client("engraver"), "engraver", req)
	assert.NilError(t, req.err)
	usage := ""
	for _, hst := range reg.scn.Agents() {
		usage += reg.usageAt(t, hst)
	}
	assert.Assert(t, strings.Contains(usage, `{"customer":"engraver","flows":1,"done":1,"notRun":0,"unknown":0}`), usage)
}

// usageAt returns what an agent's administration tells of its customers' usage.
func (reg *region) usageAt(t *testing.T, hst stand.Host) string {
	t.Helper()
	rsp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/usage", hst.Admin))
	assert.NilError(t, err)
	defer rsp.Body.Close()
	raw, err := io.ReadAll(rsp.Body)
	assert.NilError(t, err)
	return string(raw)
}

// flowPattern matches the usage of a customer with an open flow.
var flowPattern = regexp.MustCompile(`"flows":[1-9]`)

// connectedTo connects clients until one of them has its flow at an agent: where flows
// go is up to balancers and agents.
func (reg *region) connectedTo(t *testing.T, prefix, agent string) []*caller.Client {
	t.Helper()
	hosts := reg.scn.Agents()
	target := hosts[slices.IndexFunc(hosts, func(hst stand.Host) bool { return hst.Name == agent })]
	var clients []*caller.Client
	for try := range 10 {
		clients = append(clients, reg.connected(t, fmt.Sprintf("%s %d", prefix, try))...)
		if flowPattern.MatchString(reg.usageAt(t, target)) {
			return clients
		}
	}
	t.Fatalf("%d clients, and none has its flow at %s", len(clients), agent)
	return nil
}

// TestTwoFaultsTogether injects pairs of the most costly faults of the matrix during
// every activity but the last, the edit.
func TestTwoFaultsTogether(t *testing.T) {
	reg := newRegion(t, basePort+3000)
	byName := make(map[string]faultCase)
	for _, flt := range faults() {
		byName[flt.name] = flt
	}
	for _, pair := range [][2]string{
		{"agent killed", "balancer killed"},
		{"agent killed", "caller paths forgotten"},
		{"agent paused", "upstream drains"},
		{"caller paths forgotten", "balancer killed"},
		{"keys rotated", "balancer joins"},
		{"platform down", "upstream drains"},
	} {
		first, second := byName[pair[0]], byName[pair[1]]
		allowed := max(first.allowed, second.allowed)
		for _, act := range activities()[:5] {
			t.Run(pair[0]+" and "+pair[1]+"/"+act.name, func(t *testing.T) {
				finish := act.begin(t, reg, strings.ReplaceAll(t.Name(), " ", "-"), allowed)
				defer reg.awaitAllReady()
				defer first.revert(reg)
				defer second.revert(reg)
				first.inject(reg)
				second.inject(reg)
				finish()
				reg.assertNoneMisrouted(t)
			})
		}
	}
}

// TestWakeAfterDeadline stops an agent, sends requests to it meanwhile, and resumes
// it after their deadlines. Requests that waited in its socket buffer must not run.
func TestWakeAfterDeadline(t *testing.T) {
	reg := newRegion(t, basePort+4000)
	clients := reg.connectedTo(t, "wake", targetAgent)
	reg.signal(targetAgent, syscall.SIGSTOP)
	requests := make([]*request, len(clients))
	var wg sync.WaitGroup
	for num, cln := range clients {
		requests[num] = &request{id: fmt.Sprintf("wake-order-%d", num), timeout: shortTimeout}
		wg.Go(func() { reg.do(cln, "till-gold", requests[num]) })
	}
	wg.Wait()
	time.Sleep(shortTimeout / 2)
	wokenAt := time.Now()
	reg.signal(targetAgent, syscall.SIGCONT)
	time.Sleep(2 * shortTimeout)
	late := 0
	for _, req := range requests {
		reg.assertAtMostOnce(t, req)
		if req.err != nil {
			late++
			assert.Equal(t, reg.runs(req.id), 0, "%s ran after its deadline: %v; the run began %s after the wake", req.id, req.err, reg.ranAt(req.id).Sub(wokenAt))
		}
	}
	assert.Assert(t, late > 0, "no request failed, so none was sent to the stopped agent")
}

// shortTimeout is the timeout of requests that expire while their agent is stopped.
const shortTimeout = 2 * time.Second
