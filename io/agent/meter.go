package agent

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"lagoondrum/core/relay"
	"lagoondrum/io/stats"
)

// meter counts what the agent does.
type meter struct {
	scope        *stats.Scope
	badFrames    tally.Counter
	otherService tally.Counter
	passed       tally.Counter
	unsent       tally.Counter
}

func newMeter(scope *stats.Scope) *meter {
	return &meter{
		scope:        scope,
		badFrames:    scope.Counter("badFrames"),
		otherService: scope.Counter("datagramsOtherService"),
		passed:       scope.Counter("firstFlightsPassed"),
		unsent:       scope.Counter("datagramsUnsent"),
	}
}

// work records one piece of work of a plan: its outcome and how long it took
// from its arrival, the queue included.
func (mtr *meter) work(plan string, out relay.Outcome, reason string, took time.Duration) {
	mtr.scope.Counter("work", "plan", plan, "outcome", out.String(), "reason", reason).Inc(1)
	mtr.scope.Latency("workLatency", "plan", plan).RecordDuration(took)
}

// queue records how long a piece of work waited for a slot.
func (mtr *meter) queue(plan string, waited time.Duration) {
	mtr.scope.Latency("workQueue", "plan", plan).RecordDuration(waited)
}

// relayed records an attempt to have a peer run work.
func (mtr *meter) relayed(out relay.Outcome) {
	mtr.scope.Counter("workRelayed", "outcome", out.String()).Inc(1)
}

// refusedCaller records a request that no plan allows.
func (mtr *meter) refusedCaller(reason string) {
	mtr.scope.Counter("callersRefused", "reason", reason).Inc(1)
}
