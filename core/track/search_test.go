package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
)

// newFixtureAfterMove returns the table of a balancer that started after its
// route moved from "feed", at VM 1, to "upload", at VM 2. Its tracker lacks no
// state since the given time.
func newFixtureAfterMove(since time.Time) *fixture {
	fix := &fixture{fleet: fleet.New(), tracker: intent.NewTracker(since)}
	fix.adoptRoute(2, "upload")
	fix.listUpstream(1, "feed", 1)
	fix.listUpstream(2, "upload", 1)
	fix.Table = New("z", narrowLink, fix.tracker, fix.fleet)
	return fix
}

// deny has agents answer that they do not hold the flow, and returns the actions
// after the last answer.
func (fix *fixture) deny(now time.Time, vms ...int) []Action {
	var last []Action
	for _, num := range vms {
		last = fix.receive(encap.New(encap.Absent, fix.fleet.Agent(vmIP(num)).ServiceID(), flowKey(1)), vmIP(num), now)
	}
	return last
}

// A balancer that starts after a route has moved does not know which service holds
// the route's older flows, so it must query every service.
func TestNewBalancerQueriesEveryService(t *testing.T) {
	fix := newFixtureAfterMove(start)
	asked := sendActions(fix.sendData(1, start))
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, asked[0].Agent(), vmIP(2))
	acts := fix.deny(start, 2)
	assertResets(t, acts)
	assert.Equal(t, sendActions(acts)[0].Agent(), vmIP(1))
	found := sendActions(fix.receive(encap.New(encap.Held, feedID, flowKey(1)).WithSeq(5000), vmIP(1), start))
	assert.Equal(t, found[0].Agent(), vmIP(1))
	assert.Equal(t, found[0].Header().Service(), feedID)
}

func TestFlowIsResetWhenEveryServiceDeniesIt(t *testing.T) {
	fix := newFixtureAfterMove(start)
	fix.sendData(1, start)
	assertResets(t, fix.deny(start, 2))
	assertResets(t, fix.deny(start, 1), AllDenied)
}

// An agent that was down when it was queried is queried again as soon as it is
// heard. One that has answered is not.
func TestAgentThatIsHeardAgainIsQueried(t *testing.T) {
	fix := newFixture(2)
	fix.sendData(1, start)
	fix.deny(start, 1)
	fix.QueryAgain(fix.fleet.Agent(vmIP(2)))
	fix.QueryAgain(fix.fleet.Agent(vmIP(1)))
	fix.SendQueries(start.Add(time.Second))
	asked := sendActions(fix.TakeActions())
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, asked[0].Agent(), vmIP(2))
}

// Tries go only to agents of services that the flow's route is known to have led
// to. Others are only queried.
func TestNoTryAtAServiceOutsideTheRoute(t *testing.T) {
	fix := newFixtureAfterMove(start)
	fix.sendData(1, start)
	fix.deny(start, 2)
	assert.Equal(t, len(sendActions(fix.receive(encap.New(encap.Unsure, feedID, flowKey(1)), vmIP(1), start))), 0)
	for now := start; now.Before(start.Add(2 * searchTimeout)); now = now.Add(10 * time.Millisecond) {
		fix.fleet.Agent(vmIP(1)).NoteHeard(encap.NewHeartbeat(feedID, 1, 1), now)
		fix.Tick(now)
		acts := fix.TakeActions()
		assertResets(t, acts)
		for _, act := range sendActions(acts) {
			assert.Equal(t, act.Header().Kind(), encap.Seek)
		}
	}
}

// After all processes were killed nobody knows where a route led before. An agent
// whose upstream sends packets of the route's flows shows it.
func TestTryAtAServiceThatServesTheAddress(t *testing.T) {
	fix := newFixtureAfterMove(start)
	fix.sendData(1, start)
	fix.deny(start, 2)
	unsure := encap.New(encap.Unsure, feedID, flowKey(1)).WithSeq(encap.UnsureSeq(true, time.Minute, 0))
	tried := sendActions(fix.receive(unsure, vmIP(1), start))
	assert.Equal(t, len(tried), 1)
	assert.Equal(t, tried[0].Agent(), vmIP(1))
	assert.Equal(t, tried[0].Header().Kind(), encap.Try)
	assert.Equal(t, tried[0].Header().Service(), feedID)
}

// A balancer need not query the other services if it has known all routes for
// longer than flows live, and if its state was confirmed to be the newest after the
// packet arrived.
func TestDenialByKnownServicesResetsTheFlow(t *testing.T) {
	now := start.Add(time.Hour)
	for name, tc := range map[string]struct {
		since     time.Time
		confirmed time.Time
		reset     bool
	}{
		"the state is confirmed":         {start, now.Add(time.Millisecond), true},
		"the state was confirmed before": {start, now.Add(-time.Millisecond), false},
		"the balancer has just started":  {now, now.Add(time.Millisecond), false},
	} {
		t.Run(name, func(t *testing.T) {
			fix := newFixtureAfterMove(tc.since)
			fix.fleet.Agent(vmIP(1)).NoteHeard(encap.NewHeartbeat(feedID, 1, 1), now)
			fix.sendData(1, now)
			fix.tracker.Confirm(tc.confirmed)
			var want []Cause
			if tc.reset {
				want = []Cause{AllDenied}
			}
			assertResets(t, fix.deny(now.Add(2*time.Millisecond), 2), want...)
		})
	}
}

// A balancer whose state lags may lack a route on which other balancers have opened
// flows, so it must search for a flow without a route instead of resetting it.
func TestFlowWithoutARouteIsSearchedFor(t *testing.T) {
	fix := newFixtureAfterMove(start)
	fix.adoptRoute(3, "")
	fix.tracker = intent.NewTracker(start)
	fix.adoptRoute(1, "")
	fix.Table = New("z", narrowLink, fix.tracker, fix.fleet)
	acts := fix.sendData(1, start)
	assertResets(t, acts)
	assert.Equal(t, len(sendActions(acts)), 2)
	assertResets(t, fix.deny(start, 1, 2), AllDenied)
}

// In a large fleet queries to every agent would fill the link. The flow is then not
// reset until the state is confirmed.
func TestLargeFleetWaitsForConfirmation(t *testing.T) {
	fix := newFixtureAfterMove(start)
	for num := range maxWidenedFleet {
		fix.listUnheard([4]byte{10, 1, byte(num >> 8), byte(num)})
	}
	now := start.Add(time.Hour)
	fix.sendData(1, now)
	acts := fix.deny(now, 2)
	assertResets(t, acts)
	assert.Equal(t, len(sendActions(acts)), 0)
	fix.tracker.Confirm(now.Add(time.Second))
	fix.Tick(now.Add(time.Second))
	assertResets(t, fix.TakeActions(), AllDenied)
}

// An upstream that was just added may hold a flow before this balancer knows it. The
// answers of the other agents show that the balancer lags.
func TestLaggingBalancerDoesNotResetFlows(t *testing.T) {
	fix := newFixture(1)
	fix.SetRevision(7, start)
	fix.sendData(1, start)
	denial := encap.New(encap.Absent, feedID, flowKey(1)).WithRevision(8)
	assertResets(t, fix.receive(denial, vmIP(1), start))
	fix.listUpstream(2, "feed", 1)
	fix.SetRevision(8, start)
	later := start.Add(searchInterval)
	fix.Tick(later)
	fix.SendQueries(later)
	asked := sendActions(fix.TakeActions())
	assert.Equal(t, asked[0].Agent(), vmIP(2))
	found := sendActions(fix.receive(encap.New(encap.Held, feedID, flowKey(1)).WithSeq(5000).WithRevision(8), vmIP(2), later))
	assert.Equal(t, found[0].Agent(), vmIP(2))
}

// The load after a loss of all processes: each flow is sought once, and its client's
// next try waits for the reset.
func TestSearchGoesOnWithoutWaiting(t *testing.T) {
	t.Run("the other agents are queried once those of the first round have denied", func(t *testing.T) {
		fix := newFixture(firstRoundAgents + 10)
		asked := sendActions(fix.sendData(1, start))
		assert.Equal(t, len(asked), firstRoundAgents)
		for _, act := range asked {
			acts := fix.receive(encap.New(encap.Absent, feedID, flowKey(1)), act.Agent(), start)
			assertResets(t, acts)
			asked = sendActions(acts)
		}
		assert.Equal(t, len(asked), 10)
		for _, act := range asked[1:] {
			assertResets(t, fix.receive(encap.New(encap.Absent, feedID, flowKey(1)), act.Agent(), start))
		}
		assertResets(t, fix.receive(encap.New(encap.Absent, feedID, flowKey(1)), asked[0].Agent(), start), AllDenied)
	})
	t.Run("a flow that all deny is reset when the state catches up", func(t *testing.T) {
		fix := newFixture(1)
		fix.SetRevision(7, start)
		fix.sendData(1, start)
		assertResets(t, fix.receive(encap.New(encap.Absent, feedID, flowKey(1)).WithRevision(8), vmIP(1), start))
		fix.SetRevision(8, start)
		assertResets(t, fix.TakeActions(), AllDenied)
	})
}

// The load after a loss of all processes again: the questions about flows that are
// sought at the same time share datagrams.
func TestQueriesToOneAgentShareDatagrams(t *testing.T) {
	fix := newFixture(1)
	assert.Equal(t, len(sendActions(fix.sendData(1, start))), 1)
	for num := 2; num < 10; num++ {
		assert.Equal(t, len(sendActions(fix.sendData(num, start.Add(time.Millisecond)))), 0)
	}
	fix.SendQueries(start.Add(queryPause))
	asked := sendActions(fix.TakeActions())
	assert.Equal(t, len(asked), 1)
	count := 0
	encap.EachQuery(asked[0].Packet(), func(flow.Key, uint32) { count++ })
	assert.Equal(t, count, 8)
}
