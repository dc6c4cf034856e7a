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

// readersOf counts the balancers of a fleet that read the platform, when the state
// was confirmed an age ago and each balancer has heartbeats of those that heard
// selects, with the platform reachable for those that reachable selects.
func readersOf(fleet int, age time.Duration, reachable, heard func(num int) bool) int {
	count := 0
	for self := range fleet {
		pol := NewReaderPolicy(balancerIP(self), true, seedsOf())
		pol.NoteConfirmed(start.Add(-age))
		for num := range fleet {
			if num != self && heard(num) {
				pol.NotePeer(balancerIP(num), reachable(num), false, start)
			}
		}
		if pol.Reads(start) {
			count++
		}
	}
	return count
}

func all(int) bool        { return true }
func none(int) bool       { return false }
func isSeed(num int) bool { return num < 3 }

// The number of readers stays small in a large fleet, whose balancers receive few
// of each other's heartbeats.
func TestReaderCountIsBounded(t *testing.T) {
	for _, fleet := range []int{4, 59, 580} {
		assert.Equal(t, readersOf(fleet, time.Second, all, isSeed), ReaderCount)
		assert.Assert(t, readersOf(fleet, time.Second, all, none) <= 3)
	}
}

func TestThirdSeedReplacesFailedReader(t *testing.T) {
	for num := range 3 {
		assert.Equal(t, readersOf(59, time.Second, func(at int) bool { return at != num }, isSeed) >= ReaderCount, true)
	}
}

// When no seed reads, the other balancers become backup readers one after the
// other, until the heartbeats of other readers reach them.
func TestBackupReadersTakeOver(t *testing.T) {
	assert.Equal(t, readersOf(59, StaleAfter-time.Millisecond, none, none), 3) // The seeds, which keep trying.
	first := readersOf(59, StaleAfter+takeoverStagger, none, none)
	assert.Assert(t, first > 3 && first < 20, first)
	assert.Equal(t, readersOf(59, StaleAfter+takeoverSlots*takeoverStagger, none, none), 59)

	pol := NewReaderPolicy(balancerIP(9), true, seedsOf())
	pol.NoteConfirmed(start.Add(-2 * StaleAfter))
	assert.Assert(t, pol.Reads(start))
	pol.NoteCall(true, start)
	assert.Assert(t, pol.Reads(start.Add(time.Second)), "no other reader is known")
	pol.NotePeer(balancerIP(0), true, true, start)
	pol.NotePeer(balancerIP(1), true, true, start)
	assert.Assert(t, !pol.Reads(start))
	assert.Assert(t, !pol.Reads(start.Add(2*peerTimeout)), "a backup reader must not resume while the state is fresh")
}

// Backup readers wait between attempts while the platform answers nobody.
func TestBackupReadersBackOff(t *testing.T) {
	pol := NewReaderPolicy(balancerIP(9), true, seedsOf())
	pol.NoteConfirmed(start.Add(-2 * StaleAfter))
	pol.NoteCall(false, start)
	assert.Assert(t, !pol.Reads(start.Add(backupRetryInterval-1)))
	assert.Assert(t, pol.Reads(start.Add(backupRetryInterval)))
}

func TestAgentsReadWhenTheStateIsStale(t *testing.T) {
	for name, tc := range map[string]struct {
		age  time.Duration
		want bool
	}{
		"fresh": {StaleAfter, false},
		"stale": {StaleAfter + 2*takeoverSlots*takeoverStagger, true},
	} {
		t.Run(name, func(t *testing.T) {
			pol := NewReaderPolicy(balancerIP(1), false, seedsOf())
			pol.NoteConfirmed(start.Add(-tc.age))
			assert.Equal(t, pol.Reads(start), tc.want)
		})
	}
}

// When the whole system starts, the seeds read the platform first and the others
// ask the seeds afterwards.
func TestSeedsBootstrapFirst(t *testing.T) {
	assert.Equal(t, NewReaderPolicy(balancerIP(0), true, seedsOf()).BootstrapAt(start), start)
	for num := range 100 {
		for _, balancer := range []bool{false, true} {
			at := NewReaderPolicy(balancerIP(10+num), balancer, seedsOf()).BootstrapAt(start)
			assert.Assert(t, !at.Before(start.Add(bootstrapDelay)) && at.Before(start.Add(3*time.Second)), at)
		}
	}
	assert.Assert(t, NewReaderPolicy(balancerIP(9), false, seedsOf()).Reads(start))
}
