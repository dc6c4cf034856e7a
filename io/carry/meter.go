package carry

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"lagoondrum/core/encap"
	"lagoondrum/core/track"
	"lagoondrum/io/stats"
)

// gaugeInterval is how often gauges are brought up to date.
const gaugeInterval = time.Second

// maxServices bounds the histograms of services that come and go.
const maxServices = 64

// balancerMeter counts a balancer's decisions.
type balancerMeter struct {
	scope     *stats.Scope
	malformed tally.Counter
	causes    [track.CauseCount]tally.Counter
	openings  map[string]tally.Histogram // By service: from an opening to its answer.
}

func newBalancerMeter(scope *stats.Scope) *balancerMeter {
	mtr := &balancerMeter{scope: scope, malformed: scope.Counter("datagramsMalformed"), openings: make(map[string]tally.Histogram)}
	for i := range mtr.causes {
		mtr.causes[i] = scope.Counter("flowDecisions", "cause", track.Cause(i).String())
	}
	return mtr
}

func (mtr *balancerMeter) cause(cse track.Cause) { mtr.causes[cse].Inc(1) }

func (mtr *balancerMeter) answered(service string, took time.Duration) {
	hst, known := mtr.openings[service]
	if !known {
		if len(mtr.openings) >= maxServices {
			return
		}
		hst = mtr.scope.Latency("opening", "service", service)
		mtr.openings[service] = hst
	}
	hst.RecordDuration(took)
}

// agentMeter counts an agent's decisions.
type agentMeter struct {
	scope     *stats.Scope
	malformed tally.Counter
	resets    tally.Counter
	probes    tally.Counter
}

func newAgentMeter(scope *stats.Scope) *agentMeter {
	return &agentMeter{
		scope:     scope,
		malformed: scope.Counter("datagramsMalformed"),
		resets:    scope.Counter("flowsReset"),
		probes:    scope.Counter("upstreamProbes"),
	}
}

func (mtr *agentMeter) told(hdr encap.Header) {
	mtr.scope.Counter("flowsTold", "kind", hdr.Kind().String(), "reason", hdr.Reason().String()).Inc(1)
}

// gauges holds values that rise and fall.
type gauges struct{ scope *stats.Scope }

func (ggs gauges) hold(name string, value float64) { ggs.scope.Gauge(name).Update(value) }

// holdCommon holds what every process tells.
func (ggs gauges) holdCommon(bas *base, now time.Time) {
	ggs.hold("stateAgeSeconds", now.Sub(bas.rep.ConfirmedAt()).Seconds())
	ggs.hold("stateRevision", float64(bas.rep.Revision()))
	ggs.hold("platformCalls", float64(bas.rep.Calls()))
	ggs.hold("logLinesDropped", float64(bas.out.Dropped()))
	ggs.hold("datagramsRefused", float64(bas.post.refused))
}
