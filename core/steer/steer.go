// Package steer decides at an agent whether it keeps a new flow or hands its
// first flight to the other one of the two agents that the balancer chose.
package steer

import (
	"net/netip"
	"time"

	"lagoondrum/core/frame"
)

// Limits of the stored decisions.
const (
	DecisionTTL = 15 * time.Second // Outlives every retransmission of the handshake.
	MaxFlights  = 1 << 14          // First flights with a stored decision at once; the agent keeps any further one.
)

// workLoadMargin is the difference of two work loads, in units of
// 1/frame.FullLoad of the capacity, above which agents are compared by work
// instead of flows.
const workLoadMargin = frame.FullLoad

// Flight identifies the first flight of one handshake by its caller and a hash of
// its connection ID.
type Flight struct {
	caller netip.AddrPort
	key    uint64
}

// State is the state of the agent that decides.
type State struct {
	load     frame.Load
	refusing bool
}

// Selector stores one decision for each handshake, so that all packets of a
// handshake go to the same agent. order holds the handshakes by deadline.
type Selector struct {
	decisions map[Flight]decision
	order     []Flight
}

type decision struct {
	target   netip.AddrPort
	deadline time.Time
}

// New returns a selector without decisions.
func New() *Selector { return &Selector{decisions: make(map[Flight]decision)} }

// NewFlight identifies a first flight by its caller and key, a hash of its
// connection ID.
func NewFlight(caller netip.AddrPort, key uint64) Flight { return Flight{caller, key} }

// NewState returns the state of an agent with a load. refusing is set while the
// agent is leaving, cold or shedding and prefers not to take new flows.
func NewState(load frame.Load, refusing bool) State { return State{load, refusing} }

// Load returns the agent's load.
func (sta State) Load() frame.Load { return sta.load }

// Refusing reports whether the agent prefers not to take new flows.
func (sta State) Refusing() bool { return sta.refusing }

// Decide returns the agent that a first flight is handed to, or the zero address
// to keep it. hdr is the received header and from its sender. The first choice
// compares its load with the load that the balancer last heard from the second
// choice. The second choice compares its load with the one that the first choice
// put into the header, and hands a first flight back at most once.
func (sel *Selector) Decide(fl Flight, hdr frame.Header, from netip.AddrPort, sta State, now time.Time) netip.AddrPort {
	if hdr.Has(frame.HandedBackFlag) {
		return netip.AddrPort{}
	}
	if dec, ok := sel.decisions[fl]; ok && now.Before(dec.deadline) {
		return dec.target
	}
	sel.expire(now)
	if len(sel.decisions) >= MaxFlights {
		return netip.AddrPort{}
	}
	target := chooseTarget(hdr, from, sta)
	sel.decisions[fl] = decision{target, now.Add(DecisionTTL)}
	sel.order = append(sel.order, fl)
	return target
}

// Len returns the number of stored decisions.
func (sel *Selector) Len() int { return len(sel.decisions) }

// chooseTarget compares the agent with the other choice and returns the agent
// that a first flight is handed to, or the zero address to keep it. A refusing
// second choice hands a flight back only when it is more loaded.
func chooseTarget(hdr frame.Header, from netip.AddrPort, sta State) netip.AddrPort {
	other := hdr.Agent()
	if hdr.Has(frame.PassedFlag) {
		other = from
	}
	if other.Port() == 0 {
		return netip.AddrPort{}
	}
	if sta.refusing && !hdr.Has(frame.PassedFlag) || moreLoaded(sta.load, hdr.Load()) {
		return other
	}
	return netip.AddrPort{}
}

// moreLoaded reports whether own is the higher load. It compares work when the
// difference is more than one whole capacity, else flows.
func moreLoaded(own, other frame.Load) bool {
	if diff := own.Work() - other.Work(); diff > workLoadMargin || diff < -workLoadMargin {
		return diff > 0
	}
	return own.Flows() > other.Flows()
}

// expire removes the decisions whose deadline has passed.
func (sel *Selector) expire(now time.Time) {
	expired := 0
	for _, fl := range sel.order {
		if now.Before(sel.decisions[fl].deadline) {
			break
		}
		delete(sel.decisions, fl)
		expired++
	}
	sel.order = sel.order[expired:]
}
