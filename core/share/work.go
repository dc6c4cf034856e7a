package share

import (
	"time"

	"lagoondrum/core/flow"
)

const (
	workGain   = 0.05             // Weight of a new value in the averages, once there are enough.
	fewAnswers = 16               // A route with this many answers is judged by them as much as by those of all routes.
	maxRoutes  = 1024             // Routes whose work is known.
	minWork    = time.Millisecond // Less is not told apart.
	usualBand  = 3                // A request is longer than usual after the mean and this many mean deviations.
)

// Work is what the requests of each route take in a slot of an upstream, learned from
// its answers.
type Work struct {
	byRoute map[flow.Endpoint]*estimate
	all     estimate // Stands for routes without answers.
}

// estimate is the moving average of times and of their deviations.
type estimate struct {
	count     int
	mean      time.Duration
	deviation time.Duration
}

func (est *estimate) note(took time.Duration) {
	est.count++
	gain := max(workGain, 1/float64(est.count))
	diff := took - est.mean
	est.mean += time.Duration(gain * float64(diff))
	if est.count > 1 {
		est.deviation += time.Duration(gain * float64(max(diff, -diff)-est.deviation))
	}
}

// Note records how long a request of a route took in a slot of its own. The time of a
// request that waited for a slot would count the work of others.
func (wrk *Work) Note(address flow.Endpoint, took time.Duration) {
	if wrk.byRoute == nil {
		wrk.byRoute = make(map[flow.Endpoint]*estimate)
	}
	est := wrk.byRoute[address]
	if est == nil {
		if len(wrk.byRoute) >= maxRoutes {
			clear(wrk.byRoute)
		}
		est = &estimate{}
		wrk.byRoute[address] = est
	}
	est.note(took)
	wrk.all.note(took)
}

func (wrk *Work) estimateOf(address flow.Endpoint) estimate {
	est := wrk.byRoute[address]
	if est == nil {
		return wrk.all
	}
	weight := float64(est.count) / float64(est.count+fewAnswers) // A single long request of a route must not turn the order.
	return estimate{
		mean:      wrk.all.mean + time.Duration(weight*float64(est.mean-wrk.all.mean)),
		deviation: wrk.all.deviation + time.Duration(weight*float64(est.deviation-wrk.all.deviation)),
	}
}

// Mean returns the expected work of a request of a route, that of all routes while it
// has no answers, and 0 while nothing is known.
func (wrk *Work) Mean(address flow.Endpoint) time.Duration { return wrk.estimateOf(address).mean }

// Deviation returns by how much the work of a route's requests differs from the mean.
func (wrk *Work) Deviation(address flow.Endpoint) time.Duration {
	return wrk.estimateOf(address).deviation
}

// Left returns how long a request is expected to keep its slot. One that has run for
// longer than usual is one of the few long ones, of which nothing is known but that
// they last: as long again.
func (wrk *Work) Left(address flow.Endpoint, ranFor time.Duration) time.Duration {
	est := wrk.estimateOf(address)
	if ranFor > est.mean+usualBand*est.deviation {
		return ranFor
	}
	return max(est.mean-ranFor, est.deviation/2)
}
