package trial

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lagoondrum/core/admit"
)

// WorkPolicy says what an agent does with work that would wait.
type WorkPolicy interface{ workPolicy() }

// StayHere has every flow's work run at its own agent.
type StayHere struct{}

// PassOn offers work to peers when the own queue is at least Factor times the
// slots, and when the own gate refuses. A peer takes it only into a free slot.
type PassOn struct{ Factor float64 }

func (StayHere) workPolicy() {}
func (PassOn) workPolicy()   {}

// WorkScene is a burst of work on open flows before closing time.
type WorkScene struct {
	Name      string
	Upstreams int
	Slots     int
	Flows     int           // Dealt to upstreams at random.
	Orders    int           // Spread over the flows at random.
	Within    time.Duration // The burst's length.
	Service   time.Duration // Mean time of one order.
	Limit     time.Duration // From an order's arrival to its deadline.
}

// WorkResult is what became of a burst.
type WorkResult struct {
	Imbalance   float64       // Work of the busiest upstream over the mean.
	Refused     int           // Orders refused.
	RefusedFree int           // Of them, while some upstream had a free slot.
	Worst       time.Duration // Longest time from arrival to end.
}

type workEvent struct {
	at    time.Time
	order uint64
	agent int // Where the order ends; -1 for an arrival.
}

type workQueue []workEvent

func (que workQueue) Len() int           { return len(que) }
func (que workQueue) Less(i, j int) bool { return que[i].at.Before(que[j].at) }
func (que workQueue) Swap(i, j int)      { que[i], que[j] = que[j], que[i] }
func (que *workQueue) Push(evt any)      { *que = append(*que, evt.(workEvent)) }
func (que *workQueue) Pop() any {
	last := (*que)[len(*que)-1]
	*que = (*que)[:len(*que)-1]
	return last
}

type workRun struct {
	scene   WorkScene
	policy  WorkPolicy
	rnd     *rand.Rand
	gates   []*admit.Gate
	homes   []int
	arrived map[uint64]time.Time
	done    []int
	events  workQueue
	result  WorkResult
}

var dayEnd = time.Date(2026, 12, 4, 17, 0, 0, 0, time.UTC)

// Burst runs a burst of work through the gates of a service's agents.
func Burst(scn WorkScene, pol WorkPolicy, seed uint64) WorkResult {
	run := &workRun{
		scene: scn, policy: pol, rnd: rand.New(rand.NewPCG(seed, seed)),
		arrived: make(map[uint64]time.Time), done: make([]int, scn.Upstreams),
	}
	for range scn.Upstreams {
		gt := admit.New(scn.Slots)
		gt.SetShares(map[string]float64{"p": 1})
		run.gates = append(run.gates, gt)
	}
	for range scn.Flows {
		run.homes = append(run.homes, run.rnd.IntN(scn.Upstreams))
	}
	for order := range scn.Orders {
		at := dayEnd.Add(time.Duration(run.rnd.Int64N(int64(scn.Within))))
		heap.Push(&run.events, workEvent{at, uint64(order), -1})
	}
	for run.events.Len() > 0 {
		run.step(heap.Pop(&run.events).(workEvent))
	}
	return run.sumUp()
}

func (run *workRun) step(evt workEvent) {
	if evt.agent >= 0 {
		run.done[evt.agent]++
		run.result.Worst = max(run.result.Worst, evt.at.Sub(run.arrived[evt.order]))
		run.settle(evt.agent, run.gates[evt.agent].Done(evt.order, evt.at), evt.at)
		return
	}
	run.arrived[evt.order] = evt.at
	home := run.homes[run.rnd.IntN(len(run.homes))]
	if run.wouldPass(home) && run.passOn(home, evt.order, evt.at) {
		return
	}
	wk := admit.NewWork(evt.order, "p", evt.at.Add(run.scene.Limit))
	run.settle(home, []admit.Action{run.gates[home].Offer(wk, evt.at)}, evt.at)
}

func (run *workRun) wouldPass(home int) bool {
	pol, ok := run.policy.(PassOn)
	gt := run.gates[home]
	return ok && float64(gt.Running()+gt.Queued()) >= pol.Factor*float64(gt.Slots())
}

// passOn offers an order to as many peers as an agent asks.
func (run *workRun) passOn(home int, order uint64, now time.Time) bool {
	const peerTries = 3
	for range peerTries {
		peer := run.rnd.IntN(run.scene.Upstreams)
		if peer == home || !run.gates[peer].Free() {
			continue
		}
		wk := admit.NewWork(order, "p", run.arrived[order].Add(run.scene.Limit))
		run.settle(peer, []admit.Action{run.gates[peer].Offer(wk, now)}, now)
		return true
	}
	return false
}

func (run *workRun) settle(agent int, acts []admit.Action, now time.Time) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Run:
			took := time.Duration((0.5 + run.rnd.Float64()) * float64(run.scene.Service))
			heap.Push(&run.events, workEvent{now.Add(took), act.ID, agent})
		case admit.Refuse:
			run.refuse(agent, act.ID, now)
		case admit.Wait:
		}
	}
}

func (run *workRun) refuse(agent int, order uint64, now time.Time) {
	if _, ok := run.policy.(PassOn); ok && run.passOn(agent, order, now) {
		return
	}
	run.result.Refused++
	for _, gt := range run.gates {
		if gt.Free() {
			run.result.RefusedFree++
			return
		}
	}
}

func (run *workRun) sumUp() WorkResult {
	most, sum := 0, 0
	for _, done := range run.done {
		most = max(most, done)
		sum += done
	}
	run.result.Imbalance = float64(most) * float64(run.scene.Upstreams) / float64(max(sum, 1))
	return run.result
}

func markLeaving(vms string, num int) string {
	title := fmt.Sprintf("[vm u%d]\n", num)
	return strings.Replace(vms, title, title+"state = leaving\n", 1)
}
