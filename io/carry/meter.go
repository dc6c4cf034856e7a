package carry

import (
	tally "github.com/uber-go/tally/v4"

	"lagoondrum/core/track"
	"lagoondrum/io/stats"
)

// balancerMeter counts a balancer's decisions.
type balancerMeter struct {
	malformed tally.Counter
	causes    [track.Causes]tally.Counter
}

func newBalancerMeter(scope *stats.Scope) *balancerMeter {
	mtr := &balancerMeter{malformed: scope.Counter("datagramsMalformed")}
	for i := range mtr.causes {
		mtr.causes[i] = scope.Counter("flowDecisions", "cause", track.Cause(i).String())
	}
	return mtr
}

func (mtr *balancerMeter) cause(cse track.Cause) { mtr.causes[cse].Inc(1) }

// agentMeter counts an agent's decisions.
type agentMeter struct {
	malformed tally.Counter
	resets    tally.Counter
	probes    tally.Counter
}

func newAgentMeter(scope *stats.Scope) *agentMeter {
	return &agentMeter{
		malformed: scope.Counter("datagramsMalformed"),
		resets:    scope.Counter("flowsReset"),
		probes:    scope.Counter("upstreamProbes"),
	}
}
