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

// loss is what a fault may cost the work and the streams that it hits.
type loss int

const (
	noLoss      loss = iota // Every answer comes whole and every stream goes on unbroken.
	unknownWork             // Work at the agent that died may end with its outcome unknown.
)

// faultCase is one row of the matrix.
type faultCase struct {
	name   string
	strike func(reg *region)
	heal   func(reg *region)
	loss   loss
}

// The hosts that faults hit.
const (
	balancerB = "smichov-b2"
	agentA    = "karlin-u1"
)

const pauseTime = 1500 * time.Millisecond

func nothing(*region) {}

func faults() []faultCase {
	return []faultCase{
		{"balancer killed", func(reg *region) { reg.kill(balancerB) }, func(reg *region) { reg.restart(balancerB) }, noLoss},
		{"balancer joins", func(reg *region) { reg.kill(balancerB); reg.start(balancerB) }, nothing, noLoss},
		{"balancer paused", func(reg *region) { reg.pause(balancerB) }, nothing, noLoss},
		{"agent killed", func(reg *region) { reg.kill(agentA) }, func(reg *region) { reg.restart(agentA) }, unknownWork},
		{"agent restarted at its address", func(reg *region) { reg.kill(agentA); reg.start(agentA) }, nothing, unknownWork},
		{"agent paused", func(reg *region) { reg.pause(agentA) }, nothing, noLoss},
		{"upstream drains", func(reg *region) { reg.publish("vms", reg.scn.VMsList(agentA)) },
			func(reg *region) { reg.publish("vms", reg.scn.VMsList()) }, noLoss},
		{"upstream sheds", func(reg *region) { reg.upstreams[agentA].SetMode(stand.Shedding) },
			func(reg *region) { reg.upstreams[agentA].SetMode(stand.Normal) }, noLoss},
		{"upstream breaks its answers", func(reg *region) { reg.upstreams[agentA].SetMode(stand.Breaking) },
			func(reg *region) { reg.upstreams[agentA].SetMode(stand.Normal) }, unknownWork},
		{"platform down", func(reg *region) { reg.platform.SetDown(true) }, func(reg *region) { reg.platform.SetDown(false) }, noLoss},
		{"platform stale", func(reg *region) { reg.platform.Publish("vms", 1, []byte(reg.scn.VMsList(agentA))) }, nothing, noLoss},
		{"caller paths forgotten", func(reg *region) { reg.fabric.ForgetAll() }, nothing, noLoss},
		{"keys rotated", func(reg *region) { reg.publish("keys", stand.KeysList(1, 2)) }, nothing, noLoss},
		{"invalid edit", func(reg *region) { reg.publish("plans", "[plan gold]\n") }, nothing, noLoss},
	}
}

func (reg *region) restart(name string) {
	reg.start(name)
	reg.awaitHealthy(reg.host(name))
}

// pause stops a process past the thresholds of its neighbours and wakes it.
func (reg *region) pause(name string) {
	reg.signal(name, syscall.SIGSTOP)
	time.AfterFunc(pauseTime, func() { _ = reg.procs[name].Process.Signal(syscall.SIGCONT) })
}

// step is one column of the matrix: begin brings the callers to the step, and
// the function that it returns waits for the end and checks.
type step struct {
	name  string
	begin func(t *testing.T, reg *region, cell string, lss loss) func()
}

func steps() []step {
	return []step{
		{"handshakes under way", beginHandshakes},
		{"body half way", func(t *testing.T, reg *region, cell string, lss loss) func() {
			return beginWork(t, reg, cell, lss, "", strings.Repeat("b", 400<<10), 5*time.Millisecond)
		}},
		{"running", func(t *testing.T, reg *region, cell string, lss loss) func() {
			return beginWork(t, reg, cell, lss, "?millis=400", "x", 100*time.Millisecond)
		}},
		{"answer half way", func(t *testing.T, reg *region, cell string, lss loss) func() {
			return beginWork(t, reg, cell, lss, "?parts=4", "x", 200*time.Millisecond)
		}},
		{"idle streams", beginStreams},
		{"edit half spread", beginEdit},
	}
}

const (
	callersPerCell = 14 // About two at each upstream of the feed.
	streamTime     = 3 * time.Second
)

// assertLoss checks an order against what the fault may cost.
func assertLoss(t *testing.T, reg *region, ord *order, lss loss) {
	t.Helper()
	if _, ok := ord.err.(*caller.UnknownError); ok && lss == unknownWork {
		reg.assertOnce(t, ord)
		return
	}
	reg.assertWhole(t, ord)
}

// beginHandshakes opens connections while the fault strikes, and has each do
// one piece of work.
func beginHandshakes(t *testing.T, reg *region, cell string, lss loss) func() {
	return beginOrders(t, reg, cell, lss, func(num int) (*caller.Client, *order) {
		return reg.client("till-gold"), &order{name: fmt.Sprintf("%s %d", cell, num), body: "x"}
	})
}

// beginWork has callers that are connected send work, and waits a little.
func beginWork(t *testing.T, reg *region, cell string, lss loss, query, body string, wait time.Duration) func() {
	clients := reg.connected(t, cell)
	end := beginOrders(t, reg, cell, lss, func(num int) (*caller.Client, *order) {
		return clients[num], &order{name: fmt.Sprintf("%s %d", cell, num), query: query, body: body}
	})
	time.Sleep(wait)
	return end
}

func beginOrders(t *testing.T, reg *region, cell string, lss loss, newOrder func(int) (*caller.Client, *order)) func() {
	var wait sync.WaitGroup
	orders := make([]*order, callersPerCell)
	for num := range orders {
		cln, ord := newOrder(num)
		orders[num] = ord
		wait.Go(func() { reg.do(cln, "till-gold", ord) })
	}
	return func() {
		wait.Wait()
		for _, ord := range orders {
			assertLoss(t, reg, ord, lss)
		}
	}
}

// connected returns clients that have each done one piece of work.
func (reg *region) connected(t *testing.T, cell string) []*caller.Client {
	t.Helper()
	clients := make([]*caller.Client, callersPerCell)
	var wait sync.WaitGroup
	for num := range clients {
		clients[num] = reg.client("till-gold")
		wait.Go(func() {
			ord := &order{name: fmt.Sprintf("%s first %d", cell, num)}
			reg.do(clients[num], "till-gold", ord)
			if ord.err != nil {
				t.Errorf("connecting: %v", ord.err)
			}
		})
	}
	wait.Wait()
	return clients
}

// beginStreams has streams open that go on for a while after the fault. No line
// may be missing or doubled; only an agent's death may make a stream resume.
func beginStreams(t *testing.T, reg *region, _ string, lss loss) func() {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for range callersPerCell {
		str, err := reg.client("till-gold").Stream(ctx, stand.LivePath, func(line string) string { return line })
		assert.NilError(t, err)
		wait.Go(func() { followStream(t, str, stop, lss) })
	}
	return func() {
		time.Sleep(streamTime)
		close(stop)
		wait.Wait()
		cancel()
	}
}

func followStream(t *testing.T, str *caller.Stream, stop chan struct{}, lss loss) {
	defer str.Close()
	for last := 0; ; last++ {
		line, err := str.Next()
		if err != nil || line != strconv.Itoa(last+1) {
			t.Errorf("line %q after %d: %v", line, last, err)
			return
		}
		select {
		case <-stop:
			if str.Resumes() > 0 && lss == noLoss {
				t.Errorf("a stream lost its connection %d times", str.Resumes())
			}
			return
		default:
		}
	}
}

// beginEdit publishes an edit, and lets the fault strike as soon as one process
// has it. It has to be in force everywhere in time.
func beginEdit(t *testing.T, reg *region, _ string, _ loss) func() {
	reg.publish("customers", stand.CustomersList(stand.Customers[:3]...)+fmt.Sprintf("# %d\n", reg.revisions["customers"]))
	want := reg.revisions["customers"]
	deadline := time.Now().Add(inForce)
	reg.awaitAnywhere(t, "customers", want, deadline)
	return func() {
		for _, hst := range reg.scn.Hosts() {
			if reg.dead(hst.Name) {
				continue
			}
			reg.awaitRevision(t, hst, "customers", want, deadline)
		}
	}
}

func TestFaultMatrix(t *testing.T) {
	reg := newRegion(t, testPorts)
	for _, flt := range faults() {
		for _, stp := range steps() {
			cell := flt.name + "/" + stp.name
			t.Run(cell, func(t *testing.T) {
				finish := stp.begin(t, reg, strings.ReplaceAll(cell, " ", "-"), flt.loss)
				defer reg.awaitReady()
				defer flt.heal(reg)
				flt.strike(reg)
				finish()
				reg.assertNoneMisrouted(t)
			})
		}
	}
}

// TestEditDuringAnOutage checks that an edit that nobody has read when the
// platform goes down is in force everywhere in time after its return.
func TestEditDuringAnOutage(t *testing.T) {
	reg := newRegion(t, testPorts+1000)
	reg.platform.SetDown(true)
	reg.publish("customers", stand.CustomersList(stand.Customers...))
	time.Sleep(outage)
	reg.platform.SetDown(false)
	deadline := time.Now().Add(inForce)
	for _, hst := range reg.scn.Hosts() {
		reg.awaitRevision(t, hst, "customers", 2, deadline)
	}
}

const outage = 12 * time.Second
