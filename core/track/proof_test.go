package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/fleet"
	"lagoondrum/core/hop"
	"lagoondrum/core/intent"
)

// newMoved returns a balancer that starts after its route has moved from "feed",
// at VM 1, to "upload", at VM 2.
func newMoved(since time.Time) *bench {
	bch := &bench{fleet: fleet.New(), board: intent.NewBoard(since)}
	bch.adopt(2, "upload")
	bch.list(1, "feed", 1)
	bch.list(2, "upload", 1)
	bch.Table = New("z", narrowLink, bch.board, bch.fleet)
	return bch
}

// deny has agents say that they do not hold the flow.
func (bch *bench) deny(now time.Time, vms ...int) []Action {
	var last []Action
	for _, num := range vms {
		last = bch.tell(hop.New(hop.Absent, bch.fleet.Agent(vm(num)).ServiceID(), keyOf(1)), vm(num), now)
	}
	return last
}

// A balancer that starts after a route has moved does not know the service that
// the route's open flows are at.
func TestYoungBalancerAsksEveryService(t *testing.T) {
	bch := newMoved(start)
	asked := sends(bch.data(1, start))
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, asked[0].Agent(), vm(2))
	acts := bch.deny(start, 2)
	assertResets(t, acts)
	assert.Equal(t, sends(acts)[0].Agent(), vm(1))
	found := sends(bch.tell(hop.New(hop.Held, feed, keyOf(1)).WithSeq(5000), vm(1), start))
	assert.Equal(t, found[0].Agent(), vm(1))
	assert.Equal(t, found[0].Header().Service(), feed)
}

func TestFlowIsResetWhenEveryServiceDeniesIt(t *testing.T) {
	bch := newMoved(start)
	bch.data(1, start)
	assertResets(t, bch.deny(start, 2))
	assertResets(t, bch.deny(start, 1), AllDenied)
}

// An agent that was down when it was asked is asked as soon as it is heard.
func TestAgentThatIsHeardAgainIsAsked(t *testing.T) {
	bch := newBench(2)
	bch.data(1, start)
	bch.deny(start, 1)
	bch.AskAgain(bch.fleet.Agent(vm(2)))
	bch.AskAgain(bch.fleet.Agent(vm(1)))
	bch.Ask(start.Add(time.Second))
	asked := sends(bch.Take())
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, asked[0].Agent(), vm(2))
}

// A packet is tried only at services that its route is known to have led to.
func TestNoTryAtAServiceThatTheRouteNeverLedTo(t *testing.T) {
	bch := newMoved(start)
	bch.data(1, start)
	bch.deny(start, 2)
	assert.Equal(t, len(sends(bch.tell(hop.New(hop.Unsure, feed, keyOf(1)), vm(1), start))), 0)
	for now := start; now.Before(start.Add(2 * seekTime)); now = now.Add(10 * time.Millisecond) {
		bch.fleet.Agent(vm(1)).NoteHeard(hop.NewBeat(feed, 1, 1), now)
		bch.Tick(now)
		acts := bch.Take()
		assertResets(t, acts)
		for _, act := range sends(acts) {
			assert.Equal(t, act.Header().Kind(), hop.Seek)
		}
	}
}

// A balancer that has known all routes for longer than flows live, and heard that
// nothing changed since the packet came, needs not ask the other services.
func TestDenialOfKnownServicesIsProof(t *testing.T) {
	now := start.Add(time.Hour)
	for name, tc := range map[string]struct {
		since     time.Time
		confirmed time.Time
		reset     bool
	}{
		"the state is confirmed":         {start, now.Add(time.Millisecond), true},
		"the state was confirmed before": {start, now.Add(-time.Millisecond), false},
		"the balancer is young":          {now, now.Add(time.Millisecond), false},
	} {
		t.Run(name, func(t *testing.T) {
			bch := newMoved(tc.since)
			bch.fleet.Agent(vm(1)).NoteHeard(hop.NewBeat(feed, 1, 1), now)
			bch.data(1, now)
			bch.board.Confirm(tc.confirmed)
			var want []Cause
			if tc.reset {
				want = []Cause{AllDenied}
			}
			assertResets(t, bch.deny(now.Add(2*time.Millisecond), 2), want...)
		})
	}
}

// A lagging balancer does not know a route that others have opened flows on.
func TestFlowOfAnUnknownRouteIsSought(t *testing.T) {
	bch := newMoved(start)
	bch.adopt(3, "")
	bch.board = intent.NewBoard(start)
	bch.adopt(1, "")
	bch.Table = New("z", narrowLink, bch.board, bch.fleet)
	acts := bch.data(1, start)
	assertResets(t, acts)
	assert.Equal(t, len(sends(acts)), 2)
	assertResets(t, bch.deny(start, 1, 2), AllDenied)
}

// In a large fleet questions to everybody would fill the links: without proof the
// flow is left alone.
func TestLargeFleetWaitsForConfirmation(t *testing.T) {
	bch := newMoved(start)
	for num := range wideLimit {
		bch.listAt([4]byte{10, 1, byte(num >> 8), byte(num)})
	}
	now := start.Add(time.Hour)
	bch.data(1, now)
	acts := bch.deny(now, 2)
	assertResets(t, acts)
	assert.Equal(t, len(sends(acts)), 0)
	bch.board.Confirm(now.Add(time.Second))
	bch.Tick(now.Add(time.Second))
	assertResets(t, bch.Take(), AllDenied)
}
