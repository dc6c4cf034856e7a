// Package simul simulates the decisions of core and simpler alternatives on the
// same sequence of events. It compares how evenly flows and work are distributed
// and which open flows a change of the fleet breaks.
package simul

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

// FlowPolicy selects the agent of a new flow: HashOnly, TwoChoices or Steered.
type FlowPolicy interface{ flowPolicy() }

// HashOnly selects the first candidate of the hash.
type HashOnly struct{}

// TwoChoices has the balancer select the less loaded of two candidates by the
// load reports that it received.
type TwoChoices struct{}

// Steered has the agent of the first candidate pass a flow to the second one if
// it is more loaded itself. With CountPending, agents also count the first
// flights that they accepted but that are not flows yet. With HandBack, the
// second agent may hand the flow back.
type Steered struct{ CountPending, HandBack bool }

func (HashOnly) flowPolicy()   {}
func (TwoChoices) flowPolicy() {}
func (Steered) flowPolicy()    {}

// FlowScenario is a burst of new flows.
type FlowScenario struct {
	Name           string
	Upstreams      int
	Balancers      int
	Flows          int
	Length         time.Duration // Length of the burst.
	Handshake      time.Duration // From the first packet until the flow counts as load.
	ReportInterval time.Duration // Between two load reports of one agent to one balancer.
	FalseReporters int           // Agents that always report no load.
	LateJoiners    int           // Agents that join without flows halfway through the burst.
}

// flowCapacity is the number of flows at which an agent is full.
const flowCapacity = 2000

// flowRun is one run of a policy on a scenario. Times count from the start of the
// burst.
type flowRun struct {
	scenario   FlowScenario
	rnd        *rand.Rand
	entry      *table.Entry
	index      map[netip.AddrPort]int
	flowStarts [][]time.Duration // By agent, when its flows started.
	reports    [][]frame.Load    // By balancer and agent, the last load report.
	reportedAt [][]time.Duration // By balancer and agent, when that report was sent.
}

// FlowImbalance returns the number of flows of the fullest upstream after a burst,
// divided by the mean; 1 is even. The same seed gives every policy the same
// events, so that they can be compared.
func FlowImbalance(scn FlowScenario, pol FlowPolicy, seed uint64) float64 {
	run := newFlowRun(scn, seed)
	for num := range scn.Flows {
		now := scn.Length * time.Duration(num) / time.Duration(scn.Flows)
		balancer := run.rnd.IntN(scn.Balancers)
		key := run.rnd.Uint64()
		first, second := run.entry.Choose(key, run.available(num))
		run.updateReports(balancer, now)
		idx := run.index[run.choose(pol, balancer, first, second, now)]
		run.flowStarts[idx] = append(run.flowStarts[idx], now)
	}
	return run.imbalance()
}

func newFlowRun(scn FlowScenario, seed uint64) *flowRun {
	run := &flowRun{scenario: scn, rnd: rand.New(rand.NewPCG(seed, seed)), index: make(map[netip.AddrPort]int)}
	tab := FleetTable(scn.Upstreams, 1)
	run.entry, _ = tab.Lookup(GrantAddress(0))
	for idx, cnd := range run.entry.Candidates() {
		run.index[cnd.Agent()] = idx
	}
	run.flowStarts = make([][]time.Duration, scn.Upstreams)
	for range scn.Balancers {
		run.reports = append(run.reports, make([]frame.Load, scn.Upstreams))
		times := make([]time.Duration, scn.Upstreams)
		for i := range times {
			times[i] = -time.Duration(run.rnd.Int64N(int64(scn.ReportInterval)))
		}
		run.reportedAt = append(run.reportedAt, times)
	}
	return run
}

// available returns a filter for candidates that excludes the agents that join
// halfway from the first half of the flows.
func (run *flowRun) available(num int) func(netip.AddrPort) bool {
	return func(agent netip.AddrPort) bool {
		return num >= run.scenario.Flows/2 || run.index[agent] >= run.scenario.LateJoiners
	}
}

// updateReports updates the load reports at a balancer that are due.
func (run *flowRun) updateReports(balancer int, now time.Duration) {
	for idx := range run.flowStarts {
		if now-run.reportedAt[balancer][idx] < run.scenario.ReportInterval {
			continue
		}
		run.reportedAt[balancer][idx] = now
		run.reports[balancer][idx] = run.reportedLoad(idx, now)
	}
}

// reportedLoad returns the load that an agent reports: its flows that count by
// now, or none if it reports falsely.
func (run *flowRun) reportedLoad(idx int, now time.Duration) frame.Load {
	if idx >= run.scenario.Upstreams-run.scenario.FalseReporters {
		return 0
	}
	return frame.NewLoad(run.countedFlows(idx, now), flowCapacity, 0, 1)
}

// countedFlows returns the number of an agent's flows that completed their
// handshake.
func (run *flowRun) countedFlows(idx int, now time.Duration) int {
	count := 0
	for _, start := range run.flowStarts[idx] {
		if start+run.scenario.Handshake <= now {
			count++
		}
	}
	return count
}

// choose returns the candidate that gets a flow under a policy.
func (run *flowRun) choose(pol FlowPolicy, balancer int, first, second netip.AddrPort, now time.Duration) netip.AddrPort {
	firstIdx, secondIdx := run.index[first], run.index[second]
	switch pol := pol.(type) {
	case TwoChoices:
		if run.reports[balancer][secondIdx].Flows() < run.reports[balancer][firstIdx].Flows() {
			return second
		}
	case Steered:
		return run.chooseSteered(pol, balancer, first, second, now)
	}
	return first
}

// chooseSteered has both agents decide as they do in production.
func (run *flowRun) chooseSteered(pol Steered, balancer int, first, second netip.AddrPort, now time.Duration) netip.AddrPort {
	firstIdx, secondIdx := run.index[first], run.index[second]
	hdr := frame.Forward(netip.AddrPort{}, netip.Addr{}, 0).WithSecondChoice(second, run.reports[balancer][secondIdx])
	sta := run.agentState(pol, firstIdx, now)
	if !steer.New().Decide(steer.Flight{}, hdr, first, sta, time.Time{}).IsValid() {
		return first
	}
	hdr = hdr.Pass(second, sta.Load())
	if pol.HandBack && steer.New().Decide(steer.Flight{}, hdr, first, run.agentState(pol, secondIdx, now), time.Time{}).IsValid() {
		return first
	}
	return second
}

// agentState returns the state by which an agent decides.
func (run *flowRun) agentState(pol Steered, idx int, now time.Duration) steer.State {
	flows := run.countedFlows(idx, now)
	if pol.CountPending {
		flows = len(run.flowStarts[idx])
	}
	return steer.NewState(frame.NewLoad(flows, flowCapacity, 0, 1), false)
}

// imbalance returns the flows of the fullest upstream divided by the mean.
func (run *flowRun) imbalance() float64 {
	most := 0
	for _, flows := range run.flowStarts {
		most = max(most, len(flows))
	}
	return float64(most) * float64(run.scenario.Upstreams) / float64(run.scenario.Flows)
}

// GrantAddress returns the address of one grant of a fleet.
func GrantAddress(num int) netip.Addr {
	return netip.AddrFrom4([4]byte{192, 0, byte(num >> 8), byte(num)})
}

// AgentAddress returns the address and port of one agent of a fleet.
func AgentAddress(num int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(num >> 8), byte(num)}), 7842)
}

// FleetTable returns the routing table of a fleet with one service for each
// address. The upstreams are assigned to the services round-robin.
func FleetTable(upstreams, addresses int) *table.Table {
	pls, vms := FleetLists(upstreams, addresses)
	return table.New(pls, vms, table.NewLocality("z0", "r", netip.AddrPort{}))
}

// FleetLists returns the parsed lists of a fleet.
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

// FleetTexts returns the plans and VMs of a fleet as list texts.
func FleetTexts(upstreams, addresses int) (plans, vms string) {
	var pl, vm strings.Builder
	pl.WriteString("[plan p]\n")
	for num := range addresses {
		fmt.Fprintf(&pl, "[service s%d]\n[grant p s%d]\naddress = %s\nupstreams = %d\nshare = 1\n", num, num, GrantAddress(num), upstreams)
	}
	for num := range upstreams {
		fmt.Fprintf(&vm, "[vm u%d]\naddress = %s\nzone = z%d\nregion = r\nservice = s%d\nslots = 4\n", num, AgentAddress(num), num%zoneCount, num%addresses)
	}
	return pl.String() + "[end]\n", vm.String() + "[end]\n"
}

// zoneCount is the number of zones that the upstreams of a fleet are spread over.
const zoneCount = 7
