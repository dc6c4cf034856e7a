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
	if !tbl.servicesKnown(ent, now) && !tbl.startingUp(sch, now) && tbl.widenSearch(key, ent, now) {
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
// that has not answered, or that may have been tried, keeps its place in this order.
func (tbl *Table) nextBlindTryAgent(key flow.Key, ent *entry, limit int, now time.Time) *fleet.Agent {
	sch := &ent.search
	agts := tbl.routeAgents(key, ent)
	if sch.trials()+sch.untoldTrials(agts) >= limit {
		return nil
	}
	sortByScore(agts, picker.FlowHash(key))
	places := 0
	for _, agt := range agts {
		ip := agt.IP()
		denied, tried := slices.Contains(sch.denied, ip), sch.hasTried(ip)
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
	agent     [4]byte
	at        time.Time
	restarted bool // Only the agent's predecessor may have tried the flow, until then.
	heard     bool // The predecessor answered in this search.
}

// findTrial returns the record of an agent's trials or restarts, or nil.
func (sch *search) findTrial(agent [4]byte, restarted bool) *trial {
	num := slices.IndexFunc(sch.tried, func(trl trial) bool { return trl.agent == agent && trl.restarted == restarted })
	if num < 0 {
		return nil
	}
	return &sch.tried[num]
}

// noteTrial records a trial of the flow's packet. Only the last one of an agent counts.
func (sch *search) noteTrial(agent [4]byte, at time.Time) {
	known := sch.findTrial(agent, false)
	switch {
	case known == nil:
		sch.tried = append(sch.tried, trial{agent: agent, at: at})
	case at.After(known.at):
		known.at = at
	}
}

// noteStart records when an agent started that cannot tell.
func (sch *search) noteStart(agent [4]byte, at time.Time) {
	known := sch.findTrial(agent, true)
	switch {
	case known == nil:
		sch.tried = append(sch.tried, trial{agent: agent, at: at, restarted: true})
	case at.After(known.at.Add(tellSlack)):
		known.at, known.heard = at, true
	}
}

// noteDenial records what a denial tells of the search so far. It may be that of other
// balancers.
func (sch *search) noteDenial(hdr encap.Header, from [4]byte, heldAt, now time.Time) {
	sch.noteAsked(hdr, heldAt, now)
	if age, ok := hdr.Tried(); ok {
		sch.noteTrial(from, now.Add(-age))
	}
}

// noteAsked records since when an agent has been asked for the flow, and whether the agent
// is old. When the flow was last held, an earlier search was over.
func (sch *search) noteAsked(hdr encap.Header, heldAt, now time.Time) {
	sch.oldAgent = sch.oldAgent || hdr.Old()
	at := now.Add(-hdr.Asked())
	if at.Before(heldAt) {
		at = heldAt
	}
	if at.Before(sch.unknownAt) {
		sch.unknownAt = at
	}
}

// counts reports whether a trial is or may be one of the flow's packet since its holder
// is unknown. A restarted agent's predecessor may have tried it for another balancer that
// searched before, or after it answered here; one that was down when it was asked did not.
func (sch *search) counts(trl trial) bool {
	if !trl.restarted {
		return trl.at.After(sch.unknownAt.Add(-tellSlack))
	}
	return trl.at.After(sch.unknownAt) && (trl.heard || sch.joined())
}

// trials returns how many upstreams may have been tried since the holder is unknown.
func (sch *search) trials() int {
	count := 0
	for _, trl := range sch.tried {
		if sch.counts(trl) {
			count++
		}
	}
	return count
}

// untoldTrials returns how many of the agents may have tried the flow for other balancers,
// which searched before this one, and have not answered.
func (sch *search) untoldTrials(agts []*fleet.Agent) int {
	if !sch.joined() {
		return 0
	}
	count := 0
	for _, agt := range agts {
		if sch.awaitsAnswer(agt.IP()) && !sch.hasTried(agt.IP()) {
			count++
		}
	}
	return count
}

// joined reports whether other balancers searched before this one did.
func (sch *search) joined() bool { return sch.unknownAt.Before(sch.firstAt.Add(-tellSlack)) }

// hasTried reports whether an agent has tried the flow since the holder is unknown.
func (sch *search) hasTried(ip [4]byte) bool {
	trl := sch.findTrial(ip, false)
	return trl != nil && sch.counts(*trl)
}

// sweepEnded reports whether the first trial was so long ago that further ones might not
// reach the holder in time. A predecessor may have tried the flow at any time since its
// holder is unknown.
func (sch *search) sweepEnded(now time.Time) bool {
	return slices.ContainsFunc(sch.tried, func(trl trial) bool {
		first := trl.at
		if trl.restarted {
			first = sch.unknownAt
		}
		return sch.counts(trl) && !now.Before(first.Add(sweepTime))
	})
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

// maxTries returns how many upstreams all balancers may try. They are unlimited if the
// holder, if there is one, must be among the agents that can be sent the packet, and will
// have been reached in time. Otherwise too many tries would break the flow.
func (tbl *Table) maxTries(key flow.Key, ent *entry, now time.Time) int {
	sch := &ent.search
	switch {
	case !tbl.allAnswered(key, ent), !tbl.holdersKnown(sch, now):
		return maxBlindTries
	case !tbl.servicesKnown(ent, now) && !tbl.startingUp(sch, now) && (!sch.allServices || tbl.unsureOutsideRoute(key, ent)):
		return maxBlindTries
	case sch.sweepEnded(now) && !tbl.oneLeft(key, ent):
		return maxBlindTries
	default:
		return math.MaxInt
	}
}

// oneLeft reports whether all agents but one have denied holding the flow.
func (tbl *Table) oneLeft(key flow.Key, ent *entry) bool {
	left := 0
	for _, agt := range tbl.candidates(key, ent) {
		if !slices.Contains(ent.search.denied, agt.IP()) {
			left++
		}
	}
	return left == 1
}

// startingUp reports whether all processes have just started after the loss of all: the
// process's history of routes begins within the last startupTime, and no agent is old.
// One that runs for longer would have sent an older history, unless it has a gap or its
// answer is late.
func (tbl *Table) startingUp(sch *search, now time.Time) bool {
	return now.Before(tbl.startupUntil) && tbl.tracker.Since().After(now.Add(-startupTime)) && !sch.oldAgent
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
