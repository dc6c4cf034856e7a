package agent

import (
	"context"
	"sync"
	"time"

	"lagoondrum/core/admit"
	"lagoondrum/core/health"
	"lagoondrum/core/lists"
)

// slots assigns the slots of the upstream to work, by the shares of the plans and the
// health of the upstream. It is safe for concurrent use.
type slots struct {
	mu         sync.Mutex
	controller *admit.Controller
	upstream   *health.Upstream
	waiting    map[uint64]chan admit.Action
	lastID     uint64
}

// slot is held by a piece of work until release.
type slot struct {
	sls *slots
	id  uint64
}

func newSlots() *slots {
	return &slots{controller: admit.New(1), upstream: health.NewUpstream(1), waiting: make(map[uint64]chan admit.Action)}
}

// configure sets the number of slots, and the shares of the plans that may use the
// service, from the lists.
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

// acquire waits for a slot until the deadline. Without mayWait it takes only a slot
// that is free now. It returns the reason when there is none.
func (sls *slots) acquire(ctx context.Context, plan string, deadline time.Time, mayWait bool) (*slot, admit.Reason) {
	id, decided, act := sls.offer(plan, deadline, mayWait)
	switch act := act.(type) {
	case admit.Run:
		return &slot{sls, id}, ""
	case admit.Refuse:
		return nil, act.Reason
	}
	select {
	case act := <-decided:
		return sls.slotOrReason(id, act)
	case <-ctx.Done():
		return sls.cancelWait(id, decided)
	}
}

func (sls *slots) offer(plan string, deadline time.Time, mayWait bool) (uint64, chan admit.Action, admit.Action) {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	now := time.Now()
	sls.dispatch(sls.advance(now))
	if !mayWait && !sls.controller.Free() {
		return 0, nil, admit.Refuse{Reason: busy}
	}
	sls.lastID++
	id := sls.lastID
	act := sls.controller.Offer(admit.NewWork(id, plan, deadline), now)
	if _, ok := act.(admit.Wait); !ok {
		return id, nil, act
	}
	decided := make(chan admit.Action, 1)
	sls.waiting[id] = decided
	return id, decided, act
}

func (sls *slots) slotOrReason(id uint64, act admit.Action) (*slot, admit.Reason) {
	if ref, ok := act.(admit.Refuse); ok {
		return nil, ref.Reason
	}
	return &slot{sls, id}, ""
}

// cancelWait removes work from the queue, or releases a slot granted meanwhile.
func (sls *slots) cancelWait(id uint64, decided chan admit.Action) (*slot, admit.Reason) {
	sls.mu.Lock()
	waited := sls.controller.Cancel(id)
	delete(sls.waiting, id)
	sls.mu.Unlock()
	if waited {
		return nil, cancelled
	}
	if slt, _ := sls.slotOrReason(id, <-decided); slt != nil {
		slt.release(nil)
	}
	return nil, cancelled
}

// release frees the slot and records evidence about the upstream, nil for none.
func (slt *slot) release(ev health.Evidence) {
	sls := slt.sls
	sls.mu.Lock()
	defer sls.mu.Unlock()
	now := time.Now()
	if ev != nil {
		sls.upstream.Note(ev, now)
	}
	sls.controller.SetLimit(sls.upstream.Limit(now))
	sls.dispatch(sls.controller.Done(slt.id, now))
}

// tick refuses waiting work that would miss its deadline, and allows a trial request
// to a recovering upstream.
func (sls *slots) tick(now time.Time) {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	sls.dispatch(sls.advance(now))
}

// flush refuses all waiting work, so that it is relayed to peers.
func (sls *slots) flush() {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	sls.dispatch(sls.controller.Flush(leaving))
}

func (sls *slots) advance(now time.Time) []admit.Action {
	sls.controller.SetLimit(sls.upstream.Limit(now))
	return sls.controller.Advance(now)
}

// dispatch notifies waiting work of the decisions about it.
func (sls *slots) dispatch(acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Run:
			sls.notify(act.ID, act)
		case admit.Refuse:
			sls.notify(act.ID, act)
		case admit.Wait:
		}
	}
}

func (sls *slots) notify(id uint64, act admit.Action) {
	if decided, ok := sls.waiting[id]; ok {
		decided <- act
		delete(sls.waiting, id)
	}
}

// usage returns the numbers of running and queued pieces of work, and of the slots
// that may be used now.
func (sls *slots) usage() (running, queued, limit int) {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	return sls.controller.Running(), sls.controller.Queued(), sls.controller.Slots()
}

// refusing reports whether new flows should go to another upstream.
func (sls *slots) refusing(now time.Time) bool {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	return sls.upstream.Refusing(now)
}

// Reasons for refusals by the agent, in addition to those of package admit.
const (
	busy      admit.Reason = "busy"
	cancelled admit.Reason = "cancelled"
	leaving   admit.Reason = "leaving"
)
