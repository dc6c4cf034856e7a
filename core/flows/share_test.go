package flows

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
	"lagoondrum/core/queue"
	"lagoondrum/core/share"
)

// newSharedTable returns a full table whose requests wait by cost, with a known work of
// its route.
func newSharedTable(t *testing.T, work time.Duration) *Table {
	t.Helper()
	tbl := newFullTable(t)
	tbl.ShareByCost(true)
	for range 20 {
		tbl.admission.order.Work().Note(address, work)
	}
	return tbl
}

// Only a request that has a slot to itself tells its work; the one behind it waited.
func TestWorkIsLearnedFromRequestsAlone(t *testing.T) {
	tbl := newTable(true)
	tbl.SetSlots(1)
	tbl.ShareByCost(true)
	for port := range uint16(2) {
		acceptOpening(tbl, port, start)
		sendRequest(tbl, port, 5001, start)
	}
	sendAnswer(tbl, 0, start.Add(20*time.Millisecond))
	sendAnswer(tbl, 1, start.Add(50*time.Millisecond))
	assert.Equal(t, tbl.Work(address), 20*time.Millisecond)
}

// An opening that is not served before its client gives up is refused at once, with the
// reason; one that is late still waits. Neither has run.
func TestRefusalsByCost(t *testing.T) {
	for name, tc := range map[string]struct {
		waits   bool
		work    time.Duration
		refused bool
		want    share.Prospect
	}{
		"another agent may have capacity": {false, 20 * time.Millisecond, true, share.Timely},
		"it waits":                        {true, 20 * time.Millisecond, false, share.Timely},
		"it is late":                      {true, 200 * time.Millisecond, false, share.Late},
		"its client would give up":        {true, time.Second, true, share.Hopeless},
	} {
		t.Run(name, func(t *testing.T) {
			tbl := newSharedTable(t, tc.work)
			acts := openFlow(tbl, 9, tc.waits, start)
			if !tc.refused {
				assertActionCount(t, acts, ToUpstream, 1)
				assert.Equal(t, acts[0].Kind(), ToUpstream)
				return
			}
			assert.Equal(t, acts[0].Kind(), NoteRefused)
			assert.Equal(t, acts[0].Prospect(), tc.want)
			assertNotified(t, acts, encap.Refused)
			assertActionCount(t, acts, ToUpstream, 0)
		})
	}
}

// A request that runs for longer than usual keeps its slot: what waits behind it is
// planned with the slots that are left.
func TestLongRequestsTakeTheirSlot(t *testing.T) {
	tbl := newSharedTable(t, 20*time.Millisecond)
	free := func(after time.Duration) time.Duration {
		now := start.Add(after)
		return tbl.slotsFree(now)[0].Sub(now)
	}
	assert.Assert(t, free(0) <= 40*time.Millisecond, "%v", free(0))
	assert.Assert(t, free(100*time.Millisecond) >= 100*time.Millisecond, "%v", free(100*time.Millisecond))
	sendAnswer(tbl, 1, start.Add(time.Millisecond)) // The other one still runs.
	assert.Equal(t, free(10*time.Millisecond), 10*time.Millisecond)
}

// A request that will be late only gets a free slot.
func TestLateRequestsWaitForAFreeSlot(t *testing.T) {
	tbl := newSharedTable(t, 300*time.Millisecond)
	acceptOpening(tbl, 9, start)
	sendRequest(tbl, 9, 5001, start)
	tbl.TakeActions()
	for port, delivered := range []int{0, 1} {
		sendAnswer(tbl, uint16(port), start.Add(10*time.Millisecond))
		assertActionCount(t, tbl.TakeActions(), ToUpstream, delivered)
	}
}

// A request that waits on an open flow is never refused, whatever comes before it, as
// that would end the flow.
func TestRequestsOnOpenFlowsAreNotRefused(t *testing.T) {
	tbl := newSharedTable(t, 20*time.Millisecond)
	acceptOpening(tbl, 9, start)
	for range 20 {
		tbl.admission.order.Work().Note(address, 5*time.Second)
	}
	sendRequest(tbl, 9, 5001, start)
	acts := tbl.TakeActions()
	assertActionCount(t, acts, NoteQueued, 1)
	assert.Equal(t, acts[0].Prospect(), share.Hopeless)
	assert.Equal(t, tbl.Queued(), 1)
}

// A balancer that floods an agent with requests of one client takes nothing from the
// clients of others: theirs are still planned in time. Switched off, nothing is planned.
func TestFloodOfABalancer(t *testing.T) {
	for on, want := range map[bool]share.Prospect{true: share.Timely, false: share.Unplanned} {
		tbl := newSharedTable(t, 20*time.Millisecond)
		for port := range uint16(100) {
			acceptOpening(tbl, 1000+port, start)
			sendRequest(tbl, 1000+port, 5001, start)
		}
		tbl.ShareByCost(on)
		other := flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 9, 9}, 7), address)
		prs := tbl.prospect(queue.New(other, true, flow.NewUrgency(1, 250*time.Millisecond, requestTimeout), start), start)
		assert.Equal(t, prs, want)
	}
}
