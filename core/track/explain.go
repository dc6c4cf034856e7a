package track

import (
	"slices"
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/picker"
)

var phaseNames = [...]string{opening: "opening", open: "open", searching: "searching", unfound: "unfound", ended: "ended"}

// Explanation is where the opening of a flow would go now, and why.
type Explanation struct {
	cause    Cause
	version  uint64
	lags     bool
	route    *intent.Route
	services []Offer
	asked    *fleet.Agent
	next     *fleet.Agent
	ifFull   *fleet.Agent
	hint     *Hint
}

// Cause returns what would become of the opening: Asked, or the cause of the reset.
// NoCause means that there is no state yet, so that packets are dropped.
func (exp Explanation) Cause() Cause { return exp.cause }

// Version returns the version of the desired state in force, 0 without one.
func (exp Explanation) Version() uint64 { return exp.version }

// Lags reports whether an agent has told a newer revision than that of the fleet.
func (exp Explanation) Lags() bool { return exp.lags }

// Route returns the route of the address, or nil.
func (exp Explanation) Route() *intent.Route { return exp.route }

// Services returns the service that the shares choose for the client, or without a
// client every service of the route.
func (exp Explanation) Services() []Offer { return exp.services }

// Asked returns the agent that would be asked, or nil: without a client it is not known.
func (exp Explanation) Asked() *fleet.Agent { return exp.asked }

// Next returns the agent that would be asked if the first did not answer, or refused
// for another reason than being full or cold, or nil.
func (exp Explanation) Next() *fleet.Agent { return exp.next }

// IfFull returns the agent that would be asked to queue the request if the first one
// refused it as full and reported the load that is known now, or nil.
func (exp Explanation) IfFull() *fleet.Agent { return exp.ifFull }

// Hint returns what is remembered of the client's flow, nil when nothing is.
func (exp Explanation) Hint() *Hint { return exp.hint }

// Hint is what a balancer remembers of a flow.
type Hint struct {
	phase  phase
	agents [][4]byte
}

// Phase returns the state of the flow: opening, open, searching, unfound or ended.
func (hnt Hint) Phase() string { return phaseNames[hnt.phase] }

// Agents returns the agents that the flow's packets go to: its holder, or while the flow
// is being opened the one that was asked last.
func (hnt Hint) Agents() [][4]byte { return hnt.agents }

// Offer is what a service has for a new flow.
type Offer struct {
	share      intent.Share
	cause      Cause
	listed     int
	candidates []Candidate
	leftOut    []Candidate
}

// Share returns the service and its weight. A route without services has an empty one.
func (ofr Offer) Share() intent.Share { return ofr.share }

// Cause returns what would become of an opening: Asked, or the cause of the reset.
func (ofr Offer) Cause() Cause { return ofr.cause }

// Listed returns how many agents the service has.
func (ofr Offer) Listed() int { return ofr.listed }

// Candidates returns the agents that would be compared, the cheapest first.
func (ofr Offer) Candidates() []Candidate { return ofr.candidates }

// LeftOut returns the agents that get no new flows.
func (ofr Offer) LeftOut() []Candidate { return ofr.leftOut }

// Candidate is an agent with its cost, or with the reason why it gets no new flows.
type Candidate struct {
	agent     *fleet.Agent
	cost      picker.Cost
	exclusion fleet.Exclusion
}

// Agent returns the agent.
func (cnd Candidate) Agent() *fleet.Agent { return cnd.agent }

// Cost returns the cost. Without a client it has no jitter.
func (cnd Candidate) Cost() picker.Cost { return cnd.cost }

// Exclusion returns why the agent gets no new flows.
func (cnd Candidate) Exclusion() fleet.Exclusion { return cnd.exclusion }

// Explain returns where the opening of a flow would go now, and changes nothing. The
// zero endpoint as the client stands for any client. The load it answers: an operator
// who traces a caller's complaint while the balancer serves.
func (tbl *Table) Explain(key flow.Key, now time.Time) Explanation {
	stt := tbl.tracker.State()
	if stt == nil {
		return Explanation{}
	}
	exp := Explanation{cause: NoRoute, version: stt.Version(), lags: tbl.lags(), route: stt.Route(key.Service()), hint: tbl.hintOf(key, now)}
	switch {
	case exp.route == nil:
	case key.Client() == flow.Endpoint{}:
		tbl.explainAnyClient(&exp, now)
	default:
		tbl.explainClient(&exp, key, now)
	}
	return exp
}

// explainAnyClient explains every service of a route.
func (tbl *Table) explainAnyClient(exp *Explanation, now time.Time) {
	exp.cause = NoUpstream
	for num, shr := range exp.route.Shares() {
		ofr := tbl.offerOf(shr, tbl.fleet.Service(shr.Service()), 0, now)
		for i := range ofr.candidates {
			ofr.candidates[i].cost.Jitter = 0
		}
		ofr.sort()
		exp.services = append(exp.services, ofr)
		if num == 0 || ofr.cause == Asked {
			exp.cause = ofr.cause
		}
	}
}

// explainClient explains the service and the agent of a client's flow.
func (tbl *Table) explainClient(exp *Explanation, key flow.Key, now time.Time) {
	chs, hash := tbl.chooser.Copy(), picker.FlowHash(key)
	service := exp.route.Pick(hash)
	agts := tbl.fleet.Service(service)
	ofr := tbl.offerOf(shareOf(exp.route, service), chs.Compared(agts, hash, now), hash, now)
	ofr.sort()
	exp.cause, exp.services = ofr.cause, []Offer{ofr}
	untried := func([4]byte) bool { return false }
	if exp.asked = chs.Choose(agts, untried, hash, now); exp.asked == nil {
		return
	}
	first := exp.asked.IP()
	exp.next = chs.Choose(agts, func(ip [4]byte) bool { return ip == first }, hash, now)
	asked := exp.asked.WithOpening(now)
	agentsOf := func(service string) []*fleet.Agent {
		agts := slices.Clone(tbl.fleet.Service(service))
		if at := slices.Index(agts, exp.asked); at >= 0 {
			agts[at] = asked
		}
		return agts
	}
	if agt := bestOfRoute(chs, exp.route, agentsOf, untried, hash, now); agt != nil {
		exp.ifFull = tbl.fleet.Agent(agt.IP())
	}
}

// shareOf returns the share of a service of a route.
func shareOf(rte *intent.Route, service string) intent.Share {
	for _, shr := range rte.Shares() {
		if shr.Service() == service {
			return shr
		}
	}
	return intent.Share{}
}

// offerOf returns what a service has for a flow, of whose agents some are compared.
func (tbl *Table) offerOf(shr intent.Share, compared []*fleet.Agent, hash uint64, now time.Time) Offer {
	agts := tbl.fleet.Service(shr.Service())
	ofr := Offer{share: shr, cause: Asked, listed: len(agts)}
	for _, agt := range compared {
		if agt.Usable(now) {
			ofr.candidates = append(ofr.candidates, Candidate{agent: agt, cost: tbl.chooser.CostOf(agt, hash, now)})
		}
	}
	for _, agt := range agts {
		if exc := agt.Exclusion(now); exc != fleet.NotExcluded {
			ofr.leftOut = append(ofr.leftOut, Candidate{agent: agt, exclusion: exc})
		}
	}
	switch {
	case len(ofr.candidates) > 0:
	case tbl.fleet.OnlyEvacuated(shr.Service(), now):
		ofr.cause = AllEvacuated
	default:
		ofr.cause = NoUpstream
	}
	return ofr
}

// sort sorts the candidates by their cost; equal ones keep the order in which they are
// compared, so that the first is the one that would be asked.
func (ofr *Offer) sort() {
	slices.SortStableFunc(ofr.candidates, func(one, other Candidate) int {
		switch diff := one.cost.Total() - other.cost.Total(); {
		case diff < 0:
			return -1
		case diff > 0:
			return 1
		default:
			return 0
		}
	})
}

// hintOf returns what is remembered of a flow, nil when nothing is. It leaves the entry
// in its generation.
func (tbl *Table) hintOf(key flow.Key, now time.Time) *Hint {
	ent := tbl.recent[key]
	if ent == nil {
		ent = tbl.older[key]
	}
	if ent == nil || ent.phase == ended && !now.Before(ent.endedUntil) {
		return nil
	}
	hnt := &Hint{phase: ent.phase}
	for _, hld := range ent.holders {
		hnt.agents = append(hnt.agents, hld.ip)
	}
	if count := len(ent.attempts); ent.phase == opening && len(ent.holders) == 0 && count > 0 {
		hnt.agents = append(hnt.agents, ent.attempts[count-1].ip)
	}
	return hnt
}
