package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"lagoondrum/io/stand"
)

const maxNotes = 20 // Lines printed before the summary.

// tally counts what the callers of a run have observed.
type tally struct {
	mu          sync.Mutex
	answered    map[string]int // By name of the order: 1 when its complete answer arrived, else 0.
	flows       int
	brokenFlows []string // Reasons, one for each broken flow.
	failures    []string // Orders without a complete answer, and faults of the run itself.
}

// result is the summary of a run. editTime is the time from the edit of the list
// until it was in force, drainTime the time from the start of the drain until the
// drained upstream's last work began.
type result struct {
	flows, brokenFlows, work, lost, ranTwice, misrouted int
	imbalance                                           float64
	editTime, drainTime                                 time.Duration
}

// failedRunError reports a run that exceeded a limit or had a failure.
type failedRunError struct{}

func (failedRunError) Error() string { return "the run did not pass" }

// addFlow counts a flow.
func (tly *tally) addFlow() {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.flows++
}

// addBrokenFlow records that a flow broke, and why.
func (tly *tally) addBrokenFlow(reason string) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.brokenFlows = append(tly.brokenFlows, reason)
}

// addFailure records a fault of the run itself.
func (tly *tally) addFailure(err error) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.failures = append(tly.failures, err.Error())
}

// addOrder records whether an order got its complete answer.
func (tly *tally) addOrder(name string, complete bool, err error) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.answered[name] = 0
	if complete {
		tly.answered[name] = 1
		return
	}
	tly.failures = append(tly.failures, fmt.Sprintf("order %s: complete=%v %v", name, complete, err))
}

// printResult prints the notes and the summary line. The error is a failedRunError
// when the run did not pass.
func (drv *driver) printResult() error {
	reps, err := drv.fetchReports()
	if err != nil {
		return err
	}
	res := drv.evaluate(reps)
	for _, note := range append(drv.tally.failures, drv.tally.brokenFlows...)[:min(maxNotes, len(drv.tally.failures)+len(drv.tally.brokenFlows))] {
		fmt.Fprintln(os.Stderr, "note:", note)
	}
	verdict := "FAIL"
	if res.passed() && len(drv.tally.failures) == 0 {
		verdict = "PASS"
	}
	fmt.Printf("result: %s flows=%d brokenFlows=%d work=%d lost=%d ranTwice=%d misrouted=%d imbalance=%.2f editSeconds=%.2f drainSeconds=%.2f\n",
		verdict, res.flows, res.brokenFlows, res.work, res.lost, res.ranTwice, res.misrouted, res.imbalance, res.editTime.Seconds(), res.drainTime.Seconds())
	if verdict == "FAIL" {
		return failedRunError{}
	}
	return nil
}

// evaluate computes the summary from the tally and the reports of the upstreams. An
// edit that was not seen in force counts with editLimit.
func (drv *driver) evaluate(reps map[string]stand.Report) result {
	runs := make(map[string]int)
	res := result{flows: drv.tally.flows, brokenFlows: len(drv.tally.brokenFlows), work: len(drv.tally.answered)}
	for _, rep := range reps {
		res.misrouted += rep.Misrouted
		for order, count := range rep.Runs {
			runs[order] += count
		}
	}
	for order, answered := range drv.tally.answered {
		if answered == 0 || runs[order] == 0 {
			res.lost++
		}
		if runs[order] > 1 {
			res.ranTwice++
		}
	}
	res.imbalance = drv.imbalance(reps)
	res.drainTime = max(reps[drv.drainedAgent().Name].LastNewWork.Sub(drv.drainStartedAt), 0)
	res.editTime = editLimit
	if !drv.editSeenAt.IsZero() {
		res.editTime = drv.editSeenAt.Sub(drv.editedAt)
	}
	return res
}

// imbalance returns the work of the busiest upstream of FeedService divided by the
// mean of these upstreams, without the drained one.
func (drv *driver) imbalance(reps map[string]stand.Report) float64 {
	most, sum, count := 0, 0, 0
	for name, rep := range reps {
		if rep.Service != stand.FeedService || name == drv.drainedAgent().Name {
			continue
		}
		work := 0
		for order, runs := range rep.Runs {
			if strings.HasPrefix(order, "till-") {
				work += runs
			}
		}
		most = max(most, work)
		sum += work
		count++
	}
	return float64(most) * float64(count) / float64(max(sum, 1))
}

// passed reports whether the run lost, repeated and misrouted nothing, broke no flow,
// and kept the limits of edit and drain.
func (res result) passed() bool {
	return res.brokenFlows == 0 && res.lost == 0 && res.ranTwice == 0 && res.misrouted == 0 &&
		res.editTime < editLimit && res.drainTime < drainLimit
}
