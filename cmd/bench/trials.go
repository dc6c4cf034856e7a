package main

import (
	"fmt"
	"time"

	"lagoondrum/core/trial"
)

const trialSeeds = 10

func measureTrials(rep *report) error {
	ms := time.Millisecond
	for _, scn := range []trial.FlowScene{
		{Name: "burst of 700 in 2 s", Upstreams: 7, Balancers: 3, Flows: 700, Within: 2000 * ms, Handshake: 50 * ms, Heard: 200 * ms},
		{Name: "burst of 60 in 20 ms", Upstreams: 7, Balancers: 3, Flows: 60, Within: 20 * ms, Handshake: 50 * ms, Heard: 200 * ms},
		{Name: "36 upstreams, 30 balancers, words 2 s old", Upstreams: 36, Balancers: 30, Flows: 7200, Within: 5000 * ms, Handshake: 50 * ms, Heard: 2000 * ms},
		{Name: "an agent joins cold", Upstreams: 7, Balancers: 3, Flows: 1400, Within: 4000 * ms, Handshake: 50 * ms, Heard: 200 * ms, Cold: 1},
		{Name: "an agent's words claim it is empty", Upstreams: 7, Balancers: 3, Flows: 1400, Within: 4000 * ms, Handshake: 50 * ms, Heard: 200 * ms, Lying: 1},
	} {
		for _, pol := range []struct {
			name   string
			policy trial.FlowPolicy
		}{
			{"hash alone", trial.HashAlone{}},
			{"two choices on heard load", trial.TwoChoices{}},
			{"steered by the first", trial.Steered{Pending: true}},
			{"steered by both (in use)", trial.Steered{Pending: true, Back: true}},
		} {
			sum := 0.0
			for seed := range uint64(trialSeeds) {
				sum += trial.Imbalance(scn, pol.policy, seed+1)
			}
			rep.figure(fmt.Sprintf("flows max/mean, %s, %s", scn.Name, pol.name), sum/trialSeeds, "")
		}
	}
	measureBursts(rep)
	for _, chg := range []trial.Change{
		{Name: "1 of 36 upstreams joins", Added: 1},
		{Name: "1 of 36 upstreams leaves", Leaving: 1},
		{Name: "half of the balancers lack 3 new upstreams", Added: 3, Behind: 0.5},
		{Name: "callers move to new ports", Moved: true},
	} {
		byHash, byToken := trial.Broken(chg, 1)
		rep.figure("broken flows, "+chg.Name+", 5-tuple hash", byHash, "of all")
		rep.figure("broken flows, "+chg.Name+", tokens (in use)", byToken, "of all")
	}
	return nil
}

func measureBursts(rep *report) {
	for _, scn := range []trial.WorkScene{
		{Name: "burst before closing", Upstreams: 7, Slots: 4, Flows: 70, Orders: 3000, Within: 6 * time.Second, Service: 50 * time.Millisecond, Limit: 2 * time.Second},
		{Name: "overload of 1.2 times", Upstreams: 7, Slots: 4, Flows: 70, Orders: 6700, Within: 10 * time.Second, Service: 50 * time.Millisecond, Limit: time.Second},
	} {
		for _, pol := range []struct {
			name   string
			policy trial.WorkPolicy
		}{
			{"stay at the flow's agent", trial.StayHere{}},
			{"pass on at 2 times the slots", trial.PassOn{Factor: 2}},
			{"pass on when it would wait (in use)", trial.PassOn{Factor: 1}},
		} {
			res := trial.Burst(scn, pol.policy, 1)
			rep.figure(fmt.Sprintf("work max/mean, %s, %s", scn.Name, pol.name), res.Imbalance, "")
			rep.figure(fmt.Sprintf("work refused, %s, %s", scn.Name, pol.name), float64(res.Refused), "")
			rep.figure(fmt.Sprintf("of it with a free slot, %s, %s", scn.Name, pol.name), float64(res.RefusedFree), "")
			rep.figure(fmt.Sprintf("longest work, %s, %s", scn.Name, pol.name), res.Worst.Seconds(), "s")
		}
	}
}
