package track

import (
	"math"
	"slices"
	"time"

	"lagoondrum/core/encap"
	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/picker"
)

// tryNext sends the flow's first held packet to the next agent that cannot tell, and
// reports whether it did. It first widens the search if that may find the holder,
// and reports true then too.
func (tbl *Table) tryNext(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	if !tbl.servicesKnown(ent, now) && !tbl.startingUp(now) && tbl.widenSearch(key, ent, now) {
		return true // Queries are harmless, but a packet at a wrong upstream may break the flow.
	}
	limit := tbl.maxTries(key, ent, now)
	if sch.tryCount >= limit {
		return false
	}
	sch.tryPhase = true
	sch.tryingAgent = [4]byte{}
	agt := tbl.nextTryAgent(key, ent, limit, now)
	if agt == nil {
		return false
	}
	ip := agt.IP()
	sch.unsure = slices.DeleteFunc(sch.unsure, func(other [4]byte) bool { return other == ip })
	sch.tryingAgent = ip
	sch.tryCount++
	sch.noteTrial(ip, now)
	ent.deadline = now.Add(tbl.answers.timeout())
	tbl.send(ip, encap.Try, agt.ServiceID(), key, ent.heldPackets[0])
	return true
}

// nextTryAgent returns the agent that gets the next try, or nil.
func (tbl *Table) nextTryAgent(key flow.Key, ent *entry, limit int, now time.Time) *fleet.Agent {
	if limit != math.MaxInt {
		return tbl.nextBlindTryAgent(key, ent, limit, now)
	}
	names := tbl.routeServices(key, ent)
	for _, ip := range ent.search.unsure {
		if agt := tbl.fleet.Agent(ip); agt != nil && !slices.Contains(ent.search.denied, ip) && slices.Contains(names, agt.Upstream().Service()) {
			return agt
		}
	}
	return nil
}

// nextBlindTryAgent returns the agent that gets the next try while the holder may be
// elsewhere. All balancers together stay within the limit: agents tell of the others'
// tries, and while these are under way all balancers prefer the same agents. An agent
// that has not answered, or that may have been tried lately, keeps its place in this
// order.
func (tbl *Table) nextBlindTryAgent(key flow.Key, ent *entry, limit int, now time.Time) *fleet.Agent {
	sch := &ent.search
	if sch.recentTrials(now) >= limit {
		return nil
	}
	agts := tbl.routeAgents(key, ent)
	sortByScore(agts, picker.FlowHash(key))
	places := 0
	for _, agt := range agts {
		ip := agt.IP()
		denied, tried := slices.Contains(sch.denied, ip), sch.triedLately(ip, now)
		switch {
		case places == limit:
			return nil
		case !denied && slices.Contains(sch.unsure, ip) && (!tried || slices.Contains(sch.lostTries, ip)):
			return agt
		case tried, !denied && !agt.Dead(now):
			places++
		}
	}
	return nil
}

// trial is a packet of the flow that an agent passed to its upstream on trial, or may
// have passed.
type trial struct {
	agent [4]byte
	at    time.Time
}

// noteTrial records a trial of the flow's packet. Only the last one of an agent counts.
func (sch *search) noteTrial(ip [4]byte, at time.Time) {
	known := slices.IndexFunc(sch.tried, func(trl trial) bool { return trl.agent == ip })
	switch {
	case known < 0:
		sch.tried = append(sch.tried, trial{agent: ip, at: at})
	case at.After(sch.tried[known].at):
		sch.tried[known].at = at
	}
}

// noteDenial records the trial that a denial tells of. It may be that of another
// balancer.
func (sch *search) noteDenial(hdr encap.Header, from [4]byte, now time.Time) {
	if age, ok := hdr.Tried(); ok {
		sch.noteTrial(from, now.Add(-age))
	}
}

// recentTrials returns how many upstreams may have been tried lately.
func (sch *search) recentTrials(now time.Time) int {
	count := 0
	for _, trl := range sch.tried {
		if trl.countsAt(now) {
			count++
		}
	}
	return count
}

// triedLately reports whether an agent's upstream may have been tried lately.
func (sch *search) triedLately(ip [4]byte, now time.Time) bool {
	return slices.ContainsFunc(sch.tried, func(trl trial) bool { return trl.agent == ip && trl.countsAt(now) })
}

// countsAt reports whether a trial was so short a time ago that it counts with the next
// ones.
func (trl trial) countsAt(now time.Time) bool { return now.Before(trl.at.Add(tryWindow)) }

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

// maxTries returns how many tries all balancers may send within tryWindow. They are
// unlimited if the holder, if there is one, must be among the agents that can be sent
// the packet. If another agent may hold the flow, too many tries would break it.
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
