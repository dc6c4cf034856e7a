package warm_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/flows"
	"lagoondrum/core/intent"
	"lagoondrum/core/track"
	"lagoondrum/core/warm"
)

// The load: 20 balancers get three times the openings that a cold upstream may get.
const (
	balancerCount = 20
	rate          = 40.0
	limit         = 65 // In any second.
	demand        = 3 * limit
	playTime      = 6 * time.Second
)

var (
	start   = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	vm      = [4]byte{10, 0, 1, 1}
	address = flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	route   = intent.NewRoute("r", []intent.Share{intent.NewShare("feed", 1)})
	state   = intent.NewState(1, map[flow.Endpoint]*intent.Route{address: route}, time.Minute).WithColdRate("feed", rate)
)

// world is balancers, the agent of one service and its upstream, which answers every
// opening at once.
type world struct {
	now       time.Time
	fleets    [balancerCount]*fleet.Fleet
	tables    [balancerCount]*track.Table
	agent     *flows.Table
	delivered []time.Time // Openings that the upstream got.
	silent    bool        // The agent sends no heartbeats.
	openings  int
	resets    int
}

// newWorld returns a world whose agent has been running for long.
func newWorld(coldFor time.Duration) *world {
	wld := &world{now: start, agent: flows.New(encap.ServiceID("feed"), time.Minute, start, true)}
	wld.agent.Cold().SetLimit(limit, true, start.Add(-time.Hour))
	for i := range wld.tables {
		trk := intent.NewTracker(time.Time{})
		trk.Adopt(state, start)
		wld.fleets[i] = fleet.New()
		wld.fleets[i].SetState(state)
		wld.fleets[i].SetColdBounds(warm.NewBounds(1.5, 5))
		wld.tables[i] = track.New("z", 1e8, trk, wld.fleets[i])
	}
	wld.list("a", coldFor)
	return wld
}

// list publishes the upstream's entry.
func (wld *world) list(id string, coldFor time.Duration) {
	ups := fleet.NewUpstream(fleet.Listing{ID: id, Service: "feed", Address: vm, ColdFor: coldFor}, wld.now)
	for _, flt := range wld.fleets {
		flt.PutEntry(ups, wld.now)
	}
	wld.agent.Cold().SetEntry(ups.Incarnation(), ups.ColdUntil())
}

// play sends openings until the end. Events happen at their times after the start.
func (wld *world) play(events map[time.Duration]func()) {
	for due := 0.0; wld.now.Before(start.Add(playTime)); wld.now = wld.now.Add(time.Millisecond) {
		if event := events[wld.now.Sub(start)]; event != nil {
			event()
		}
		if wld.now.Sub(start)%(400*time.Millisecond) == 0 && !wld.silent {
			wld.sendHeartbeats()
		}
		for due += demand / 1000.0; due >= 1; due-- {
			wld.openings++
			wld.open(wld.openings * 7 % balancerCount)
		}
	}
}

// open sends the opening of another client to a balancer.
func (wld *world) open(blc int) {
	opening := flow.NewPacket(flow.NewEndpoint([4]byte{100, 64, byte(wld.openings >> 8), byte(wld.openings)}, 40001), address, flow.Syn, 100, 0, 0)
	wld.tables[blc].HandleClientPacket(opening, nil, wld.now)
	for acts := wld.tables[blc].TakeActions(); len(acts) > 0; acts = wld.tables[blc].TakeActions() {
		for _, act := range slices.Clone(acts) {
			if act.Kind() == track.Reset {
				wld.resets++
			}
			if act.Kind() == track.Send {
				wld.agent.HandleBalancerPacket(act.Header(), opening, nil, flow.NewEndpoint([4]byte{10}, 1), wld.now)
				wld.answer(blc)
			}
		}
	}
}

// answer carries out the actions of the agent, which a balancer has asked.
func (wld *world) answer(blc int) {
	for acts := wld.agent.TakeActions(); len(acts) > 0; acts = wld.agent.TakeActions() {
		for _, act := range slices.Clone(acts) {
			if act.Kind() == flows.ToUpstream {
				wld.delivered = append(wld.delivered, wld.now)
				wld.agent.HandleUpstreamPacket(flow.NewPacket(address, act.Key().Client(), flow.Syn|flow.Ack, 5000, 101, 0), nil, wld.now)
			}
			if act.Kind() == flows.ToBalancer {
				wld.fleets[blc].Agent(vm).NoteHeard(act.Header(), wld.now)
				wld.tables[blc].HandleAgentDatagram(act.Header(), nil, vm, wld.now)
			}
		}
	}
}

// sendHeartbeats has the agent report to every balancer.
func (wld *world) sendHeartbeats() {
	for _, flt := range wld.fleets {
		flt.Agent(vm).NoteHeard(encap.NewHeartbeat(1, 1, 1).WithLoad(wld.agent.Load(wld.now)), wld.now)
		if gat := wld.agent.Cold(); gat.Source(wld.now) != warm.NotCold {
			flt.Agent(vm).NoteColdReport(warm.NewReport(gat.Room(wld.now), limit, balancerCount), wld.now)
		}
	}
}

// assertLimited checks that the upstream got no more than the limit in any second that
// begins at a time or later, and at least its rate in each second from usedFrom on; and
// that every client was answered at once, with an open flow or a refusal.
func (wld *world) assertLimited(t *testing.T, from, usedFrom time.Duration) {
	t.Helper()
	t.Logf("openings %d, opened %d, refused %d", wld.openings, len(wld.delivered), wld.resets)
	assert.Equal(t, len(wld.delivered)+wld.resets, wld.openings)
	perSecond := make(map[time.Duration]int)
	for i, at := range wld.delivered {
		perSecond[at.Sub(start)/time.Second]++
		if i >= limit && !wld.delivered[i-limit].Before(start.Add(from)) {
			assert.Assert(t, at.Sub(wld.delivered[i-limit]) > time.Second, "second up to %v", at.Sub(start))
		}
	}
	for sec := usedFrom / time.Second; sec < playTime/time.Second; sec++ {
		assert.Assert(t, perSecond[sec] >= rate, "%d in second %d", perSecond[sec], sec)
	}
}

func TestColdUpstreamIsLimited(t *testing.T) {
	for name, tc := range map[string]struct {
		coldFor        time.Duration
		silent         bool
		events         func(wld *world) map[time.Duration]func()
		from, usedFrom time.Duration
	}{
		"from its start":  {coldFor: time.Minute},
		"without reports": {coldFor: time.Minute, silent: true},
		"while its entry lapses": {coldFor: time.Minute, events: func(wld *world) map[time.Duration]func() {
			return map[time.Duration]func(){4 * time.Second: func() {
				for _, flt := range wld.fleets {
					flt.RemoveEntry("a", wld.now)
				}
			}}
		}},
		"while its agent starts without state and entry": {coldFor: time.Minute, usedFrom: 4 * time.Second, events: func(wld *world) map[time.Duration]func() {
			return map[time.Duration]func(){
				2500 * time.Millisecond: func() { wld.agent = flows.New(encap.ServiceID("feed"), time.Minute, wld.now, false) },
				2900 * time.Millisecond: func() { wld.agent.Cold().SetLimit(limit, true, wld.now) },
				3100 * time.Millisecond: func() { wld.list("a", time.Minute) },
			}
		}},
		"after it started again, before its entry is known": {from: 2200 * time.Millisecond, usedFrom: 4 * time.Second, events: func(wld *world) map[time.Duration]func() {
			return map[time.Duration]func(){
				2000 * time.Millisecond: func() { wld.agent.HandleProbeResult(flows.NotRunning{}) },
				2200 * time.Millisecond: func() { wld.agent.HandleProbeResult(flows.Running{}) },
				3500 * time.Millisecond: func() { wld.list("b", time.Minute) },
			}
		}},
		"after the zone was taken back": {from: 2 * time.Second, events: func(wld *world) map[time.Duration]func() {
			return map[time.Duration]func(){2 * time.Second: func() { wld.list("a", time.Minute) }}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			wld := newWorld(tc.coldFor)
			wld.silent = tc.silent
			var events map[time.Duration]func()
			if tc.events != nil {
				events = tc.events(wld)
			}
			wld.play(events)
			wld.assertLimited(t, tc.from, tc.usedFrom)
		})
	}
}
