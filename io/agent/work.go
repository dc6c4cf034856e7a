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
	maxPeerTries = 3
	busyPause    = 200 * time.Millisecond // A peer that was busy is not asked for this long.
	maxWork      = 10 * time.Minute       // Longest time to a deadline.
	defaultWork  = 30 * time.Second       // Time to the deadline of work that names none.
)

// relayer hands work to other agents.
type relayer interface {
	Relay(ctx context.Context, to netip.AddrPort, req peer.Request, granted func() bool) peer.Response
}

// worker has work run: here, or at a peer of the same service.
type worker struct {
	locality table.Locality
	service  string
	lists    *feed.Lists
	slots    *slots
	upstream *upstreamCaller
	relayer  relayer
	meter    *meter
	drain    *drainer

	mu      sync.Mutex
	ledger  *ledger.Ledger
	budget  *admit.RetryBudget
	settled map[ledger.ID]chan struct{}
	cancels map[ledger.ID]context.CancelFunc
	busy    map[netip.AddrPort]time.Time
}

// do has work with an ID run at most once and returns what became of it.
func (wkr *worker) do(ctx context.Context, id ledger.ID, req peer.Request) peer.Response {
	wkr.mu.Lock()
	ver := wkr.ledger.Begin(id, req.Deadline)
	settled := wkr.settled[id]
	if _, ok := ver.(ledger.Fresh); ok {
		wkr.settled[id] = make(chan struct{})
	}
	wkr.mu.Unlock()
	switch ver := ver.(type) {
	case ledger.Fresh:
		return wkr.fresh(id, req)
	case ledger.Known:
		return wkr.known(ctx, id, ver, settled, req.Deadline)
	case ledger.OtherOwner:
		return wkr.foreign(ctx, ver.Owner, req)
	case ledger.Full:
		return peer.Response{Outcome: relay.NotRun, Reason: "ledgerFull"}
	default:
		return peer.Response{Outcome: relay.Unknown, Reason: "forgotten"}
	}
}

// fresh runs new work to its end even when the caller goes away: the answer is
// kept for it.
func (wkr *worker) fresh(id ledger.ID, req peer.Request) peer.Response {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	wkr.mu.Lock()
	wkr.cancels[id] = cancel
	wkr.budget.Deposit(req.Customer)
	wkr.mu.Unlock()
	rsp := wkr.placeWork(ctx, req, wkr.claimOf(id))
	wkr.finish(id, rsp)
	return rsp
}

// claim is the right to hand one piece of work over. start takes it, at most
// once; giveBack returns it on proof that the work was not run.
type claim struct {
	start    func() bool
	giveBack func()
}

func (wkr *worker) claimOf(id ledger.ID) claim {
	var att ledger.Attempt
	start := func() (ok bool) {
		wkr.mu.Lock()
		defer wkr.mu.Unlock()
		att, ok = wkr.ledger.Start(id, time.Now())
		return ok
	}
	giveBack := func() {
		wkr.mu.Lock()
		defer wkr.mu.Unlock()
		wkr.ledger.Release(id, att)
	}
	return claim{start: start, giveBack: giveBack}
}

func (wkr *worker) finish(id ledger.ID, rsp peer.Response) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.ledger.Finish(id, rsp.Outcome, ledger.NewAnswer(rsp.Status, rsp.Header, rsp.Body))
	close(wkr.settled[id])
	delete(wkr.settled, id)
	delete(wkr.cancels, id)
}

// known returns the recorded outcome, once there is one.
func (wkr *worker) known(ctx context.Context, id ledger.ID, ver ledger.Known, settled chan struct{}, deadline time.Time) peer.Response {
	if ver.Outcome != relay.Pending {
		return fromLedger(ver)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-settled:
	case <-ctx.Done():
	}
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	if now, ok := wkr.ledger.Lookup(id); ok && now.Outcome != relay.Pending {
		return fromLedger(now)
	}
	return peer.Response{Outcome: relay.Unknown, Reason: "pending"}
}

func fromLedger(ver ledger.Known) peer.Response {
	return peer.Response{
		Outcome: ver.Outcome, Reason: "recorded",
		Status: ver.Answer.Status(), Header: ver.Answer.Header(), Body: ver.Answer.Body(),
	}
}

// foreign asks the owner. Only the owner's word tells that work was not run: an
// earlier attempt may have reached it.
func (wkr *worker) foreign(ctx context.Context, owner ledger.Owner, req peer.Request) peer.Response {
	if owner.Agent() == wkr.locality.Self() {
		return peer.Response{Outcome: relay.Unknown, Reason: "ownerRestarted"}
	}
	req.ToOwner = true
	req.MayWait = true
	told := false
	rsp := wkr.relayer.Relay(ctx, owner.Agent(), req, func() bool { told = true; return true })
	wkr.meter.relayed(rsp.Outcome)
	if rsp.Outcome == relay.NotRun && !told {
		return peer.Response{Outcome: relay.Unknown, Reason: "ownerUnreachable"}
	}
	return rsp
}

// placeWork finds an upstream for the work: the own one first, then peers.
func (wkr *worker) placeWork(ctx context.Context, req peer.Request, clm claim) peer.Response {
	if wkr.drain.leaving() {
		return wkr.atPeers(ctx, req, clm, true)
	}
	running, queued, limit := wkr.slots.use()
	if running+queued >= limit {
		if rsp := wkr.atPeers(ctx, req, clm, false); rsp.Outcome != relay.NotRun {
			return rsp
		}
	}
	rsp := wkr.here(ctx, req, clm)
	switch {
	case rsp.Outcome != relay.NotRun:
		return rsp
	case rsp.Reason == string(leaving):
		return wkr.atPeers(ctx, req, clm, true)
	case wkr.mayRetry(req, rsp):
		return wkr.atPeers(ctx, req, clm, false)
	default:
		return rsp
	}
}

func (wkr *worker) mayRetry(req peer.Request, rsp peer.Response) bool {
	if rsp.Reason == string(admit.NoGrant) || rsp.Reason == string(cancelled) {
		return false
	}
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	return wkr.budget.Withdraw(req.Customer)
}

// here runs the work at the own upstream.
func (wkr *worker) here(ctx context.Context, req peer.Request, clm claim) peer.Response {
	arrived := time.Now()
	slt, reason := wkr.slots.take(ctx, req.Plan, req.Deadline, true)
	if slt == nil {
		return peer.Response{Outcome: relay.NotRun, Reason: string(reason)}
	}
	wkr.meter.queue(req.Plan, time.Since(arrived))
	return wkr.run(ctx, slt, req, clm)
}

// run uses a slot for the work, unless it may not start any more.
func (wkr *worker) run(ctx context.Context, slt *slot, req peer.Request, clm claim) peer.Response {
	var ev health.Evidence
	defer func() { slt.done(ev) }()
	if wkr.drain.leaving() {
		return peer.Response{Outcome: relay.NotRun, Reason: string(leaving)}
	}
	if !clm.start() {
		return peer.Response{Outcome: relay.NotRun, Reason: "deadlinePassed"}
	}
	res := wkr.upstream.run(ctx, req, wkr.shedStatus())
	ev = res.evidence
	if res.response.Outcome == relay.NotRun {
		clm.giveBack()
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

// atPeers offers the work to peers until one takes it. The outcome is NotRun
// when none did.
func (wkr *worker) atPeers(ctx context.Context, req peer.Request, clm claim, mayWait bool) peer.Response {
	req.MayWait = mayWait
	rsp := peer.Response{Outcome: relay.NotRun, Reason: "noPeer"}
	for _, to := range wkr.candidates(req.Plan) {
		rsp = wkr.relayer.Relay(ctx, to, req, clm.start)
		wkr.meter.relayed(rsp.Outcome)
		if rsp.Outcome != relay.NotRun {
			return rsp
		}
		clm.giveBack()
		wkr.noteBusy(to)
	}
	return rsp
}

// candidates returns the peers that the plan may use and that were not busy.
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
		if vm.Address() != wkr.locality.Self() && now.After(wkr.busy[vm.Address()]) {
			free = append(free, vm.Address())
		}
	}
	return pick(free, maxPeerTries)
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

func (wkr *worker) noteBusy(to netip.AddrPort) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.busy[to] = time.Now().Add(busyPause)
}

// cancel stops work that its caller no longer wants. Work that runs already is
// told to its upstream, and its outcome is unknown.
func (wkr *worker) cancel(id ledger.ID) bool {
	wkr.mu.Lock()
	cancel, ok := wkr.cancels[id]
	wkr.mu.Unlock()
	if ok {
		cancel()
	}
	return ok
}

// fetch returns what is recorded about work of this agent.
func (wkr *worker) fetch(id ledger.ID) peer.Response {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	if ver, ok := wkr.ledger.Lookup(id); ok {
		return fromLedger(ver)
	}
	return peer.Response{Outcome: relay.Unknown, Reason: "notRecorded"}
}

// outcome returns what the owner has recorded about work.
func (wkr *worker) outcome(ctx context.Context, id ledger.ID, req peer.Request) peer.Response {
	if id.Owner() == wkr.ledger.Owner() {
		return wkr.fetch(id)
	}
	req.FetchOnly = true
	return wkr.foreign(ctx, id.Owner(), req)
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

// tick forgets what is past its time.
func (wkr *worker) tick(now time.Time) {
	wkr.slots.tick(now)
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.ledger.Sweep(now)
}
