package model

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/ledger"
	"lagoondrum/core/relay"
)

// workRules are the decisions that keep work from running twice. Mutants replace
// one or more of them.
type workRules struct {
	start          func(ldg *ledger.Ledger, id ledger.ID, now time.Time) (ledger.Attempt, bool)
	peerLost       func(own *relay.Owner) relay.Outcome
	peerRun        func(pr *relay.Peer, now time.Time) bool
	begin          func(ldg *ledger.Ledger, id ledger.ID, deadline time.Time) ledger.Verdict
	releaseAttempt func(ldg *ledger.Ledger, id ledger.ID, att ledger.Attempt, out relay.Outcome)
	ownerGone      relay.Outcome // Reported for work whose owner incarnation no longer exists.
}

func realWorkRules() workRules {
	return workRules{
		start: (*ledger.Ledger).Start,
		peerLost: func(own *relay.Owner) relay.Outcome {
			own.NoteLost()
			return own.Outcome()
		},
		peerRun: (*relay.Peer).StartRun,
		begin:   (*ledger.Ledger).Begin,
		releaseAttempt: func(ldg *ledger.Ledger, id ledger.ID, att ledger.Attempt, out relay.Outcome) {
			if out == relay.NotRun {
				ldg.Release(id, att)
			}
		},
		ownerGone: relay.Unknown,
	}
}

// workOracle counts the runs of each piece of work at the upstreams and keeps the
// final outcome that its caller was told.
type workOracle struct {
	runs      map[ledger.ID]int
	reported  map[ledger.ID]relay.Outcome
	deadlines map[ledger.ID]time.Time
}

func (orc *workOracle) check(t *rapid.T) {
	for id, runs := range orc.runs {
		if runs > 1 {
			t.Fatalf("%v ran %d times", id, runs)
		}
		if runs > 0 && orc.reported[id] == relay.NotRun {
			t.Fatalf("%v ran although its caller was told that it did not run", id)
		}
	}
}

// handover is one offer of work to a peer, with the run messages in flight.
type handover struct {
	id           ledger.ID
	owner        *ownerNode
	own          *relay.Owner
	peer         *relay.Peer
	attempt      ledger.Attempt
	runsInFlight int // Copies of the run message that are not delivered yet.
	peerRan      bool
}

// ownerNode is an agent with the ledger of its current incarnation.
type ownerNode struct {
	agent       netip.AddrPort
	ldg         *ledger.Ledger
	ses         ledger.Session
	incarnation uint64
	lastCounter uint32
}

// boot starts the next incarnation with an empty ledger and one session.
func (nod *ownerNode) boot(now time.Time) {
	nod.incarnation++
	nod.ldg = ledger.New(ledger.NewOwner(nod.agent, nod.incarnation))
	nod.ses, _ = nod.ldg.Open()
}

// workMachine submits, retries and hands over work while messages are delayed,
// duplicated and lost, owners restart and deadlines pass.
type workMachine struct {
	rules     workRules
	now       time.Time
	nodes     []*ownerNode
	ids       []ledger.ID
	handovers []*handover
	oracle    workOracle
}

// workTimeLimit is the time from creating a work ID to its deadline.
const workTimeLimit = 10 * time.Second

func newWorkMachine(rules workRules) *workMachine {
	mch := &workMachine{rules: rules, now: epoch, oracle: workOracle{
		runs: make(map[ledger.ID]int), reported: make(map[ledger.ID]relay.Outcome), deadlines: make(map[ledger.ID]time.Time),
	}}
	for i := range 3 {
		nod := &ownerNode{agent: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7842", i+1))}
		nod.boot(mch.now)
		mch.nodes = append(mch.nodes, nod)
	}
	return mch
}

// drawNode picks one of the agents.
func (mch *workMachine) drawNode(t *rapid.T) *ownerNode {
	return mch.nodes[rapid.IntRange(0, len(mch.nodes)-1).Draw(t, "node")]
}

// newWork creates a work ID at an agent and submits it for the first time.
func (mch *workMachine) newWork(t *rapid.T) {
	nod := mch.drawNode(t)
	nod.lastCounter++
	id := ledger.NewID(nod.ses, nod.lastCounter)
	mch.ids = append(mch.ids, id)
	mch.oracle.deadlines[id] = mch.now.Add(workTimeLimit)
	mch.submit(t, id, nod)
}

// retry submits a known ID again. Whichever agent receives it, its owner handles
// it; if that incarnation is gone, the caller is told the outcome for a gone owner.
func (mch *workMachine) retry(t *rapid.T) {
	if len(mch.ids) == 0 {
		t.Skip()
	}
	id := rapid.SampledFrom(mch.ids).Draw(t, "id")
	for _, nod := range mch.nodes {
		if nod.ldg.Owner() == id.Owner() {
			mch.submit(t, id, nod)
			return
		}
	}
	mch.report(id, mch.rules.ownerGone)
}

// submit starts new work, or reports the outcome recorded for known work.
func (mch *workMachine) submit(t *rapid.T, id ledger.ID, nod *ownerNode) {
	switch ver := mch.rules.begin(nod.ldg, id, mch.oracle.deadlines[id]).(type) {
	case ledger.Known:
		mch.report(id, ver.Outcome)
	case ledger.Fresh:
		mch.dispatch(t, id, nod)
	}
}

// dispatch runs work at the owner's upstream, or offers it to a peer, which
// accepts.
func (mch *workMachine) dispatch(t *rapid.T, id ledger.ID, nod *ownerNode) {
	if rapid.Bool().Draw(t, "here") {
		mch.runLocally(t, id, nod)
		return
	}
	own := relay.NewOwner(mch.oracle.deadlines[id])
	own.NoteAccepted()
	mch.handovers = append(mch.handovers, &handover{id: id, owner: nod, own: own, peer: relay.NewPeer(mch.oracle.deadlines[id])})
}

// runLocally runs work at the owner's upstream, whose answer may break off.
func (mch *workMachine) runLocally(t *rapid.T, id ledger.ID, nod *ownerNode) {
	att, ok := mch.rules.start(nod.ldg, id, mch.now)
	if !ok {
		mch.finish(nod, id, relay.NotRun)
		return
	}
	mch.oracle.runs[id]++
	if rapid.Bool().Draw(t, "answerBreaks") {
		mch.rules.releaseAttempt(nod.ldg, id, att, relay.Unknown)
		mch.retryOrFinish(t, id, nod, relay.Unknown)
		return
	}
	mch.finish(nod, id, relay.Done)
}

// retryOrFinish does what an agent does after a failed attempt: it tries another
// upstream if it may start the work again, or else records the outcome.
func (mch *workMachine) retryOrFinish(t *rapid.T, id ledger.ID, nod *ownerNode, out relay.Outcome) {
	if _, ok := mch.rules.start(nod.ldg, id, mch.now); ok {
		mch.oracle.runs[id]++
		mch.finish(nod, id, relay.Done)
		return
	}
	mch.finish(nod, id, out)
}

// finish records an outcome and reports the one that the ledger keeps.
func (mch *workMachine) finish(nod *ownerNode, id ledger.ID, out relay.Outcome) {
	nod.ldg.Finish(id, out, ledger.Answer{})
	if ver, ok := nod.ldg.Lookup(id); ok {
		mch.report(id, ver.Outcome)
	}
}

// report tells the caller an outcome. The first one that is not pending is final.
func (mch *workMachine) report(id ledger.ID, out relay.Outcome) {
	if out != relay.Pending && mch.oracle.reported[id] == relay.Pending {
		mch.oracle.reported[id] = out
	}
}

// drawHandover picks one of the handovers.
func (mch *workMachine) drawHandover(t *rapid.T) *handover {
	if len(mch.handovers) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(mch.handovers).Draw(t, "handover")
}

// sendRun has an owner send the run message, which the network may duplicate.
func (mch *workMachine) sendRun(t *rapid.T) {
	hov := mch.drawHandover(t)
	if hov.owner.ldg.Owner() != hov.id.Owner() || !hov.own.StartRun(mch.now) {
		return
	}
	att, ok := mch.rules.start(hov.owner.ldg, hov.id, mch.now)
	if !ok {
		return
	}
	hov.attempt = att
	hov.runsInFlight += rapid.IntRange(1, 2).Draw(t, "copies")
}

// deliverRun delivers a copy of the run message to the peer, however late.
func (mch *workMachine) deliverRun(t *rapid.T) {
	hov := mch.drawHandover(t)
	if hov.runsInFlight == 0 {
		return
	}
	hov.runsInFlight--
	if mch.rules.peerRun(hov.peer, mch.now) {
		mch.oracle.runs[hov.id]++
		hov.peerRan = true
	}
}

// losePeer breaks the connection between owner and peer at any step.
func (mch *workMachine) losePeer(t *rapid.T) {
	hov := mch.drawHandover(t)
	out := mch.rules.peerLost(hov.own)
	if hov.owner.ldg.Owner() != hov.id.Owner() {
		return
	}
	mch.rules.releaseAttempt(hov.owner.ldg, hov.id, hov.attempt, out)
	mch.handleLoss(t, hov, out)
}

// handleLoss dispatches the work again if the peer cannot have run it, or else
// records the outcome.
func (mch *workMachine) handleLoss(t *rapid.T, hov *handover, out relay.Outcome) {
	if out == relay.NotRun {
		hov.peer.Close()
		mch.dispatch(t, hov.id, hov.owner)
		return
	}
	mch.finish(hov.owner, hov.id, out)
}

// deliverAnswer delivers the peer's answer to the owner.
func (mch *workMachine) deliverAnswer(t *rapid.T) {
	hov := mch.drawHandover(t)
	if !hov.peerRan || hov.owner.ldg.Owner() != hov.id.Owner() {
		return
	}
	hov.own.NoteAnswered()
	mch.finish(hov.owner, hov.id, hov.own.Outcome())
}

// restart kills an agent and starts it with an empty ledger at the same address.
func (mch *workMachine) restart(t *rapid.T) { mch.drawNode(t).boot(mch.now) }

// advance moves time forward, also past deadlines, and expires ledger entries.
func (mch *workMachine) advance(t *rapid.T) {
	mch.now = mch.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
	for _, nod := range mch.nodes {
		nod.ldg.Sweep(mch.now)
	}
}

func workProperty(rules workRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := newWorkMachine(rules)
		t.Repeat(map[string]func(*rapid.T){
			"newWork": mch.newWork, "retry": mch.retry, "grant": mch.sendRun, "deliverRun": mch.deliverRun,
			"lose": mch.losePeer, "answer": mch.deliverAnswer, "restart": mch.restart, "pass": mch.advance,
			"": mch.oracle.check,
		})
	}
}

func TestWorkRunsAtMostOnce(t *testing.T) { rapid.Check(t, workProperty(realWorkRules())) }

func TestWorkOracleDetectsMutants(t *testing.T) {
	mutants := map[string]func(*workRules){
		"ledger allows a second start": func(rls *workRules) {
			rls.start = func(*ledger.Ledger, ledger.ID, time.Time) (ledger.Attempt, bool) { return 0, true }
		},
		"peer loss after the run message is reported as notRun": func(rls *workRules) {
			rls.peerLost = func(*relay.Owner) relay.Outcome { return relay.NotRun }
		},
		"peer runs every copy of the run message": func(rls *workRules) {
			rls.peerRun = func(*relay.Peer, time.Time) bool { return true }
		},
		"broken answer releases the attempt": func(rls *workRules) {
			rls.releaseAttempt = func(ldg *ledger.Ledger, id ledger.ID, att ledger.Attempt, _ relay.Outcome) { ldg.Release(id, att) }
		},
		"gone owner is reported as notRun": func(rls *workRules) { rls.ownerGone = relay.NotRun },
		"known work begins again": func(rls *workRules) {
			rls.begin = func(ldg *ledger.Ledger, id ledger.ID, deadline time.Time) ledger.Verdict {
				ver := ldg.Begin(id, deadline)
				if _, ok := ver.(ledger.Known); ok {
					return ledger.Fresh{}
				}
				return ver
			}
			rls.start = func(*ledger.Ledger, ledger.ID, time.Time) (ledger.Attempt, bool) { return 0, true }
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			rules := realWorkRules()
			mutate(&rules)
			assertCaught(t, workProperty(rules))
		})
	}
}
