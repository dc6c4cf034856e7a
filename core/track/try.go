package track

import (
	"math"
	"slices"
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
)

// tryNext has the next unsure agent try the packet, and reports whether there is
// one.
func (tbl *Table) tryNext(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	if !tbl.known(ent, now) && !tbl.young(now) && tbl.widen(key, ent, now) {
		return true // Questions harm no flow, and packets at other upstreams may.
	}
	if sch.tries >= tbl.triesLeft(key, ent, now) {
		return false
	}
	sch.answered = true
	sch.trying = [4]byte{}
	names := tbl.services(key, ent)
	for at, ip := range sch.unsure {
		agt := tbl.fleet.Agent(ip)
		if agt == nil || slices.Contains(sch.denied, ip) || !slices.Contains(names, agt.Server().Service()) {
			continue
		}
		sch.unsure = slices.Delete(sch.unsure, at, at+1)
		sch.trying = ip
		sch.tries++
		ent.deadline = now.Add(tbl.answers.limit())
		tbl.send(ip, hop.Try, agt.ServiceID(), key, ent.queue[0])
		return true
	}
	return false
}

// noteLostTry has an agent that did not answer a try get another one, after those
// that have not tried yet: either datagram may have been lost.
func (sch *search) noteLostTry() {
	ip := sch.trying
	if ip == ([4]byte{}) || slices.Contains(sch.denied, ip) || slices.Contains(sch.lost, ip) {
		return
	}
	sch.lost = append(sch.lost, ip)
	sch.unsure = append(sch.unsure, ip)
}

// triesLeft returns how many unsure agents may be given the packet in one search.
// When one of those that may get it has to be the holder, if there is any, that is
// all of them. When it may be another one, too many packets would break the flow.
func (tbl *Table) triesLeft(key flow.Key, ent *entry, now time.Time) int {
	switch {
	case !tbl.allHeard(key, ent, now):
		return blindTries
	case tbl.known(ent, now), tbl.young(now):
		return math.MaxInt
	case !ent.search.wide || tbl.unsureElsewhere(key, ent):
		return blindTries
	default:
		return math.MaxInt
	}
}

// young reports whether the process has just started, and found none that is
// older: as a rule every process has just started then.
func (tbl *Table) young(now time.Time) bool {
	return now.Before(tbl.youngTill) && tbl.board.Since().After(now.Add(-youngTime))
}

// unsureElsewhere reports whether an agent cannot tell whether it holds the flow
// whose service the flow's route is not known to have led to.
func (tbl *Table) unsureElsewhere(key flow.Key, ent *entry) bool {
	names := tbl.services(key, ent)
	return slices.ContainsFunc(ent.search.unsure, func(ip [4]byte) bool {
		agt := tbl.fleet.Agent(ip)
		return agt != nil && !slices.Contains(names, agt.Server().Service())
	})
}
