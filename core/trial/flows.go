// Package trial compares the decisions of core with plainer ones on the same
// sequence of events: how evenly flows and work spread, and which open flows a
// fault breaks.
package trial

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"lagoondrum/core/frame"
	"lagoondrum/core/lists"
	"lagoondrum/core/steer"
	"lagoondrum/core/table"
)

// FlowPolicy says which agent gets a new flow.
type FlowPolicy interface{ flowPolicy() }

// HashAlone takes the first choice.
type HashAlone struct{}

// TwoChoices has the balancer take the emptier of two by the loads it heard.
type TwoChoices struct{}

// Steered has the first agent pass to the second when it is fuller itself. With
// Pending agents count first flights that they have kept but that are not flows
// yet; with Back the second agent may hand back.
type Steered struct{ Pending, Back bool }

func (HashAlone) flowPolicy()  {}
func (TwoChoices) flowPolicy() {}
func (Steered) flowPolicy()    {}

// FlowScene is a burst of new flows.
type FlowScene struct {
	Name      string
	Upstreams int
	Balancers int
	Flows     int
	Within    time.Duration // The burst's length.
	Handshake time.Duration // From the first packet until the flow counts.
	Heard     time.Duration // Between two words of one agent to one balancer.
	Lying     int           // Agents that always claim to be empty.
	Cold      int           // Agents that join half way with no flows.
}

const flowCapacity = 2000

// flowRun is one pass of a policy over a scene.
type flowRun struct {
	scene   FlowScene
	rnd     *rand.Rand
	entry   *table.Entry
	index   map[netip.AddrPort]int
	begun   [][]time.Duration // By agent, when its flows began.
	heard   [][]frame.Load    // By balancer and agent.
	heardAt [][]time.Duration
}

// Imbalance returns the flows of the fullest upstream over the mean after a
// burst, 1 being even. The seed fixes the events, so that policies compare.
func Imbalance(scn FlowScene, pol FlowPolicy, seed uint64) float64 {
	run := newFlowRun(scn, seed)
	for num := range scn.Flows {
		now := scn.Within * time.Duration(num) / time.Duration(scn.Flows)
		balancer := run.rnd.IntN(scn.Balancers)
		key := run.rnd.Uint64()
		first, second := run.entry.Choose(key, run.joined(num))
		run.hear(balancer, now)
		at := run.index[run.choose(pol, balancer, first, second, now)]
		run.begun[at] = append(run.begun[at], now)
	}
	return run.maxOverMean()
}

func newFlowRun(scn FlowScene, seed uint64) *flowRun {
	run := &flowRun{scene: scn, rnd: rand.New(rand.NewPCG(seed, seed)), index: make(map[netip.AddrPort]int)}
	tab := Fleet(scn.Upstreams, 1)
	run.entry, _ = tab.Lookup(Address(0))
	for at, cnd := range run.entry.Candidates() {
		run.index[cnd.Agent()] = at
	}
	run.begun = make([][]time.Duration, scn.Upstreams)
	for range scn.Balancers {
		run.heard = append(run.heard, make([]frame.Load, scn.Upstreams))
		at := make([]time.Duration, scn.Upstreams)
		for i := range at {
			at[i] = -time.Duration(run.rnd.Int64N(int64(scn.Heard)))
		}
		run.heardAt = append(run.heardAt, at)
	}
	return run
}

// joined leaves the cold agents out during the first half.
func (run *flowRun) joined(num int) func(netip.AddrPort) bool {
	return func(agent netip.AddrPort) bool {
		return num >= run.scene.Flows/2 || run.index[agent] >= run.scene.Cold
	}
}

// hear brings a balancer's loads up to date where an agent's word is due.
func (run *flowRun) hear(balancer int, now time.Duration) {
	for at := range run.begun {
		if now-run.heardAt[balancer][at] < run.scene.Heard {
			continue
		}
		run.heardAt[balancer][at] = now
		run.heard[balancer][at] = run.claimed(at, now)
	}
}

// claimed is the load that an agent tells: what counted at now.
func (run *flowRun) claimed(at int, now time.Duration) frame.Load {
	if at >= run.scene.Upstreams-run.scene.Lying {
		return 0
	}
	return frame.LoadOf(run.counted(at, now), flowCapacity, 0, 1)
}

func (run *flowRun) counted(at int, now time.Duration) int {
	count := 0
	for _, began := range run.begun[at] {
		if began+run.scene.Handshake <= now {
			count++
		}
	}
	return count
}

func (run *flowRun) choose(pol FlowPolicy, balancer int, first, second netip.AddrPort, now time.Duration) netip.AddrPort {
	one, two := run.index[first], run.index[second]
	switch pol := pol.(type) {
	case TwoChoices:
		if run.heard[balancer][two].Flows() < run.heard[balancer][one].Flows() {
			return second
		}
	case Steered:
		return run.steered(pol, balancer, first, second, now)
	}
	return first
}

// steered has both agents decide as they do in the product.
func (run *flowRun) steered(pol Steered, balancer int, first, second netip.AddrPort, now time.Duration) netip.AddrPort {
	one, two := run.index[first], run.index[second]
	hdr := frame.Forward(netip.AddrPort{}, netip.Addr{}, 0).WithSecond(second, run.heard[balancer][two])
	own := run.own(pol, one, now)
	if !steer.New().Decide(steer.Flight{}, hdr, first, own, time.Time{}).IsValid() {
		return first
	}
	hdr = hdr.Pass(second, own.Load())
	if pol.Back && steer.New().Decide(steer.Flight{}, hdr, first, run.own(pol, two, now), time.Time{}).IsValid() {
		return first
	}
	return second
}

func (run *flowRun) own(pol Steered, at int, now time.Duration) steer.Self {
	flows := run.counted(at, now)
	if pol.Pending {
		flows = len(run.begun[at])
	}
	return steer.NewSelf(frame.LoadOf(flows, flowCapacity, 0, 1), false)
}

func (run *flowRun) maxOverMean() float64 {
	most := 0
	for _, flows := range run.begun {
		most = max(most, len(flows))
	}
	return float64(most) * float64(run.scene.Upstreams) / float64(run.scene.Flows)
}

// Address returns the address of one grant of a fleet.
func Address(num int) netip.Addr {
	return netip.AddrFrom4([4]byte{192, 0, byte(num >> 8), byte(num)})
}

// Agent returns the address of one agent of a fleet.
func Agent(num int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(num >> 8), byte(num)}), 7842)
}

// Fleet returns the table of upstreams behind addresses, one service for each
// address, with the upstreams dealt out in turn.
func Fleet(upstreams, addresses int) *table.Table {
	pls, vms := FleetLists(upstreams, addresses)
	return table.New(pls, vms, table.NewPlace("z0", "r", netip.AddrPort{}))
}

// FleetLists returns the lists of a fleet.
func FleetLists(upstreams, addresses int) (*lists.Plans, *lists.VMs) {
	plans, vms := FleetTexts(upstreams, addresses)
	parsedPlans, err := lists.ParsePlans([]byte(plans))
	if err != nil {
		panic(err)
	}
	parsedVMs, err := lists.ParseVMs([]byte(vms))
	if err != nil {
		panic(err)
	}
	return parsedPlans, parsedVMs
}

// FleetTexts returns the texts of the lists of a fleet.
func FleetTexts(upstreams, addresses int) (plans, vms string) {
	var pl, vm strings.Builder
	pl.WriteString("[plan p]\n")
	for num := range addresses {
		fmt.Fprintf(&pl, "[service s%d]\n[grant p s%d]\naddress = %s\nupstreams = %d\nshare = 1\n", num, num, Address(num), upstreams)
	}
	for num := range upstreams {
		fmt.Fprintf(&vm, "[vm u%d]\naddress = %s\nzone = z%d\nregion = r\nservice = s%d\nslots = 4\n", num, Agent(num), num%zones, num%addresses)
	}
	return pl.String() + "[end]\n", vm.String() + "[end]\n"
}

const zones = 7
