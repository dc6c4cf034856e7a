package track

import (
	"slices"
	"sort"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/picker"
)

// routeAgents returns the agents of the services that the flow's route is known to
// lead to or to have led to, also those of departed upstreams. If there are more than
// firstRoundAgents, they are sorted by rendezvous hashing, which also places new flows,
// so that the likeliest holders come first.
func (tbl *Table) routeAgents(key flow.Key, ent *entry) []*fleet.Agent {
	var agts []*fleet.Agent
	for _, name := range tbl.routeServices(key, ent) {
		agts = append(agts, tbl.fleet.Holders(name)...)
	}
	if len(agts) > firstRoundAgents {
		sortByScore(agts, picker.FlowHash(key))
	}
	return agts
}

// sortByScore sorts agents by rendezvous hashing, in the same order at every balancer.
func sortByScore(agts []*fleet.Agent, hash uint64) {
	sort.Slice(agts, func(i, j int) bool { return picker.Score(hash, agts[i].IP()) > picker.Score(hash, agts[j].IP()) })
}

// candidates returns the agents that the current search queries about a flow.
func (tbl *Table) candidates(key flow.Key, ent *entry) []*fleet.Agent {
	if ent.search.allServices {
		return tbl.fleet.All()
	}
	return tbl.routeAgents(key, ent)
}

// routeServices returns the services whose upstreams are known to be possible
// holders of a flow.
func (tbl *Table) routeServices(key flow.Key, ent *entry) []string {
	names := tbl.tracker.CandidateServices(key.Service())
	if ent.service != "" && !slices.Contains(names, ent.service) {
		names = append(names, ent.service)
	}
	return names
}

// resetIfDenied resets a flow if every agent that could hold it denies holding it or
// has an upstream that is known to have ended, and reports whether it did. While one is
// only silent, or an agent may not be known, the flow is not reset: an agent that
// restarts, or whose machine was removed, tells nothing of its upstream's flows.
func (tbl *Table) resetIfDenied(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	if tbl.lags() || !tbl.holdersKnown(sch, now) {
		return false
	}
	agts := tbl.routeAgents(key, ent)
	if !sch.deniedByAll(agts) {
		return false
	}
	if !tbl.servicesKnown(ent, now) {
		agts = tbl.fleet.All()
		if tbl.widenSearch(key, ent, now) || !sch.allServices || !sch.deniedByAll(agts) {
			return false
		}
	}
	if len(agts) == 0 {
		return false
	}
	tbl.endWithReset(key, ent, AllDenied, now)
	return true
}

// holdersKnown reports whether every upstream that may hold the flow is known. After the
// loss of all processes, when nobody is left who could tell of upstreams without an entry,
// the entries that are listed have to do.
func (tbl *Table) holdersKnown(sch *search, now time.Time) bool {
	return tbl.fleet.Settled() || !sch.oldAgent && tbl.tracker.Since().After(now.Add(-encap.OldAfter))
}

// deniedByAll reports whether every agent has denied holding the flow, or has an upstream
// that has ended.
func (sch *search) deniedByAll(agts []*fleet.Agent) bool {
	return !slices.ContainsFunc(agts, func(agt *fleet.Agent) bool {
		return !slices.Contains(sch.denied, agt.IP()) && !agt.Ended()
	})
}

// servicesKnown reports whether every service that the flow's route has led to is
// known. A process that started lately does not know where a route led before, and
// one whose state lags does not know where it leads now; either needs the answers
// of every service.
func (tbl *Table) servicesKnown(ent *entry, now time.Time) bool {
	return tbl.tracker.Complete(now) && tbl.tracker.ConfirmedAt().After(ent.search.startedAt)
}

// widenSearch queries the agents of every service, and reports whether a live one
// is among those that had not answered. In a fleet of more than maxWidenedFleet
// agents the queries would fill the link, so the search is not widened there and
// the flow is not reset until the state is confirmed.
func (tbl *Table) widenSearch(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	if sch.allServices || len(tbl.fleet.All()) > maxWidenedFleet {
		return false
	}
	sch.allServices = true
	asked := false
	for _, agt := range tbl.fleet.All() {
		if sch.awaitsAnswer(agt.IP()) {
			tbl.queries.add(agt, key, ent.clientAck)
			asked = asked || !agt.Dead(now)
		}
	}
	if asked {
		tbl.notice(key, Widened, [4]byte{})
		sch.tryPhase = false
		ent.deadline = now.Add(tbl.answers.timeout())
	}
	return asked
}
