package main

import (
	"fmt"
	"time"

	"lagoondrum/core/simul"
)

// trialSeeds is the number of seeds over which an imbalance is averaged.
const trialSeeds = 10

// measureTrials simulates how policies distribute new flows and work, and which
// open flows a change of the fleet breaks.
func measureTrials(rep *report) error {
	ms := time.Millisecond
	for _, scn := range []simul.FlowScenario{
		{Name: "burst of 700 in 2 s", Upstreams: 7, Balancers: 3, Flows: 700, Length: 2000 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms},
		{Name: "burst of 60 in 20 ms", Upstreams: 7, Balancers: 3, Flows: 60, Length: 20 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms},
		{Name: "36 upstreams, 30 balancers, words 2 s old", Upstreams: 36, Balancers: 30, Flows: 7200, Length: 5000 * ms, Handshake: 50 * ms, ReportInterval: 2000 * ms},
		{Name: "an agent joins cold", Upstreams: 7, Balancers: 3, Flows: 1400, Length: 4000 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms, LateJoiners: 1},
		{Name: "an agent's words claim it is empty", Upstreams: 7, Balancers: 3, Flows: 1400, Length: 4000 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms, FalseReporters: 1},
	} {
		for _, pol := range []struct {
			name   string
			policy simul.FlowPolicy
		}{
			{"hash alone", simul.HashOnly{}},
			{"two choices on heard load", simul.TwoChoices{}},
			{"steered by the first", simul.Steered{CountPending: true}},
			{"steered by both (in use)", simul.Steered{CountPending: true, HandBack: true}},
		} {
			sum := 0.0
			for seed := range uint64(trialSeeds) {
				sum += simul.FlowImbalance(scn, pol.policy, seed+1)
			}
			rep.addRow(fmt.Sprintf("flows max/mean, %s, %s", scn.Name, pol.name), sum/trialSeeds, "")
		}
	}
	measureWorkBursts(rep)
	for _, chg := range []simul.Change{
		{Name: "1 of 36 upstreams joins", Added: 1},
		{Name: "1 of 36 upstreams leaves", Leaving: 1},
		{Name: "half of the balancers lack 3 new upstreams", Added: 3, StaleBalancers: 0.5},
		{Name: "callers move to new ports", CallersMoved: true},
	} {
		byHash, byToken := simul.BrokenFlows(chg, 1)
		rep.addRow("broken flows, "+chg.Name+", 5-tuple hash", byHash, "of all")
		rep.addRow("broken flows, "+chg.Name+", tokens (in use)", byToken, "of all")
	}
	return nil
}

// measureWorkBursts simulates bursts of work under each policy.
func measureWorkBursts(rep *report) {
	for _, scn := range []simul.WorkScenario{
		{Name: "burst before closing", Upstreams: 7, Slots: 4, Flows: 70, Requests: 3000, Length: 6 * time.Second, ServiceTime: 50 * time.Millisecond, Timeout: 2 * time.Second},
		{Name: "overload of 1.2 times", Upstreams: 7, Slots: 4, Flows: 70, Requests: 6700, Length: 10 * time.Second, ServiceTime: 50 * time.Millisecond, Timeout: time.Second},
	} {
		for _, pol := range []struct {
			name   string
			policy simul.WorkPolicy
		}{
			{"stay at the flow's agent", simul.LocalOnly{}},
			{"pass on at 2 times the slots", simul.Offload{Factor: 2}},
			{"pass on when it would wait (in use)", simul.Offload{Factor: 1}},
		} {
			res := simul.RunBurst(scn, pol.policy, 1)
			rep.addRow(fmt.Sprintf("work max/mean, %s, %s", scn.Name, pol.name), res.Imbalance, "")
			rep.addRow(fmt.Sprintf("work refused, %s, %s", scn.Name, pol.name), float64(res.Refused), "")
			rep.addRow(fmt.Sprintf("of it with a free slot, %s, %s", scn.Name, pol.name), float64(res.RefusedWithFreeSlot), "")
			rep.addRow(fmt.Sprintf("longest work, %s, %s", scn.Name, pol.name), res.MaxLatency.Seconds(), "s")
		}
	}
}
