package track

import (
	"slices"
	"time"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
	"lagoondrum/core/hop"
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
	var keys []flow.Key
	for key, ent := range tbl.pending {
		if ent.phase == seeking && ent.search.awaits(agt.IP()) && (ent.search.wide || slices.Contains(tbl.services(key, ent), agt.Server().Service())) {
			keys = append(keys, key)
		}
	}
	flow.Sort(keys)
	for _, key := range keys {
		tbl.inquiry.add(agt, key, tbl.pending[key].ack)
	}
}

// awaits reports whether an agent has not said what it knows.
func (sch *search) awaits(ip [4]byte) bool {
	return !slices.Contains(sch.denied, ip) && !slices.Contains(sch.unsure, ip) && sch.trying != ip
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
