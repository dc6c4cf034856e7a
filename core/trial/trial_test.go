package trial

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testSeeds = 5

// meanImbalance returns the mean imbalance of a policy over testSeeds seeds.
func meanImbalance(scn FlowScene, pol FlowPolicy) float64 {
	sum := 0.0
	for seed := range uint64(testSeeds) {
		sum += Imbalance(scn, pol, seed+1)
	}
	return sum / testSeeds
}

func TestSteeringByBothIsTheMostEven(t *testing.T) {
	ms := time.Millisecond
	for _, scn := range []FlowScene{
		{Name: "burst", Upstreams: 7, Balancers: 3, Flows: 700, Within: 2000 * ms, Handshake: 50 * ms, Heard: 200 * ms},
		{Name: "short burst", Upstreams: 7, Balancers: 3, Flows: 60, Within: 20 * ms, Handshake: 50 * ms, Heard: 200 * ms},
		{Name: "stale reports", Upstreams: 36, Balancers: 30, Flows: 3600, Within: 5000 * ms, Handshake: 50 * ms, Heard: 2000 * ms},
		{Name: "late joiner", Upstreams: 7, Balancers: 3, Flows: 1400, Within: 4000 * ms, Handshake: 50 * ms, Heard: 200 * ms, Cold: 1},
		{Name: "false reports", Upstreams: 7, Balancers: 3, Flows: 1400, Within: 4000 * ms, Handshake: 50 * ms, Heard: 200 * ms, Lying: 1},
	} {
		t.Run(scn.Name, func(t *testing.T) {
			inUse := meanImbalance(scn, Steered{Pending: true, Back: true})
			for _, pol := range []FlowPolicy{HashAlone{}, TwoChoices{}, Steered{Pending: true}} {
				other := meanImbalance(scn, pol)
				assert.Assert(t, inUse < other, "imbalance of %T is %.3f, of the policy in use %.3f", pol, other, inUse)
			}
		})
	}
}

func TestTokensBreakNoFlow(t *testing.T) {
	for _, chg := range []Change{
		{Name: "join", Added: 1}, {Name: "leave", Leaving: 1},
		{Name: "balancers disagree", Added: 3, Behind: 0.5}, {Name: "callers move", Moved: true},
	} {
		t.Run(chg.Name, func(t *testing.T) {
			byHash, byToken := Broken(chg, 1)
			assert.Equal(t, byToken, 0.0)
			assert.Assert(t, byHash > 0)
		})
	}
}

func TestPassingOnEvensABurst(t *testing.T) {
	scn := WorkScene{
		Upstreams: 7, Slots: 4, Flows: 70, Orders: 3000, Within: 6 * time.Second,
		Service: 50 * time.Millisecond, Limit: 2 * time.Second,
	}
	stay, pass := Burst(scn, StayHere{}, 1), Burst(scn, PassOn{Factor: 1}, 1)
	assert.Assert(t, pass.Imbalance < stay.Imbalance)
	assert.Assert(t, pass.Worst < stay.Worst)
	assert.Assert(t, pass.Refused <= stay.Refused)
}
