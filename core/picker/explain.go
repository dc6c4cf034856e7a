package picker

import (
	"time"

	"lagoondrum/core/fleet"
)

// Term is one cause of a cost.
type Term struct {
	name  string
	value float64
}

// Name returns the name of the cause.
func (trm Term) Name() string { return trm.name }

// Value returns what the cause adds to the cost.
func (trm Term) Value() float64 { return trm.value }

// Terms returns the causes of the cost. Their values add up to the total.
func (cst Cost) Terms() []Term {
	return []Term{
		{"load", cst.Load},
		{"zone", cst.Zone},
		{"unheard", cst.Unheard},
		{"suspect", cst.Suspect},
		{"judged", cst.Judged},
		{"noRoom", cst.NoRoom},
		{"jitter", cst.Jitter},
	}
}

// Copy returns a chooser that chooses as this one and leaves it unchanged.
func (chs *Chooser) Copy() *Chooser {
	cpy := *chs
	return &cpy
}

// Compared returns the agents whose costs Choose compares for a flow that no agent was
// asked for yet. Those of a small service may include unusable ones.
func (chs *Chooser) Compared(agents []*fleet.Agent, hash uint64, now time.Time) []*fleet.Agent {
	top := topCandidates(agents, hash, now)
	best := chs.Copy().cheapest(top, func([4]byte) bool { return false }, hash, now)
	if best != nil && best.ColdWait(now) > 0 {
		return agents
	}
	return top
}
