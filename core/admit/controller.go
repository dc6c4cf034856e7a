// Package admit is the admission control of an upstream: it decides which work
// runs, waits or is refused, by the shares of the plans and the deadlines of the
// work. It also holds the retry budgets of customers.
package admit

import (
	"sort"
	"time"
)

// MaxQueuePerSlot bounds the queue, in pieces of work for each slot.
const MaxQueuePerSlot = 64

// serviceSmoothing is the weight of a new sample in the exponential moving average
// of the service time.
const serviceSmoothing = 0.1

// Work is one piece of work that asks for a slot.
type Work struct {
	id       uint64
	plan     string
	deadline time.Time
}

// NewWork returns a piece of work of a plan that has to end by deadline.
func NewWork(id uint64, plan string, deadline time.Time) Work {
	return Work{id: id, plan: plan, deadline: deadline}
}

// ID returns the number that identifies the work at the gate.
func (wk Work) ID() uint64 { return wk.id }

// Action is a decision of the gate: Run, Wait or Refuse.
type Action interface{ action() }

// Run gives a slot to the work.
type Run struct{ ID uint64 }

// Wait keeps the work in the queue.
type Wait struct{ ID uint64 }

// Refuse rejects work that did not run.
type Refuse struct {
	ID     uint64
	Reason Reason
}

func (Run) action()    {}
func (Wait) action()   {}
func (Refuse) action() {}

// Reason is the reason of a refusal.
type Reason string

// The reasons of refusals.
const (
	DeadlineUnreachable Reason = "deadlineUnreachable"
	QueueFull           Reason = "queueFull"
	NoGrant             Reason = "noGrant"
)

// Controller divides the slots of one upstream between plans and queues work by deadline.
type Controller struct {
	slots         int
	limit         int
	shares        map[string]float64
	running       map[uint64]run
	runningByPlan map[string]int
	queue         []Work
	serviceTime   time.Duration
}

type run struct {
	plan      string
	startedAt time.Time
}

// New returns a gate for an upstream with a number of slots.
func New(slots int) *Controller {
	return &Controller{
		slots:         slots,
		limit:         slots,
		running:       make(map[uint64]run),
		runningByPlan: make(map[string]int),
	}
}

// SetShares sets the guaranteed share of each plan, as a fraction of the slots. Work
// of other plans is refused.
func (gt *Controller) SetShares(shares map[string]float64) { gt.shares = shares }

// SetSlots sets the number of slots of the upstream.
func (gt *Controller) SetSlots(slots int) { gt.slots = slots }

// SetLimit bounds the number of slots that may be used now. A limit above the number
// of slots has no effect.
func (gt *Controller) SetLimit(limit int) { gt.limit = limit }

// Running returns the number of pieces of work that hold a slot.
func (gt *Controller) Running() int { return len(gt.running) }

// Queued returns the number of pieces of work that wait.
func (gt *Controller) Queued() int { return len(gt.queue) }

// Slots returns the number of slots that may be used now.
func (gt *Controller) Slots() int { return min(gt.slots, gt.limit) }

// Free reports whether new work of a plan with a share would run at once.
func (gt *Controller) Free() bool { return len(gt.queue) == 0 && len(gt.running) < gt.Slots() }

// Offer decides whether new work runs, waits or is refused.
func (gt *Controller) Offer(wk Work, now time.Time) Action {
	if _, ok := gt.shares[wk.plan]; !ok {
		return Refuse{wk.id, NoGrant}
	}
	if gt.Free() {
		return gt.start(wk, now)
	}
	if now.Add(gt.estimateTime(wk)).After(wk.deadline) {
		return Refuse{wk.id, DeadlineUnreachable}
	}
	if len(gt.queue) >= MaxQueuePerSlot*gt.slots {
		return Refuse{wk.id, QueueFull}
	}
	gt.enqueue(wk)
	return Wait{wk.id}
}

// Done frees the slot of finished work and returns the actions of Advance.
func (gt *Controller) Done(id uint64, now time.Time) []Action {
	if rn, ok := gt.running[id]; ok {
		delete(gt.running, id)
		gt.runningByPlan[rn.plan]--
		gt.recordServiceTime(now.Sub(rn.startedAt))
	}
	return gt.Advance(now)
}

// Cancel removes work from the queue and reports whether it was there.
func (gt *Controller) Cancel(id uint64) bool {
	for i, wk := range gt.queue {
		if wk.id == id {
			gt.queue = append(gt.queue[:i], gt.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Flush refuses all waiting work.
func (gt *Controller) Flush(reason Reason) []Action {
	var acts []Action
	for _, wk := range gt.queue {
		acts = append(acts, Refuse{wk.id, reason})
	}
	gt.queue = nil
	return acts
}

// Advance refuses waiting work that can no longer end by its deadline, and gives
// free slots to the rest.
func (gt *Controller) Advance(now time.Time) []Action {
	acts := gt.expire(now)
	for len(gt.queue) > 0 && len(gt.running) < gt.Slots() {
		next := gt.nextIndex()
		wk := gt.queue[next]
		gt.queue = append(gt.queue[:next], gt.queue[next+1:]...)
		acts = append(acts, gt.start(wk, now))
	}
	return acts
}

func (gt *Controller) start(wk Work, now time.Time) Action {
	gt.running[wk.id] = run{wk.plan, now}
	gt.runningByPlan[wk.plan]++
	return Run{wk.id}
}

// enqueue inserts work by deadline, after work with the same deadline.
func (gt *Controller) enqueue(wk Work) {
	at := sort.Search(len(gt.queue), func(i int) bool { return gt.queue[i].deadline.After(wk.deadline) })
	gt.queue = append(gt.queue, Work{})
	copy(gt.queue[at+1:], gt.queue[at:])
	gt.queue[at] = wk
}

// expire refuses waiting work that would end after its deadline if it started now.
func (gt *Controller) expire(now time.Time) []Action {
	var acts []Action
	kept := gt.queue[:0]
	for _, wk := range gt.queue {
		if now.Before(wk.deadline) && !now.Add(gt.serviceTime).After(wk.deadline) {
			kept = append(kept, wk)
			continue
		}
		acts = append(acts, Refuse{wk.id, DeadlineUnreachable})
	}
	gt.queue = kept
	return acts
}

// nextIndex returns the index of the work that gets the next slot: the earliest
// deadline of the plan that uses the least of its guaranteed share. When no waiting
// plan is below its share, it is the earliest deadline of all.
func (gt *Controller) nextIndex() int {
	best, lowest := 0, 1.0
	for i, wk := range gt.queue {
		if used := gt.utilization(wk.plan); used < lowest {
			best, lowest = i, used
		}
	}
	return best
}

// utilization returns the slots that a plan uses as a fraction of its guaranteed
// share; 1 is the whole share.
func (gt *Controller) utilization(plan string) float64 {
	return float64(gt.runningByPlan[plan]) / (gt.shares[plan] * float64(gt.slots))
}

// estimateTime estimates the time until new work ends: its own service time and
// half a service time for each round of the slots until its turn. One round serves
// as many pieces of work as there are slots. Ahead of the work is the queue up to
// its deadline, or nothing for a plan below its guaranteed share.
func (gt *Controller) estimateTime(wk Work) time.Duration {
	ahead := sort.Search(len(gt.queue), func(i int) bool { return gt.queue[i].deadline.After(wk.deadline) })
	slots := max(gt.Slots(), 1)
	if gt.utilization(wk.plan) < 1 {
		ahead = 0
	}
	rounds := time.Duration(ahead/slots + 1)
	return rounds*gt.serviceTime/2 + gt.serviceTime
}

// recordServiceTime adds a sample to the moving average of the service time.
func (gt *Controller) recordServiceTime(took time.Duration) {
	if gt.serviceTime == 0 {
		gt.serviceTime = took
		return
	}
	gt.serviceTime += time.Duration(serviceSmoothing * float64(took-gt.serviceTime))
}
