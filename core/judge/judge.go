package judge

import (
	"cmp"
	"slices"
	"time"

	"lagoondrum/core/flow"
)

// Limits of the judgement. Each signal is weighed by the deviation that makes an
// upstream suspect.
const (
	failureWeight    = 1 / 0.15               // Every seventh request more than at others fails: a retry or a loss for callers, which others would have spared them.
	timeWeight       = 1 / 1.5                // Answers take 2.8 times as long as at others, or come as much sooner, as failures at once do. A full queue of an upstream doubles the time.
	suspectScore     = 1.0                    // From this score on, an upstream is suspect,
	clearScore       = 0.5                    // and until it has fallen below this one.
	priorRequests    = 6                      // See Evidence.failureShare.
	minRequests      = 10                     // Evidence about fewer requests is not judged,
	minFailures      = 4                      // unless that many have failed.
	minTrials        = 2                      // Evidence about this many may prolong a verdict.
	minRouteAnswers  = 3                      // The same for the answers of one route.
	minPeers         = 3                      // Upstreams with evidence that a comparison needs.
	suspectPart      = 3                      // At most the third part of a service is suspect: the others have to carry its load, and the majority tells what is usual.
	confirmTime      = 250 * time.Millisecond // Slowness counts as far as evidence from this much before shows it too: one long request delays those behind it.
	evidenceLifetime = 3 * time.Second        // Evidence that was not renewed for this long counts no longer: three rounds of heartbeats in a fleet of some 100 VMs.
	verdictLifetime  = 2 * time.Second        // A verdict ends this long after the last evidence that supports it: in a service short of room a recovered upstream is missed.
)

// Score tells by how much callers are served worse than at the other upstreams of the
// service, by signal.
type Score struct {
	Failures float64 // Resets and requests without an answer.
	Slow     float64 // Answers take longer.
	Fast     float64 // Answers come sooner.
}

// Highest returns the strongest signal, by which upstreams are judged.
func (scr Score) Highest() float64 { return max(scr.Failures, scr.Slow, scr.Fast) }

// Reason is why a verdict changed.
type Reason uint8

// The reasons of verdicts: the strongest signal against an upstream, or why it is cleared.
const (
	Failures  Reason = iota // Suspect for resets and requests without an answer.
	Slow                    // Suspect for late answers.
	Fast                    // Suspect for answers that come too soon.
	Recovered               // Cleared by new evidence.
	Aged                    // Cleared as the evidence against it has aged.
	Spared                  // Cleared as others, of which enough are suspect, serve worse.
	ReasonCount
)

var reasonNames = [ReasonCount]string{"failures", "slow", "fast", "recovered", "aged", "spared"}

// String returns the reason's name in logs and metrics.
func (rsn Reason) String() string { return reasonNames[rsn] }

// strongest returns the strongest signal.
func (scr Score) strongest() Reason {
	switch scr.Highest() {
	case scr.Failures:
		return Failures
	case scr.Slow:
		return Slow
	default:
		return Fast
	}
}

// Subject is what a balancer believes of one incarnation of an upstream. Its zero value
// is an upstream that nothing is known of.
type Subject struct {
	evidence     Evidence
	heardAt      time.Time // When the evidence arrived.
	coldHeardAt  time.Time // When evidence arrived while the upstream was cold.
	suspectSince time.Time // Zero while the upstream is not suspect.
	suspectUntil time.Time // When the verdict ends unless evidence supports it.
	score        Score
	slowBefore   [2]float64 // The signal by the last two pieces of evidence that came confirmTime apart.
	slowHeardAt  time.Time  // When the last one came.
}

// Hear records evidence of the upstream's agent. A cold upstream is slow by its nature.
func (sbj *Subject) Hear(evd Evidence, cold bool, now time.Time) {
	sbj.evidence, sbj.heardAt = evd, now
	if cold {
		sbj.coldHeardAt = now
	}
}

// Suspect reports whether new flows avoid the upstream.
func (sbj *Subject) Suspect() bool { return !sbj.suspectSince.IsZero() }

// SuspectSince returns since when the upstream is suspect, the zero time if it is not.
func (sbj *Subject) SuspectSince() time.Time { return sbj.suspectSince }

// Evidence returns what was last heard of the upstream.
func (sbj *Subject) Evidence() Evidence { return sbj.evidence }

// HeardAt returns when the evidence arrived.
func (sbj *Subject) HeardAt() time.Time { return sbj.heardAt }

// Score returns by how much the upstream was worse than the others at the last review
// that could tell.
func (sbj *Subject) Score() Score { return sbj.score }

func (sbj *Subject) fresh(now time.Time) bool {
	return !sbj.heardAt.IsZero() && now.Sub(sbj.heardAt) < evidenceLifetime
}

func (sbj *Subject) judgeable(now time.Time) bool {
	return sbj.fresh(now) && (sbj.evidence.requests() >= minRequests || sbj.evidence.failures() >= minFailures)
}

// onTrial reports whether the upstream is suspect, and what little it got may prolong
// the verdict.
func (sbj *Subject) onTrial(now time.Time) bool {
	return sbj.Suspect() && sbj.fresh(now) && sbj.evidence.requests() >= minTrials
}

// slowByNature reports whether the window of the evidence reaches back to when the
// upstream was cold.
func (sbj *Subject) slowByNature(now time.Time) bool {
	return !sbj.coldHeardAt.IsZero() && now.Sub(sbj.coldHeardAt) < windowTime
}

// Usual is what callers get at most upstreams of a service.
type Usual struct {
	failureShare float64
	routes       []Answers // Count is how many upstreams the comparison rests on.
}

// FailureShare returns which share of the requests fails, where some answered requests
// are added to those of each upstream.
func (usl Usual) FailureShare() float64 { return usl.failureShare }

// MeanTime returns the geometric mean of the times to the answers on the routes that
// were compared, 0 without any.
func (usl Usual) MeanTime() time.Duration { return Evidence{routes: usl.routes}.MeanTime() }

// usualOf returns what is usual at the upstreams that can be judged, and false when
// there are too few. It takes the lower medians: with half of the upstreams bad, they
// are still those of good ones, and when all are slow, all of them are usual.
func usualOf(sbjs []*Subject, now time.Time) (Usual, bool) {
	var shares []float64
	times := make(map[flow.Endpoint][]float64)
	for _, sbj := range sbjs {
		if !sbj.judgeable(now) {
			continue
		}
		shares = append(shares, sbj.evidence.failureShare())
		for _, ans := range sbj.evidence.routes {
			if ans.count >= minRouteAnswers {
				times[ans.route] = append(times[ans.route], ans.time)
			}
		}
	}
	if len(shares) < minPeers {
		return Usual{}, false
	}
	usl := Usual{failureShare: lowerMedian(shares)}
	for route, all := range times {
		if len(all) >= minPeers {
			usl.routes = append(usl.routes, Answers{route: route, count: float64(len(all)), time: lowerMedian(all)})
		}
	}
	return usl, true
}

func lowerMedian(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// scoreOf compares an upstream with what is usual. Times of fewer than minAnswers answers
// are not compared.
func (sbj *Subject) scoreOf(usl Usual, minAnswers float64, now time.Time) Score {
	later, count := 0.0, 0.0
	for _, ans := range sbj.evidence.routes {
		if other, known := (Evidence{routes: usl.routes}).answersOf(ans.route); known {
			later += ans.count * (ans.time - other.time)
			count += ans.count
		}
	}
	scr := Score{Failures: max((sbj.evidence.failureShare()-usl.failureShare)*failureWeight, 0)}
	if count < minAnswers {
		return scr
	}
	if !sbj.slowByNature(now) {
		scr.Slow = sbj.confirmedSlow(max(later/count*timeWeight, 0))
	}
	scr.Fast = max(-later/count*timeWeight, 0)
	return scr
}

// confirmedSlow returns as much of the signal of slowness as older evidence confirms.
func (sbj *Subject) confirmedSlow(points float64) float64 {
	if sbj.heardAt.Sub(sbj.slowHeardAt) >= confirmTime {
		sbj.slowBefore = [2]float64{sbj.slowBefore[1], points}
		sbj.slowHeardAt = sbj.heardAt
	}
	return min(points, sbj.slowBefore[0])
}

// Change is a changed verdict.
type Change struct {
	index   int // In the subjects of the review.
	suspect bool
	reason  Reason
	since   time.Time // Since when the upstream is, or was, suspect.
}

// Index returns the place of the upstream among the subjects of the review.
func (chg Change) Index() int { return chg.index }

// Suspect reports whether the upstream is suspect now.
func (chg Change) Suspect() bool { return chg.suspect }

// Reason returns why the verdict changed.
func (chg Change) Reason() Reason { return chg.reason }

// Since returns since when the upstream is, or was, suspect.
func (chg Change) Since() time.Time { return chg.since }

// Review is the result of comparing the upstreams of a service.
type Review struct {
	usual   Usual
	spared  int
	changes []Change
}

// Usual returns what callers get at most of the upstreams.
func (rev Review) Usual() Usual { return rev.usual }

// Spared returns how many upstreams would be suspect if not enough others were.
func (rev Review) Spared() int { return rev.spared }

// Changes returns the changed verdicts, in the order of the subjects.
func (rev Review) Changes() []Change { return rev.changes }

// Compare reviews the upstreams of a service. It answers the load in which a part of
// them is slow or fails a share of its requests while the others have room: callers
// whose flows they get would fail or wait although they need not.
func Compare(sbjs []*Subject, now time.Time) Review {
	usl, comparable := usualOf(sbjs, now)
	reasons := make([]Reason, len(sbjs)) // Why an upstream is not suspect from now on.
	var bad []int
	for idx, sbj := range sbjs {
		isBad := false
		if isBad, reasons[idx] = sbj.examine(usl, comparable, now); isBad {
			bad = append(bad, idx)
		}
	}
	sortByHarm(bad, sbjs)
	limit := min(len(sbjs)/suspectPart, len(bad))
	suspects, spared := bad[:limit], bad[limit:]
	for _, idx := range spared {
		reasons[idx] = Spared
	}
	rev := Review{usual: usl, spared: len(spared)}
	for idx, sbj := range sbjs {
		switch suspect := slices.Contains(suspects, idx); {
		case suspect && !sbj.Suspect():
			sbj.suspectSince = now
			rev.changes = append(rev.changes, Change{index: idx, suspect: true, reason: sbj.score.strongest(), since: now})
		case !suspect && sbj.Suspect():
			rev.changes = append(rev.changes, Change{index: idx, reason: reasons[idx], since: sbj.suspectSince})
			sbj.suspectSince = time.Time{}
		}
	}
	return rev
}

// examine reports whether an upstream serves callers badly, and why a verdict against it
// ends otherwise. What little an upstream on trial gets cannot clear it, as a part of
// the requests of a bad one is answered well too.
func (sbj *Subject) examine(usl Usual, comparable bool, now time.Time) (bool, Reason) {
	switch {
	case comparable && sbj.judgeable(now):
		sbj.score = sbj.scoreOf(usl, minRequests, now)
		points := sbj.score.Highest()
		if points < clearScore || points < suspectScore && !sbj.Suspect() {
			return false, Recovered
		}
		sbj.suspectUntil = sbj.heardAt.Add(verdictLifetime)
		return true, Recovered
	case comparable && sbj.onTrial(now):
		if scr := sbj.scoreOf(usl, minTrials, now); scr.Highest() >= suspectScore {
			sbj.score = scr
			sbj.suspectUntil = sbj.heardAt.Add(verdictLifetime)
		}
	}
	return sbj.Suspect() && now.Before(sbj.suspectUntil), Aged
}

// sortByHarm sorts upstreams by their scores, the worst first. Those that are suspect
// already come before others unless these are much worse.
func sortByHarm(bad []int, sbjs []*Subject) {
	harm := func(idx int) float64 {
		if sbjs[idx].Suspect() {
			return sbjs[idx].score.Highest() + clearScore
		}
		return sbjs[idx].score.Highest()
	}
	slices.SortFunc(bad, func(one, other int) int {
		return cmp.Or(cmp.Compare(harm(other), harm(one)), cmp.Compare(one, other))
	})
}
