package carry

import (
	"math/rand/v2"
	"time"
)

// Limits of the heartbeats between balancers.
const (
	balancersBeaten = 10              // Balancers that a round of heartbeats reaches: 40 heartbeats a second.
	balancersNamed  = 8               // Balancers that a heartbeat names.
	namedTime       = 3 * time.Second // A balancer that was named and not heard is beaten for this long.
)

// beats sends the heartbeats that are due. A round reaches every agent; a large
// fleet's round takes longer, at a bounded rate.
func (blc *balancer) beats(now time.Time) {
	if len(blc.beatsTo) == 0 && !now.Before(blc.roundAt) {
		blc.roundAt = now.Add(beatInterval)
		agts := blc.fleet.All()
		for _, at := range rand.Perm(len(agts)) { // In an order of its own: balancers that start together would all beat one agent at once.
			blc.beatsTo = append(blc.beatsTo, agts[at].IP())
		}
		blc.beatBalancers(now)
	}
	if now.Before(blc.beatAt) || len(blc.beatsTo) == 0 {
		return
	}
	blc.beatAt = now.Add(beatInterval)
	count := min(len(blc.beatsTo), int(beatsPerSecond*beatInterval/time.Second))
	hdr := blc.beat(0, now)
	for _, ip := range blc.beatsTo[:count] {
		if agt := blc.fleet.Agent(ip); agt != nil {
			agt.NoteBeat(now)
			blc.post.framed(hdr, nil, addrOf(ip, blc.self.Port()))
		}
	}
	blc.beatsTo = blc.beatsTo[count:]
}

// beatBalancers sends a heartbeat to balancers: the seeds, those that were heard,
// and those that others have named. It names some in turn, so that all balancers
// of a small fleet come to know each other.
func (blc *balancer) beatBalancers(now time.Time) {
	known := make(map[[4]byte]bool)
	for _, seed := range blc.set.Seeds() {
		known[seed.Addr().As4()] = true
	}
	heard := blc.rep.Balancers(now)
	for _, ip := range heard {
		known[ip] = true
	}
	for ip, until := range blc.named {
		if now.Before(until) {
			known[ip] = true
		} else {
			delete(blc.named, ip)
		}
	}
	delete(known, blc.self.Addr().As4())
	hdr, names := blc.beat(0, now), nameSome(heard)
	sent := 0
	for ip := range known { // In random order.
		if sent == balancersBeaten {
			return
		}
		blc.post.framed(hdr, names, addrOf(ip, blc.self.Port()))
		sent++
	}
}

// nameSome returns the IP numbers of some balancers, to name them to others.
func nameSome(heard [][4]byte) []byte {
	var names []byte
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
