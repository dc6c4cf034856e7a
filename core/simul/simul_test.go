package simul

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testSeeds = 5

// meanImbalance returns the mean imbalance of a policy over testSeeds seeds.
func meanImbalance(scn FlowScenario, pol FlowPolicy) float64 {
	sum := 0.0
	for seed := range uint64(testSeeds) {
		sum += FlowImbalance(scn, pol, seed+1)
	}
	return sum / testSeeds
}

func TestSteeringWithHandBackIsMostEven(t *testing.T) {
	ms := time.Millisecond
	for _, scn := range []FlowScenario{
		{Name: "burst", Upstreams: 7, Balancers: 3, Flows: 700, Length: 2000 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms},
		{Name: "short burst", Upstreams: 7, Balancers: 3, Flows: 60, Length: 20 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms},
		{Name: "stale reports", Upstreams: 36, Balancers: 30, Flows: 3600, Length: 5000 * ms, Handshake: 50 * ms, ReportInterval: 2000 * ms},
		{Name: "late joiner", Upstreams: 7, Balancers: 3, Flows: 1400, Length: 4000 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms, LateJoiners: 1},
		{Name: "false reports", Upstreams: 7, Balancers: 3, Flows: 1400, Length: 4000 * ms, Handshake: 50 * ms, ReportInterval: 200 * ms, FalseReporters: 1},
	} {
		t.Run(scn.Name, func(t *testing.T) {
			inUse := meanImbalance(scn, Steered{CountPending: true, HandBack: true})
			for _, pol := range []FlowPolicy{HashOnly{}, TwoChoices{}, Steered{CountPending: true}} {
				other := meanImbalance(scn, pol)
				assert.Assert(t, inUse < other, "imbalance of %T is %.3f, of the policy in use %.3f", pol, other, inUse)
			}
		})
	}
}

func TestTokensBreakNoFlow(t *testing.T) {
	for _, chg := range []Change{
		{Name: "join", Added: 1}, {Name: "leave", Leaving: 1},
		{Name: "balancers disagree", Added: 3, StaleBalancers: 0.5}, {Name: "callers move", CallersMoved: true},
	} {
		t.Run(chg.Name, func(t *testing.T) {
			byHash, byToken := BrokenFlows(chg, 1)
			assert.Equal(t, byToken, 0.0)
			assert.Assert(t, byHash > 0)
		})
	}
}

func TestOffloadingReducesImbalance(t *testing.T) {
	scn := WorkScenario{
		Upstreams: 7, Slots: 4, Flows: 70, Requests: 3000, Length: 6 * time.Second,
		ServiceTime: 50 * time.Millisecond, Timeout: 2 * time.Second,
	}
	stay, pass := RunBurst(scn, LocalOnly{}, 1), RunBurst(scn, Offload{Factor: 1}, 1)
	assert.Assert(t, pass.Imbalance < stay.Imbalance)
	assert.Assert(t, pass.MaxLatency < stay.MaxLatency)
	assert.Assert(t, pass.Refused <= stay.Refused)
}
