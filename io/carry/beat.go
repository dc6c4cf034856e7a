package carry

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of the heartbeats between balancers.
const (
	heartbeatsPerInterval = int(heartbeatsPerSecond * heartbeatInterval / time.Second)
	maxUnresponsiveAgents = 5               // Agents with an unanswered message that get an extra heartbeat per interval.
	balancersPerRound     = 10              // Balancers, besides seeds and readers, that get a heartbeat per round: 40 heartbeats a second.
	maxNamedBalancers     = 8               // In one heartbeat.
	namedTimeout          = 3 * time.Second // A balancer that was named but not heard gets heartbeats for this long.
)

// sendHeartbeats sends the heartbeats that are due. A round reaches every agent;
// as the rate is bounded, it takes several intervals in a large fleet.
func (blc *balancer) sendHeartbeats(now time.Time) {
	if now.Before(blc.heartbeatDueAt) {
		return
	}
	blc.heartbeatDueAt = now.Add(heartbeatInterval)
	blc.sendBalancerHeartbeats(len(blc.heartbeatTargets) == 0, now)
	if len(blc.heartbeatTargets) == 0 {
		agts := blc.fleet.All()
		for _, at := range rand.Perm(len(agts)) { // In random order, so that balancers that start together do not all send to the same agent at once.
			blc.heartbeatTargets = append(blc.heartbeatTargets, agts[at].IP())
		}
	}
	count := min(len(blc.heartbeatTargets), heartbeatsPerInterval)
	due := blc.heartbeatTargets[:count]
	blc.heartbeatTargets = blc.heartbeatTargets[count:]
	if len(blc.fleet.All()) > heartbeatsPerInterval {
		due = append(blc.unresponsiveAgents(now), due...)
	}
	hdr := blc.heartbeat(0, now)
	for _, ip := range due[:min(len(due), heartbeatsPerInterval+maxUnresponsiveAgents)] {
		if agt := blc.fleet.Agent(ip); agt != nil {
			blc.watch.noteAsked(agt, now)
			agt.NoteMessageSent(now)
			blc.peerSender.addDatagram(hdr, nil, addrPort(ip, blc.self.Port()))
		}
	}
}

// unresponsiveAgents returns some agents that have left a message unanswered. They
// get a heartbeat before their turn, since one lost datagram does not prove that an
// agent is down.
func (blc *balancer) unresponsiveAgents(now time.Time) [][4]byte {
	var ips [][4]byte
	agts := blc.fleet.All()
	for _, at := range rand.Perm(len(agts)) {
		if len(ips) < maxUnresponsiveAgents && agts[at].UnansweredFor(heartbeatInterval, now) {
			ips = append(ips, agts[at].IP())
		}
	}
	return ips
}

// sendBalancerHeartbeats sends heartbeats to other balancers. Seeds and readers of
// the platform send to each other at every interval, whatever the size of the
// fleet. Once a round every balancer sends to them and to some random others. Each
// heartbeat names some balancers, so that all balancers discover each other.
func (blc *balancer) sendBalancerHeartbeats(newRound bool, now time.Time) {
	heard, reading := blc.replica.Balancers(now)
	readers, self := make(map[[4]byte]bool), blc.self.Addr().As4()
	for _, seed := range blc.settings.Seeds() {
		readers[seed.Addr().As4()] = true
	}
	isSeed := readers[self]
	for _, ip := range reading {
		readers[ip] = true
	}
	delete(readers, self)
	if !newRound && !isSeed && !blc.replica.Reading() {
		return
	}
	hdr, names := blc.withStanding(blc.heartbeat(0, now)), sampleBalancers(reading, heard)
	for ip := range readers {
		blc.peerSender.addDatagram(hdr, names, addrPort(ip, blc.self.Port()))
	}
	if !newRound {
		return
	}
	others := blc.otherBalancers(heard, now)
	sent := 0
	for _, at := range rand.Perm(len(others)) {
		if ip := others[at]; sent < balancersPerRound && ip != self && !readers[ip] {
			blc.peerSender.addDatagram(hdr, names, addrPort(ip, blc.self.Port()))
			sent++
		}
	}
}

// otherBalancers returns the balancers that were heard and those that were named
// recently, and drops expired names.
func (blc *balancer) otherBalancers(heard [][4]byte, now time.Time) [][4]byte {
	known := slices.Clone(heard)
	for ip, until := range blc.namedUntil {
		if !now.Before(until) {
			delete(blc.namedUntil, ip)
		} else if !slices.Contains(heard, ip) {
			known = append(known, ip)
		}
	}
	return known
}

// sampleBalancers returns the IP addresses of some balancers, 4 bytes each, for the
// payload of a heartbeat. Readers of the platform come first, so that they
// discover each other.
func sampleBalancers(reading, heard [][4]byte) []byte {
	var names []byte
	for _, ip := range reading[:min(len(reading), maxNamedBalancers/2)] {
		names = append(names, ip[:]...)
	}
	for _, at := range rand.Perm(len(heard)) {
		if len(names) < maxNamedBalancers*len(heard[at]) {
			names = append(names, heard[at][:]...)
		}
	}
	return names
}

// noteNamedBalancers records the balancers that a heartbeat names.
func (blc *balancer) noteNamedBalancers(names []byte, now time.Time) {
	for ; len(names) >= 4; names = names[4:] {
		blc.namedUntil[[4]byte(names)] = now.Add(namedTimeout)
	}
}
