package simul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lagoondrum/core/admit"
)

// WorkPolicy selects what an agent does with work that would have to wait:
// LocalOnly or Offload.
type WorkPolicy interface{ workPolicy() }

// LocalOnly runs all work of a flow at the flow's own agent.
type LocalOnly struct{}

// Offload offers work to peers if the agent's running and queued work is at
// least Factor times its slots, or if its own admission controller refuses. A
// peer accepts only if it has a free slot.
type Offload struct{ Factor float64 }

func (LocalOnly) workPolicy() {}
func (Offload) workPolicy()   {}

// WorkScenario is a burst of requests on open flows, such as before closing time.
type WorkScenario struct {
	Name        string
	Upstreams   int
	Slots       int
	Flows       int           // Assigned to upstreams at random.
	Requests    int           // Requests, assigned to the flows at random.
	Length      time.Duration // Length of the burst.
	ServiceTime time.Duration // Mean service time of a request.
	Timeout     time.Duration // From a request's arrival to its deadline.
}

// WorkResult holds the measurements of a burst.
type WorkResult struct {
	Imbalance           float64       // Work of the busiest upstream divided by the mean.
	Refused             int           // Refused requests.
	RefusedWithFreeSlot int           // Requests refused while some upstream had a free slot.
	MaxLatency          time.Duration // Longest time from arrival to completion.
}

// workEvent is the arrival or the completion of a request.
type workEvent struct {
	due     time.Time
	request uint64
	agent   int // The agent that completes the request, -1 for an arrival.
}

// eventQueue is a heap with the event that is due first on top.
type eventQueue []workEvent

func (que eventQueue) Len() int           { return len(que) }
func (que eventQueue) Less(i, j int) bool { return que[i].due.Before(que[j].due) }
func (que eventQueue) Swap(i, j int)      { que[i], que[j] = que[j], que[i] }
func (que *eventQueue) Push(evt any)      { *que = append(*que, evt.(workEvent)) }
func (que *eventQueue) Pop() any {
	last := (*que)[len(*que)-1]
	*que = (*que)[:len(*que)-1]
	return last
}

// workRun is one run of a policy on a scenario.
type workRun struct {
	scenario    WorkScenario
	policy      WorkPolicy
	rnd         *rand.Rand
	controllers []*admit.Controller
	homeAgents  []int // By flow, its own agent.
	arrived     map[uint64]time.Time
	done        []int // By agent, its completed requests.
	events      eventQueue
	result      WorkResult
}

// burstStart is the start of a burst in virtual time.
var burstStart = time.Date(2026, 12, 4, 17, 0, 0, 0, time.UTC)

// RunBurst simulates a burst of requests at the admission controllers of a
// service's agents.
func RunBurst(scn WorkScenario, pol WorkPolicy, seed uint64) WorkResult {
	run := &workRun{
		scenario: scn, policy: pol, rnd: rand.New(rand.NewPCG(seed, seed)),
		arrived: make(map[uint64]time.Time), done: make([]int, scn.Upstreams),
	}
	for range scn.Upstreams {
		ctl := admit.New(scn.Slots)
		ctl.SetShares(map[string]float64{"p": 1})
		run.controllers = append(run.controllers, ctl)
	}
	for range scn.Flows {
		run.homeAgents = append(run.homeAgents, run.rnd.IntN(scn.Upstreams))
	}
	for request := range scn.Requests {
		arrival := burstStart.Add(time.Duration(run.rnd.Int64N(int64(scn.Length))))
		heap.Push(&run.events, workEvent{arrival, uint64(request), -1})
	}
	for run.events.Len() > 0 {
		run.step(heap.Pop(&run.events).(workEvent))
	}
	return run.summarize()
}

// step handles one event.
func (run *workRun) step(evt workEvent) {
	if evt.agent >= 0 {
		run.done[evt.agent]++
		run.result.MaxLatency = max(run.result.MaxLatency, evt.due.Sub(run.arrived[evt.request]))
		run.applyActions(evt.agent, run.controllers[evt.agent].Done(evt.request, evt.due), evt.due)
		return
	}
	run.arrived[evt.request] = evt.due
	home := run.homeAgents[run.rnd.IntN(len(run.homeAgents))]
	if run.shouldOffload(home) && run.offload(home, evt.request, evt.due) {
		return
	}
	wk := admit.NewWork(evt.request, "p", evt.due.Add(run.scenario.Timeout))
	run.applyActions(home, []admit.Action{run.controllers[home].Offer(wk, evt.due)}, evt.due)
}

// shouldOffload reports whether an agent offers new work to peers first.
func (run *workRun) shouldOffload(home int) bool {
	pol, ok := run.policy.(Offload)
	ctl := run.controllers[home]
	return ok && float64(ctl.Running()+ctl.Queued()) >= pol.Factor*float64(ctl.Slots())
}

// offload offers a request to up to peerTries random peers, as many as an agent
// asks, and reports whether one accepted it.
func (run *workRun) offload(home int, request uint64, now time.Time) bool {
	const peerTries = 3
	for range peerTries {
		peer := run.rnd.IntN(run.scenario.Upstreams)
		if peer == home || !run.controllers[peer].Free() {
			continue
		}
		wk := admit.NewWork(request, "p", run.arrived[request].Add(run.scenario.Timeout))
		run.applyActions(peer, []admit.Action{run.controllers[peer].Offer(wk, now)}, now)
		return true
	}
	return false
}

// applyActions carries out the actions of an agent's admission controller. A
// request takes 0.5 to 1.5 times the mean service time.
func (run *workRun) applyActions(agent int, acts []admit.Action, now time.Time) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Run:
			serviceTime := time.Duration((0.5 + run.rnd.Float64()) * float64(run.scenario.ServiceTime))
			heap.Push(&run.events, workEvent{now.Add(serviceTime), act.ID, agent})
		case admit.Refuse:
			run.refuse(agent, act.ID, now)
		case admit.Wait:
		}
	}
}

// refuse offers a request that its controller refused to peers if the policy
// does, or else counts it as refused.
func (run *workRun) refuse(agent int, request uint64, now time.Time) {
	if _, ok := run.policy.(Offload); ok && run.offload(agent, request, now) {
		return
	}
	run.result.Refused++
	for _, ctl := range run.controllers {
		if ctl.Free() {
			run.result.RefusedWithFreeSlot++
			return
		}
	}
}

// summarize returns the result with the imbalance of the completed work.
func (run *workRun) summarize() WorkResult {
	most, sum := 0, 0
	for _, done := range run.done {
		most = max(most, done)
		sum += done
	}
	run.result.Imbalance = float64(most) * float64(run.scenario.Upstreams) / float64(max(sum, 1))
	return run.result
}

// markLeaving marks an upstream as leaving in the text of a VM list.
func markLeaving(vms string, num int) string {
	title := fmt.Sprintf("[vm u%d]\n", num)
	return strings.Replace(vms, title, title+"state = leaving\n", 1)
}
