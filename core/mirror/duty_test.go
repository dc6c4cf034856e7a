package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func balancerIP(num int) [4]byte { return [4]byte{10, 0, byte(num >> 8), byte(num)} }

// seedsOf returns the first three balancers.
func seedsOf() [][4]byte { return [][4]byte{balancerIP(0), balancerIP(1), balancerIP(2)} }

// readersOf counts which of a fleet's balancers read, when each has heard those
// that hear says and the state is of an age.
func readersOf(fleet int, age time.Duration, able, hear func(num int) bool) int {
	count := 0
	for self := range fleet {
		dty := NewDuty(balancerIP(self), true, seedsOf())
		dty.NoteConfirmed(start.Add(-age))
		for num := range fleet {
			if num != self && hear(num) {
				dty.NotePeer(balancerIP(num), able(num), false, start)
			}
		}
		if dty.Reads(start) {
			count++
		}
	}
	return count
}

func all(int) bool        { return true }
func none(int) bool       { return false }
func isSeed(num int) bool { return num < 3 }

// However large the fleet, and although its balancers seldom hear each other, few
// of them read.
func TestFewBalancersRead(t *testing.T) {
	for _, fleet := range []int{4, 59, 580} {
		assert.Equal(t, readersOf(fleet, time.Second, all, isSeed), Readers)
		assert.Assert(t, readersOf(fleet, time.Second, all, none) <= 3)
	}
}

func TestThirdSeedReadsInPlaceOfOne(t *testing.T) {
	for num := range 3 {
		assert.Equal(t, readersOf(59, time.Second, func(at int) bool { return at != num }, isSeed) >= Readers, true)
	}
}

// When no seed reads, others stand in one after the other, until they hear of
// each other.
func TestOthersStandIn(t *testing.T) {
	assert.Equal(t, readersOf(59, StaleTime-time.Millisecond, none, none), 3) // The seeds, which try.
	first := readersOf(59, StaleTime+takeoverStep, none, none)
	assert.Assert(t, first > 3 && first < 20, first)
	assert.Equal(t, readersOf(59, StaleTime+takeoverSteps*takeoverStep, none, none), 59)

	dty := NewDuty(balancerIP(9), true, seedsOf())
	dty.NoteConfirmed(start.Add(-2 * StaleTime))
	assert.Assert(t, dty.Reads(start))
	dty.NoteCall(true, start)
	assert.Assert(t, dty.Reads(start.Add(time.Second)), "nobody else is known to read")
	dty.NotePeer(balancerIP(0), true, true, start)
	dty.NotePeer(balancerIP(1), true, true, start)
	assert.Assert(t, !dty.Reads(start))
	assert.Assert(t, !dty.Reads(start.Add(2*peerTime)), "it has stepped back")
}

// While the platform answers nobody, those that stand in try seldom.
func TestStandInsTrySeldom(t *testing.T) {
	dty := NewDuty(balancerIP(9), true, seedsOf())
	dty.NoteConfirmed(start.Add(-2 * StaleTime))
	dty.NoteCall(false, start)
	assert.Assert(t, !dty.Reads(start.Add(standInRetry-1)))
	assert.Assert(t, dty.Reads(start.Add(standInRetry)))
}

func TestAgentsReadWhenTheStateIsStale(t *testing.T) {
	for name, tc := range map[string]struct {
		age  time.Duration
		want bool
	}{
		"fresh": {StaleTime, false},
		"stale": {StaleTime + 2*takeoverSteps*takeoverStep, true},
	} {
		t.Run(name, func(t *testing.T) {
			dty := NewDuty(balancerIP(1), false, seedsOf())
			dty.NoteConfirmed(start.Add(-tc.age))
			assert.Equal(t, dty.Reads(start), tc.want)
		})
	}
}

// When the whole system starts, the seeds read the platform and the others ask
// them.
func TestSeedsAskFirst(t *testing.T) {
	assert.Equal(t, NewDuty(balancerIP(0), true, seedsOf()).FirstAt(start), start)
	for num := range 100 {
		for _, balancer := range []bool{false, true} {
			at := NewDuty(balancerIP(10+num), balancer, seedsOf()).FirstAt(start)
			assert.Assert(t, !at.Before(start.Add(firstWait)) && at.Before(start.Add(3*time.Second)), at)
		}
	}
	assert.Assert(t, NewDuty(balancerIP(9), false, seedsOf()).Reads(start))
}
