package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"lagoondrum/io/stand"
)

const maxNotes = 20

// tally is what the callers of a run have seen.
type tally struct {
	mu       sync.Mutex
	answered map[string]int // By order: 1 when a whole answer came, else 0.
	flows    int
	brokenBy []string
	failures []string
}

// result is the summary of a run.
type result struct {
	flows, broken, work, lost, ranTwice, misrouted int
	imbalance                                      float64
	edit, drain                                    time.Duration
}

// failedRunError reports a run that did not keep the promises.
type failedRunError struct{}

func (failedRunError) Error() string { return "the run did not pass" }

func (tly *tally) flow() {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.flows++
}

func (tly *tally) broken(reason string) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.brokenBy = append(tly.brokenBy, reason)
}

func (tly *tally) fail(err error) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.failures = append(tly.failures, err.Error())
}

func (tly *tally) order(name string, whole bool, err error) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.answered[name] = 0
	if whole {
		tly.answered[name] = 1
		return
	}
	tly.failures = append(tly.failures, fmt.Sprintf("order %s: whole=%v %v", name, whole, err))
}

func (run *driver) sumUp() error {
	reps, err := run.reports()
	if err != nil {
		return err
	}
	res := run.result(reps)
	for _, note := range append(run.tally.failures, run.tally.brokenBy...)[:min(maxNotes, len(run.tally.failures)+len(run.tally.brokenBy))] {
		fmt.Fprintln(os.Stderr, "note:", note)
	}
	verdict := "FAIL"
	if res.pass() && len(run.tally.failures) == 0 {
		verdict = "PASS"
	}
	fmt.Printf("result: %s flows=%d brokenFlows=%d work=%d lost=%d ranTwice=%d misrouted=%d imbalance=%.2f editSeconds=%.2f drainSeconds=%.2f\n",
		verdict, res.flows, res.broken, res.work, res.lost, res.ranTwice, res.misrouted, res.imbalance, res.edit.Seconds(), res.drain.Seconds())
	if verdict == "FAIL" {
		return failedRunError{}
	}
	return nil
}

func (run *driver) result(reps map[string]stand.Report) result {
	runs := make(map[string]int)
	res := result{flows: run.tally.flows, broken: len(run.tally.brokenBy), work: len(run.tally.answered)}
	for _, rep := range reps {
		res.misrouted += rep.Misrouted
		for order, count := range rep.Runs {
			runs[order] += count
		}
	}
	for order, answered := range run.tally.answered {
		if answered == 0 || runs[order] == 0 {
			res.lost++
		}
		if runs[order] > 1 {
			res.ranTwice++
		}
	}
	res.imbalance = run.imbalance(reps)
	res.drain = max(reps[run.drainee().Name].LastNewWork.Sub(run.drained), 0)
	res.edit = editLimit
	if !run.seen.IsZero() {
		res.edit = run.seen.Sub(run.edited)
	}
	return res
}

// imbalance is the work of the busiest upstream of the feed over their mean,
// without the one that was drained.
func (run *driver) imbalance(reps map[string]stand.Report) float64 {
	most, sum, count := 0, 0, 0
	for name, rep := range reps {
		if rep.Service != stand.FeedService || name == run.drainee().Name {
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

func (res result) pass() bool {
	return res.broken == 0 && res.lost == 0 && res.ranTwice == 0 && res.misrouted == 0 &&
		res.edit < editLimit && res.drain < drainLimit
}
