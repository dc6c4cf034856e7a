package warm

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)

const testLimit = 5

// openMany asks for more openings than the limit and returns how many the gate allowed.
func openMany(gat *Gate, now time.Time) int {
	allowed := 0
	for range 3 * testLimit {
		if gat.Open(now) {
			gat.Count(now)
			allowed++
		}
	}
	return allowed
}

func TestLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		rate, overage, slack float64
		limit                int
		limited              bool
	}{
		"stated":            {20, 1.5, 5, 35, true},
		"below one":         {0.2, 1.5, 0, 0, true},
		"far too high":      {math.MaxFloat64, 1.5, 5, maxLimit, true},
		"negative rate":     {-1, 1.5, 5, 0, false},
		"rate is no number": {math.NaN(), 1.5, 5, 0, false},
		"no bounds":         {20, 0, 5, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			limit, ok := NewBounds(tc.overage, tc.slack).Limit(tc.rate)
			assert.Equal(t, limit, tc.limit)
			assert.Equal(t, ok, tc.limited)
		})
	}
}

// What cannot be refused counts too, also beyond the limit, and a changed limit forgets
// nothing of what was counted.
func TestWindowKeepsWhatWasCounted(t *testing.T) {
	for name, limit := range map[string]int{"same": testLimit, "raised": 2 * testLimit, "lowered": 2, "nothing": 0} {
		t.Run(name, func(t *testing.T) {
			gat := NewGate()
			gat.SetLimit(testLimit, true, start.Add(-time.Hour))
			gat.SetEntry("a", start.Add(time.Minute))
			for range 2 * testLimit {
				gat.Count(start)
			}
			gat.SetLimit(limit, true, start.Add(time.Millisecond))
			assert.Equal(t, openMany(&gat, start.Add(time.Second)), 0)
			assert.Equal(t, openMany(&gat, start.Add(span)), limit)
			assert.Equal(t, gat.TakeRefused(), 6*testLimit-limit)
		})
	}
}

func TestSource(t *testing.T) {
	for name, tc := range map[string]struct {
		set  func(gat *Gate)
		want Source // A second after the start.
	}{
		"no limit is stated":               {func(gat *Gate) { gat.SetLimit(0, false, start); gat.SetEntry("a", start.Add(time.Minute)) }, NotCold},
		"entry says warm":                  {func(*Gate) {}, NotCold},
		"entry says cold":                  {func(gat *Gate) { gat.SetEntry("b", start.Add(time.Minute)) }, FromEntry},
		"an opening tells":                 {func(gat *Gate) { gat.NoteTold(testLimit, start) }, FromOpener},
		"upstream was down":                {func(gat *Gate) { gat.NoteDown() }, Presumed},
		"upstream was down, and old entry": {func(gat *Gate) { gat.NoteDown(); gat.SetEntry("a", start) }, Presumed},
		"upstream was down, and new entry": {func(gat *Gate) { gat.NoteDown(); gat.SetEntry("b", start) }, NotCold},
	} {
		t.Run(name, func(t *testing.T) {
			gat := NewGate()
			gat.SetLimit(testLimit, true, start)
			gat.SetEntry("a", start)
			tc.set(&gat)
			assert.Equal(t, gat.Source(start.Add(time.Second)), tc.want)
		})
	}
}

// An upstream whose entry never comes is not limited for ever.
func TestPresumptionEnds(t *testing.T) {
	gat := NewGate()
	gat.SetLimit(testLimit, true, start)
	assert.Equal(t, openMany(&gat, start), 0) // What it got before is unknown.
	assert.Equal(t, openMany(&gat, start.Add(presumption)), 3*testLimit)
}

func TestRoom(t *testing.T) {
	const limit = 20
	report := func(room, balancers int) Room {
		rep, _ := ParseReport(NewReport(room, limit, balancers).Append(nil))
		return NewRoom(rep, start)
	}
	for name, tc := range map[string]struct {
		room Room
		want time.Duration
	}{
		"room is reported":   {report(1, 1), 0},
		"shared with others": {report(1, 2), 50 * time.Millisecond},
		"used since":         {report(1, 1).Sent(limit, start), 50 * time.Millisecond},
		"without a report":   {Room{}, 0},
		"refused":            {report(9, 1).Refused(limit, start), 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.room.Wait(limit, start), tc.want)
			assert.Equal(t, tc.room.Wait(limit, start.Add(tc.want)), time.Duration(0))
		})
	}
}

func BenchmarkGate(b *testing.B) {
	gat := NewGate()
	gat.SetLimit(80, true, start)
	gat.SetEntry("a", start.Add(time.Hour))
	for b.Loop() {
		if gat.Open(start.Add(time.Minute)) {
			gat.Count(start)
		}
	}
}
