package picker

import (
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/judge"
)

// newJudgedFleet returns a fleet of six upstreams without load, of which the first is
// suspect: callers get only resets from it.
func newJudgedFleet() *fleet.Fleet {
	flt := newFleet("near", "near", "near", "near", "near", "near")
	address := flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	var sbjs []*judge.Subject
	for num, agt := range flt.Service("feed") {
		win := judge.NewWindow()
		for range 20 {
			if num == 0 {
				win.NoteReset(start)
			} else {
				win.NoteAnswer(address, 30_000_000, start)
			}
		}
		agt.Judged().Hear(win.Evidence(start), false, start)
		sbjs = append(sbjs, agt.Judged())
	}
	judge.Compare(sbjs, start)
	return flt
}

// flowsOfFirst returns how many of 6,400 flows the first upstream gets, which has no
// load, while the others have some requests.
func flowsOfFirst(flt *fleet.Fleet, requests int) int {
	count := 0
	for num := 1; num < 6; num++ {
		reportLoad(flt, num, requests)
	}
	for num := range 6400 {
		hash := FlowHash(flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 0, 1}, uint16(num)), flow.Endpoint{}))
		if choose(flt, hash, noneTried).IP()[3] == 0 {
			count++
		}
	}
	return count
}

func TestSuspectUpstreamGetsTrialFlowsOnly(t *testing.T) {
	got, trials := flowsOfFirst(newJudgedFleet(), 4), 6400/trialShare // It fails at once, so it looks idle.
	assert.Assert(t, got >= trials/2 && got <= 2*trials, "%d of 6400", got)
}

func TestSuspectUpstreamGetsFlowsWhenOthersAreFull(t *testing.T) {
	assert.Equal(t, flowsOfFirst(newJudgedFleet(), 4*judgedPenalty+8), 6400)
}

func TestSuccessorOfSuspectUpstreamIsNotSuspect(t *testing.T) {
	flt := newJudgedFleet()
	flt.PutEntry(fleet.NewUpstream(fleet.Listing{ID: "next", Service: "feed", Address: [4]byte{10, 0, 0, 0}, Zone: "near", Slots: 4, StartMillis: start.UnixMilli()}, start), start)
	agt := flt.Agent([4]byte{10, 0, 0, 0})
	assert.Equal(t, agt.Upstream().ID(), "next")
	assert.Assert(t, !agt.Judged().Suspect())
}
