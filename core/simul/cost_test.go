package simul

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateWorth is what a late answer is worth beside one in time.
const lateWorth = 0.3

// playOrders plays a load in today's order and in the order by cost.
func playOrders(t *testing.T, scn LoadScenario, seeds uint64) (byRank, byCost LoadResult) {
	t.Helper()
	t.Parallel()
	for _, res := range []*LoadResult{&byRank, &byCost} {
		res.Classes = make([]LoadCount, len(scn.Classes))
		for seed := range seeds {
			one := RunLoad(scn, seed+1)
			res.Total.Add(one.Total)
			for i, cnt := range one.Classes {
				res.Classes[i].Add(cnt)
			}
			res.RefusedBesideFreeSlots += one.RefusedBesideFreeSlots
		}
		t.Logf("by cost %v: %+v, by route %+v, benefit %.0f", scn.ByCost, res.Total, res.Classes, res.Benefit(scn.Classes, lateWorth))
		scn.ByCost = true
	}
	assert.Equal(t, byCost.RefusedBesideFreeSlots, 0)
	return byRank, byCost
}

// assertGain checks that callers get at least a fraction of what today's order gives them.
func assertGain(t *testing.T, scn LoadScenario, byRank, byCost LoadResult, least float64) {
	t.Helper()
	before, after := byRank.Benefit(scn.Classes, lateWorth), byCost.Benefit(scn.Classes, lateWorth)
	assert.Assert(t, after >= least*before, "%.0f of %.0f", after, before)
}

// Where routes differ in the work of their requests, callers get more and fewer of them
// nothing; where they do not, callers lose nothing.
func TestOrderByCost(t *testing.T) {
	all := CostScenarios()
	t.Run(all[0].Name, func(t *testing.T) {
		byRank, byCost := playOrders(t, all[0], loadSeeds)
		assertGain(t, all[0], byRank, byCost, 0.99)
		assert.Assert(t, byCost.Classes[1].InTime*100 >= byRank.Classes[1].InTime*98) // The higher priority does not pay for it.
		assert.Assert(t, byCost.Total.Failed < byRank.Total.Failed)
	})
	t.Run(all[1].Name, func(t *testing.T) {
		byRank, byCost := playOrders(t, all[1], loadSeeds)
		assertGain(t, all[1], byRank, byCost, 1.02)
		assert.Assert(t, byCost.Total.Failed*2 < byRank.Total.Failed)
		assert.Assert(t, byCost.Classes[1].Failed*10 < byCost.Classes[1].Asked) // Long requests are served too.
		bound := 0
		for seed := range uint64(loadSeeds) {
			bound += LoadBound(all[1], seed+1)
		}
		t.Logf("bound: %d in time", bound)
		assert.Assert(t, byCost.Total.InTime <= bound)
	})
	t.Run(all[2].Name, func(t *testing.T) {
		byRank, byCost := playOrders(t, all[2], 1)
		assertGain(t, all[2], byRank, byCost, 0.99)
	})
	for _, scn := range LoadScenarios() {
		t.Run(scn.Name, func(t *testing.T) {
			byRank, byCost := playOrders(t, scn, loadSeeds)
			assertGain(t, scn, byRank, byCost, 0.99)
		})
	}
}

// Under one failure each, callers get as much as in today's order.
func TestOrderByCostUnderFailure(t *testing.T) {
	for name, fail := range map[string]func(*LoadScenario){
		"agents restart with nothing known": func(scn *LoadScenario) { scn.Restarted, scn.Surge = true, 1.7 },
		"half of the service is gone":       func(scn *LoadScenario) { scn.Lost = scn.Services[0] / 2 },
		"reports lag by a second":           func(scn *LoadScenario) { scn.Surge, scn.ReportLag = 1.7, time.Second },
		"no upstream in the zone":           func(scn *LoadScenario) { scn.Surge, scn.Remote = 1.7, true },
	} {
		t.Run(name, func(t *testing.T) {
			scn := CostScenarios()[0]
			scn.Outage = 0
			fail(&scn)
			byRank, byCost := playOrders(t, scn, 2)
			assertGain(t, scn, byRank, byCost, 0.97)
		})
	}
}
