package carry

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"lagoondrum/core/encap"
	"lagoondrum/core/track"
	"lagoondrum/io/stats"
)

// gaugeInterval is the time between updates of the gauges.
const gaugeInterval = time.Second

// maxOpeningHistograms bounds the number of histograms, since services come and go.
const maxOpeningHistograms = 64

// balancerMetrics holds the counters and histograms of a balancer.
type balancerMetrics struct {
	scope     *stats.Scope
	malformed tally.Counter
	decisions [track.CauseCount]tally.Counter
	openings  map[string]tally.Histogram // By service: time from an opening packet to its answer.
}

func newBalancerMetrics(scope *stats.Scope) *balancerMetrics {
	mts := &balancerMetrics{scope: scope, malformed: scope.Counter("datagramsMalformed"), openings: make(map[string]tally.Histogram)}
	for i := range mts.decisions {
		mts.decisions[i] = scope.Counter("flowDecisions", "cause", track.Cause(i).String())
	}
	return mts
}

func (mts *balancerMetrics) countDecision(cse track.Cause) { mts.decisions[cse].Inc(1) }

// recordOpening records the time from an opening packet to its answer.
func (mts *balancerMetrics) recordOpening(service string, took time.Duration) {
	hst, known := mts.openings[service]
	if !known {
		if len(mts.openings) >= maxOpeningHistograms {
			return
		}
		hst = mts.scope.Latency("opening", "service", service)
		mts.openings[service] = hst
	}
	hst.RecordDuration(took)
}

// agentMetrics holds the counters of an agent.
type agentMetrics struct {
	scope     *stats.Scope
	malformed tally.Counter
	resets    tally.Counter
	probes    tally.Counter
	queued    tally.Counter   // Requests that had to wait for capacity.
	admitted  tally.Counter   // Those of them that were delivered.
	routes    map[string]bool // Those that have counters of their own.
}

func newAgentMetrics(scope *stats.Scope) *agentMetrics {
	return &agentMetrics{
		scope:     scope,
		malformed: scope.Counter("datagramsMalformed"),
		resets:    scope.Counter("flowsReset"),
		probes:    scope.Counter("upstreamProbes"),
		queued:    scope.Counter("requestsHeld"),
		admitted:  scope.Counter("requestsAdmitted"),
		routes:    make(map[string]bool),
	}
}

// countFlowMessage counts a message about a flow to a balancer.
func (mts *agentMetrics) countFlowMessage(hdr encap.Header) {
	mts.scope.Counter("flowsTold", "kind", hdr.Kind().String(), "reason", hdr.Reason().String()).Inc(1)
}

// gauges sets the gauges of a process.
type gauges struct{ scope *stats.Scope }

func (ggs gauges) set(name string, value float64) { ggs.scope.Gauge(name).Update(value) }

// setCommon sets the gauges that balancers and agents share.
func (ggs gauges) setCommon(bas *base, now time.Time) {
	ggs.set("stateAgeSeconds", now.Sub(bas.replica.ConfirmedAt()).Seconds())
	position := bas.replica.Position()
	ggs.set("stateEra", float64(position.Era()))
	ggs.set("stateRevision", float64(position.Revision()))
	ggs.set("storeReturns", float64(bas.replica.EraChanges()))
	ggs.set("itemsHeld", float64(bas.replica.Held()))
	ggs.set("platformCalls", float64(bas.replica.Calls()))
	ggs.set("logLinesDropped", float64(bas.logOutput.Dropped()))
	ggs.set("datagramsRefused", float64(bas.peerSender.refused))
}
