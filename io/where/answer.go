package where

import (
	"net/netip"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/evac"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flows"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
	"lagoondrum/core/track"
	"lagoondrum/core/warm"
)

// noState is the outcome at a process without a desired state.
const noState = "noState"

// maxRows is how many agents of each kind a service is shown with.
const maxRows = 50

// Answer is a process's answer.
type Answer struct{ answerBody }

// answerBody is the JSON form of an answer. Times are those of the process's clock, and
// ages are in milliseconds.
type answerBody struct {
	Process     string           `json:"process"`
	At          time.Time        `json:"at"`
	Outcome     string           `json:"outcome"` // What the caller would get, in the words of the logs.
	Version     uint64           `json:"version"`
	Revision    uint64           `json:"revision"`
	Era         uint64           `json:"era"`
	ConfirmedAt time.Time        `json:"confirmedAt,omitzero"`
	StateAge    *int64           `json:"stateAgeMillis,omitempty"`
	Source      string           `json:"stateSource"`
	Lags        bool             `json:"lags,omitempty"` // An agent has told a newer revision.
	Ready       bool             `json:"ready"`
	Evacuations []evacuationBody `json:"evacuations"`
	Route       *routeBody       `json:"route,omitempty"`
	Hint        *hintBody        `json:"hint,omitempty"`
	Asked       string           `json:"asked,omitempty"`
	Next        string           `json:"next,omitempty"`
	IfFull      string           `json:"ifFull,omitempty"`
	Services    []serviceBody    `json:"services,omitempty"`
	Agent       *agentBody       `json:"agent,omitempty"`
}

type evacuationBody struct {
	Zone     string    `json:"zone"`
	Since    time.Time `json:"since"`
	Source   string    `json:"source"`
	Revision uint64    `json:"revision"`
	Era      uint64    `json:"era"`
}

type routeBody struct {
	Name   string      `json:"name"`
	Shares []shareBody `json:"shares"`
}

type shareBody struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type hintBody struct {
	Phase  string   `json:"phase"`
	Agents []string `json:"agents"`
}

type serviceBody struct {
	Service    string          `json:"service"`
	Outcome    string          `json:"outcome"`
	Weight     int             `json:"weight"`
	Listed     int             `json:"listed"`
	Compared   int             `json:"compared"`
	LeftOut    map[string]int  `json:"leftOut"` // Agents by the reason why they get no new flows.
	Candidates []candidateBody `json:"candidates"`
}

type candidateBody struct {
	Agent      string     `json:"agent"`
	Upstream   string     `json:"upstream"`
	Zone       string     `json:"zone"`
	Exclusion  string     `json:"exclusion,omitempty"`
	Total      float64    `json:"cost"`
	Terms      []termBody `json:"terms,omitempty"`
	Requests   float64    `json:"requests"`
	Flows      int        `json:"flows"`
	Slots      int        `json:"slots"`
	Pending    int        `json:"pending"`
	LoadAge    *int64     `json:"loadAgeMillis,omitempty"`    // Missing when the agent was never heard.
	Unanswered *int64     `json:"unansweredMillis,omitempty"` // Missing when the agent owes no answer.
	ColdUntil  time.Time  `json:"coldUntil,omitzero"`
	ColdLimit  int        `json:"coldLimit,omitempty"`
}

type termBody struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

type agentBody struct {
	Service         string    `json:"service"`
	LeadsHere       bool      `json:"routeLeadsHere"`
	Refusal         string    `json:"refusal"`
	QueueRefusal    string    `json:"refusalIfItMayQueue"`
	Flow            string    `json:"flow,omitempty"`
	Slots           int       `json:"slots"`
	Limit           int       `json:"requestLimit"`
	UnderWay        int       `json:"requestsUnderWay"`
	Queued          int       `json:"requestsQueued"`
	Flows           int       `json:"flows"`
	ColdSource      string    `json:"coldSource"`
	ColdLimit       int       `json:"coldLimit,omitempty"`
	EntryColdUntil  time.Time `json:"entryColdUntil,omitzero"`
	TableIsComplete bool      `json:"tableIsComplete"`
}

// NewAnswer returns an answer without a decision: whose it is, and by which state.
func NewAnswer(process string, ready bool, now time.Time) Answer {
	return Answer{answerBody{Process: process, At: now, Ready: ready, Evacuations: []evacuationBody{}}}
}

// WithState returns the answer with the position of the platform's state, when it was
// last confirmed, and whether the process reads it itself.
func (ans Answer) WithState(pos mirror.Position, confirmedAt time.Time, reading bool) Answer {
	ans.Revision, ans.Era, ans.ConfirmedAt, ans.StateAge = pos.Revision(), pos.Era(), confirmedAt, ageOf(confirmedAt, ans.At)
	ans.Source = evac.Peer.String()
	if reading {
		ans.Source = evac.Platform.String()
	}
	return ans
}

// WithEvacuations returns the answer with the orders to evacuate zones in force.
func (ans Answer) WithEvacuations(ods []evac.Order) Answer {
	for _, ord := range ods {
		ans.Evacuations = append(ans.Evacuations, evacuationBody{ord.Zone(), ord.Since(), ord.Source().String(), ord.Position().Revision(), ord.Position().Era()})
	}
	return ans
}

// WithBalancer returns the answer with the explanation of a balancer.
func (ans Answer) WithBalancer(exp track.Explanation) Answer {
	ans.Outcome, ans.Version, ans.Lags = exp.Cause().String(), exp.Version(), exp.Lags()
	if exp.Cause() == track.NoCause {
		ans.Outcome = noState
	}
	ans.Route = newRouteBody(exp.Route())
	if hnt := exp.Hint(); hnt != nil {
		ans.Hint = &hintBody{Phase: hnt.Phase(), Agents: []string{}}
		for _, ip := range hnt.Agents() {
			ans.Hint.Agents = append(ans.Hint.Agents, ipText(ip))
		}
	}
	ans.Asked, ans.Next, ans.IfFull = agentText(exp.Asked()), agentText(exp.Next()), agentText(exp.IfFull())
	for _, ofr := range exp.Services() {
		ans.Services = append(ans.Services, newServiceBody(ofr, ans.At))
	}
	return ans
}

// WithAgent returns the answer with the explanation of an agent of a service, whose
// upstream's limit while it is cold gat holds. The version is 0 without a desired state.
func (ans Answer) WithAgent(service string, version uint64, complete bool, exp flows.Explanation, gat *warm.Gate) Answer {
	ans.Outcome, ans.Version, ans.Route = "delivered", version, newRouteBody(exp.Route())
	switch {
	case version == 0:
		ans.Outcome = noState
	case exp.Route() == nil:
		ans.Outcome = track.NoRoute.String()
	case !exp.LeadsHere():
		ans.Outcome = "otherService"
	case exp.Refusal() != encap.NoReason:
		ans.Outcome = "refused"
	}
	ans.Agent = &agentBody{
		Service: service, LeadsHere: exp.LeadsHere(), Refusal: exp.Refusal().String(), QueueRefusal: exp.QueueRefusal().String(), Flow: exp.Phase(),
		Slots: exp.Slots(), Limit: exp.Limit(), UnderWay: exp.UnderWay(), Queued: exp.Queued(), Flows: exp.Flows(),
		ColdSource: gat.Source(ans.At).String(), TableIsComplete: complete,
	}
	if gat.EntryUntil().After(ans.At) {
		ans.Agent.EntryColdUntil = gat.EntryUntil()
	}
	if gat.Source(ans.At) != warm.NotCold {
		ans.Agent.ColdLimit = gat.Limit()
	}
	return ans
}

func newRouteBody(rte *intent.Route) *routeBody {
	if rte == nil {
		return nil
	}
	body := &routeBody{Name: rte.Name(), Shares: []shareBody{}}
	for _, shr := range rte.Shares() {
		body.Shares = append(body.Shares, shareBody{shr.Service(), shr.Weight()})
	}
	return body
}

func newServiceBody(ofr track.Offer, now time.Time) serviceBody {
	body := serviceBody{
		Service: ofr.Share().Service(), Outcome: ofr.Cause().String(), Weight: ofr.Share().Weight(),
		Listed: ofr.Listed(), Compared: len(ofr.Candidates()), LeftOut: make(map[string]int), Candidates: []candidateBody{},
	}
	for _, cnd := range ofr.LeftOut() {
		body.LeftOut[cnd.Exclusion().String()]++
	}
	for _, list := range [][]track.Candidate{ofr.Candidates(), ofr.LeftOut()} {
		for _, cnd := range list[:min(len(list), maxRows)] {
			body.Candidates = append(body.Candidates, newCandidateBody(cnd, now))
		}
	}
	return body
}

func newCandidateBody(cnd track.Candidate, now time.Time) candidateBody {
	agt := cnd.Agent()
	ups := agt.Upstream()
	body := candidateBody{
		Agent: ipText(agt.IP()), Upstream: ups.ID(), Zone: ups.Zone(), Requests: agt.Load().Requests(), Flows: agt.Load().Flows(),
		Slots: ups.Slots(), Pending: agt.PendingOpenings(), LoadAge: ageOf(agt.HeardAt(), now),
	}
	if wait, owes := agt.AnswerTime(now); owes {
		millis := wait.Milliseconds()
		body.Unanswered = &millis
	}
	if ups.Cold(now) {
		body.ColdUntil = ups.ColdUntil()
	}
	body.ColdLimit, _ = agt.ColdLimit(now)
	if cnd.Exclusion() != fleet.NotExcluded {
		body.Exclusion = cnd.Exclusion().String()
		return body
	}
	body.Total = cnd.Cost().Total()
	for _, trm := range cnd.Cost().Terms() {
		body.Terms = append(body.Terms, termBody{trm.Name(), trm.Value()})
	}
	return body
}

// ageOf returns the age in milliseconds of what is known since a time, nil for the zero
// time.
func ageOf(since, now time.Time) *int64 {
	if since.IsZero() {
		return nil
	}
	millis := now.Sub(since).Milliseconds()
	return &millis
}

func ipText(ip [4]byte) string { return netip.AddrFrom4(ip).String() }

func agentText(agt *fleet.Agent) string {
	if agt == nil {
		return ""
	}
	return ipText(agt.IP())
}
