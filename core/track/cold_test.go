package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/warm"
)

// newColdFixture returns a table whose upstreams are all cold.
func newColdFixture(agents int) *fixture {
	fix := newFixture(0)
	fix.fleet.SetState(fix.tracker.State().WithColdRate("feed", 20))
	fix.fleet.SetColdBounds(warm.NewBounds(1.5, 5))
	for num := range agents {
		fix.fleet.PutEntry(fleet.NewUpstream(fleet.Listing{ID: string(rune('a' + num)), Service: "feed", Address: vmIP(num + 1), ColdFor: time.Minute}, start), start)
		fix.setLoad(num+1, 0, start)
	}
	return fix
}

// refuseAll has every agent that is asked refuse, and returns how many were asked and
// whether the client was reset.
func (fix *fixture) refuseAll(num int, rsn encap.Reason) (asked int, reset bool) {
	acts := fix.sendOpeningPacket(num, 0, start)
	for len(acts) > 0 && acts[0].Kind() == Send {
		asked++
		acts = fix.receive(encap.New(encap.Refused, feedID, flowKey(num)).WithReason(rsn), acts[0].Agent(), start)
		reset = acts[len(acts)-1].Kind() == Reset
		acts = sendActions(acts)
	}
	return asked, reset
}

// The load: all upstreams of a service have just started, and more openings come than
// they bear. What cannot be served is refused at once, without asking them all.
func TestFlowThatColdUpstreamsCannotTakeIsRefusedAtOnce(t *testing.T) {
	fix := newColdFixture(6)
	for num, want := range []int{6, maxColdRefusals, maxColdRefusals} { // The first finds out that none has room.
		asked, reset := fix.refuseAll(num, encap.ColdLimit)
		assert.Assert(t, reset)
		assert.Equal(t, asked, want)
	}
}

func TestColdRefusalIsNoEvidence(t *testing.T) {
	fix := newColdFixture(1)
	fix.refuseAll(1, encap.ColdLimit)
	assert.Assert(t, fix.fleet.Agent(vmIP(1)).Healthy(start))
	fix.refuseAll(2, encap.Bounced)
	assert.Assert(t, !fix.fleet.Agent(vmIP(1)).Healthy(start))
}
