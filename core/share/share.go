// Package share decides which requests are served while an upstream has too little
// capacity for all, by what callers lose for the work that it takes. It handles the
// load after a power loss and in bursts in which routes of different priority or work
// share a service: in order of arrival or of priority alone requests are served that
// could have waited, or that are late anyway, while others miss their objectives.
package share

import (
	"math"
	"time"

	"lagoondrum/core/flow"
)

// Demand is what a request needs from its upstream, and until when.
type Demand struct {
	address      flow.Endpoint // Of its route.
	client       [4]byte
	priority     uint8
	first        bool
	closed       bool
	objectiveDue time.Time
	givenUpAt    time.Time
	perWork      float64 // Benefit for the work; this and the fields below are set by the plan.
	work         time.Duration
	deviation    time.Duration // Of the work.
	clientNum    int
}

// NewDemand returns the demand of a request on a flow. An answer after objectiveDue
// misses the latency objective, and after givenUpAt nobody waits for it.
func NewDemand(key flow.Key, first bool, priority uint8, objectiveDue, givenUpAt time.Time) Demand {
	return Demand{address: key.Service(), client: key.Client().IP(), priority: priority, first: first, objectiveDue: objectiveDue, givenUpAt: givenUpAt}
}

// WithClosed returns the demand of a request whose client has closed its side of the
// flow, so that it has probably given up.
func (dmd Demand) WithClosed() Demand {
	dmd.closed = true
	return dmd
}

// benefit returns what an answer is worth to a caller beside answers of other routes.
// The desired state orders routes by priority and says no more, so each priority
// counts twice the next one.
func (dmd *Demand) benefit() float64 { return math.Exp2(-float64(dmd.priority)) }

// group is the requests of a route that are first, or later, on their flows. No group
// is starved.
type group struct {
	address flow.Endpoint
	first   bool
}

func (dmd *Demand) group() group { return group{address: dmd.address, first: dmd.first} }
