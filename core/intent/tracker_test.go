package intent

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAdoptRejectsOlderVersions(t *testing.T) {
	trk := NewTracker(start)
	assert.Assert(t, trk.Adopt(state(5, "feed"), start))
	assert.Assert(t, !trk.Adopt(state(4, "upload"), start))
	assert.Assert(t, !trk.Adopt(state(5, "upload"), start))
	assert.Equal(t, trk.State().Route(address).Pick(0), "feed")
}

func TestCandidateServicesIncludeFormerServices(t *testing.T) {
	trk := NewTracker(start)
	trk.Adopt(state(1, "feed"), start)
	trk.Adopt(state(2, "upload"), start)
	assertCandidateServices(t, trk, "feed", "upload")
	trk.Adopt(state(3, "other"), start.Add(formerRetention))
	assertCandidateServices(t, trk, "other", "upload")
}

// assertCandidateServices checks which services may hold open flows of the address.
func assertCandidateServices(t *testing.T, trk *Tracker, want ...string) {
	t.Helper()
	got := trk.CandidateServices(address)
	slices.Sort(got)
	slices.Sort(want)
	assert.DeepEqual(t, got, want)
}

// A flow may stay open while its route changes its service several times.
func TestCandidateServicesIncludeAllFormerServices(t *testing.T) {
	trk := NewTracker(start)
	for version, service := range []string{"a", "b", "a", "c", "b"} {
		trk.Adopt(state(uint64(version+1), service), start)
	}
	assertCandidateServices(t, trk, "a", "b", "c")
}

func TestMergeHistoryCompletesNewTracker(t *testing.T) {
	peer := NewTracker(time.Time{})
	peer.Adopt(state(1, "feed"), start)
	peer.Adopt(state(2, "upload"), start.Add(10*time.Second))

	now := start.Add(20 * time.Second)
	trk := NewTracker(now)
	trk.Adopt(state(2, "upload"), now)
	assertCandidateServices(t, trk, "upload")
	assert.Assert(t, !trk.Complete(now))
	trk.MergeHistory(peer.History(now), now)
	assertCandidateServices(t, trk, "feed", "upload")
	assert.Assert(t, trk.Complete(now))
	assert.Equal(t, len(peer.History(now.Add(formerRetention)).FormerServices()), 0)
}

func TestHistoryWithGapIsIncomplete(t *testing.T) {
	now := start.Add(time.Hour)
	for name, tc := range map[string]struct {
		since    time.Duration // Age of the other process's history.
		covered  time.Duration // Time since this tracker is known to have missed no state.
		complete bool
	}{
		"peer history is long enough":          {2 * maxFlowLifetime, time.Second, true},
		"peer history is short, no gap":        {2 * time.Second, time.Second, true},
		"peer history is short, gap before it": {time.Second, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			trk := NewTracker(start)
			trk.MergeHistory(NewHistory(now.Add(-tc.since), nil), now.Add(-tc.covered))
			assert.Equal(t, trk.Complete(now), tc.complete)
		})
	}
	t.Run("platform dropped its history", func(t *testing.T) {
		trk := NewTracker(start)
		trk.NoteGap(now)
		assert.Assert(t, !trk.Complete(now.Add(maxFlowLifetime-1)))
		assert.Assert(t, trk.Complete(now.Add(maxFlowLifetime)))
	})
}
