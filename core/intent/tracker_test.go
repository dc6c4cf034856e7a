package intent

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAdoptRejectsOlderVersions(t *testing.T) {
	brd := NewTracker(start)
	assert.Assert(t, brd.Adopt(state(5, "feed"), start))
	assert.Assert(t, !brd.Adopt(state(4, "upload"), start))
	assert.Assert(t, !brd.Adopt(state(5, "upload"), start))
	assert.Equal(t, brd.State().Route(address).Pick(0), "feed")
}

func TestCandidateServicesIncludeFormerServices(t *testing.T) {
	brd := NewTracker(start)
	brd.Adopt(state(1, "feed"), start)
	brd.Adopt(state(2, "upload"), start)
	assertHolders(t, brd, "feed", "upload")
	brd.Adopt(state(3, "other"), start.Add(formerRetention))
	assertHolders(t, brd, "other", "upload")
}

// assertHolders checks which services may hold open flows of the address.
func assertHolders(t *testing.T, brd *Tracker, want ...string) {
	t.Helper()
	got := brd.CandidateServices(address)
	slices.Sort(got)
	slices.Sort(want)
	assert.DeepEqual(t, got, want)
}

// A flow may stay open while its route changes its service several times.
func TestCandidateServicesIncludeAllFormerServices(t *testing.T) {
	brd := NewTracker(start)
	for version, service := range []string{"a", "b", "a", "c", "b"} {
		brd.Adopt(state(uint64(version+1), service), start)
	}
	assertHolders(t, brd, "a", "b", "c")
}

func TestMergeHistoryCompletesNewTracker(t *testing.T) {
	peer := NewTracker(time.Time{})
	peer.Adopt(state(1, "feed"), start)
	peer.Adopt(state(2, "upload"), start.Add(10*time.Second))

	now := start.Add(20 * time.Second)
	brd := NewTracker(now)
	brd.Adopt(state(2, "upload"), now)
	assertHolders(t, brd, "upload")
	assert.Assert(t, !brd.Complete(now))
	brd.MergeHistory(peer.History(now), now)
	assertHolders(t, brd, "feed", "upload")
	assert.Assert(t, brd.Complete(now))
	assert.Equal(t, len(peer.History(now.Add(formerRetention)).FormerServices()), 0)
}

func TestHistoryWithGapIsIncomplete(t *testing.T) {
	now := start.Add(time.Hour)
	for name, tc := range map[string]struct {
		since    time.Duration // Age of the other process's history.
		covered  time.Duration // Time since this board is known to have missed no state.
		complete bool
	}{
		"peer history is long enough":          {2 * maxFlowLifetime, time.Second, true},
		"peer history is short, no gap":        {2 * time.Second, time.Second, true},
		"peer history is short, gap before it": {time.Second, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			brd := NewTracker(start)
			brd.MergeHistory(NewHistory(now.Add(-tc.since), nil), now.Add(-tc.covered))
			assert.Equal(t, brd.Complete(now), tc.complete)
		})
	}
	t.Run("platform dropped its history", func(t *testing.T) {
		brd := NewTracker(start)
		brd.NoteGap(now)
		assert.Assert(t, !brd.Complete(now.Add(maxFlowLifetime-1)))
		assert.Assert(t, brd.Complete(now.Add(maxFlowLifetime)))
	})
}
