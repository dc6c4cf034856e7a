package share

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

const ms = time.Millisecond

var (
	start = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	short = flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443) // A route of short requests.
	long  = flow.NewEndpoint([4]byte{198, 18, 0, 2}, 443)
	rival = flow.NewEndpoint([4]byte{198, 18, 0, 3}, 443) // A route whose requests keep coming.
)

// learned returns an order that knows that short requests take 10 ms, long ones 70 ms.
func learned() *Order {
	ord := New()
	for range 40 * fewAnswers {
		ord.work.Note(short, 10*ms)
		ord.work.Note(long, 70*ms)
		ord.work.Note(rival, 10*ms)
	}
	ord.work.byRoute[short].deviation, ord.work.byRoute[long].deviation, ord.work.byRoute[rival].deviation, ord.work.all.deviation = 0, 0, 0, 0
	return ord
}

// demand returns that of a later request of a flow, whose objective ends after a time.
func demand(address flow.Endpoint, priority uint8, client byte, left time.Duration) Demand {
	key := flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 0, client}, 1001), address)
	return NewDemand(key, false, priority, start.Add(left), start.Add(time.Second))
}

func (dmd Demand) opening() Demand {
	dmd.first = true
	return dmd
}

// slots returns slots of which one is free now and the others after the given times.
func slots(after ...time.Duration) []time.Time {
	free := []time.Time{start}
	for _, wait := range after {
		free = append(free, start.Add(wait))
	}
	return free
}

func assertProspects(t *testing.T, pln Plan, first int, want ...Prospect) {
	t.Helper()
	assert.Equal(t, pln.First(), first)
	for idx, prs := range want {
		assert.Equal(t, pln.Prospect(idx), prs, "demand %d", idx)
	}
}

func TestPlan(t *testing.T) {
	gone := demand(short, 2, 1, 500*ms)
	gone.givenUpAt = start.Add(15 * ms)
	gone.objectiveDue = start
	for name, tc := range map[string]struct {
		demands []Demand
		free    []time.Time
		first   int
		want    []Prospect
	}{
		"who can wait waits":                   {[]Demand{demand(short, 1, 1, 400*ms), demand(short, 2, 2, 20*ms)}, slots(), 1, []Prospect{Timely, Timely}},
		"the lower priority is late":           {[]Demand{demand(short, 2, 1, 12*ms), demand(short, 1, 2, 15*ms)}, slots(), 1, []Prospect{Late, Timely}},
		"a second slot serves both":            {[]Demand{demand(short, 2, 1, 12*ms), demand(short, 1, 2, 15*ms)}, slots(0), 0, []Prospect{Timely, Timely}},
		"a slot that is free later does not":   {[]Demand{demand(short, 2, 1, 12*ms), demand(short, 1, 2, 15*ms)}, slots(20 * ms), 1, []Prospect{Late, Timely}},
		"long work is late":                    {[]Demand{demand(long, 2, 1, 75*ms), demand(short, 2, 2, 75*ms), demand(short, 2, 3, 75*ms)}, slots(), 1, []Prospect{Late, Timely, Timely}},
		"long work of a much higher priority":  {[]Demand{demand(long, 0, 1, 75*ms), demand(short, 3, 2, 75*ms)}, slots(), 0, []Prospect{Timely, Late}},
		"long work of a higher priority":       {[]Demand{demand(long, 1, 1, 75*ms), demand(short, 2, 2, 75*ms)}, slots(), 1, []Prospect{Late, Timely}},
		"first requests stand back":            {[]Demand{demand(short, 2, 1, 12*ms).opening(), demand(short, 2, 2, 12*ms)}, slots(), 1, []Prospect{Late, Timely}},
		"late ones after those in time":        {[]Demand{demand(short, 1, 1, 0), demand(short, 2, 2, 100*ms)}, slots(), 1, []Prospect{Late, Timely}},
		"who has given up comes last":          {[]Demand{gone, demand(short, 2, 2, 0)}, []time.Time{start.Add(10 * ms)}, 1, []Prospect{Hopeless, Late}},
		"late ones get what is left":           {[]Demand{demand(short, 1, 1, 15*ms), gone}, slots(), 0, []Prospect{Timely, Hopeless}},
		"who has closed the flow comes last":   {[]Demand{demand(short, 1, 1, 100*ms).WithClosed(), gone}, []time.Time{start.Add(10 * ms)}, 1, []Prospect{Hopeless, Hopeless}},
		"of a client with many one is late":    {[]Demand{demand(short, 2, 1, 25*ms), demand(short, 2, 1, 25*ms), demand(short, 2, 2, 25*ms)}, slots(), 1, []Prospect{Late, Timely, Timely}},
		"also when the others came after them": {[]Demand{demand(short, 2, 2, 25*ms), demand(short, 2, 1, 25*ms), demand(short, 2, 1, 25*ms)}, slots(), 0, []Prospect{Timely, Late, Timely}},
	} {
		t.Run(name, func(t *testing.T) {
			assertProspects(t, learned().Plan(tc.demands, tc.free, start), tc.first, tc.want...)
		})
	}
}

// Work that differs by 20 ms leaves that much room before the objective.
func TestPlanLeavesRoomForSomewhatLongerWork(t *testing.T) {
	ord := learned()
	ord.work.byRoute[short].deviation = 20 * ms
	assertProspects(t, ord.Plan([]Demand{demand(short, 2, 1, 20*ms)}, slots(), start), 0, Late)
	assertProspects(t, ord.Plan([]Demand{demand(short, 2, 1, 40*ms)}, slots(), start), 0, Timely)
}

// An agent that restarts under load knows no work; then priority and deadline decide.
func TestPlanWithoutKnowledge(t *testing.T) {
	pln := New().Plan([]Demand{demand(long, 2, 1, 0), demand(long, 2, 1, 100*ms), demand(short, 1, 1, 100*ms)}, slots(), start)
	assertProspects(t, pln, 2, Late, Timely, Timely)
}

// However much of another route keeps coming, every route gets turns.
func TestNoRouteStarves(t *testing.T) {
	for name, starved := range map[string]Demand{
		"a lower priority":     demand(short, 3, 2, time.Second),
		"long work":            demand(long, 2, 2, time.Second),
		"first requests":       demand(short, 2, 2, time.Second).opening(),
		"all of it being late": demand(short, 2, 2, 0),
	} {
		t.Run(name, func(t *testing.T) {
			ord, turns := learned(), 0
			for range 4 * starvedTurns {
				dmds := []Demand{starved, demand(rival, 1, 1, 15*ms), demand(rival, 1, 3, 15*ms)}
				if ord.Next(dmds, slots(), start) == 0 {
					turns++
				}
			}
			assert.Equal(t, turns, 3)
		})
	}
	t.Run("not before it has waited", func(t *testing.T) {
		ord, rivals := learned(), []Demand{demand(rival, 1, 1, 15*ms), demand(rival, 1, 3, 15*ms)}
		for range 2 {
			assert.Assert(t, ord.Next(append(rivals, demand(short, 3, 2, time.Second)), slots(), start) < 2)
			for range 2 * starvedTurns {
				ord.Next(rivals, slots(), start)
			}
		}
	})
}

// Of clients that ask five and three times as often as others the ones beyond two stand
// back, as there is room for eight.
func TestFloodGainsNothing(t *testing.T) {
	ord := learned()
	var dmds []Demand
	for _, client := range []byte{1, 1, 1, 1, 1, 2, 2, 2, 3, 4, 5, 6} {
		dmds = append(dmds, demand(short, 2, client, 90*ms))
	}
	served := make(map[byte]int)
	for _, idx := range ord.Plan(dmds, slots(), start).timely {
		served[dmds[idx].client[3]]++
	}
	assert.DeepEqual(t, served, map[byte]int{1: 2, 2: 2, 3: 1, 4: 1, 5: 1, 6: 1})
}

func TestWork(t *testing.T) {
	wrk := learned().Work()
	t.Run("means of routes", func(t *testing.T) {
		assert.Assert(t, wrk.Mean(short) < 12*ms, "%v", wrk.Mean(short))
		assert.Assert(t, wrk.Mean(long) > 68*ms, "%v", wrk.Mean(long))
	})
	t.Run("a route without answers", func(t *testing.T) {
		other := flow.NewEndpoint([4]byte{198, 18, 0, 4}, 443)
		assert.Equal(t, wrk.Mean(other), wrk.all.mean)
	})
	t.Run("usual time left", func(t *testing.T) { assert.Assert(t, wrk.Left(long, 30*ms) < 45*ms) })
	t.Run("a long one lasts", func(t *testing.T) { assert.Equal(t, wrk.Left(long, 150*ms), 150*ms) })
	t.Run("one long answer does not turn the order", func(t *testing.T) {
		young := Work{}
		for range 3 {
			young.Note(short, 30*ms)
			young.Note(long, 30*ms)
		}
		young.Note(short, 210*ms)
		assert.Assert(t, young.Mean(short) < 2*young.Mean(long))
	})
	t.Run("bounded", func(t *testing.T) {
		for num := range 2 * maxRoutes {
			wrk.Note(flow.NewEndpoint([4]byte{198, 19, byte(num >> 8), byte(num)}, 443), ms)
		}
		assert.Assert(t, len(wrk.byRoute) <= maxRoutes)
	})
}

// BenchmarkNext measures the choice among as many requests as wait at an agent after a
// loss of power, and among ten times as many.
func BenchmarkNext(b *testing.B) {
	for _, count := range []int{30, 300} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			ord := learned()
			var dmds []Demand
			for num := range count {
				dmds = append(dmds, demand([]flow.Endpoint{short, rival}[num%2], uint8(1+num%2), byte(num), time.Duration(num%30)*5*ms))
			}
			free := slots(5 * ms)
			b.ReportAllocs()
			for b.Loop() {
				ord.Next(dmds, free, start)
			}
		})
	}
}
