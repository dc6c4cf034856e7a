package track

import (
	"slices"
	"sort"
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/place"
)

// holders returns the agents of the services that a flow's route is known to have
// led to, the likeliest first.
func (tbl *Table) holders(key flow.Key, ent *entry) []*fleet.Agent {
	var agts []*fleet.Agent
	for _, name := range tbl.services(key, ent) {
		agts = append(agts, tbl.fleet.Service(name)...)
	}
	if len(agts) > firstWave {
		hash := place.Hash(key)
		sort.Slice(agts, func(i, j int) bool { return place.Rank(hash, agts[i].IP()) > place.Rank(hash, agts[j].IP()) })
	}
	return agts
}

// candidates returns the agents that are asked about a flow.
func (tbl *Table) candidates(key flow.Key, ent *entry) []*fleet.Agent {
	if ent.search.wide {
		return tbl.fleet.All()
	}
	return tbl.holders(key, ent)
}

// services returns the services whose upstreams may hold a flow.
func (tbl *Table) services(key flow.Key, ent *entry) []string {
	names := tbl.board.Holders(key.Service())
	if ent.service != "" && !slices.Contains(names, ent.service) {
		names = append(names, ent.service)
	}
	return names
}

// concluded resets a flow that every agent which could hold it denies. Agents
// that are dead need not be heard; one that lives and has not answered must.
func (tbl *Table) concluded(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	if !sch.deniedBy(tbl.holders(key, ent), now) {
		return false
	}
	if !tbl.known(ent, now) {
		if tbl.widen(key, ent, now) || !sch.wide || !sch.deniedBy(tbl.fleet.All(), now) {
			return false
		}
	}
	if len(sch.denied) == 0 {
		return false
	}
	tbl.forgetWith(key, ent, AllDenied, now)
	return true
}

// deniedBy reports whether no agent that lives may still hold the flow.
func (sch *search) deniedBy(agts []*fleet.Agent, now time.Time) bool {
	return !slices.ContainsFunc(agts, func(agt *fleet.Agent) bool {
		return !slices.Contains(sch.denied, agt.IP()) && !agt.Dead(now)
	})
}

// known reports whether the services that a flow's route has led to are all known.
// A process that has started lately does not know where a route led before, and
// one that lags does not know where it leads now; either needs the word of every
// service.
func (tbl *Table) known(ent *entry, now time.Time) bool {
	return tbl.board.Complete(now) && tbl.board.ConfirmedAt().After(ent.search.begunAt)
}

// widen asks the agents of every service, and reports whether any of those that
// were not asked before lives. In a fleet where that would fill the link the flow
// is left alone until the state is confirmed.
func (tbl *Table) widen(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	if sch.wide || tbl.fleet.Len() > wideLimit {
		return false
	}
	sch.wide = true
	asked := false
	for _, agt := range tbl.fleet.All() {
		if sch.awaits(agt.IP()) {
			tbl.inquiry.add(agt, key, ent.ack)
			asked = asked || !agt.Dead(now)
		}
	}
	if asked {
		tbl.notice(key, Widened, [4]byte{})
		sch.answered = false
		ent.deadline = now.Add(tbl.answers.limit())
	}
	return asked
}
