package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/intent"
)

// Agents of the service that the flow's route leads to now, and the agent of the one
// that it led to before, which nobody knows any more.
const (
	presentAgents = 6
	formerAgent   = 9
)

// trials are the agents whose upstreams got a packet of the test flow, with the time.
type trials map[[4]byte]time.Time

// newFixtureAfterLoss returns the table of a balancer that knows neither the former
// service of its route nor since when it has led to the present one.
func newFixtureAfterLoss() *fixture {
	fix := &fixture{fleet: fleet.New(), tracker: intent.NewTracker(start)}
	fix.adoptRoute(2, "upload")
	for num := range presentAgents {
		fix.listUpstream(num+1, "upload", 1)
	}
	fix.listUpstream(formerAgent, "feed", 1)
	fix.Table = New("z", narrowLink, fix.tracker, fix.fleet)
	return fix
}

// answer answers the actions of a balancer as agents do that cannot tell whether their
// upstream holds the flow, and whose upstream does not. Agents of silent do not answer
// queries.
func (trs trials) answer(fix *fixture, acts []Action, now time.Time, silent ...int) {
	for queue := sendActions(acts); len(queue) > 0; queue = queue[1:] {
		ip, agt := queue[0].Agent(), fix.fleet.Agent(queue[0].Agent())
		hdr := encap.New(encap.Unsure, agt.ServiceID(), flowKey(1)).WithSeq(encap.UnsureSeq(false, now.Sub(start)))
		for _, num := range silent {
			if ip == vmIP(num) && queue[0].Header().Kind() != encap.Try {
				agt = nil
			}
		}
		if agt == nil {
			continue
		}
		if _, tried := trs[ip]; !tried && queue[0].Header().Kind() == encap.Try {
			trs[ip] = now
		}
		if at, tried := trs[ip]; tried {
			hdr = encap.New(encap.Absent, agt.ServiceID(), flowKey(1)).WithSeq(encap.TriedSeq(now.Sub(at)))
		}
		queue = append(queue, sendActions(fix.receive(hdr, ip, now))...)
	}
}

// play lets a balancer handle a packet of the flow, and then time pass until its
// search gives up.
func (trs trials) play(fix *fixture, now time.Time, silent ...int) {
	trs.answer(fix, fix.sendData(1, now), now, silent...)
	for until := now.Add(searchTimeout); now.Before(until); now = now.Add(10 * time.Millisecond) {
		for _, agt := range fix.fleet.All() {
			agt.NoteHeard(encap.NewHeartbeat(agt.ServiceID(), 1, 1), now)
		}
		fix.Tick(now)
		fix.SendQueries(now)
		trs.answer(fix, fix.TakeActions(), now, silent...)
	}
}

// assertWithinLimit checks that no window has more tries than may be sent blindly.
func (trs trials) assertWithinLimit(t *testing.T) {
	t.Helper()
	for _, from := range trs {
		count := 0
		for _, at := range trs {
			if !at.Before(from) && at.Before(from.Add(2*time.Second)) {
				count++
			}
		}
		assert.Assert(t, count <= maxBlindTries, "%d tries within 2 s", count)
	}
	assert.Assert(t, len(trs) > 0)
}

// Guards against a flow whose packets reach three wrong upstreams, because several
// balancers try them without knowing of each other.
func TestBalancersTogetherLimitTries(t *testing.T) {
	later := start.Add(2 * startupTime)
	ready := func() *fixture {
		fix := newFixtureAfterLoss()
		fix.Tick(start)
		return fix
	}
	t.Run("one after the other", func(t *testing.T) {
		trs := trials{}
		for num := range 4 {
			trs.play(ready(), later.Add(time.Duration(num)*300*time.Millisecond))
		}
		trs.assertWithinLimit(t)
	})
	t.Run("at the same time", func(t *testing.T) {
		trs, first, second := trials{}, ready(), ready()
		acts, others := first.sendData(1, later), second.sendData(1, later)
		trs.answer(first, acts, later)
		trs.answer(second, others, later)
		trs.assertWithinLimit(t)
	})
	t.Run("when an agent answers only one of them", func(t *testing.T) {
		for num := range presentAgents {
			trs := trials{}
			trs.play(ready(), later, num+1)
			trs.play(ready(), later.Add(100*time.Millisecond))
			trs.assertWithinLimit(t)
		}
	})
	t.Run("when the agents that were tried restart", func(t *testing.T) {
		trs := trials{}
		trs.play(ready(), later)
		assert.Equal(t, len(trs), maxBlindTries)
		fix, restartedAt := ready(), later.Add(time.Second)
		acts := fix.sendData(1, restartedAt.Add(100*time.Millisecond))
		for _, act := range sendActions(acts) {
			since := start
			if _, tried := trs[act.Agent()]; tried {
				since = restartedAt
			}
			now := restartedAt.Add(100 * time.Millisecond)
			unsure := encap.New(encap.Unsure, fix.fleet.Agent(act.Agent()).ServiceID(), flowKey(1)).WithSeq(encap.UnsureSeq(false, now.Sub(since)))
			for _, next := range sendActions(fix.receive(unsure, act.Agent(), now)) {
				assert.Assert(t, next.Header().Kind() != encap.Try)
			}
		}
	})
	t.Run("until the window has passed", func(t *testing.T) {
		trs := trials{}
		trs.play(ready(), later)
		assert.Equal(t, len(trs), maxBlindTries)
		trs.play(ready(), later.Add(2*tryWindow))
		assert.Equal(t, len(trs), 2*maxBlindTries)
		trs.assertWithinLimit(t)
	})
}
