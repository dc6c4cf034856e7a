package proof

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/admit"
	"lagoondrum/core/drain"
	"lagoondrum/core/frame"
	"lagoondrum/core/health"
)

// gateRules are the decisions of admission.
type gateRules struct {
	offer func(gt *admit.Gate, wk admit.Work, now time.Time) admit.Action
	done  func(gt *admit.Gate, id uint64, now time.Time) []admit.Action
}

func realGate() gateRules {
	return gateRules{offer: (*admit.Gate).Offer, done: (*admit.Gate).Done}
}

const gateSlots = 4

// gateMachine checks that work ends exactly once, slots are never exceeded,
// none is idle while work waits, and a late piece of work is not started.
type gateMachine struct {
	rules    gateRules
	gate     *admit.Gate
	now      time.Time
	next     uint64
	state    map[uint64]string
	deadline map[uint64]time.Time
}

func (mch *gateMachine) take(t *rapid.T, acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Run:
			mch.move(t, act.ID, "running")
			if !mch.now.Before(mch.deadline[act.ID]) {
				t.Fatalf("work %d was started past its deadline", act.ID)
			}
		case admit.Refuse:
			mch.move(t, act.ID, "refused")
		case admit.Wait:
			mch.state[act.ID] = "waiting"
		}
	}
}

func (mch *gateMachine) move(t *rapid.T, id uint64, to string) {
	if from := mch.state[id]; from != "" && from != "waiting" {
		t.Fatalf("work %d went from %s to %s", id, from, to)
	}
	mch.state[id] = to
}

func (mch *gateMachine) offer(t *rapid.T) {
	mch.next++
	plan := rapid.SampledFrom([]string{"gold", "silver", "none"}).Draw(t, "plan")
	limit := time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond
	mch.deadline[mch.next] = mch.now.Add(limit)
	free := mch.gate.Free()
	act := mch.rules.offer(mch.gate, admit.NewWork(mch.next, plan, mch.now.Add(limit)), mch.now)
	if _, ok := act.(admit.Refuse); ok && free && plan != "none" {
		t.Fatalf("work %d was refused although a slot was free", mch.next)
	}
	if _, ok := act.(admit.Refuse); !ok && plan == "none" {
		t.Fatalf("work %d of a plan without a grant was taken", mch.next)
	}
	mch.take(t, []admit.Action{act})
}

func (mch *gateMachine) done(t *rapid.T) {
	var running []uint64
	for id := uint64(1); id <= mch.next; id++ {
		if mch.state[id] == "running" {
			running = append(running, id)
		}
	}
	if len(running) == 0 {
		t.Skip()
	}
	id := rapid.SampledFrom(running).Draw(t, "id")
	mch.state[id] = "done"
	mch.take(t, mch.rules.done(mch.gate, id, mch.now))
}

func (mch *gateMachine) pass(t *rapid.T) {
	mch.now = mch.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "millis")) * time.Millisecond)
	mch.take(t, mch.gate.Advance(mch.now))
}

func (mch *gateMachine) check(t *rapid.T) {
	running, waiting := 0, 0
	for _, state := range mch.state {
		switch state {
		case "running":
			running++
		case "waiting":
			waiting++
		}
	}
	if running > gateSlots {
		t.Fatalf("%d pieces of work run in %d slots", running, gateSlots)
	}
	if running < gateSlots && waiting > 0 {
		t.Fatalf("%d slots are idle while %d pieces of work wait", gateSlots-running, waiting)
	}
}

func gateProperty(rules gateRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := &gateMachine{
			rules: rules, gate: admit.New(gateSlots), now: epoch,
			state: make(map[uint64]string), deadline: make(map[uint64]time.Time),
		}
		mch.gate.SetShares(map[string]float64{"gold": 0.5, "silver": 0.5})
		t.Repeat(map[string]func(*rapid.T){
			"offer": mch.offer, "done": mch.done, "pass": mch.pass, "": mch.check,
		})
	}
}

func TestSlotsAreSharedAndNoWorkIsForgotten(t *testing.T) { rapid.Check(t, gateProperty(realGate())) }

func TestGateOracleCatches(t *testing.T) {
	mutants := map[string]func(*gateRules){
		"everything runs at once": func(rls *gateRules) {
			rls.offer = func(_ *admit.Gate, wk admit.Work, _ time.Time) admit.Action { return admit.Run{ID: wk.ID()} }
		},
		"a freed slot is not given on": func(rls *gateRules) {
			rls.done = func(*admit.Gate, uint64, time.Time) []admit.Action { return nil }
		},
		"everything is refused": func(rls *gateRules) {
			rls.offer = func(_ *admit.Gate, wk admit.Work, _ time.Time) admit.Action {
				return admit.Refuse{ID: wk.ID(), Reason: admit.QueueFull}
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			rules := realGate()
			mutate(&rules)
			assertCaught(t, gateProperty(rules))
		})
	}
}

// TestGuaranteeIsKept checks that a plan within its share gets the next slot
// although another plan's work came first and is more urgent.
func TestGuaranteeIsKept(t *testing.T) {
	gt := admit.New(2)
	gt.SetShares(map[string]float64{"greedy": 0.5, "modest": 0.5})
	for id := range uint64(6) {
		gt.Offer(admit.NewWork(id, "greedy", epoch.Add(time.Minute)), epoch)
	}
	gt.Offer(admit.NewWork(100, "modest", epoch.Add(time.Hour)), epoch)
	acts := gt.Done(0, epoch.Add(time.Second))
	if len(acts) != 1 || acts[0] != (admit.Run{ID: 100}) {
		t.Fatalf("the freed slot went to %v", acts)
	}
}

// TestSilentLinkIsFound checks that a link that stops answering is found within
// a second of its first unanswered packet, and that one that answers never is.
func TestSilentLinkIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lnk := &health.Link{}
		answers := rapid.Bool().Draw(t, "answers")
		now := epoch
		for range 40 {
			lnk.NoteSent(now)
			now = now.Add(50 * time.Millisecond)
			for _, act := range lnk.Poll(now) {
				if _, ok := act.(health.Probe); ok && answers {
					lnk.NoteHeard(now.Add(time.Millisecond), frame.LoadOf(1, 2, 0, 1), false)
				}
			}
			silentFor := now.Sub(epoch)
			if !answers && silentFor > 1200*time.Millisecond && !lnk.Silent() {
				t.Fatalf("the link is not found silent after %s", silentFor)
			}
			if answers && lnk.Silent() {
				t.Fatal("an answering link is called silent")
			}
		}
	})
}

// TestSilentLinkIsRegained checks that a link that answers again is used again,
// and only after more than one answer.
func TestSilentLinkIsRegained(t *testing.T) {
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
		t.Fatalf("the link was regained after %d answers", answers)
	}
}

// TestDrainNeverCutsBeforeItsDeadline checks that a process with something open
// stops only at the deadline, and one with nothing open soon.
func TestDrainNeverCutsBeforeItsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drn := drain.New()
		deadline := epoch.Add(time.Hour)
		now := epoch
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			open := rapid.IntRange(0, 2).Draw(t, "open")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				drn.Listed(rapid.Bool().Draw(t, "leaving"), now)
			case 1:
				drn.Signal(now, deadline)
			}
			before := drn.Phase()
			after := drn.Advance(now, open)
			if after < before {
				t.Fatalf("the drain went back from %s to %s", before, after)
			}
			if after == drain.Stopped && before != drain.Stopped && open > 0 && now.Before(deadline) {
				t.Fatal("the process stopped with something open before its deadline")
			}
		}
	})
}
