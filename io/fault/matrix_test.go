package fault

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/io/caller"
	"lagoondrum/io/stand"
)

// allowedLoss is the worst result that a fault may have for work and streams. The
// values are ordered: a later one allows more.
type allowedLoss int

const (
	noLoss         allowedLoss = iota // Every answer is complete and no stream loses its connection.
	unknownOutcome                    // Work on the failed agent may end with an unknown outcome, and streams may resume on a new connection.
)

// faultCase is one row of the matrix: a fault, how to inject and revert it, and the
// loss that it may cause.
type faultCase struct {
	name    string
	inject  func(reg *region)
	revert  func(reg *region)
	allowed allowedLoss
}

// The processes that faults and planned changes apply to.
const (
	targetBalancer = "smichov-b2"
	targetAgent    = "karlin-u1"
)

// pauseDuration is how long pause stops a process. It exceeds the thresholds by
// which other processes detect silent links and peers.
const pauseDuration = 1500 * time.Millisecond

// noop is the revert function of faults that need no repair.
func noop(*region) {}

func faults() []faultCase {
	return []faultCase{
		{"balancer killed", func(reg *region) { reg.kill(targetBalancer) }, func(reg *region) { reg.restart(targetBalancer) }, noLoss},
		{"balancer joins", func(reg *region) { reg.kill(targetBalancer); reg.start(targetBalancer) }, noop, noLoss},
		{"balancer paused", func(reg *region) { reg.pause(targetBalancer) }, noop, noLoss},
		{"agent killed", func(reg *region) { reg.kill(targetAgent) }, func(reg *region) { reg.restart(targetAgent) }, unknownOutcome},
		{"agent restarted at its address", func(reg *region) { reg.kill(targetAgent); reg.start(targetAgent) }, noop, unknownOutcome},
		{"agent paused", func(reg *region) { reg.pause(targetAgent) }, noop, noLoss},
		{"upstream drains", func(reg *region) { reg.publish("vms", reg.scn.VMsList(targetAgent)) },
			func(reg *region) { reg.publish("vms", reg.scn.VMsList()) }, noLoss},
		{"upstream sheds", func(reg *region) { reg.upstreams[targetAgent].SetMode(stand.Shedding) },
			func(reg *region) { reg.upstreams[targetAgent].SetMode(stand.Normal) }, noLoss},
		{"upstream breaks its answers", func(reg *region) { reg.upstreams[targetAgent].SetMode(stand.Breaking) },
			func(reg *region) { reg.upstreams[targetAgent].SetMode(stand.Normal) }, unknownOutcome},
		{"platform down", func(reg *region) { reg.platform.SetDown(true) }, func(reg *region) { reg.platform.SetDown(false) }, noLoss},
		// Revision 1 must not replace a later one.
		{"platform stale", func(reg *region) { reg.platform.Publish("vms", 1, []byte(reg.scn.VMsList(targetAgent))) }, noop, noLoss},
		{"caller paths forgotten", func(reg *region) { reg.fabric.ForgetAll() }, noop, noLoss},
		{"keys rotated", func(reg *region) { reg.publish("keys", stand.KeysList(1, 2)) }, noop, noLoss},
		// The list lacks its end section.
		{"invalid edit", func(reg *region) { reg.publish("plans", "[plan gold]\n") }, noop, noLoss},
	}
}

// restart starts a stopped process again and waits until it is ready.
func (reg *region) restart(name string) {
	reg.start(name)
	reg.awaitReady(reg.host(name))
}

// pause stops a process and resumes it after pauseDuration. It returns at once.
func (reg *region) pause(name string) {
	reg.signal(name, syscall.SIGSTOP)
	time.AfterFunc(pauseDuration, func() { _ = reg.procs[name].Process.Signal(syscall.SIGCONT) })
}

// activity is one column of the matrix: what is going on when the fault is
// injected. begin starts it and returns a function that waits for its end and
// checks the result. Request IDs start with prefix.
type activity struct {
	name  string
	begin func(t *testing.T, reg *region, prefix string, allowed allowedLoss) func()
}

func activities() []activity {
	return []activity{
		{"handshakes under way", beginHandshakes},
		{"body half way", func(t *testing.T, reg *region, prefix string, allowed allowedLoss) func() {
			return beginWork(t, reg, prefix, allowed, "", strings.Repeat("b", 400<<10), 5*time.Millisecond)
		}},
		{"running", func(t *testing.T, reg *region, prefix string, allowed allowedLoss) func() {
			return beginWork(t, reg, prefix, allowed, "?millis=400", "x", 100*time.Millisecond)
		}},
		{"answer half way", func(t *testing.T, reg *region, prefix string, allowed allowedLoss) func() {
			return beginWork(t, reg, prefix, allowed, "?parts=4", "x", 200*time.Millisecond)
		}},
		{"idle streams", beginStreams},
		{"edit half spread", beginEdit},
	}
}

const (
	callerCount    = 14              // About two per upstream of the plaque-feed service.
	streamDuration = 3 * time.Second // How long streams go on after a fault or an edit.
)

// assertAllowed checks the result of a request against the allowed loss.
func assertAllowed(t *testing.T, reg *region, req *request, allowed allowedLoss) {
	t.Helper()
	if _, ok := req.err.(*caller.UnknownError); ok && allowed == unknownOutcome {
		reg.assertAtMostOnce(t, req)
		return
	}
	reg.assertComplete(t, req)
}

// beginHandshakes opens connections while the fault is injected, and sends one
// request over each.
func beginHandshakes(t *testing.T, reg *region, prefix string, allowed allowedLoss) func() {
	return beginRequests(t, reg, prefix, allowed, func(num int) (*caller.Client, *request) {
		return reg.client("till-gold"), &request{id: fmt.Sprintf("%s %d", prefix, num), body: "x"}
	})
}

// beginWork sends one request over each of several open connections, and waits for
// delay so that the fault hits the requests midway.
func beginWork(t *testing.T, reg *region, prefix string, allowed allowedLoss, query, body string, delay time.Duration) func() {
	clients := reg.connected(t, prefix)
	end := beginRequests(t, reg, prefix, allowed, func(num int) (*caller.Client, *request) {
		return clients[num], &request{id: fmt.Sprintf("%s %d", prefix, num), query: query, body: body}
	})
	time.Sleep(delay)
	return end
}

// beginRequests sends callerCount requests concurrently, each made by newRequest,
// which also returns the client to send it with.
func beginRequests(t *testing.T, reg *region, prefix string, allowed allowedLoss, newRequest func(int) (*caller.Client, *request)) func() {
	var wg sync.WaitGroup
	requests := make([]*request, callerCount)
	for num := range requests {
		cln, req := newRequest(num)
		requests[num] = req
		wg.Go(func() { reg.do(cln, "till-gold", req) })
	}
	return func() {
		wg.Wait()
		for _, req := range requests {
			assertAllowed(t, reg, req, allowed)
		}
	}
}

// connected returns clients that have each sent one request, and so have an open
// connection.
func (reg *region) connected(t *testing.T, prefix string) []*caller.Client {
	t.Helper()
	clients := make([]*caller.Client, callerCount)
	var wg sync.WaitGroup
	for num := range clients {
		clients[num] = reg.client("till-gold")
		wg.Go(func() {
			req := &request{id: fmt.Sprintf("%s first %d", prefix, num)}
			reg.do(clients[num], "till-gold", req)
			if req.err != nil {
				t.Errorf("first request on a new connection: %v", req.err)
			}
		})
	}
	wg.Wait()
	return clients
}

// beginStreams opens streams that go on for streamDuration after the fault. No line
// may be missing or repeated. A stream may resume on a new connection only if the
// fault allows loss, as the death of an agent does.
func beginStreams(t *testing.T, reg *region, _ string, allowed allowedLoss) func() {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range callerCount {
		str, err := reg.client("till-gold").Stream(ctx, stand.LivePath, func(line string) string { return line })
		assert.NilError(t, err)
		wg.Go(func() { followStream(t, str, stop, allowed) })
	}
	return func() {
		time.Sleep(streamDuration)
		close(stop)
		wg.Wait()
		cancel()
	}
}

// followStream reads a stream until stop is closed, and checks that its lines are
// numbered from 1 without a gap or a repetition.
func followStream(t *testing.T, str *caller.Stream, stop chan struct{}, allowed allowedLoss) {
	defer str.Close()
	for last := 0; ; last++ {
		line, err := str.Next()
		if err != nil || line != strconv.Itoa(last+1) {
			t.Errorf("got line %q after line %d, error: %v", line, last, err)
			return
		}
		select {
		case <-stop:
			if str.Resumes() > 0 && allowed == noLoss {
				t.Errorf("stream resumed %d times after losing its connection, want 0", str.Resumes())
			}
			return
		default:
		}
	}
}

// beginEdit publishes an edit of the customers list and returns once one balancer
// has it in force, so that the fault hits while the edit propagates. Every live
// process must have the edit in force within maxEditDelay.
func beginEdit(t *testing.T, reg *region, _ string, _ allowedLoss) func() {
	reg.publish("customers", stand.CustomersList(stand.Customers[:3]...)+fmt.Sprintf("# %d\n", reg.revisions["customers"]))
	want := reg.revisions["customers"]
	deadline := time.Now().Add(maxEditDelay)
	reg.awaitAnyBalancer(t, "customers", want, deadline)
	return func() {
		for _, hst := range reg.scn.Hosts() {
			if reg.exited(hst.Name) {
				continue
			}
			reg.awaitRevision(t, hst, "customers", want, deadline)
		}
	}
}

// TestFaultMatrix injects every fault during every activity, one after the other in
// the same region.
func TestFaultMatrix(t *testing.T) {
	reg := newRegion(t, basePort)
	for _, flt := range faults() {
		for _, act := range activities() {
			cell := flt.name + "/" + act.name
			t.Run(cell, func(t *testing.T) {
				finish := act.begin(t, reg, strings.ReplaceAll(cell, " ", "-"), flt.allowed)
				defer reg.awaitAllReady()
				defer flt.revert(reg)
				flt.inject(reg)
				finish()
				reg.assertNoneMisrouted(t)
			})
		}
	}
}

// TestEditDuringAnOutage publishes an edit while the platform is down, so that no
// process has read it. Every process must have it in force within maxEditDelay
// after the platform is back.
func TestEditDuringAnOutage(t *testing.T) {
	reg := newRegion(t, basePort+1000)
	reg.platform.SetDown(true)
	reg.publish("customers", stand.CustomersList(stand.Customers...))
	time.Sleep(outageDuration)
	reg.platform.SetDown(false)
	deadline := time.Now().Add(maxEditDelay)
	for _, hst := range reg.scn.Hosts() {
		reg.awaitRevision(t, hst, "customers", 2, deadline)
	}
}

// outageDuration is how long TestEditDuringAnOutage keeps the platform down.
const outageDuration = 12 * time.Second
