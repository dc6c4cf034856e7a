// Package admit decides which work runs at an upstream, which waits and which
// is refused, by the shares of the plans and the deadlines of the work.
package admit

import (
	"sort"
	"time"
)

// MaxQueuePerSlot bounds the queue, in pieces of work per slot.
const MaxQueuePerSlot = 64

// serviceSmoothing is the weight of the newest sample of the service time.
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

// ID returns the number the gate knows the work by.
func (wk Work) ID() uint64 { return wk.id }

// Action is what the gate decides: Run, Wait or Refuse.
type Action interface{ action() }

// Run gives a slot to the work.
type Run struct{ ID uint64 }

// Wait keeps the work in the queue.
type Wait struct{ ID uint64 }

// Refuse turns the work away before it ran.
type Refuse struct {
	ID     uint64
	Reason Reason
}

func (Run) action()    {}
func (Wait) action()   {}
func (Refuse) action() {}

// Reason says why work is refused.
type Reason string

// The reasons of refusals.
const (
	TooLate   Reason = "deadlineUnreachable"
	QueueFull Reason = "queueFull"
	NoGrant   Reason = "noGrant"
)

// Gate shares the slots of one upstream between plans.
type Gate struct {
	slots   int
	limit   int
	shares  map[string]float64
	running map[uint64]run
	counts  map[string]int
	queue   []Work
	service time.Duration
}

type run struct {
	plan      string
	startedAt time.Time
}

// New returns a gate for an upstream with slots.
func New(slots int) *Gate {
	return &Gate{
		slots:   slots,
		limit:   slots,
		running: make(map[uint64]run),
		counts:  make(map[string]int),
	}
}

// SetShares sets the guaranteed share of each plan; others are refused.
func (gt *Gate) SetShares(shares map[string]float64) { gt.shares = shares }

// SetSlots sets how many slots the upstream has.
func (gt *Gate) SetSlots(slots int) { gt.slots = slots }

// SetLimit sets how many slots may be used now, at most all.
func (gt *Gate) SetLimit(limit int) { gt.limit = limit }

// Running returns how many pieces of work hold a slot.
func (gt *Gate) Running() int { return len(gt.running) }

// Queued returns how many pieces of work wait.
func (gt *Gate) Queued() int { return len(gt.queue) }

// Slots returns how many slots may be used now.
func (gt *Gate) Slots() int { return min(gt.slots, gt.limit) }

// Free reports whether new work would run at once.
func (gt *Gate) Free() bool { return len(gt.queue) == 0 && len(gt.running) < gt.Slots() }

// Offer decides on new work. The first action concerns wk.
func (gt *Gate) Offer(wk Work, now time.Time) Action {
	if _, ok := gt.shares[wk.plan]; !ok {
		return Refuse{wk.id, NoGrant}
	}
	if gt.Free() {
		return gt.start(wk, now)
	}
	if now.Add(gt.waitOf(wk)).After(wk.deadline) {
		return Refuse{wk.id, TooLate}
	}
	if len(gt.queue) >= MaxQueuePerSlot*gt.slots {
		return Refuse{wk.id, QueueFull}
	}
	gt.enqueue(wk)
	return Wait{wk.id}
}

// Done frees the slot of finished work and returns what follows.
func (gt *Gate) Done(id uint64, now time.Time) []Action {
	if rn, ok := gt.running[id]; ok {
		delete(gt.running, id)
		gt.counts[rn.plan]--
		gt.learn(now.Sub(rn.startedAt))
	}
	return gt.Advance(now)
}

// Cancel takes waiting work out of the queue and reports whether it waited.
func (gt *Gate) Cancel(id uint64) bool {
	for i, wk := range gt.queue {
		if wk.id == id {
			gt.queue = append(gt.queue[:i], gt.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Flush refuses all waiting work.
func (gt *Gate) Flush(reason Reason) []Action {
	var acts []Action
	for _, wk := range gt.queue {
		acts = append(acts, Refuse{wk.id, reason})
	}
	gt.queue = nil
	return acts
}

// Advance refuses waiting work that is too late and fills free slots.
func (gt *Gate) Advance(now time.Time) []Action {
	acts := gt.expire(now)
	for len(gt.queue) > 0 && len(gt.running) < gt.Slots() {
		next := gt.next()
		wk := gt.queue[next]
		gt.queue = append(gt.queue[:next], gt.queue[next+1:]...)
		acts = append(acts, gt.start(wk, now))
	}
	return acts
}

func (gt *Gate) start(wk Work, now time.Time) Action {
	gt.running[wk.id] = run{wk.plan, now}
	gt.counts[wk.plan]++
	return Run{wk.id}
}

// enqueue inserts by deadline, equal ones in the order of arrival.
func (gt *Gate) enqueue(wk Work) {
	at := sort.Search(len(gt.queue), func(i int) bool { return gt.queue[i].deadline.After(wk.deadline) })
	gt.queue = append(gt.queue, Work{})
	copy(gt.queue[at+1:], gt.queue[at:])
	gt.queue[at] = wk
}

func (gt *Gate) expire(now time.Time) []Action {
	var acts []Action
	kept := gt.queue[:0]
	for _, wk := range gt.queue {
		if now.Before(wk.deadline) && !now.Add(gt.service).After(wk.deadline) {
			kept = append(kept, wk)
			continue
		}
		acts = append(acts, Refuse{wk.id, TooLate})
	}
	gt.queue = kept
	return acts
}

// next returns the index of the work that gets the next slot: the earliest
// deadline of the plan furthest below its guarantee, else of all plans.
func (gt *Gate) next() int {
	best, bestUse := 0, 1.0
	for i, wk := range gt.queue {
		if use := gt.use(wk.plan); use < bestUse {
			best, bestUse = i, use
		}
	}
	return best
}

// use returns how much of its guarantee a plan uses, 1 being all of it.
func (gt *Gate) use(plan string) float64 {
	return float64(gt.counts[plan]) / (gt.shares[plan] * float64(gt.slots))
}

// waitOf estimates how long new work takes until it ends: what is ahead of it
// by deadline, spread over the slots, and its own service time.
func (gt *Gate) waitOf(wk Work) time.Duration {
	ahead := sort.Search(len(gt.queue), func(i int) bool { return gt.queue[i].deadline.After(wk.deadline) })
	slots := max(gt.Slots(), 1)
	if gt.use(wk.plan) < 1 {
		ahead = 0
	}
	rounds := time.Duration(ahead/slots + 1)
	return rounds*gt.service/2 + gt.service
}

func (gt *Gate) learn(took time.Duration) {
	if gt.service == 0 {
		gt.service = took
		return
	}
	gt.service += time.Duration(serviceSmoothing * float64(took-gt.service))
}
