package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/intent"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func putUpstream(flt *Fleet, id, service string, vm byte, draining bool, startMillis int64) {
	flt.PutEntry(NewUpstream(Listing{ID: id, Service: service, Address: [4]byte{10, 0, 0, vm}, Slots: 4, Draining: draining, StartMillis: startMillis}, start), start)
}

// assertServes checks the IDs of a service's upstreams.
func assertServes(t *testing.T, flt *Fleet, service string, ids ...string) {
	t.Helper()
	got := []string{}
	for _, agt := range flt.Service(service) {
		got = append(got, agt.Upstream().ID())
	}
	assert.DeepEqual(t, got, append([]string{}, ids...))
}

func TestAddressBelongsToLatestUpstream(t *testing.T) {
	flt := New()
	putUpstream(flt, "b", "upload", 1, false, 2)
	putUpstream(flt, "a", "feed", 1, false, 1)
	assertServes(t, flt, "upload", "b")
	assertServes(t, flt, "feed")
}

// Guards against an entry of another writer that takes the address of an upstream,
// whose agent is then no longer asked for its flows.
func TestEntryOfAnUnnamedServiceTakesNoAddress(t *testing.T) {
	naming := func(version uint64, services ...string) *intent.State {
		return intent.NewState(version, nil, time.Second).WithServices(services)
	}
	for name, tc := range map[string]struct {
		list func(flt *Fleet)
		want []string // Upstreams of the named service.
	}{
		"that comes later": {func(flt *Fleet) {
			flt.SetState(naming(1, "feed"))
			putUpstream(flt, "a", "feed", 1, false, 1)
			putUpstream(flt, "foreign", "unnamed", 1, false, 2)
		}, []string{"a"}},
		"that comes first": {func(flt *Fleet) {
			flt.SetState(naming(1, "feed"))
			putUpstream(flt, "foreign", "unnamed", 1, false, 2)
			putUpstream(flt, "a", "feed", 1, false, 1)
		}, []string{"a"}},
		"that comes before the state": {func(flt *Fleet) {
			putUpstream(flt, "a", "feed", 1, false, 1)
			putUpstream(flt, "foreign", "unnamed", 1, false, 2)
			flt.SetState(naming(1, "feed"))
		}, []string{"a"}},
		"until a state names it": {func(flt *Fleet) {
			flt.SetState(naming(1, "feed"))
			putUpstream(flt, "a", "feed", 1, false, 1)
			putUpstream(flt, "foreign", "unnamed", 1, false, 2)
			flt.SetState(naming(2, "feed", "unnamed"))
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			flt := New()
			tc.list(flt)
			assertServes(t, flt, "feed", tc.want...)
			assert.Equal(t, flt.Len(), 1)
		})
	}
}

// Guards against an entry of another writer that keeps an address for ever, because no
// successor can have started later.
func TestStartFarInTheFutureTakesNoAddress(t *testing.T) {
	flt := New()
	putUpstream(flt, "foreign", "upload", 1, false, start.Add(2*maxClockLead).UnixMilli())
	putUpstream(flt, "a", "feed", 1, false, start.UnixMilli())
	assertServes(t, flt, "feed", "a")
	putUpstream(flt, "b", "feed", 1, false, start.Add(maxClockLead/2).UnixMilli())
	assertServes(t, flt, "feed", "b")
}

// Flows of a service that is no longer named may still be open.
func TestUpstreamOfAFormerServiceIsKept(t *testing.T) {
	flt := New()
	putUpstream(flt, "a", "feed", 1, false, 1)
	flt.SetState(intent.NewState(1, nil, time.Second).WithServices([]string{"upload"}))
	assertServes(t, flt, "feed", "a")
}

// During an outage of the platform entries lapse although their upstreams run.
func TestLapsedEntryIsKeptForAWhile(t *testing.T) {
	for name, tc := range map[string]struct {
		draining bool
		heard    bool
		after    time.Duration
		want     []string
	}{
		"its agent is alive":    {false, true, lapseGrace - time.Millisecond, []string{"a"}},
		"lapseGrace has passed": {false, true, lapseGrace, nil},
		"its agent is silent":   {false, false, lapseGrace - time.Millisecond, nil},
		"it was draining":       {true, true, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			flt := New()
			putUpstream(flt, "a", "feed", 1, tc.draining, 1)
			flt.RemoveEntry("a", start)
			now := start.Add(tc.after)
			if agt := flt.Agent([4]byte{10, 0, 0, 1}); agt != nil {
				agt.NoteMessageSent(start)
				if tc.heard {
					agt.NoteHeard(encap.NewHeartbeat(1, 1, 1), now)
				}
			}
			flt.Tick(now)
			assertServes(t, flt, "feed", tc.want...)
		})
	}
}

func TestLapsedEntryThatReturns(t *testing.T) {
	flt := New()
	putUpstream(flt, "a", "feed", 1, false, 1)
	flt.RemoveEntry("a", start)
	putUpstream(flt, "a", "feed", 1, false, 1)
	flt.Tick(start.Add(2 * lapseGrace))
	assertServes(t, flt, "feed", "a")
}

func TestAgentHealth(t *testing.T) {
	for name, tc := range map[string]struct {
		event        func(agt *Agent)
		usable       bool
		sound, alive bool // After two seconds.
	}{
		"heartbeat":          {func(agt *Agent) { agt.NoteHeard(encap.NewHeartbeat(1, 1, 1), start.Add(2*time.Second)) }, true, true, true},
		"unanswered message": {func(agt *Agent) { agt.NoteMessageSent(start) }, true, false, false},
		"announced restart":  {func(agt *Agent) { agt.NoteHeard(encap.NewHeartbeat(1, 1, 1).WithLeaving(true), start) }, false, false, true},
		"upstream down": {func(agt *Agent) {
			agt.NoteHeard(encap.NewHeartbeat(1, 1, 1).WithUpstreamDown(), start.Add(2*time.Second))
		}, false, false, true},
		"unanswered opening": {func(agt *Agent) {
			agt.NoteHeard(encap.NewHeartbeat(1, 1, 1), start.Add(2*time.Second))
			agt.NoteOpeningUnanswered(start.Add(1900 * time.Millisecond))
		}, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			flt := New()
			putUpstream(flt, "a", "feed", 1, false, 1)
			agt := flt.Agent([4]byte{10, 0, 0, 1})
			tc.event(agt)
			now := start.Add(2 * time.Second)
			assert.Equal(t, agt.Usable(now), tc.usable)
			assert.Equal(t, agt.Healthy(now), tc.sound)
			assert.Equal(t, !agt.Dead(now), tc.alive)
		})
	}
}

// In a large fleet a round of heartbeats takes seconds. An agent that was sent no
// message meanwhile is not dead, and is kept when its entry lapses.
func TestIdleAgentIsNotDead(t *testing.T) {
	flt := New()
	putUpstream(flt, "a", "feed", 1, false, 1)
	agt := flt.Agent([4]byte{10, 0, 0, 1})
	agt.NoteHeard(encap.NewHeartbeat(1, 1, 1), start)
	later := start.Add(2 * DeadTimeout)
	assert.Assert(t, !agt.Dead(later))
	flt.RemoveEntry("a", later)
	flt.Tick(later.Add(lapseGrace / 2))
	assertServes(t, flt, "feed", "a")
	agt.NoteMessageSent(later)
	assert.Assert(t, agt.Dead(later.Add(DeadTimeout)))
}

// Guards against new flows to an upstream that had left before the store returned from
// a copy, which lists it.
func TestDoubtfulUpstream(t *testing.T) {
	doubtful := func(id string, startMillis int64) *Upstream {
		return NewUpstream(Listing{ID: id, Service: "feed", Address: [4]byte{10, 0, 0, 1}, Slots: 4, StartMillis: startMillis}, start).WithDoubt()
	}
	for name, tc := range map[string]struct {
		event  func(flt *Fleet, agt *Agent)
		usable bool
	}{
		"nothing heard": {func(*Fleet, *Agent) {}, false},
		"its agent is heard": {func(_ *Fleet, agt *Agent) {
			agt.NoteHeard(encap.NewHeartbeat(encap.ServiceID("feed"), 1, 1), start)
		}, true},
		"the agent of another service is heard": {func(_ *Fleet, agt *Agent) {
			agt.NoteHeard(encap.NewHeartbeat(encap.ServiceID("upload"), 1, 1), start)
		}, false},
		"its entry is written again": {func(flt *Fleet, _ *Agent) { putUpstream(flt, "a", "feed", 1, false, 1) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			flt := New()
			flt.PutEntry(doubtful("a", 1), start)
			tc.event(flt, flt.Agent([4]byte{10, 0, 0, 1}))
			assert.Equal(t, flt.Agent([4]byte{10, 0, 0, 1}).Usable(start), tc.usable)
		})
	}
	t.Run("takes no address", func(t *testing.T) {
		flt := New()
		putUpstream(flt, "b", "feed", 1, false, 1)
		flt.PutEntry(doubtful("a", 2), start)
		assertServes(t, flt, "feed", "b")
	})
}
