package proof

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/ledger"
	"lagoondrum/core/relay"
)

// onceRules are the decisions that keep work from running twice. Mutants
// replace one of them.
type onceRules struct {
	start    func(ldg *ledger.Ledger, id ledger.ID, now time.Time) (ledger.Attempt, bool)
	lost     func(own *relay.Owner) relay.Outcome
	peerRun  func(pr *relay.Peer, now time.Time) bool
	begin    func(ldg *ledger.Ledger, id ledger.ID, deadline time.Time) ledger.Verdict
	giveBack func(ldg *ledger.Ledger, id ledger.ID, att ledger.Attempt, out relay.Outcome)
	gone     relay.Outcome // What is said when the owner is gone.
}

func realOnce() onceRules {
	return onceRules{
		start: (*ledger.Ledger).Start,
		lost: func(own *relay.Owner) relay.Outcome {
			own.Lost()
			return own.Outcome()
		},
		peerRun: (*relay.Peer).Run,
		begin:   (*ledger.Ledger).Begin,
		giveBack: func(ldg *ledger.Ledger, id ledger.ID, att ledger.Attempt, out relay.Outcome) {
			if out == relay.NotRun {
				ldg.GiveBack(id, att)
			}
		},
		gone: relay.Unknown,
	}
}

// onceOracle counts at the upstreams.
type onceOracle struct {
	runs  map[ledger.ID]int
	said  map[ledger.ID]relay.Outcome
	until map[ledger.ID]time.Time
}

func (orc *onceOracle) check(t *rapid.T) {
	for id, runs := range orc.runs {
		if runs > 1 {
			t.Fatalf("%v ran %d times", id, runs)
		}
		if runs > 0 && orc.said[id] == relay.NotRun {
			t.Fatalf("%v ran although its caller was told notRun", id)
		}
	}
}

// handover is one offer of work to a peer, with the messages that are under way.
type handover struct {
	id       ledger.ID
	owner    *ownerNode
	own      *relay.Owner
	peer     *relay.Peer
	attempt  ledger.Attempt
	runMsgs  int // Copies of the run message that the network still holds.
	answered bool
}

// ownerNode is one agent with the ledger of its present incarnation.
type ownerNode struct {
	agent netip.AddrPort
	ldg   *ledger.Ledger
	ses   ledger.Session
	boots uint64
	used  uint32
}

func (own *ownerNode) boot(now time.Time) {
	own.boots++
	own.ldg = ledger.New(ledger.NewOwner(own.agent, own.boots))
	own.ses, _ = own.ldg.Open()
}

// onceMachine has callers, owners and peers race with an adversary.
type onceMachine struct {
	rules  onceRules
	now    time.Time
	nodes  []*ownerNode
	ids    []ledger.ID
	open   []*handover
	oracle onceOracle
}

const workTime = 10 * time.Second

func newOnceMachine(rules onceRules) *onceMachine {
	mch := &onceMachine{rules: rules, now: epoch, oracle: onceOracle{
		runs: make(map[ledger.ID]int), said: make(map[ledger.ID]relay.Outcome), until: make(map[ledger.ID]time.Time),
	}}
	for i := range 3 {
		nod := &ownerNode{agent: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7842", i+1))}
		nod.boot(mch.now)
		mch.nodes = append(mch.nodes, nod)
	}
	return mch
}

func (mch *onceMachine) node(t *rapid.T) *ownerNode {
	return mch.nodes[rapid.IntRange(0, len(mch.nodes)-1).Draw(t, "node")]
}

// newWork mints an ID at an owner and hands it in once.
func (mch *onceMachine) newWork(t *rapid.T) {
	nod := mch.node(t)
	nod.used++
	id := ledger.NewID(nod.ses, nod.used)
	mch.ids = append(mch.ids, id)
	mch.oracle.until[id] = mch.now.Add(workTime)
	mch.submit(t, id, nod)
}

// retry hands an old ID in again, through any agent.
func (mch *onceMachine) retry(t *rapid.T) {
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
	mch.say(id, mch.rules.gone)
}

func (mch *onceMachine) submit(t *rapid.T, id ledger.ID, nod *ownerNode) {
	switch ver := mch.rules.begin(nod.ldg, id, mch.oracle.until[id]).(type) {
	case ledger.Known:
		mch.say(id, ver.Outcome)
	case ledger.Fresh:
		mch.place(t, id, nod)
	}
}

// place runs work here, or offers it to a peer that accepts.
func (mch *onceMachine) place(t *rapid.T, id ledger.ID, nod *ownerNode) {
	if rapid.Bool().Draw(t, "here") {
		mch.runHere(t, id, nod)
		return
	}
	own := relay.NewOwner(mch.oracle.until[id])
	own.Accepted()
	mch.open = append(mch.open, &handover{id: id, owner: nod, own: own, peer: relay.NewPeer(mch.oracle.until[id])})
}

func (mch *onceMachine) runHere(t *rapid.T, id ledger.ID, nod *ownerNode) {
	att, ok := mch.rules.start(nod.ldg, id, mch.now)
	if !ok {
		mch.finish(nod, id, relay.NotRun)
		return
	}
	mch.oracle.runs[id]++
	if rapid.Bool().Draw(t, "answerBreaks") {
		mch.rules.giveBack(nod.ldg, id, att, relay.Unknown)
		mch.settleOrRetry(t, id, nod, relay.Unknown)
		return
	}
	mch.finish(nod, id, relay.Done)
}

// settleOrRetry is what an agent does after a failed attempt: it tries another
// upstream when it may start the work again, and else records the outcome.
func (mch *onceMachine) settleOrRetry(t *rapid.T, id ledger.ID, nod *ownerNode, out relay.Outcome) {
	if _, ok := mch.rules.start(nod.ldg, id, mch.now); ok {
		mch.oracle.runs[id]++
		mch.finish(nod, id, relay.Done)
		return
	}
	mch.finish(nod, id, out)
}

func (mch *onceMachine) finish(nod *ownerNode, id ledger.ID, out relay.Outcome) {
	nod.ldg.Finish(id, out, ledger.Answer{})
	if ver, ok := nod.ldg.Fetch(id); ok {
		mch.say(id, ver.Outcome)
	}
}

func (mch *onceMachine) say(id ledger.ID, out relay.Outcome) {
	if out != relay.Pending && mch.oracle.said[id] == relay.Pending {
		mch.oracle.said[id] = out
	}
}

func (mch *onceMachine) handover(t *rapid.T) *handover {
	if len(mch.open) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(mch.open).Draw(t, "handover")
}

// grant has an owner send run; the network may double it.
func (mch *onceMachine) grant(t *rapid.T) {
	hov := mch.handover(t)
	if hov.owner.ldg.Owner() != hov.id.Owner() || !hov.own.Grant(mch.now) {
		return
	}
	att, ok := mch.rules.start(hov.owner.ldg, hov.id, mch.now)
	if !ok {
		return
	}
	hov.attempt = att
	hov.runMsgs += rapid.IntRange(1, 2).Draw(t, "copies")
}

// deliverRun lets a copy of run reach the peer, however late.
func (mch *onceMachine) deliverRun(t *rapid.T) {
	hov := mch.handover(t)
	if hov.runMsgs == 0 {
		return
	}
	hov.runMsgs--
	if mch.rules.peerRun(hov.peer, mch.now) {
		mch.oracle.runs[hov.id]++
		hov.answered = true
	}
}

// lose cuts the way between owner and peer at any step.
func (mch *onceMachine) lose(t *rapid.T) {
	hov := mch.handover(t)
	out := mch.rules.lost(hov.own)
	if hov.owner.ldg.Owner() != hov.id.Owner() {
		return
	}
	mch.rules.giveBack(hov.owner.ldg, hov.id, hov.attempt, out)
	mch.settleOrRetryLost(t, hov, out)
}

func (mch *onceMachine) settleOrRetryLost(t *rapid.T, hov *handover, out relay.Outcome) {
	if out == relay.NotRun {
		hov.peer.Close()
		mch.place(t, hov.id, hov.owner)
		return
	}
	mch.finish(hov.owner, hov.id, out)
}

// answer brings the peer's answer to the owner.
func (mch *onceMachine) answer(t *rapid.T) {
	hov := mch.handover(t)
	if !hov.answered || hov.owner.ldg.Owner() != hov.id.Owner() {
		return
	}
	hov.own.Answered()
	mch.finish(hov.owner, hov.id, hov.own.Outcome())
}

// restart kills an agent and starts it with empty memory at the same address.
func (mch *onceMachine) restart(t *rapid.T) { mch.node(t).boot(mch.now) }

// pass lets time go by, past deadlines too, and ledgers forget.
func (mch *onceMachine) pass(t *rapid.T) {
	mch.now = mch.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
	for _, nod := range mch.nodes {
		nod.ldg.Sweep(mch.now)
	}
}

func onceProperty(rules onceRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := newOnceMachine(rules)
		t.Repeat(map[string]func(*rapid.T){
			"newWork": mch.newWork, "retry": mch.retry, "grant": mch.grant, "deliverRun": mch.deliverRun,
			"lose": mch.lose, "answer": mch.answer, "restart": mch.restart, "pass": mch.pass,
			"": mch.oracle.check,
		})
	}
}

func TestWorkRunsAtMostOnce(t *testing.T) { rapid.Check(t, onceProperty(realOnce())) }

func TestOnceOracleCatches(t *testing.T) {
	mutants := map[string]func(*onceRules){
		"start says yes twice": func(rls *onceRules) {
			rls.start = func(*ledger.Ledger, ledger.ID, time.Time) (ledger.Attempt, bool) { return 0, true }
		},
		"loss after run is called notRun": func(rls *onceRules) {
			rls.lost = func(*relay.Owner) relay.Outcome { return relay.NotRun }
		},
		"peer runs every copy": func(rls *onceRules) {
			rls.peerRun = func(*relay.Peer, time.Time) bool { return true }
		},
		"broken answer gives the work back": func(rls *onceRules) {
			rls.giveBack = func(ldg *ledger.Ledger, id ledger.ID, att ledger.Attempt, _ relay.Outcome) { ldg.GiveBack(id, att) }
		},
		"a gone owner is called notRun": func(rls *onceRules) { rls.gone = relay.NotRun },
		"forgotten work begins anew": func(rls *onceRules) {
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
			rules := realOnce()
			mutate(&rules)
			assertCaught(t, onceProperty(rules))
		})
	}
}
