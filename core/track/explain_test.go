package track

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/encap"
	"lagoondrum/core/evac"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
)

// splitRoute adopts a route that two services share.
func (fix *fixture) splitRoute() {
	shrs := []intent.Share{intent.NewShare("feed", 3), intent.NewShare("upload", 1)}
	fix.tracker.Adopt(intent.NewState(2, map[flow.Endpoint]*intent.Route{serviceAddr: intent.NewRoute("r", shrs)}, 15*time.Second), start)
}

func ipOf(agt *fleet.Agent) [4]byte {
	if agt == nil {
		return [4]byte{}
	}
	return agt.IP()
}

// assertExplained explains the opening of a flow twice, has its client send it, and
// checks that it goes where explained; and, refused, to the next one that was explained.
func (fix *fixture) assertExplained(t *testing.T, num int, rsn encap.Reason) {
	t.Helper()
	exp, again := fix.Explain(flowKey(num), start), fix.Explain(flowKey(num), start)
	assert.Equal(t, exp.Cause(), Asked)
	assert.Equal(t, exp.Services()[0].Candidates()[0].Agent(), exp.Asked())
	assert.Equal(t, again.Services()[0].Candidates()[0].Cost(), exp.Services()[0].Candidates()[0].Cost())
	want := ipOf(exp.Asked())
	assert.Equal(t, ipOf(again.Asked()), want)
	sent := fix.sendOpeningPacket(num, 0, start)
	assert.Equal(t, sent[0].Agent(), want)
	next := exp.Next()
	if rsn == encap.Full {
		next = exp.IfFull()
	}
	fix.fleet.Agent(want).NoteHeard(encap.NewHeartbeat(feedID, 1, 1).WithLoad(fix.fleet.Agent(want).Load()), start) // A refusal carries a load report.
	sent = sendActions(fix.receive(encap.New(encap.Refused, feedID, flowKey(num)).WithReason(rsn), want, start))
	got := [4]byte{}
	if len(sent) > 0 {
		got = sent[0].Agent()
	}
	assert.Equal(t, got, ipOf(next))
}

// The load: openings of many clients, each of which an operator asks about first.
func TestOpeningGoesWhereExplained(t *testing.T) {
	for name, build := range map[string]func() *fixture{
		"one agent":      func() *fixture { return newFixture(1) },
		"small service":  func() *fixture { return newFixture(5) },
		"large service":  func() *fixture { return newFixture(40) },
		"zones":          func() *fixture { return newZonesFixture(6, "z", "y", "x") },
		"cold upstreams": func() *fixture { return newColdFixture(20) },
		"evacuated zone": func() *fixture { fix := newZonesFixture(6, "z", "y"); fix.evacuate("z"); return fix },
		"several services": func() *fixture {
			fix := newFixture(12)
			fix.listUpstream(20, "upload", 1)
			fix.splitRoute()
			return fix
		},
	} {
		for _, rsn := range []encap.Reason{encap.Leaving, encap.Full} {
			t.Run(fmt.Sprint(name, " ", rsn), func(t *testing.T) {
				fix := build()
				for num := range 30 {
					for _, agt := range fix.fleet.All() {
						agt.NoteHeard(encap.NewHeartbeat(agt.ServiceID(), 1, 1).WithLoad(agt.Load()), start)
					}
					fix.assertExplained(t, num, rsn)
				}
			})
		}
	}
}

// A table that is asked for explanations decides as its twin that is not.
func TestExplainingChangesNothing(t *testing.T) {
	asked, twin := newZonesFixture(9, "z", "y"), newZonesFixture(9, "z", "y")
	asked.SetZonesWeighed(true)
	twin.SetZonesWeighed(true)
	for num := range 200 {
		now := start.Add(time.Duration(num) * rotateInterval / 50) // Hints that nothing uses are dropped meanwhile.
		before := *asked.chooser
		for other := range num {
			asked.Explain(flowKey(other), now)
		}
		asked.Explain(flow.NewKey(flow.Endpoint{}, serviceAddr), now)
		assert.Equal(t, *asked.chooser, before)
		for _, fix := range []*fixture{asked, twin} {
			fix.HandleClientPacket(flow.NewPacket(clientAt(num), serviceAddr, flow.Syn, 100, 0, 0), []byte("opening"), now)
			fix.Tick(now)
		}
		acts, twins := asked.TakeActions(), twin.TakeActions()
		assert.Equal(t, len(acts), len(twins))
		for i := range acts {
			assert.Equal(t, fmt.Sprint(acts[i]), fmt.Sprint(twins[i]))
		}
		assert.Equal(t, asked.Hints(), twin.Hints())
	}
}

func TestExplainedOutcome(t *testing.T) {
	for name, tc := range map[string]struct {
		build func() *fixture
		want  Cause
		left  map[fleet.Exclusion]int
	}{
		"no state": {func() *fixture {
			fix := &fixture{fleet: fleet.New(), tracker: intent.NewTracker(time.Time{})}
			fix.Table = New("z", narrowLink, fix.tracker, fix.fleet)
			return fix
		}, NoCause, nil},
		"no route":    {func() *fixture { fix := newFixture(1); fix.adoptRoute(2, ""); return fix }, NoRoute, nil},
		"no upstream": {func() *fixture { return newFixture(0) }, NoUpstream, nil},
		"all evacuated": {func() *fixture { fix := newZonesFixture(2, "z", "y"); fix.evacuate("z", "y"); return fix },
			AllEvacuated, map[fleet.Exclusion]int{fleet.Evacuated: 4}},
		"all leaving": {func() *fixture {
			fix := newFixture(1)
			fix.fleet.Agent(vmIP(1)).NoteHeard(encap.NewHeartbeat(feedID, 1, 1).WithLeaving(false), start)
			return fix
		}, NoUpstream, map[fleet.Exclusion]int{fleet.Leaving: 1}},
		"one of several": {func() *fixture {
			fix := newZonesFixture(2, "z", "y")
			fix.fleet.Evacuate(evac.NewOrder("y", 7, evac.Peer, start))
			return fix
		}, Asked, map[fleet.Exclusion]int{fleet.Evacuated: 2}},
	} {
		for _, key := range []flow.Key{flowKey(1), flow.NewKey(flow.Endpoint{}, serviceAddr)} {
			t.Run(name+" "+key.String(), func(t *testing.T) {
				exp := tc.build().Explain(key, start)
				assert.Equal(t, exp.Cause(), tc.want)
				left := map[fleet.Exclusion]int{}
				for _, ofr := range exp.Services() {
					for _, cnd := range ofr.LeftOut() {
						left[cnd.Exclusion()]++
					}
				}
				if tc.left == nil {
					tc.left = map[fleet.Exclusion]int{}
				}
				assert.DeepEqual(t, left, tc.left)
			})
		}
	}
}

func TestExplainedHint(t *testing.T) {
	fix := newFixture(3)
	assert.Assert(t, fix.Explain(flowKey(1), start).Hint() == nil)
	holder := fix.sendOpeningPacket(1, 0, start)[0].Agent()
	assertHint(t, fix, "opening", holder)
	fix.receive(encap.New(encap.Opened, feedID, flowKey(1)).WithSeq(5000), holder, start)
	assertHint(t, fix, "open", holder)
	fix.Tick(start.Add(rotateInterval)) // The hint is now in the older generation.
	assertHint(t, fix, "open", holder)
}

// assertHint checks what is remembered of the first test flow.
func assertHint(t *testing.T, fix *fixture, phase string, agent [4]byte) {
	t.Helper()
	hnt := fix.Explain(flowKey(1), start).Hint()
	assert.Assert(t, hnt != nil)
	assert.Equal(t, hnt.Phase(), phase)
	assert.DeepEqual(t, hnt.Agents(), [][4]byte{agent})
}

func TestEveryServiceIsExplainedWithoutAClient(t *testing.T) {
	fix := newFixture(2)
	fix.listUpstream(20, "upload", 1)
	fix.splitRoute()
	exp := fix.Explain(flow.NewKey(flow.Endpoint{}, serviceAddr), start)
	assert.Assert(t, exp.Asked() == nil)
	var got []string
	for _, ofr := range exp.Services() {
		got = append(got, fmt.Sprint(ofr.Share().Service(), ofr.Share().Weight(), ofr.Listed(), len(ofr.Candidates()), ofr.Candidates()[0].Cost().Jitter))
	}
	assert.DeepEqual(t, got, []string{"feed3 2 2 0", "upload1 1 1 0"})
}

func BenchmarkExplain(b *testing.B) {
	for _, agents := range []int{36, 360, 3600} {
		fix := newFixture(0)
		for num := range agents {
			fix.listUnheard([4]byte{10, 1, byte(num >> 8), byte(num)})
		}
		for name, key := range map[string]flow.Key{"client": flowKey(1), "any": flow.NewKey(flow.Endpoint{}, serviceAddr)} {
			b.Run(fmt.Sprint(name, agents), func(b *testing.B) {
				for b.Loop() {
					fix.Explain(key, start)
				}
			})
		}
	}
}
