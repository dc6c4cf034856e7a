package main

import (
	"time"

	"lagoondrum/core/simul"
)

// loadSeeds is the number of seeds over which the results of a load are summed.
const loadSeeds = 5

// measureLoad simulates what callers get under loads that upstreams cannot serve in
// time, with the queue at the agents and without, and what a scheduler would reach
// that knows all work in advance.
func measureLoad(rep *report) error {
	for _, scn := range simul.LoadScenarios() {
		queued, bound := playLoad(scn)
		rep.addRow(scn.Name+": asked", float64(queued.Asked), "requests")
		rep.addRow(scn.Name+": in time", float64(queued.InTime), "requests")
		rep.addRow(scn.Name+": late", float64(queued.Late), "requests")
		rep.addRow(scn.Name+": not answered", float64(queued.Failed), "requests")
		rep.addRow(scn.Name+": in time, bound", float64(bound), "requests")
		scn.Unqueued = true
		unqueued, _ := playLoad(scn)
		rep.addRow(scn.Name+": in time, queued at the upstreams", float64(unqueued.InTime), "requests")
	}
	for _, scn := range simul.CostScenarios() {
		byRank, bound := playLoad(scn)
		scn.ByCost = true
		byCost, _ := playLoad(scn)
		rep.addRow(scn.Name+": asked", float64(byRank.Asked), "requests")
		rep.addRow(scn.Name+": in time", float64(byRank.InTime), "requests")
		rep.addRow(scn.Name+": not answered", float64(byRank.Failed), "requests")
		rep.addRow(scn.Name+": in time, by cost", float64(byCost.InTime), "requests")
		rep.addRow(scn.Name+": not answered, by cost", float64(byCost.Failed), "requests")
		rep.addRow(scn.Name+": in time, bound", float64(bound), "requests")
	}
	served := rep.addSeries("requests answered in time after a power loss", "length of the power loss (ms)", "fraction of all within 4 s")
	best := rep.addSeries("bound of the requests answered in time after a power loss", "length of the power loss (ms)", "fraction of all within 4 s")
	for _, outage := range []time.Duration{300, 600, 900, 1200, 1500, 1800} {
		scn := simul.LoadScenarios()[0]
		scn.Outage = outage * time.Millisecond
		cnt, bound := playLoad(scn)
		served.addPoint(float64(outage), float64(cnt.InTime)/float64(cnt.Asked))
		best.addPoint(float64(outage), float64(bound)/float64(cnt.Asked))
	}
	return nil
}

// playLoad returns the summed results of a load and its bound.
func playLoad(scn simul.LoadScenario) (sum simul.LoadCount, bound int) {
	for seed := range uint64(loadSeeds) {
		sum.Add(simul.RunLoad(scn, seed+1).Total)
		bound += simul.LoadBound(scn, seed+1)
	}
	return sum, bound
}
