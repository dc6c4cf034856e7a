package carry

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of the heartbeats between balancers.
const (
	heartbeatsPerInterval = int(heartbeatsPerSecond * heartbeatInterval / time.Second)
	maxOwingAgents        = 5               // Agents that owe an answer and are asked again at an interval.
	balancersPerRound     = 10              // Balancers that a round of heartbeats reaches: 40 heartbeats a second.
	balancersNamed        = 8               // Balancers that a heartbeat names.
	namedTime             = 3 * time.Second // A balancer that was named and not heard gets heartbeats for this long.
)

// sendHeartbeats sends the heartbeats that are due. A round reaches every
// agent; a large fleet's round takes longer, at a bounded rate.
func (blc *balancer) sendHeartbeats(now time.Time) {
	if now.Before(blc.heartbeatAt) {
		return
	}
	blc.heartbeatAt = now.Add(heartbeatInterval)
	blc.sendBalancerHeartbeats(len(blc.heartbeatTargets) == 0, now)
	if len(blc.heartbeatTargets) == 0 {
		agts := blc.fleet.All()
		for _, at := range rand.Perm(len(agts)) { // In an order of its own: balancers that start together would all send heartbeats to one agent at once.
			blc.heartbeatTargets = append(blc.heartbeatTargets, agts[at].IP())
		}
	}
	count := min(len(blc.heartbeatTargets), heartbeatsPerInterval)
	due := blc.heartbeatTargets[:count]
	blc.heartbeatTargets = blc.heartbeatTargets[count:]
	if len(blc.fleet.All()) > heartbeatsPerInterval {
		due = append(blc.owing(now), due...)
	}
	hdr := blc.heartbeat(0, now)
	for _, ip := range due[:min(len(due), heartbeatsPerInterval+maxOwingAgents)] {
		if agt := blc.fleet.Agent(ip); agt != nil {
			agt.NoteMessageSent(now)
			blc.post.framed(hdr, nil, addrOf(ip, blc.self.Port()))
		}
	}
}

// owing returns some agents that have left something unanswered: they are asked
// again before their turn, as one lost datagram is no evidence.
func (blc *balancer) owing(now time.Time) [][4]byte {
	var ips [][4]byte
	agts := blc.fleet.All()
	for _, at := range rand.Perm(len(agts)) {
		if len(ips) < maxOwingAgents && agts[at].UnansweredFor(heartbeatInterval, now) {
			ips = append(ips, agts[at].IP())
		}
	}
	return ips
}

// sendBalancerHeartbeats sends a heartbeat to balancers. Those that read the
// platform, or are to, hear each other at every interval, however large the
// fleet is. Once a round everybody tells the seeds and some others, and names
// some, so that all balancers come to know each other.
func (blc *balancer) sendBalancerHeartbeats(round bool, now time.Time) {
	heard, reading := blc.rep.Balancers(now)
	first, self := make(map[[4]byte]bool), blc.self.Addr().As4()
	for _, seed := range blc.set.Seeds() {
		first[seed.Addr().As4()] = true
	}
	isSeed := first[self]
	for _, ip := range reading {
		first[ip] = true
	}
	delete(first, self)
	if !round && !isSeed && !blc.rep.Reading() {
		return
	}
	hdr, names := blc.heartbeat(0, now), nameSome(reading, heard)
	for ip := range first {
		blc.post.framed(hdr, names, addrOf(ip, blc.self.Port()))
	}
	if !round {
		return
	}
	others := blc.others(heard, now)
	sent := 0
	for _, at := range rand.Perm(len(others)) {
		if ip := others[at]; sent < balancersPerRound && ip != self && !first[ip] {
			blc.post.framed(hdr, names, addrOf(ip, blc.self.Port()))
			sent++
		}
	}
}

// others returns the balancers that were heard, and those that were named.
func (blc *balancer) others(heard [][4]byte, now time.Time) [][4]byte {
	known := slices.Clone(heard)
	for ip, until := range blc.named {
		if !now.Before(until) {
			delete(blc.named, ip)
		} else if !slices.Contains(heard, ip) {
			known = append(known, ip)
		}
	}
	return known
}

// nameSome returns the IP numbers of some balancers, to name them to others: first
// those that read the platform, so that they come to hear each other.
func nameSome(reading, heard [][4]byte) []byte {
	var names []byte
	for _, ip := range reading[:min(len(reading), balancersNamed/2)] {
		names = append(names, ip[:]...)
	}
	for _, at := range rand.Perm(len(heard)) {
		if len(names) < balancersNamed*len(heard[at]) {
			names = append(names, heard[at][:]...)
		}
	}
	return names
}

// noteNamed takes the balancers that another one names.
func (blc *balancer) noteNamed(names []byte, now time.Time) {
	for ; len(names) >= 4; names = names[4:] {
		blc.named[[4]byte(names)] = now.Add(namedTime)
	}
}
