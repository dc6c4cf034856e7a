package epoch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ExampleJudgeChanged() {
	fmt.Printf("%T\n", JudgeChanged(NewGoal(5), NewGoal(4), true))
	fmt.Printf("%T\n", JudgeChanged(NewGoal(5), NewGoal(6), true))
	// Output:
	// epoch.Hold
	// epoch.Take
}

// assertVerdict checks the type of a verdict.
func assertVerdict(t *testing.T, got, want Verdict) {
	t.Helper()
	assert.Equal(t, fmt.Sprintf("%T", got), fmt.Sprintf("%T", want), "%+v", got)
}

func TestJudgeLacked(t *testing.T) {
	assertVerdict(t, JudgeLacked(NewGoal(5)), Hold{})
	assertVerdict(t, JudgeLacked(Order{}), Hold{})
	assertVerdict(t, JudgeLacked(NewEntry(0, 1, true)), Hold{})
	assertVerdict(t, JudgeLacked(Entry{}), Take{}) // The fleet keeps it while its agent lives.
	assertVerdict(t, JudgeLacked(Other{}), Take{})
}

func TestJudgeChanged(t *testing.T) {
	ready, draining := NewEntry(7, 3, false), NewEntry(7, 4, true)
	for name, tc := range map[string]struct {
		known, found Subject
		rewritten    bool
		want         Verdict
	}{
		"desired state of the same version":         {NewGoal(5), NewGoal(5), false, Take{}},
		"older desired state, written again":        {NewGoal(5), NewGoal(4), true, Hold{}},
		"desired state that cannot be read":         {NewGoal(5), Other{}, true, Hold{}},
		"entry from before the draining":            {draining, ready, false, Hold{}},
		"entry that was written after the return":   {draining, ready, true, Take{}},
		"entry of a newer sequence":                 {ready, draining, false, Take{}},
		"entry of the next incarnation":             {draining, NewEntry(8, 1, false), false, Take{}},
		"entry of the incarnation before":           {NewEntry(8, 0, false), ready, false, Hold{}},
		"entry that another writer has overwritten": {ready, Other{}, false, Take{}},
	} {
		t.Run(name, func(t *testing.T) { assertVerdict(t, JudgeChanged(tc.known, tc.found, tc.rewritten), tc.want) })
	}
}

func TestJudgeReturned(t *testing.T) {
	assertVerdict(t, JudgeReturned(Entry{}, false), Doubt{})
	assertVerdict(t, JudgeReturned(Entry{}, true), Take{})
	assertVerdict(t, JudgeReturned(Order{}, false), Take{}) // It costs room only.
}

func TestRecovery(t *testing.T) {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	// confirmed returns the recovery after confirmations each second up to an age.
	confirmed := func(rcv Recovery, from, to time.Duration) Recovery {
		for age := from; age <= to; age += time.Second {
			rcv = rcv.Confirm(start.Add(age))
		}
		return rcv
	}
	t.Run("order", func(t *testing.T) {
		assert.Assert(t, !confirmed(Begin(start), 0, orderRecovery-time.Second).Ended(Order{}))
		assert.Assert(t, confirmed(Begin(start), 0, orderRecovery).Ended(Order{}))
	})
	t.Run("begins again when the store was away", func(t *testing.T) {
		rcv := confirmed(Begin(start), 0, 10*time.Second)
		rcv = confirmed(rcv, 20*time.Second, orderRecovery+10*time.Second)
		assert.Assert(t, !rcv.Ended(Order{}))
		assert.Assert(t, rcv.Ended(Entry{}))
	})
	t.Run("an unconfirmed state settles nothing", func(t *testing.T) {
		assert.Assert(t, !Begin(start).Ended(Entry{}))
		assert.Assert(t, !confirmed(Begin(start), 0, time.Hour).Ended(Goal{}))
	})
}
