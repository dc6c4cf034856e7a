package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lagoondrum/core/admit"
	"lagoondrum/core/health"
	"lagoondrum/core/ledger"
	"lagoondrum/core/lists"
	"lagoondrum/core/relay"
	"lagoondrum/core/table"
	"lagoondrum/io/feed"
	"lagoondrum/io/peer"
)

const (
	maxPeerAttempts = 3
	busyBackoff     = 200 * time.Millisecond // A peer that did not run offered work is not asked for this long.
	maxWorkTime     = 10 * time.Minute       // Longest time until a deadline.
	defaultWorkTime = 30 * time.Second       // Time until the deadline of work that names none.
)

// relayer relays work to other agents.
type relayer interface {
	Relay(ctx context.Context, to netip.AddrPort, req peer.Request, granted func() bool) peer.Response
}

// worker executes work at the local upstream or at a peer of the same service. finished
// holds a channel for each pending piece of work, which is closed with its outcome.
// busyUntil holds when a peer may be asked again.
type worker struct {
	locality table.Locality
	service  string
	lists    *feed.Lists
	slots    *slots
	upstream *upstreamClient
	relayer  relayer
	meter    *meter
	drain    *drainer

	mu        sync.Mutex
	ledger    *ledger.Ledger
	budget    *admit.RetryBudget
	finished  map[ledger.ID]chan struct{}
	cancels   map[ledger.ID]context.CancelFunc
	busyUntil map[netip.AddrPort]time.Time
}

// execute runs work with an ID at most once and returns its outcome.
func (wkr *worker) execute(ctx context.Context, id ledger.ID, req peer.Request) peer.Response {
	wkr.mu.Lock()
	ver := wkr.ledger.Begin(id, req.Deadline)
	done := wkr.finished[id]
	if _, ok := ver.(ledger.Fresh); ok {
		wkr.finished[id] = make(chan struct{})
	}
	wkr.mu.Unlock()
	switch ver := ver.(type) {
	case ledger.Fresh:
		return wkr.runNew(id, req)
	case ledger.Known:
		return wkr.awaitOutcome(ctx, id, ver, done, req.Deadline)
	case ledger.OtherOwner:
		return wkr.askOwner(ctx, ver.Owner, req)
	case ledger.Full:
		return peer.Response{Outcome: relay.NotRun, Reason: "ledgerFull"}
	default:
		return peer.Response{Outcome: relay.Unknown, Reason: "forgotten"}
	}
}

// runNew runs new work to its end even if the caller disconnects: the answer is kept
// for the caller to fetch.
func (wkr *worker) runNew(id ledger.ID, req peer.Request) peer.Response {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	wkr.mu.Lock()
	wkr.cancels[id] = cancel
	wkr.budget.Deposit(req.Customer)
	wkr.mu.Unlock()
	rsp := wkr.placeWork(ctx, req, wkr.newClaim(id))
	wkr.finish(id, rsp)
	return rsp
}

// claim is the right to run one piece of work. start reports whether the work may be
// started now; the ledger lets that happen once. release, called on proof that the work
// was not run, allows another start.
type claim struct {
	start   func() bool
	release func()
}

// newClaim returns the claim for work in the ledger.
func (wkr *worker) newClaim(id ledger.ID) claim {
	var att ledger.Attempt
	start := func() (ok bool) {
		wkr.mu.Lock()
		defer wkr.mu.Unlock()
		att, ok = wkr.ledger.Start(id, time.Now())
		return ok
	}
	release := func() {
		wkr.mu.Lock()
		defer wkr.mu.Unlock()
		wkr.ledger.Release(id, att)
	}
	return claim{start: start, release: release}
}

// finish records the outcome of work and wakes the requests that wait for it.
func (wkr *worker) finish(id ledger.ID, rsp peer.Response) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.ledger.Finish(id, rsp.Outcome, ledger.NewAnswer(rsp.Status, rsp.Header, rsp.Body))
	close(wkr.finished[id])
	delete(wkr.finished, id)
	delete(wkr.cancels, id)
}

// awaitOutcome returns the recorded outcome of work. It waits for pending work until
// the deadline.
func (wkr *worker) awaitOutcome(ctx context.Context, id ledger.ID, ver ledger.Known, done chan struct{}, deadline time.Time) peer.Response {
	if ver.Outcome != relay.Pending {
		return recordedResponse(ver)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	if knw, ok := wkr.ledger.Lookup(id); ok && knw.Outcome != relay.Pending {
		return recordedResponse(knw)
	}
	return peer.Response{Outcome: relay.Unknown, Reason: "pending"}
}

func recordedResponse(ver ledger.Known) peer.Response {
	return peer.Response{
		Outcome: ver.Outcome, Reason: "recorded",
		Status: ver.Answer.Status(), Header: ver.Answer.Header(), Body: ver.Answer.Body(),
	}
}

// askOwner relays a request to the owner of the work. Only the owner can tell that the
// work was not run: an earlier attempt may have reached it.
func (wkr *worker) askOwner(ctx context.Context, owner ledger.Owner, req peer.Request) peer.Response {
	if owner.Agent() == wkr.locality.Self() {
		return peer.Response{Outcome: relay.Unknown, Reason: "ownerRestarted"}
	}
	req.ToOwner = true
	req.MayWait = true
	ownerAccepted := false
	rsp := wkr.relayer.Relay(ctx, owner.Agent(), req, func() bool { ownerAccepted = true; return true })
	wkr.meter.countRelay(rsp.Outcome)
	if rsp.Outcome == relay.NotRun && !ownerAccepted {
		return peer.Response{Outcome: relay.Unknown, Reason: "ownerUnreachable"}
	}
	return rsp
}

// placeWork runs the work at the local upstream or at a peer. Peers are tried first when
// all local slots are taken, and are the only choice while the agent is leaving. Work
// that the local upstream did not run is offered to peers within the retry budget.
func (wkr *worker) placeWork(ctx context.Context, req peer.Request, clm claim) peer.Response {
	if wkr.drain.leaving() {
		return wkr.relayToPeers(ctx, req, clm, true)
	}
	running, queued, limit := wkr.slots.usage()
	if running+queued >= limit {
		if rsp := wkr.relayToPeers(ctx, req, clm, false); rsp.Outcome != relay.NotRun {
			return rsp
		}
	}
	rsp := wkr.runLocal(ctx, req, clm)
	switch {
	case rsp.Outcome != relay.NotRun:
		return rsp
	case rsp.Reason == string(leaving):
		return wkr.relayToPeers(ctx, req, clm, true)
	case wkr.allowRetry(req, rsp):
		return wkr.relayToPeers(ctx, req, clm, false)
	default:
		return rsp
	}
}

// allowRetry reports whether work that was not run may be retried, and charges the
// retry to the customer's budget.
func (wkr *worker) allowRetry(req peer.Request, rsp peer.Response) bool {
	if rsp.Reason == string(admit.NoGrant) || rsp.Reason == string(cancelled) {
		return false
	}
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	return wkr.budget.Withdraw(req.Customer)
}

// runLocal waits for a slot and runs the work at the local upstream.
func (wkr *worker) runLocal(ctx context.Context, req peer.Request, clm claim) peer.Response {
	arrived := time.Now()
	slt, reason := wkr.slots.acquire(ctx, req.Plan, req.Deadline, true)
	if slt == nil {
		return peer.Response{Outcome: relay.NotRun, Reason: string(reason)}
	}
	wkr.meter.recordQueueTime(req.Plan, time.Since(arrived))
	return wkr.runInSlot(ctx, slt, req, clm)
}

// runInSlot runs the work in a slot and frees the slot. It refuses work that may not
// start any more.
func (wkr *worker) runInSlot(ctx context.Context, slt *slot, req peer.Request, clm claim) peer.Response {
	var ev health.Evidence
	defer func() { slt.release(ev) }()
	if wkr.drain.leaving() {
		return peer.Response{Outcome: relay.NotRun, Reason: string(leaving)}
	}
	if !clm.start() {
		return peer.Response{Outcome: relay.NotRun, Reason: "deadlinePassed"}
	}
	res := wkr.upstream.run(ctx, req, wkr.shedStatus())
	ev = res.evidence
	if res.response.Outcome == relay.NotRun {
		clm.release()
	}
	return res.response
}

func (wkr *worker) shedStatus() int {
	pls := wkr.lists.Plans()
	if pls == nil {
		return 0
	}
	svc, ok := pls.Service(wkr.service)
	if !ok {
		return 0
	}
	return svc.ShedStatus()
}

// relayToPeers offers the work to candidates until one runs it. The outcome is NotRun
// when none did.
func (wkr *worker) relayToPeers(ctx context.Context, req peer.Request, clm claim, mayWait bool) peer.Response {
	req.MayWait = mayWait
	rsp := peer.Response{Outcome: relay.NotRun, Reason: "noPeer"}
	for _, to := range wkr.candidates(req.Plan) {
		rsp = wkr.relayer.Relay(ctx, to, req, clm.start)
		wkr.meter.countRelay(rsp.Outcome)
		if rsp.Outcome != relay.NotRun {
			return rsp
		}
		clm.release()
		wkr.markBusy(to)
	}
	return rsp
}

// candidates returns up to maxPeerAttempts random peers that the plan may use and that
// may be asked again.
func (wkr *worker) candidates(plan string) []netip.AddrPort {
	gr, pool := wkr.grantAndPool(plan)
	if gr == nil {
		return nil
	}
	now := time.Now()
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	var free []netip.AddrPort
	for _, vm := range table.Subset(gr, pool) {
		if vm.Address() != wkr.locality.Self() && now.After(wkr.busyUntil[vm.Address()]) {
			free = append(free, vm.Address())
		}
	}
	return pickRandom(free, maxPeerAttempts)
}

func (wkr *worker) grantAndPool(plan string) (*lists.Grant, []*lists.VM) {
	pls, vms := wkr.lists.Plans(), wkr.lists.VMs()
	if pls == nil || vms == nil {
		return nil, nil
	}
	gr, ok := pls.Grant(plan, wkr.service)
	if !ok {
		return nil, nil
	}
	return gr, table.Pool(vms, wkr.service, wkr.locality)
}

func (wkr *worker) markBusy(to netip.AddrPort) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.busyUntil[to] = time.Now().Add(busyBackoff)
}

// cancel cancels work that its caller no longer wants, and reports whether the work was
// pending. If it runs already, the request to the upstream is cancelled and the outcome
// is unknown.
func (wkr *worker) cancel(id ledger.ID) bool {
	wkr.mu.Lock()
	cancel, ok := wkr.cancels[id]
	wkr.mu.Unlock()
	if ok {
		cancel()
	}
	return ok
}

// recorded returns the recorded outcome of work that this agent owns.
func (wkr *worker) recorded(id ledger.ID) peer.Response {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	if ver, ok := wkr.ledger.Lookup(id); ok {
		return recordedResponse(ver)
	}
	return peer.Response{Outcome: relay.Unknown, Reason: "notRecorded"}
}

// fetchOutcome returns the outcome that the owner of the work has recorded.
func (wkr *worker) fetchOutcome(ctx context.Context, id ledger.ID, req peer.Request) peer.Response {
	if id.Owner() == wkr.ledger.Owner() {
		return wkr.recorded(id)
	}
	req.FetchOnly = true
	return wkr.askOwner(ctx, id.Owner(), req)
}

func (wkr *worker) openSession() (ledger.Session, bool) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	return wkr.ledger.Open()
}

func (wkr *worker) closeSession(ses ledger.Session) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.ledger.Close(ses, time.Now())
}

// tick updates the slots and removes expired records from the ledger.
func (wkr *worker) tick(now time.Time) {
	wkr.slots.tick(now)
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.ledger.Sweep(now)
}
