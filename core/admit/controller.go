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

// Work is one piece of work, an HTTP request of a caller, that asks for a slot.
type Work struct {
	id       uint64
	plan     string
	deadline time.Time
}

// NewWork returns a piece of work of a plan that has to end by deadline.
func NewWork(id uint64, plan string, deadline time.Time) Work {
	return Work{id: id, plan: plan, deadline: deadline}
}

// ID returns the number that identifies the work at the controller.
func (wk Work) ID() uint64 { return wk.id }

// Action is a decision of the controller: Run, Wait or Refuse.
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

// New returns a controller for an upstream with a number of slots.
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
func (ctl *Controller) SetShares(shares map[string]float64) { ctl.shares = shares }

// SetSlots sets the number of slots of the upstream.
func (ctl *Controller) SetSlots(slots int) { ctl.slots = slots }

// SetLimit bounds the number of slots that may be used now. A limit above the number
// of slots has no effect.
func (ctl *Controller) SetLimit(limit int) { ctl.limit = limit }

// Running returns the number of pieces of work that hold a slot.
func (ctl *Controller) Running() int { return len(ctl.running) }

// Queued returns the number of pieces of work that wait.
func (ctl *Controller) Queued() int { return len(ctl.queue) }

// Slots returns the number of slots that may be used now.
func (ctl *Controller) Slots() int { return min(ctl.slots, ctl.limit) }

// Free reports whether new work of a plan with a share would run at once.
func (ctl *Controller) Free() bool { return len(ctl.queue) == 0 && len(ctl.running) < ctl.Slots() }

// Offer decides whether new work runs, waits or is refused.
func (ctl *Controller) Offer(wk Work, now time.Time) Action {
	if _, ok := ctl.shares[wk.plan]; !ok {
		return Refuse{wk.id, NoGrant}
	}
	if ctl.Free() {
		return ctl.start(wk, now)
	}
	if now.Add(ctl.estimateTime(wk)).After(wk.deadline) {
		return Refuse{wk.id, DeadlineUnreachable}
	}
	if len(ctl.queue) >= MaxQueuePerSlot*ctl.slots {
		return Refuse{wk.id, QueueFull}
	}
	ctl.enqueue(wk)
	return Wait{wk.id}
}

// Done frees the slot of finished work and returns the actions of Advance.
func (ctl *Controller) Done(id uint64, now time.Time) []Action {
	if rn, ok := ctl.running[id]; ok {
		delete(ctl.running, id)
		ctl.runningByPlan[rn.plan]--
		ctl.recordServiceTime(now.Sub(rn.startedAt))
	}
	return ctl.Advance(now)
}

// Cancel removes work from the queue and reports whether it was there.
func (ctl *Controller) Cancel(id uint64) bool {
	for i, wk := range ctl.queue {
		if wk.id == id {
			ctl.queue = append(ctl.queue[:i], ctl.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Flush refuses all waiting work.
func (ctl *Controller) Flush(reason Reason) []Action {
	var acts []Action
	for _, wk := range ctl.queue {
		acts = append(acts, Refuse{wk.id, reason})
	}
	ctl.queue = nil
	return acts
}

// Advance refuses waiting work that can no longer end by its deadline, and gives
// free slots to the rest.
func (ctl *Controller) Advance(now time.Time) []Action {
	acts := ctl.expire(now)
	for len(ctl.queue) > 0 && len(ctl.running) < ctl.Slots() {
		next := ctl.nextIndex()
		wk := ctl.queue[next]
		ctl.queue = append(ctl.queue[:next], ctl.queue[next+1:]...)
		acts = append(acts, ctl.start(wk, now))
	}
	return acts
}

func (ctl *Controller) start(wk Work, now time.Time) Action {
	ctl.running[wk.id] = run{wk.plan, now}
	ctl.runningByPlan[wk.plan]++
	return Run{wk.id}
}

// enqueue inserts work by deadline, after work with the same deadline.
func (ctl *Controller) enqueue(wk Work) {
	at := sort.Search(len(ctl.queue), func(i int) bool { return ctl.queue[i].deadline.After(wk.deadline) })
	ctl.queue = append(ctl.queue, Work{})
	copy(ctl.queue[at+1:], ctl.queue[at:])
	ctl.queue[at] = wk
}

// expire refuses waiting work that would end after its deadline if it started now.
func (ctl *Controller) expire(now time.Time) []Action {
	var acts []Action
	kept := ctl.queue[:0]
	for _, wk := range ctl.queue {
		if now.Before(wk.deadline) && !now.Add(ctl.serviceTime).After(wk.deadline) {
			kept = append(kept, wk)
			continue
		}
		acts = append(acts, Refuse{wk.id, DeadlineUnreachable})
	}
	ctl.queue = kept
	return acts
}

// nextIndex returns the index of the work that gets the next slot: the earliest
// deadline of the plan that uses the least of its guaranteed share. When no waiting
// plan is below its share, it is the earliest deadline of all.
func (ctl *Controller) nextIndex() int {
	best, lowest := 0, 1.0
	for i, wk := range ctl.queue {
		if used := ctl.utilization(wk.plan); used < lowest {
			best, lowest = i, used
		}
	}
	return best
}

// utilization returns the slots that a plan uses as a fraction of its guaranteed
// share; 1 is the whole share.
func (ctl *Controller) utilization(plan string) float64 {
	return float64(ctl.runningByPlan[plan]) / (ctl.shares[plan] * float64(ctl.slots))
}

// estimateTime estimates the time until new work ends: its own service time and
// half a service time for each round of the slots until its turn. One round serves
// as many pieces of work as there are slots. Ahead of the work is the queue up to
// its deadline, or nothing for a plan below its guaranteed share.
func (ctl *Controller) estimateTime(wk Work) time.Duration {
	ahead := sort.Search(len(ctl.queue), func(i int) bool { return ctl.queue[i].deadline.After(wk.deadline) })
	slots := max(ctl.Slots(), 1)
	if ctl.utilization(wk.plan) < 1 {
		ahead = 0
	}
	rounds := time.Duration(ahead/slots + 1)
	return rounds*ctl.serviceTime/2 + ctl.serviceTime
}

// recordServiceTime adds a sample to the moving average of the service time.
func (ctl *Controller) recordServiceTime(took time.Duration) {
	if ctl.serviceTime == 0 {
		ctl.serviceTime = took
		return
	}
	ctl.serviceTime += time.Duration(serviceSmoothing * float64(took-ctl.serviceTime))
}
