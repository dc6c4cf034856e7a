// Package picker chooses the upstream of a new flow.
package picker

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/fleet"
	"lagoondrum/core/flow"
)

// Costs of a candidate, in fractions of the upstream's slots unless stated otherwise.
const (
	maxCandidates      = 8    // Agents compared for one flow; in a smaller service all of them are.
	requestsPerFlow    = 0.04 // Average number of requests in progress for each open flow.
	remoteZonePenalty  = 0.12 // For an upstream in another availability zone, as traffic between zones costs money.
	weighedZonePenalty = 1    // The same where zones are weighed: an upstream of the own zone with a free slot is preferred to an idle one elsewhere.
	coldFactor         = 1.6  // A cold upstream takes this many times as long.
	unheardPenalty     = 10   // For an agent never heard from, as just after a start: agents known to run come first.
	noRoomPenalty      = 100  // For a cold upstream that has got as many openings as it bears, plus the seconds until it bears another.
	suspectPenalty     = 1000 // For a suspect agent (missed answers, announced restart): chosen only when no other is left.
	judgedPenalty      = 8    // For an upstream that serves callers badly: this many requests more for each slot wait at others, about as long as a caller can wait.
	trialShare         = 128  // One in this many flows that an upstream is a candidate for is placed as if it were not suspect, so that it shows when it has recovered: a sixteenth of its usual flows.
	jitterWeight       = 0.05 // Range of a term by hash, so that balancers with the same load reports choose differently.
)

// FlowHash returns the hash of a flow, from which all choices for the flow derive.
func FlowHash(key flow.Key) uint64 {
	var buf [flow.KeyBytes]byte
	key.Put(buf[:])
	return xxhash.Sum64(buf[:])
}

// Chooser chooses upstreams for the new flows of a balancer.
type Chooser struct {
	zone         string
	zonesWeighed bool
	last         ZoneChoice // Why the last choice fell on an agent of its zone.
}

// New returns the chooser of a balancer in an availability zone.
func New(zone string) *Chooser { return &Chooser{zone: zone} }

// Choose returns the agent with the lowest cost for a new flow among those not
// tried yet, or nil when there is none. The cost weighs the load against the price
// of another availability zone. Every answer of an agent carries a load report;
// openings sent since the last report are added to it.
func (chs *Chooser) Choose(agents []*fleet.Agent, tried func([4]byte) bool, hash uint64, now time.Time) *fleet.Agent {
	best := chs.cheapest(topCandidates(agents, hash, now), tried, hash, now)
	switch {
	case len(agents) <= maxCandidates:
		return best
	case best == nil:
		return firstUsable(agents, tried, now)
	case best.ColdWait(now) > 0:
		return chs.cheapest(agents, tried, hash, now) // Other upstreams of the service may have room.
	default:
		return best
	}
}

// Cost is what giving an agent a new flow costs, by its causes.
type Cost struct {
	Load    float64 // Requests and flows for each slot, more for a cold upstream.
	Zone    float64 // Another availability zone.
	Unheard float64 // The agent was never heard.
	Suspect float64 // The agent does not answer in time, or restarts.
	Judged  float64 // Callers are served badly by the upstream.
	NoRoom  float64 // The upstream is cold and has got as many openings as it bears.
	Jitter  float64 // Differs between flows, so that equal agents share them.
}

// Total returns the sum by which agents are compared.
func (cst Cost) Total() float64 {
	return cst.Load + cst.Zone + cst.Unheard + cst.Suspect + cst.Judged + cst.NoRoom + cst.Jitter
}

// CostOf returns the cost of giving an agent a new flow.
func (chs *Chooser) CostOf(agt *fleet.Agent, hash uint64, now time.Time) Cost {
	ups := agt.Upstream()
	load := agt.Load().Requests() + requestsPerFlow*float64(agt.Load().Flows()) + float64(agt.PendingOpenings())
	cst := Cost{Load: (load + 1) / float64(ups.Slots()), Jitter: jitterWeight * unitHash(hash, ups.Address())}
	if ups.Cold(now) {
		cst.Load *= coldFactor
	}
	if wait := agt.ColdWait(now); wait > 0 {
		cst.NoRoom = noRoomPenalty + wait.Seconds()
	}
	if ups.Zone() != chs.zone {
		cst.Zone = chs.zonePenalty()
	}
	if agt.HeardAt().IsZero() {
		cst.Unheard = unheardPenalty
	}
	if !agt.Healthy(now) {
		cst.Suspect = suspectPenalty
	}
	if agt.Judged().Suspect() && !Trial(hash, ups.Address()) {
		cst.Judged = judgedPenalty
	}
	return cst
}

// Trial reports whether a flow is placed as if an upstream were not suspect.
func Trial(hash uint64, ip [4]byte) bool { return Score(hash, ip)%trialShare == 0 }

// topCandidates returns the usable agents with the highest scores for a flow, or
// all agents of a small service.
func topCandidates(agents []*fleet.Agent, hash uint64, now time.Time) []*fleet.Agent {
	if len(agents) <= maxCandidates {
		return agents
	}
	var top [maxCandidates]*fleet.Agent
	var scores [maxCandidates]uint64
	for _, agt := range agents {
		if !agt.Usable(now) {
			continue
		}
		score := Score(hash, agt.IP())
		for i := range top {
			if top[i] == nil || score > scores[i] {
				copy(top[i+1:], top[i:])
				copy(scores[i+1:], scores[i:])
				top[i], scores[i] = agt, score
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

// cheapest returns the agent with the lowest cost among those not tried yet, or nil.
func (chs *Chooser) cheapest(agents []*fleet.Agent, tried func([4]byte) bool, hash uint64, now time.Time) *fleet.Agent {
	var best *fleet.Agent
	var lowest float64
	chs.last = ZoneChoice{own: math.Inf(1), other: math.Inf(1)}
	for _, agt := range agents {
		if !agt.Usable(now) || tried(agt.IP()) {
			continue
		}
		cst := chs.CostOf(agt, hash, now)
		if cost := cst.Total(); best == nil || cost < lowest {
			best, lowest = agt, cost
		}
		chs.noteCost(agt, cst)
	}
	return best
}

// firstUsable returns the first usable agent that was not tried yet.
func firstUsable(agents []*fleet.Agent, tried func([4]byte) bool, now time.Time) *fleet.Agent {
	for _, agt := range agents {
		if agt.Usable(now) && !tried(agt.IP()) {
			return agt
		}
	}
	return nil
}

// Score returns the score of an agent for a hash, as in rendezvous hashing: the
// agent with the highest score is preferred.
func Score(hash uint64, ip [4]byte) uint64 {
	var buf [12]byte
	binary.BigEndian.PutUint64(buf[:], hash)
	copy(buf[8:], ip[:])
	return xxhash.Sum64(buf[:])
}

// unitHash maps the score of an agent to the range from 0 up to 1.
func unitHash(hash uint64, ip [4]byte) float64 {
	return float64(Score(hash, ip)>>11) / (1 << 53)
}
