package share

import (
	"cmp"
	"slices"
	"time"
)

// starvedTurns is after how many turns of others a group gets the next one, so that
// every route is served in a lasting overload too.
const starvedTurns = 32

// Order decides which of the requests that wait for an upstream is served next.
type Order struct {
	work    Work
	turns   int
	waiting map[group]int // The turn at which a group that waits was served last, or began to wait.
}

// New returns an order without knowledge of any route's work.
func New() *Order { return &Order{} }

// Work returns what is known of the routes' work.
func (ord *Order) Work() *Work { return &ord.work }

// Plan is the order in which demands are served, by their indices, as far as it is
// known now.
type Plan struct {
	timely   []int // Answered within their objectives.
	late     []int // Answered before they are given up.
	hopeless []int // Not answered in time to anybody, the closed ones last.
}

// Timely reports whether an answer within its objective is expected for any demand.
func (pln Plan) Timely() bool { return len(pln.timely) > 0 }

// Prospect is what a request can expect.
type Prospect uint8

// The prospects.
const (
	Unplanned Prospect = iota
	Timely             // An answer within its objective.
	Late               // An answer before it is given up.
	Hopeless           // No answer in time to anybody.
	prospectEnd
)

var prospectNames = [prospectEnd]string{"unplanned", "timely", "late", "hopeless"}

// String returns the prospect's name in logs.
func (prs Prospect) String() string { return prospectNames[prs] }

// Prospect returns what a demand of the plan can expect.
func (pln Plan) Prospect(idx int) Prospect {
	switch {
	case slices.Contains(pln.timely, idx):
		return Timely
	case slices.Contains(pln.late, idx):
		return Late
	case slices.Contains(pln.hopeless, idx):
		return Hopeless
	default:
		return Unplanned
	}
}

// First returns the index of the demand that is served first, -1 without any.
func (pln Plan) First() int {
	for _, idxs := range [][]int{pln.timely, pln.late, pln.hopeless} {
		if len(idxs) > 0 {
			return idxs[0]
		}
	}
	return -1
}

// Plan plans the demands, which are in order of arrival, over slots that become free at
// the given times. First come as many as can meet their objectives, then as many of the
// others as can be answered before they are given up. While all can meet a deadline the
// earliest one goes first: who can wait and still be in time waits. Where not all can,
// the ones with the least benefit for their work stand back, and among those that can
// meet their objectives the greatest benefit for the work goes first, since those that
// come meanwhile may leave no capacity for the others.
func (ord *Order) Plan(dmds []Demand, free []time.Time, now time.Time) Plan {
	free = slices.Clone(free)
	for i, at := range free {
		if at.Before(now) {
			free[i] = now
		}
	}
	var waiting, closed []int
	for i := range dmds {
		dmds[i].work = max(ord.work.Mean(dmds[i].address), minWork)
		dmds[i].deviation = ord.work.Deviation(dmds[i].address)
		dmds[i].perWork = dmds[i].benefit() / dmds[i].work.Seconds()
		if dmds[i].closed {
			closed = append(closed, i)
		} else {
			waiting = append(waiting, i)
		}
	}
	var pln Plan
	var rest []int
	pln.timely, rest = fit(dmds, waiting, free, (*Demand).objectiveDeadline)
	if len(rest) > 0 {
		slices.SortStableFunc(pln.timely, func(one, other int) int { return compareLoss(&dmds[one], &dmds[other]) })
	}
	for _, idx := range pln.timely {
		occupy(free, dmds[idx].work)
	}
	pln.late, rest = fit(dmds, rest, free, (*Demand).timeout)
	pln.hopeless = append(rest, closed...)
	return pln
}

// objectiveDeadline returns by when the expected answer meets the objective also if the
// request needs somewhat more work than usual.
func (dmd *Demand) objectiveDeadline() time.Time { return dmd.objectiveDue.Add(-dmd.deviation) }

func (dmd *Demand) timeout() time.Time { return dmd.givenUpAt }

// countClients numbers the clients and returns how many demands each one has.
func countClients(dmds []Demand, idxs []int) []int {
	var counts []int
	nums := make(map[[4]byte]int)
	for _, idx := range idxs {
		num, known := nums[dmds[idx].client]
		if !known {
			num = len(counts)
			nums[dmds[idx].client] = num
			counts = append(counts, 0)
		}
		dmds[idx].clientNum = num
		counts[num]++
	}
	return counts
}

// fit returns which demands meet their deadlines together, in the order in which they
// are served, and the others in order of arrival. It adds them by deadline and, whenever
// one would be late, leaves out the one that stands back (Moore, 1968).
func fit(dmds []Demand, idxs []int, free []time.Time, due func(*Demand) time.Time) (kept, rest []int) {
	kept = slices.Clone(idxs)
	slices.SortStableFunc(kept, func(one, other int) int { return due(&dmds[one]).Compare(due(&dmds[other])) })
	counts, slots := countClients(dmds, kept), slices.Clone(free)
	for {
		copy(slots, free)
		missed := firstMissed(dmds, kept, slots, due)
		if missed < 0 {
			break
		}
		least := 0
		for i := 1; i <= missed; i++ {
			if dmds[kept[i]].standsBack(&dmds[kept[least]], counts) {
				least = i
			}
		}
		counts[dmds[kept[least]].clientNum]--
		rest = append(rest, kept[least])
		kept = slices.Delete(kept, least, least+1)
	}
	slices.Sort(rest)
	return kept, rest
}

// firstMissed returns the position of the first demand that misses its deadline on the
// slots, which it fills, or -1.
func firstMissed(dmds []Demand, kept []int, slots []time.Time, due func(*Demand) time.Time) int {
	for i, idx := range kept {
		if occupy(slots, dmds[idx].work).After(due(&dmds[idx])) {
			return i
		}
	}
	return -1
}

// occupy gives work to the slot that is free first, and returns when it ends.
func occupy(free []time.Time, work time.Duration) time.Time {
	earliest := 0
	for i, at := range free {
		if at.Before(free[earliest]) {
			earliest = i
		}
	}
	free[earliest] = free[earliest].Add(work)
	return free[earliest]
}

// compareLoss orders demands by what is lost if they stand back, the greatest loss
// first: by the benefit for the work. Among equals later requests of flows go before
// first ones, whose clients may have failed on another flow and be late already.
func compareLoss(one, other *Demand) int {
	switch {
	case one.perWork != other.perWork:
		return cmp.Compare(other.perWork, one.perWork)
	case one.first != other.first && other.first:
		return -1
	case one.first != other.first:
		return 1
	default:
		return 0
	}
}

// standsBack reports whether a demand stands back before other, if one of them must.
// Among equals that is one of the client which has the most waiting, so that asking
// more often gains nothing.
func (dmd *Demand) standsBack(other *Demand, ofClient []int) bool {
	if order := compareLoss(dmd, other); order != 0 {
		return order > 0
	}
	return ofClient[dmd.clientNum] > ofClient[other.clientNum]
}

// Next returns the index of the demand to serve next. A group that waits while many
// others are served gets a turn.
func (ord *Order) Next(dmds []Demand, free []time.Time, now time.Time) int {
	pln := ord.Plan(dmds, free, now)
	next := pln.First()
	ord.turns++
	longest := starvedTurns
	waiting := make(map[group]int)
	for _, idx := range slices.Concat(pln.timely, pln.late) {
		grp := dmds[idx].group()
		last, known := ord.waiting[grp]
		if !known {
			last = ord.turns
		}
		waiting[grp] = last
		if ord.turns-last > longest {
			longest, next = ord.turns-last, idx
		}
	}
	waiting[dmds[next].group()] = ord.turns
	ord.waiting = waiting
	return next
}
