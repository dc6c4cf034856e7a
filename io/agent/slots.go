package agent

import (
	"context"
	"sync"
	"time"

	"lagoondrum/core/admit"
	"lagoondrum/core/health"
	"lagoondrum/core/lists"
)

// slots gives the places of the upstream to work. It is safe for concurrent use.
type slots struct {
	mu         sync.Mutex
	controller *admit.Controller
	upstream   *health.Upstream
	waiting    map[uint64]chan admit.Action
	last       uint64
}

// slot is a place that work holds until it calls done.
type slot struct {
	sls *slots
	id  uint64
}

func newSlots() *slots {
	return &slots{controller: admit.New(1), upstream: health.NewUpstream(1), waiting: make(map[uint64]chan admit.Action)}
}

// configure takes the slots and shares from the lists.
func (sls *slots) configure(count int, service string, pls *lists.Plans) {
	shares := make(map[string]float64)
	if pls != nil {
		for _, gr := range pls.Grants() {
			if gr.Service() == service {
				shares[gr.Plan()] = gr.Share()
			}
		}
	}
	sls.mu.Lock()
	defer sls.mu.Unlock()
	sls.controller.SetSlots(count)
	sls.upstream.SetSlots(count)
	sls.controller.SetShares(shares)
}

// take waits for a place until the deadline. Without mayWait it takes only a
// place that is free now. The reason says why there is none.
func (sls *slots) take(ctx context.Context, plan string, deadline time.Time, mayWait bool) (*slot, admit.Reason) {
	id, acted, act := sls.offer(plan, deadline, mayWait)
	switch act := act.(type) {
	case admit.Run:
		return &slot{sls, id}, ""
	case admit.Refuse:
		return nil, act.Reason
	}
	select {
	case act := <-acted:
		return sls.granted(id, act)
	case <-ctx.Done():
		return sls.abandon(id, acted)
	}
}

func (sls *slots) offer(plan string, deadline time.Time, mayWait bool) (uint64, chan admit.Action, admit.Action) {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	now := time.Now()
	sls.settle(sls.advance(now))
	if !mayWait && !sls.controller.Free() {
		return 0, nil, admit.Refuse{Reason: busy}
	}
	sls.last++
	id := sls.last
	act := sls.controller.Offer(admit.NewWork(id, plan, deadline), now)
	if _, ok := act.(admit.Wait); !ok {
		return id, nil, act
	}
	acted := make(chan admit.Action, 1)
	sls.waiting[id] = acted
	return id, acted, act
}

func (sls *slots) granted(id uint64, act admit.Action) (*slot, admit.Reason) {
	if ref, ok := act.(admit.Refuse); ok {
		return nil, ref.Reason
	}
	return &slot{sls, id}, ""
}

// abandon takes work out of the queue, or gives back a place that came too late.
func (sls *slots) abandon(id uint64, acted chan admit.Action) (*slot, admit.Reason) {
	sls.mu.Lock()
	waited := sls.controller.Cancel(id)
	delete(sls.waiting, id)
	sls.mu.Unlock()
	if waited {
		return nil, cancelled
	}
	if slt, _ := sls.granted(id, <-acted); slt != nil {
		slt.done(nil)
	}
	return nil, cancelled
}

// done gives the place back with what was seen of the upstream, nil for nothing.
func (slt *slot) done(ev health.Evidence) {
	sls := slt.sls
	sls.mu.Lock()
	defer sls.mu.Unlock()
	now := time.Now()
	if ev != nil {
		sls.upstream.Note(ev, now)
	}
	sls.controller.SetLimit(sls.upstream.Limit(now))
	sls.settle(sls.controller.Done(slt.id, now))
}

// tick lets waiting work expire and a recovering upstream be tried.
func (sls *slots) tick(now time.Time) {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	sls.settle(sls.advance(now))
}

// flush refuses all waiting work, so that it goes to peers.
func (sls *slots) flush() {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	sls.settle(sls.controller.Flush(leaving))
}

func (sls *slots) advance(now time.Time) []admit.Action {
	sls.controller.SetLimit(sls.upstream.Limit(now))
	return sls.controller.Advance(now)
}

func (sls *slots) settle(acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Run:
			sls.tell(act.ID, act)
		case admit.Refuse:
			sls.tell(act.ID, act)
		case admit.Wait:
		}
	}
}

func (sls *slots) tell(id uint64, act admit.Action) {
	if acted, ok := sls.waiting[id]; ok {
		acted <- act
		delete(sls.waiting, id)
	}
}

// use returns how many pieces of work run and wait, and the slots for them.
func (sls *slots) use() (running, queued, limit int) {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	return sls.controller.Running(), sls.controller.Queued(), sls.controller.Slots()
}

// refusing reports whether new flows had better go to another upstream.
func (sls *slots) refusing(now time.Time) bool {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	return sls.upstream.Refusing(now)
}

// Reasons of the agent itself, beside those of the admission controller.
const (
	busy      admit.Reason = "busy"
	cancelled admit.Reason = "cancelled"
	leaving   admit.Reason = "leaving"
)
