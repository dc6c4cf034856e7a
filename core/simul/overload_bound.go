package simul

import (
	"slices"
	"time"
)

// boundJob is a request as the bound sees it.
type boundJob struct {
	releasedAt time.Time
	due        time.Time
	work       time.Duration
}

// LoadBound returns how many of the measured requests a scheduler could answer in
// time that knows all arrivals and service times in advance. All slots together act
// as one server that divides a request among them at will, and no time is lost
// between requests, so no policy reaches more.
func LoadBound(scn LoadScenario, seed uint64) int {
	run := playLoad(scn, seed)
	upAt := run.start.Add(scn.Outage)
	if scn.Outage > 0 {
		upAt = upAt.Add(minStartDelay)
	}
	capacity := &loadCapacity{upAt: upAt, slots: float64((scn.upstreams() - scn.Lost) * scn.Slots), factor: 1}
	if scn.Outage > 0 {
		capacity.coldUntil, capacity.factor = run.start.Add(scn.Outage+scn.Cold), scn.ColdFactor
	}
	var jobs []boundJob
	objective := time.Duration(0)
	for _, cls := range scn.Classes {
		objective = max(objective, cls.Objective) // With one objective for all, requests that come later are also due later.
	}
	for _, req := range run.measured() {
		jobs = append(jobs, boundJob{releasedAt: req.heardFrom(upAt).Add(callerDelay + hopDelay), due: req.startedAt.Add(objective - callerDelay), work: req.work})
	}
	return mostInTime(jobs, capacity)
}

// heardFrom returns when the request's caller first sends a packet that can lead to
// an answer, if the system is up from upAt on: a copy of its opening, or, for a
// request on a flow that the outage ended, the opening of another flow after the
// reset of that one.
func (req *loadRequest) heardFrom(upAt time.Time) time.Time {
	if req.onLostFlow {
		for sentAt, wait := req.startedAt, firstRepeat; ; sentAt, wait = sentAt.Add(wait), min(2*wait, maxRepeat) {
			if !sentAt.Before(upAt) {
				return sentAt.Add(2*callerDelay + minRetryDelay)
			}
		}
	}
	for _, offset := range openingCopies {
		if sentAt := req.startedAt.Add(offset); !sentAt.Before(upAt) {
			return sentAt
		}
	}
	return req.startedAt.Add(openingGivenUp + minRetryDelay)
}

// loadCapacity is the work that all slots together do over time.
type loadCapacity struct {
	upAt      time.Time
	coldUntil time.Time
	factor    float64
	slots     float64
}

// finish returns when an amount of work ends that begins at start and runs on all
// slots.
func (cpc *loadCapacity) finish(start time.Time, work time.Duration) time.Time {
	share := time.Duration(float64(work) / cpc.slots)
	if !start.Before(cpc.coldUntil) {
		return start.Add(share)
	}
	cold := time.Duration(float64(share) * cpc.factor)
	if end := start.Add(cold); !end.After(cpc.coldUntil) {
		return end
	}
	done := time.Duration(float64(cpc.coldUntil.Sub(start)) / cpc.factor)
	return cpc.coldUntil.Add(share - done)
}

// mostInTime returns how many jobs end by their due times at most. Jobs that are
// released later are also due later, so the largest set is found by adding them in
// this order and, whenever the last one would be late, leaving out the one without
// which the rest ends first (Kise, Ibaraki and Mine, 1978).
func mostInTime(jobs []boundJob, capacity *loadCapacity) int {
	slices.SortStableFunc(jobs, func(one, other boundJob) int { return one.due.Compare(other.due) })
	var taken []boundJob
	count := 0
	for _, job := range jobs {
		if job.releasedAt.Add(job.work).After(job.due) {
			continue // Late even on a slot of its own.
		}
		if len(taken) > 0 && !capacity.endOf(taken, -1).After(job.releasedAt) {
			count += len(taken) // The server is idle: what was taken no longer matters.
			taken = taken[:0]
		}
		taken = append(taken, job)
		if capacity.endOf(taken, -1).After(job.due) {
			least := capacity.leastUseful(taken)
			taken = slices.Delete(taken, least, least+1)
		}
	}
	return count + len(taken)
}

// endOf returns when all jobs but one end.
func (cpc *loadCapacity) endOf(jobs []boundJob, without int) time.Time {
	end := cpc.upAt
	for i, job := range jobs {
		if i == without {
			continue
		}
		if job.releasedAt.After(end) {
			end = job.releasedAt
		}
		end = cpc.finish(end, job.work)
	}
	return end
}

// leastUseful returns the index of the job without which the others end first.
func (cpc *loadCapacity) leastUseful(jobs []boundJob) int {
	best, first := 0, time.Time{}
	for i := range jobs {
		if end := cpc.endOf(jobs, i); first.IsZero() || end.Before(first) {
			best, first = i, end
		}
	}
	return best
}
