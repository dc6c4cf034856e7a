package simul

import (
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/judge"
)

// Defect is how an upstream serves its callers badly.
type Defect interface{ defect() }

// Erring upstreams fail a share of their requests at once, with a short answer.
type Erring struct{ Share float64 }

// Resetting upstreams reset the flow of a share of their requests.
type Resetting struct{ Share float64 }

// Muted upstreams never answer a share of their requests.
type Muted struct{ Share float64 }

// Slowed upstreams take this many times as long.
type Slowed struct{ Factor float64 }

func (Erring) defect()    {}
func (Resetting) defect() {}
func (Muted) defect()     {}
func (Slowed) defect()    {}

const errorBytes = 90 // Of the answer of an erring upstream.

// defectOf returns the defect that an upstream has now, nil if it has none.
func (run *loadRun) defectOf(ups *loadUpstream) Defect {
	if ups.num >= run.scenario.Bad || run.Now().Before(run.start) {
		return nil
	}
	return run.scenario.Defect
}

// fails lets a defect decide about a request, and reports whether the upstream does not
// run it.
func (run *loadRun) fails(ups *loadUpstream, att *loadAttempt, key flow.Key) bool {
	switch dft := run.defectOf(ups).(type) {
	case Erring:
		if att.failed = run.rnd.Float64() < dft.Share; att.failed {
			run.Schedule(time.Millisecond, func() {
				run.sendFromUpstream(ups, key, flow.Ack, ups.flows[key]+1, att.requestEnd, errorBytes)
			})
		}
		return att.failed
	case Resetting:
		if run.rnd.Float64() < dft.Share {
			run.sendFromUpstream(ups, key, flow.Rst, ups.flows[key]+1, att.requestEnd, 0)
			delete(ups.flows, key)
			return true
		}
	case Muted:
		att.request.muted = run.rnd.Float64() < dft.Share
		return att.request.muted
	}
	return false
}

// slowness returns by how much an upstream is slower than others.
func (run *loadRun) slowness(ups *loadUpstream) float64 {
	if dft, slow := run.defectOf(ups).(Slowed); slow {
		return dft.Factor
	}
	return 1
}

// hearEvidence has a balancer learn what callers got from an upstream.
func (run *loadRun) hearEvidence(agt *fleet.Agent, evd judge.Evidence) {
	if run.scenario.Judged {
		agt.Judged().Hear(evd, agt.Upstream().Cold(run.Now()), run.Now())
	}
}

// reviewUpstreams has every balancer compare the upstreams of each service.
func (run *loadRun) reviewUpstreams() {
	for _, blc := range run.balancers {
		blc.fleet.EachService(func(_ string, agts []*fleet.Agent) {
			var sbjs []*judge.Subject
			for _, agt := range agts {
				sbjs = append(sbjs, agt.Judged())
			}
			for _, chg := range judge.Compare(sbjs, run.Now()).Changes() {
				run.noteVerdict(agts[chg.Index()], chg)
			}
		})
	}
}

// noteVerdict counts the verdicts against upstreams without a defect.
func (run *loadRun) noteVerdict(agt *fleet.Agent, chg judge.Change) {
	if chg.Suspect() && run.defectOf(run.upstreamAt(agt.IP())) == nil {
		run.falseVerdicts++
	}
}

// BadUpstreamScenarios returns loads in which a part of the upstreams serves callers
// badly while the others have room.
func BadUpstreamScenarios() []LoadScenario {
	const ms = time.Millisecond
	keeping := LoadClass{Shares: []int{1}, Rate: 280, Objective: 250 * ms, Budget: 2500 * ms, Work: 30 * ms, Priority: 2, Idempotent: true, KeepsFlow: true}
	fresh := LoadClass{Shares: []int{1}, Rate: 110, Objective: 300 * ms, Budget: 3000 * ms, Work: 39 * ms, Priority: 1}
	base := LoadScenario{Classes: []LoadClass{keeping, fresh}, Services: []int{10}, Slots: 2, Queue: 8, Balancers: 8, Callers: 100, Bad: 2, Judged: true}
	var scns []LoadScenario
	for name, dft := range map[string]Defect{
		"errors": Erring{1}, "errors of a part": Erring{0.45}, "resets": Resetting{1}, "resets of a part": Resetting{0.45},
		"mute": Muted{1}, "mute in part": Muted{0.45}, "slow": Slowed{5},
	} {
		scn := base
		scn.Name, scn.Defect = name, dft
		scns = append(scns, scn)
	}
	return scns
}
