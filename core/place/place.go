// Package place chooses the upstream of a new flow.
package place

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
)

// Weights of a choice, in parts of the upstream's slots unless stated.
const (
	candidates   = 8    // Agents weighed for one flow; all of a small service.
	flowWeight   = 0.04 // Requests that an open flow keeps under way on average.
	farPenalty   = 0.12 // For an upstream in another availability zone, whose bytes are paid for.
	coldFactor   = 1.6  // A cold upstream takes so many times as long.
	unheardCost  = 10   // For an agent that was never heard, as just after a start: one that is known to run comes first.
	soundPenalty = 1000 // For an agent that evidence speaks against: taken when nothing better is left.
	jitter       = 0.05 // Spread by hash, so that balancers with the same word choose differently.
)

// Hash returns the hash of a flow that its choices go by.
func Hash(key flow.Key) uint64 {
	var buf [flow.KeyBytes]byte
	key.Put(buf[:])
	return xxhash.Sum64(buf[:])
}

// Choose returns the best agent for a new flow among those not tried yet, nil
// when there is none. It weighs load against the price of another availability
// zone; load words are refreshed by every answer, and openings sent since count
// on top.
func Choose(agents []*fleet.Agent, tried func([4]byte) bool, hash uint64, zone string, now time.Time) *fleet.Agent {
	var best *fleet.Agent
	var lowest float64
	for _, agt := range sample(agents, hash) {
		if !agt.Usable() || tried(agt.IP()) {
			continue
		}
		if cost := costOf(agt, hash, zone, now); best == nil || cost < lowest {
			best, lowest = agt, cost
		}
	}
	if best == nil && len(agents) > candidates {
		return firstUsable(agents, tried)
	}
	return best
}

func costOf(agt *fleet.Agent, hash uint64, zone string, now time.Time) float64 {
	srv := agt.Server()
	load := agt.Load().Requests() + flowWeight*float64(agt.Load().Flows()) + float64(agt.Pending())
	cost := (load + 1) / float64(srv.Slots())
	if srv.Cold(now) {
		cost *= coldFactor
	}
	if srv.Zone() != zone {
		cost += farPenalty
	}
	if agt.HeardAt().IsZero() {
		cost += unheardCost
	}
	if !agt.Sound(now) {
		cost += soundPenalty
	}
	return cost + jitter*fraction(hash, srv.Address())
}

// sample returns the agents that a flow's hash ranks highest.
func sample(agents []*fleet.Agent, hash uint64) []*fleet.Agent {
	if len(agents) <= candidates {
		return agents
	}
	var top [candidates]*fleet.Agent
	var ranks [candidates]uint64
	for _, agt := range agents {
		if !agt.Usable() {
			continue
		}
		rank := Rank(hash, agt.IP())
		for i := range top {
			if top[i] == nil || rank > ranks[i] {
				copy(top[i+1:], top[i:])
				copy(ranks[i+1:], ranks[i:])
				top[i], ranks[i] = agt, rank
				break
			}
		}
	}
	for i, agt := range top {
		if agt == nil {
			return top[:i]
		}
	}
	return top[:]
}

func firstUsable(agents []*fleet.Agent, tried func([4]byte) bool) *fleet.Agent {
	for _, agt := range agents {
		if agt.Usable() && !tried(agt.IP()) {
			return agt
		}
	}
	return nil
}

// Rank returns the place of an agent in the order in which it is preferred for a
// hash: the higher the earlier.
func Rank(hash uint64, ip [4]byte) uint64 {
	var buf [12]byte
	binary.BigEndian.PutUint64(buf[:], hash)
	copy(buf[8:], ip[:])
	return xxhash.Sum64(buf[:])
}

func fraction(hash uint64, ip [4]byte) float64 {
	return float64(Rank(hash, ip)>>11) / (1 << 53)
}
