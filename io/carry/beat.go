package carry

import "time"

// beats sends the heartbeats that are due. A round reaches every agent; a large
// fleet's round takes longer, at a bounded rate.
func (blc *balancer) beats(now time.Time) {
	if len(blc.beatsTo) == 0 && !now.Before(blc.roundAt) {
		blc.roundAt = now.Add(beatInterval)
		for ip := range blc.fleet.All() {
			blc.beatsTo = append(blc.beatsTo, ip)
		}
		blc.beatBalancers(now)
	}
	if now.Before(blc.beatAt) || len(blc.beatsTo) == 0 {
		return
	}
	blc.beatAt = now.Add(beatInterval)
	count := min(len(blc.beatsTo), int(beatsPerSecond*beatInterval/time.Second))
	hdr, tail := blc.beat(0, now), blc.introduce(now)
	for _, ip := range blc.beatsTo[:count] {
		if agt := blc.fleet.Agent(ip); agt != nil {
			agt.NoteBeat(now)
			blc.post.framed(hdr, tail, addrOf(ip, blc.self.Port()))
		}
	}
	blc.beatsTo = blc.beatsTo[count:]
}

// beatBalancers sends a heartbeat to the balancers that are known.
func (blc *balancer) beatBalancers(now time.Time) {
	known := make(map[[4]byte]bool)
	for _, seed := range blc.set.Seeds() {
		known[seed.Addr().As4()] = true
	}
	for _, ip := range blc.rep.Balancers(now) {
		known[ip] = true
	}
	delete(known, blc.self.Addr().As4())
	hdr := blc.beat(0, now)
	for ip := range known {
		blc.post.framed(hdr, nil, addrOf(ip, blc.self.Port()))
	}
}

// introduce returns the balancers that a heartbeat names.
func (blc *balancer) introduce(now time.Time) []byte {
	var tail []byte
	for i, ip := range blc.rep.Balancers(now) {
		if i < introductions {
			tail = append(tail, ip[:]...)
		}
	}
	return tail
}
