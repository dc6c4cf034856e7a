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

// reservation is a slot that a peer's work holds.
type reservation struct {
	wkr *worker
	slt *slot
}

// ownReservation is work of this agent that reached another one first.
type ownReservation struct {
	wkr *worker
	id  ledger.ID
}

// Reserve promises a place for work that another agent offers.
func (wkr *worker) Reserve(ctx context.Context, req peer.Request) (peer.Reservation, string) {
	if req.Service != wkr.service {
		return nil, "otherService"
	}
	if req.ToOwner {
		return wkr.reserveOwn(req)
	}
	if wkr.drain.leaving() {
		return nil, string(leaving)
	}
	slt, reason := wkr.slots.take(ctx, req.Plan, req.Deadline, req.MayWait)
	if slt == nil {
		return nil, string(reason)
	}
	return &reservation{wkr, slt}, ""
}

func (wkr *worker) reserveOwn(req peer.Request) (peer.Reservation, string) {
	id, err := wkr.parseID(req.WorkID, req.Customer)
	if err != nil {
		return nil, "badWorkID"
	}
	return &ownReservation{wkr, id}, ""
}

// Run hands the work to the upstream.
func (rsv *reservation) Run(ctx context.Context, req peer.Request) peer.Response {
	inTime := func() bool { return time.Now().Before(req.Deadline) }
	return rsv.wkr.run(ctx, rsv.slt, req, claim{start: inTime, giveBack: func() {}})
}

// Release gives the slot back.
func (rsv *reservation) Release() { rsv.slt.done(nil) }

// Run has the owner's ledger decide. Work of another incarnation is never run.
func (rsv *ownReservation) Run(ctx context.Context, req peer.Request) peer.Response {
	if rsv.id.Owner() != rsv.wkr.ledger.Owner() {
		return peer.Response{Outcome: relay.Unknown, Reason: "ownerRestarted"}
	}
	if req.FetchOnly {
		return rsv.wkr.fetch(rsv.id)
	}
	req.ToOwner = false
	req.MayWait = false
	return rsv.wkr.do(ctx, rsv.id, req)
}

// Release does nothing: the ledger holds no place for work that never came.
func (rsv *ownReservation) Release() {}

func (wkr *worker) parseID(text, customer string) (ledger.ID, error) {
	kys := wkr.lists.Keys()
	if kys == nil {
		return ledger.ID{}, &ledger.BadIDError{}
	}
	return ledger.ParseID(text, customer, kys.Find)
}

// pick returns up to count addresses in random order.
func pick(addrs []netip.AddrPort, count int) []netip.AddrPort {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(count, len(addrs))]
}
