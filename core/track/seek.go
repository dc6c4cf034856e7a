package track

import (
	"math"
	"slices"
	"sort"
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
	"lagoondrum/core/place"
)

// maxDoublings bounds the time between two rounds of a search: 0.8 s.
const maxDoublings = 3

// FromAgent handles what an agent tells about a flow. The packet behind the
// header, if any, is one that the agent did not deliver.
func (tbl *Table) FromAgent(hdr hop.Header, raw []byte, from [4]byte, now time.Time) {
	if hdr.Kind() == hop.Verdicts {
		hdr.EachVerdict(raw, func(one hop.Header) { tbl.fromAgent(one, nil, from, now) })
		return
	}
	tbl.judge(hdr, from, now)
	tbl.fromAgent(hdr, raw, from, now)
}

func (tbl *Table) fromAgent(hdr hop.Header, raw []byte, from [4]byte, now time.Time) {
	key := hdr.Key()
	ent := tbl.find(key)
	if ent == nil {
		return
	}
	switch hdr.Kind() {
	case hop.Opened:
		tbl.opened(key, ent, hdr, from, now)
	case hop.Refused:
		tbl.refused(key, ent, hdr, from, now)
	case hop.Queued:
		tbl.queued(key, ent, from, now)
	case hop.Held:
		tbl.held(key, ent, hdr, from)
	case hop.Absent:
		tbl.absent(key, ent, raw, from, now)
	case hop.Unsure:
		tbl.unsure(key, ent, from, now)
	case hop.Gone:
		tbl.gone(key, ent, from, now)
	}
}

// judge takes what became of an opening as evidence on the agent's upstream.
func (tbl *Table) judge(hdr hop.Header, from [4]byte, now time.Time) {
	agt := tbl.fleet.Agent(from)
	if agt == nil {
		return
	}
	switch {
	case hdr.Kind() == hop.Opened:
		agt.NoteTaken()
	case hdr.Kind() == hop.Refused && hdr.Reason() != hop.Leaving && hdr.Reason() != hop.Full:
		agt.NoteMiss(now)
	}
}

// search is the search for the agent that holds a flow: first all are asked what
// they know, then those whose memory is too short try the packet, one by one.
type search struct {
	waves    int
	wide     bool      // The agents of every service are asked.
	begunAt  time.Time // When the flow's packet came.
	answered bool      // Whoever can has said what it knows; tries are under way.
	denied   [][4]byte // Agents that do not hold the flow.
	unsure   [][4]byte // Agents that have yet to try the packet.
	lost     [][4]byte // Agents whose answer to a try did not come; each is asked once more.
	trying   [4]byte   // The agent that tries the packet now.
	tries    int       // Agents that were given the packet to try.
	giveUpAt time.Time
}

// seek asks the agents who holds a flow. Its packets wait for the answer: they
// are many times as long as a question.
func (tbl *Table) seek(key flow.Key, ent *entry, raw []byte, cse Cause, now time.Time) {
	ent.phase = seeking
	ent.holders = nil
	ent.queue = nil
	ent.search = search{begunAt: now, giveUpAt: now.Add(seekTime)}
	ent.enqueue(raw)
	tbl.pending[key] = ent
	tbl.notice(key, cse, [4]byte{})
	agts := tbl.candidates(key, ent)
	tbl.ask(key, ent, agts, now)
	if len(agts) == 0 {
		tbl.concluded(key, ent, now)
	}
}

// ask asks those agents that have not denied the flow yet.
func (tbl *Table) ask(key flow.Key, ent *entry, agts []*fleet.Agent, now time.Time) {
	sch := &ent.search
	ent.deadline = now.Add(tbl.answers.limit())
	if sch.waves == 0 && len(agts) > firstWave {
		agts = agts[:firstWave]
	}
	sch.waves++
	sch.answered = false
	sch.unsure = sch.unsure[:0]
	sch.trying = [4]byte{}
	for _, agt := range agts {
		if !slices.Contains(sch.denied, agt.IP()) {
			tbl.inquiry.add(agt, key, ent.ack)
		}
	}
}

// AskAgain asks an agent that is heard again, after it had left something
// unanswered, about the flows that are sought: their clients wait for its word.
func (tbl *Table) AskAgain(agt *fleet.Agent) {
	ip := agt.IP()
	for key, ent := range tbl.pending {
		sch := &ent.search
		if ent.phase != seeking || slices.Contains(sch.denied, ip) || slices.Contains(sch.unsure, ip) || sch.trying == ip {
			continue
		}
		if sch.wide || slices.Contains(tbl.services(key, ent), agt.Server().Service()) {
			tbl.inquiry.add(agt, key, ent.ack)
		}
	}
}

// advance takes the next step of a search whose step has run out of time.
func (tbl *Table) advance(key flow.Key, ent *entry, now time.Time) {
	ent.search.noteLostTry()
	agts := tbl.candidates(key, ent)
	switch {
	case tbl.concluded(key, ent, now):
	case !now.Before(ent.search.giveUpAt) && len(tbl.holders(key, ent)) == 0 && (tbl.known(ent, now) || len(agts) == 0):
		tbl.forgetWith(key, ent, NoUpstream, now)
	case !now.Before(ent.search.giveUpAt):
		tbl.notice(key, NotFound, [4]byte{})
		tbl.remove(key)
	case tbl.tryNext(key, ent, now):
	default:
		tbl.ask(key, ent, agts, now)
		ent.deadline = now.Add(max(seekWave<<min(ent.search.waves, maxDoublings), tbl.answers.limit()))
	}
}

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

// unsure handles an agent's word that it cannot tell whether it holds a flow.
func (tbl *Table) unsure(key flow.Key, ent *entry, from [4]byte, now time.Time) {
	sch := &ent.search
	if ent.phase != seeking || sch.trying == from || slices.Contains(sch.unsure, from) {
		return
	}
	sch.unsure = append(sch.unsure, from)
	tbl.proceed(key, ent, now)
}

// proceed starts the tries once every agent that can be heard has answered.
func (tbl *Table) proceed(key flow.Key, ent *entry, now time.Time) {
	sch := &ent.search
	if sch.answered {
		if sch.trying == ([4]byte{}) {
			tbl.tryNext(key, ent, now)
		}
		return
	}
	if tbl.allHeard(key, ent, now) {
		tbl.tryNext(key, ent, now)
	}
}

// allHeard reports whether every agent that may hold the flow and is not dead has
// said what it knows.
func (tbl *Table) allHeard(key flow.Key, ent *entry, now time.Time) bool {
	sch := &ent.search
	for _, agt := range tbl.candidates(key, ent) {
		ip := agt.IP()
		if !slices.Contains(sch.denied, ip) && !slices.Contains(sch.unsure, ip) && !agt.Dead(now) {
			return false
		}
	}
	return true
}

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
		if !slices.Contains(sch.denied, agt.IP()) && !slices.Contains(sch.unsure, agt.IP()) {
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

// forgetWith resets a flow and remembers for a while that it is gone.
func (tbl *Table) forgetWith(key flow.Key, ent *entry, cse Cause, now time.Time) {
	delete(tbl.pending, key)
	ent.phase = gone
	ent.holders, ent.queue, ent.opener = nil, nil, nil
	ent.goneTill = now.Add(goneTime)
	tbl.out = append(tbl.out, Action{kind: Reset, cause: cse, key: key, seq: ent.ack})
}

// held handles an agent's word that it holds a flow that is sought.
func (tbl *Table) held(key flow.Key, ent *entry, hdr hop.Header, from [4]byte) {
	if ent.phase != seeking {
		return
	}
	tried := ent.search.trying == from
	delete(tbl.pending, key)
	ent.phase = open
	ent.id = hdr.Service()
	ent.holders = append(ent.holders[:0], holder{ip: from, seq: hdr.Seq()})
	tbl.notice(key, Found, from)
	queue := ent.queue
	if tried {
		queue = queue[1:] // The first was delivered with the try.
	}
	for _, raw := range queue {
		tbl.send(from, hop.Data, ent.id, key, raw)
	}
	ent.queue = nil
}

// absent handles an agent's word that it does not hold a flow.
func (tbl *Table) absent(key flow.Key, ent *entry, raw []byte, from [4]byte, now time.Time) {
	switch ent.phase {
	case open:
		if ent.holders[0].ip != from || len(raw) == 0 {
			return
		}
		tbl.seek(key, ent, raw, HintWrong, now)
		ent.search.denied = append(ent.search.denied, from)
	case seeking:
		if !slices.Contains(ent.search.denied, from) {
			ent.search.denied = append(ent.search.denied, from)
		}
		if len(raw) > 0 {
			ent.enqueue(raw)
		}
		if ent.search.trying == from {
			ent.search.trying = [4]byte{}
		}
		if !tbl.concluded(key, ent, now) && ent.phase == seeking {
			tbl.proceed(key, ent, now)
		}
	}
}

// gone handles an agent's word that a flow of its upstream is over. The agent
// resets the flow itself.
func (tbl *Table) gone(key flow.Key, ent *entry, from [4]byte, now time.Time) {
	if ent.phase == open && ent.holders[0].ip != from || ent.phase == opening {
		return
	}
	delete(tbl.pending, key)
	ent.phase = gone
	ent.holders, ent.queue, ent.opener = nil, nil, nil
	ent.goneTill = now.Add(goneTime)
	tbl.notice(key, FlowGone, from)
}
