package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"lagoondrum/core/ledger"
	"lagoondrum/core/relay"
	"lagoondrum/io/peer"
)

// reservation is a slot that is held for work of another agent.
type reservation struct {
	wkr *worker
	slt *slot
}

// ownerReservation accepts work that this agent owns and that a caller sent to
// another agent. It holds no slot.
type ownerReservation struct {
	wkr *worker
	id  ledger.ID
}

// Reserve accepts work that another agent offers and acquires a slot for it, unless
// this agent owns the work. Otherwise it returns the reason for a refusal.
func (wkr *worker) Reserve(ctx context.Context, req peer.Request) (peer.Reservation, string) {
	if req.Service != wkr.service {
		return nil, "otherService"
	}
	if req.ToOwner {
		return wkr.reserveAsOwner(req)
	}
	if wkr.drain.leaving() {
		return nil, string(leaving)
	}
	slt, reason := wkr.slots.acquire(ctx, req.Plan, req.Deadline, req.MayWait)
	if slt == nil {
		return nil, string(reason)
	}
	return &reservation{wkr, slt}, ""
}

func (wkr *worker) reserveAsOwner(req peer.Request) (peer.Reservation, string) {
	id, err := wkr.parseID(req.WorkID, req.Customer)
	if err != nil {
		return nil, "badWorkID"
	}
	return &ownerReservation{wkr, id}, ""
}

// Run sends the work to the upstream.
func (rsv *reservation) Run(ctx context.Context, req peer.Request) peer.Response {
	beforeDeadline := func() bool { return time.Now().Before(req.Deadline) }
	return rsv.wkr.runInSlot(ctx, rsv.slt, req, claim{start: beforeDeadline, release: func() {}})
}

// Release frees the slot.
func (rsv *reservation) Release() { rsv.slt.release(nil) }

// Run executes the work unless the ledger has a record of it. With FetchOnly it only
// returns the record. Work of another incarnation of the agent is never run.
func (rsv *ownerReservation) Run(ctx context.Context, req peer.Request) peer.Response {
	if rsv.id.Owner() != rsv.wkr.ledger.Owner() {
		return peer.Response{Outcome: relay.Unknown, Reason: "ownerRestarted"}
	}
	if req.FetchOnly {
		return rsv.wkr.recorded(rsv.id)
	}
	req.ToOwner = false
	req.MayWait = false
	return rsv.wkr.execute(ctx, rsv.id, req)
}

// Release does nothing: work that was not run has no slot and no record in the ledger.
func (rsv *ownerReservation) Release() {}

func (wkr *worker) parseID(text, customer string) (ledger.ID, error) {
	kys := wkr.lists.Keys()
	if kys == nil {
		return ledger.ID{}, &ledger.BadIDError{}
	}
	return ledger.ParseID(text, customer, kys.Find)
}

// pickRandom shuffles addrs and returns up to count of them.
func pickRandom(addrs []netip.AddrPort, count int) []netip.AddrPort {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(count, len(addrs))]
}
