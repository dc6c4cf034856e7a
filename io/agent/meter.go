package agent

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"lagoondrum/core/relay"
	"lagoondrum/io/stats"
)

// meter holds the metrics of the agent.
type meter struct {
	scope         *stats.Scope
	badFrames     tally.Counter
	otherService  tally.Counter
	flightsPassed tally.Counter
	unsent        tally.Counter
}

func newMeter(scope *stats.Scope) *meter {
	return &meter{
		scope:         scope,
		badFrames:     scope.Counter("badFrames"),
		otherService:  scope.Counter("datagramsOtherService"),
		flightsPassed: scope.Counter("firstFlightsPassed"),
		unsent:        scope.Counter("datagramsUnsent"),
	}
}

// recordWork records the outcome of one piece of work and the time that it took from
// its arrival, including the time in the queue.
func (mtr *meter) recordWork(plan string, out relay.Outcome, reason string, took time.Duration) {
	mtr.scope.Counter("work", "plan", plan, "outcome", out.String(), "reason", reason).Inc(1)
	mtr.scope.Latency("workLatency", "plan", plan).RecordDuration(took)
}

// recordQueueTime records how long a piece of work waited for a slot.
func (mtr *meter) recordQueueTime(plan string, waited time.Duration) {
	mtr.scope.Latency("workQueue", "plan", plan).RecordDuration(waited)
}

// countRelay counts an attempt to run work at a peer.
func (mtr *meter) countRelay(out relay.Outcome) {
	mtr.scope.Counter("workRelayed", "outcome", out.String()).Inc(1)
}

// countRefusedCaller counts a request that no plan allows.
func (mtr *meter) countRefusedCaller(reason string) {
	mtr.scope.Counter("callersRefused", "reason", reason).Inc(1)
}
