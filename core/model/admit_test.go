package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/admit"
	"lagoondrum/core/drain"
	"lagoondrum/core/frame"
	"lagoondrum/core/health"
)

// controllerRules are the decisions of admission. Mutants replace one of them.
type controllerRules struct {
	offer func(ctl *admit.Controller, wk admit.Work, now time.Time) admit.Action
	done  func(ctl *admit.Controller, id uint64, now time.Time) []admit.Action
}

func realControllerRules() controllerRules {
	return controllerRules{offer: (*admit.Controller).Offer, done: (*admit.Controller).Done}
}

// controllerSlots is the number of slots of the upstream behind the controller.
const controllerSlots = 4

// controllerMachine checks that each piece of work is started or refused at
// most once, that no more work runs than there are slots, that no slot is idle
// while work waits, and that no work starts past its deadline.
type controllerMachine struct {
	rules      controllerRules
	controller *admit.Controller
	now        time.Time
	lastID     uint64
	states     map[uint64]string
	deadlines  map[uint64]time.Time
}

// apply records the controller's actions.
func (mch *controllerMachine) apply(t *rapid.T, acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Run:
			mch.transition(t, act.ID, "running")
			if !mch.now.Before(mch.deadlines[act.ID]) {
				t.Fatalf("work %d was started past its deadline", act.ID)
			}
		case admit.Refuse:
			mch.transition(t, act.ID, "refused")
		case admit.Wait:
			mch.states[act.ID] = "waiting"
		}
	}
}

// transition moves work that is new or waiting to another state.
func (mch *controllerMachine) transition(t *rapid.T, id uint64, to string) {
	if from := mch.states[id]; from != "" && from != "waiting" {
		t.Fatalf("work %d went from %s to %s", id, from, to)
	}
	mch.states[id] = to
}

// offer offers new work of a random plan and deadline.
func (mch *controllerMachine) offer(t *rapid.T) {
	mch.lastID++
	plan := rapid.SampledFrom([]string{"gold", "silver", "none"}).Draw(t, "plan")
	limit := time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond
	mch.deadlines[mch.lastID] = mch.now.Add(limit)
	free := mch.controller.Free()
	act := mch.rules.offer(mch.controller, admit.NewWork(mch.lastID, plan, mch.now.Add(limit)), mch.now)
	if _, ok := act.(admit.Refuse); ok && free && plan != "none" {
		t.Fatalf("work %d was refused although a slot was free", mch.lastID)
	}
	if _, ok := act.(admit.Refuse); !ok && plan == "none" {
		t.Fatalf("work %d of a plan without a grant was accepted", mch.lastID)
	}
	mch.apply(t, []admit.Action{act})
}

// done ends running work.
func (mch *controllerMachine) done(t *rapid.T) {
	var running []uint64
	for id := uint64(1); id <= mch.lastID; id++ {
		if mch.states[id] == "running" {
			running = append(running, id)
		}
	}
	if len(running) == 0 {
		t.Skip()
	}
	id := rapid.SampledFrom(running).Draw(t, "id")
	mch.states[id] = "done"
	mch.apply(t, mch.rules.done(mch.controller, id, mch.now))
}

// advance moves time forward.
func (mch *controllerMachine) advance(t *rapid.T) {
	mch.now = mch.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "millis")) * time.Millisecond)
	mch.apply(t, mch.controller.Advance(mch.now))
}

// checkSlots checks how many slots are in use.
func (mch *controllerMachine) checkSlots(t *rapid.T) {
	running, waiting := 0, 0
	for _, state := range mch.states {
		switch state {
		case "running":
			running++
		case "waiting":
			waiting++
		}
	}
	if running > controllerSlots {
		t.Fatalf("%d pieces of work run in %d slots", running, controllerSlots)
	}
	if running < controllerSlots && waiting > 0 {
		t.Fatalf("%d slots are idle while %d pieces of work wait", controllerSlots-running, waiting)
	}
}

func controllerProperty(rules controllerRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := &controllerMachine{
			rules: rules, controller: admit.New(controllerSlots), now: epoch,
			states: make(map[uint64]string), deadlines: make(map[uint64]time.Time),
		}
		mch.controller.SetShares(map[string]float64{"gold": 0.5, "silver": 0.5})
		t.Repeat(map[string]func(*rapid.T){
			"offer": mch.offer, "done": mch.done, "pass": mch.advance, "": mch.checkSlots,
		})
	}
}

func TestControllerFillsSlotsAndKeepsDeadlines(t *testing.T) {
	rapid.Check(t, controllerProperty(realControllerRules()))
}

func TestControllerOracleDetectsMutants(t *testing.T) {
	mutants := map[string]func(*controllerRules){
		"all work runs immediately": func(rls *controllerRules) {
			rls.offer = func(_ *admit.Controller, wk admit.Work, _ time.Time) admit.Action { return admit.Run{ID: wk.ID()} }
		},
		"freed slot is not reassigned": func(rls *controllerRules) {
			rls.done = func(*admit.Controller, uint64, time.Time) []admit.Action { return nil }
		},
		"all work is refused": func(rls *controllerRules) {
			rls.offer = func(_ *admit.Controller, wk admit.Work, _ time.Time) admit.Action {
				return admit.Refuse{ID: wk.ID(), Reason: admit.QueueFull}
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			rules := realControllerRules()
			mutate(&rules)
			assertCaught(t, controllerProperty(rules))
		})
	}
}

// TestPlanShareIsGuaranteed checks that a plan that uses less than its share
// gets the next free slot although another plan's work came first and has
// earlier deadlines.
func TestPlanShareIsGuaranteed(t *testing.T) {
	ctl := admit.New(2)
	ctl.SetShares(map[string]float64{"greedy": 0.5, "modest": 0.5})
	for id := range uint64(6) {
		ctl.Offer(admit.NewWork(id, "greedy", epoch.Add(time.Minute)), epoch)
	}
	ctl.Offer(admit.NewWork(100, "modest", epoch.Add(time.Hour)), epoch)
	acts := ctl.Done(0, epoch.Add(time.Second))
	if len(acts) != 1 || acts[0] != (admit.Run{ID: 100}) {
		t.Fatalf("the freed slot was given to %v", acts)
	}
}

// TestSilentLinkIsDetected checks that a link that stops answering is detected as
// silent about a second, and 1.2 s at most, after its first unanswered packet,
// and that a link that answers never is.
func TestSilentLinkIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lnk := &health.Link{}
		answers := rapid.Bool().Draw(t, "answers")
		now := epoch
		for range 40 {
			lnk.NoteSent(now)
			now = now.Add(50 * time.Millisecond)
			for _, act := range lnk.Poll(now) {
				if _, ok := act.(health.Probe); ok && answers {
					lnk.NoteHeard(now.Add(time.Millisecond), frame.NewLoad(1, 2, 0, 1), false)
				}
			}
			silentFor := now.Sub(epoch)
			if !answers && silentFor > 1200*time.Millisecond && !lnk.Silent() {
				t.Fatalf("the link is not detected as silent after %s", silentFor)
			}
			if answers && lnk.Silent() {
				t.Fatal("a link that answers is detected as silent")
			}
		}
	})
}

// TestSilentLinkRecovers checks that a silent link that answers probes becomes
// usable again, and only after more than one answer.
func TestSilentLinkRecovers(t *testing.T) {
	lnk := &health.Link{}
	now := epoch
	for !lnk.Silent() {
		lnk.NoteSent(now)
		now = now.Add(50 * time.Millisecond)
		lnk.Poll(now)
	}
	answers := 0
	for lnk.Silent() {
		now = now.Add(50 * time.Millisecond)
		for _, act := range lnk.Poll(now) {
			if _, ok := act.(health.Probe); ok {
				lnk.NoteHeard(now, 0, false)
				answers++
			}
		}
	}
	if answers < 2 {
		t.Fatalf("the link became usable after %d answers", answers)
	}
}

// TestDrainWaitsUntilDeadline checks that a draining process with open
// flows or work does not stop before its deadline, and that an advance never moves
// its phase back.
func TestDrainWaitsUntilDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drn := drain.New()
		deadline := epoch.Add(time.Hour)
		now := epoch
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			open := rapid.IntRange(0, 2).Draw(t, "open")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				drn.SetListedLeaving(rapid.Bool().Draw(t, "leaving"), now)
			case 1:
				drn.Start(now, deadline)
			}
			before := drn.Phase()
			after := drn.Advance(now, open)
			if after < before {
				t.Fatalf("the drain phase went back from %s to %s", before, after)
			}
			if after == drain.Stopped && before != drain.Stopped && open > 0 && now.Before(deadline) {
				t.Fatal("the process stopped with open flows or work before its deadline")
			}
		}
	})
}
