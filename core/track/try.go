package track

import (
	"math"
	"slices"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/flow"
)

// tryNext sends the flow's first held packet to the next agent that cannot tell, and
// reports whether it did. It first widens the search if that may find the holder,
// and reports true then too.
func (tbl *Table) tryNext(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	if !tbl.servicesKnown(ent, now) && !tbl.startingUp(now) && tbl.widenSearch(key, ent, now) {
		return true // Queries are harmless, but a packet at a wrong upstream may break the flow.
	}
	if sch.tryCount >= tbl.maxTries(key, ent, now) {
		return false
	}
	sch.tryPhase = true
	sch.tryingAgent = [4]byte{}
	names := tbl.routeServices(key, ent)
	for at, ip := range sch.unsure {
		agt := tbl.fleet.Agent(ip)
		if agt == nil || slices.Contains(sch.denied, ip) || !slices.Contains(names, agt.Upstream().Service()) {
			continue
		}
		sch.unsure = slices.Delete(sch.unsure, at, at+1)
		sch.tryingAgent = ip
		sch.tryCount++
		ent.deadline = now.Add(tbl.answers.timeout())
		tbl.send(ip, encap.Try, agt.ServiceID(), key, ent.heldPackets[0])
		return true
	}
	return false
}

// requeueLostTry schedules one more try at an agent that did not answer, because
// the try or its answer may have been lost. Agents without a try come first.
func (sch *search) requeueLostTry() {
	ip := sch.tryingAgent
	if ip == ([4]byte{}) || slices.Contains(sch.denied, ip) || slices.Contains(sch.lostTries, ip) {
		return
	}
	sch.lostTries = append(sch.lostTries, ip)
	sch.unsure = append(sch.unsure, ip)
}

// maxTries returns how many tries one search may send. They are unlimited if the
// holder, if there is one, must be among the agents that can be sent the packet. If
// another agent may hold the flow, too many tries would break it.
func (tbl *Table) maxTries(key flow.Key, ent *entry, now time.Time) int {
	switch {
	case !tbl.allAnswered(key, ent, now):
		return maxBlindTries
	case tbl.servicesKnown(ent, now), tbl.startingUp(now):
		return math.MaxInt
	case !ent.search.allServices || tbl.unsureOutsideRoute(key, ent):
		return maxBlindTries
	default:
		return math.MaxInt
	}
}

// startingUp reports whether the process has just started and its history of routes
// begins within the last startupTime: a process that runs for longer would have sent
// it an older history.
// As a rule all processes have just started then.
func (tbl *Table) startingUp(now time.Time) bool {
	return now.Before(tbl.startupUntil) && tbl.tracker.Since().After(now.Add(-startupTime))
}

// unsureOutsideRoute reports whether an agent that cannot tell belongs to a service
// that the flow's route is not known to have led to.
func (tbl *Table) unsureOutsideRoute(key flow.Key, ent *entry) bool {
	names := tbl.routeServices(key, ent)
	return slices.ContainsFunc(ent.search.unsure, func(ip [4]byte) bool {
		agt := tbl.fleet.Agent(ip)
		return agt != nil && !slices.Contains(names, agt.Upstream().Service())
	})
}
