package carry

import (
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/io/where"
)

// newAnswer returns an answer with the state that the process decides by.
func (bas *base) newAnswer(now time.Time) where.Answer {
	rep := bas.replica
	return where.NewAnswer(bas.settings.Name(), bas.ready.Load() && !bas.yields.Load(), now).WithState(rep.Position(), rep.ConfirmedAt(), rep.Reading())
}

// Explain returns where a flow would go.
func (blc *balancer) Explain(key flow.Key, now time.Time) where.Answer {
	blc.mu.Lock()
	defer blc.mu.Unlock()
	return blc.newAnswer(now).WithEvacuations(blc.fleet.Evacuations().All()).WithBalancer(blc.table.Explain(key, now))
}

// Explain returns whether the upstream would get a flow.
func (agt *agent) Explain(key flow.Key, now time.Time) where.Answer {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	var version uint64
	if stt := agt.tracker.State(); stt != nil {
		version = stt.Version()
	}
	return agt.newAnswer(now).WithEvacuations(agt.fleet.Evacuations().All()).
		WithAgent(agt.settings.Service(), version, agt.table.Complete(), agt.table.Explain(key, now), agt.table.Cold())
}
