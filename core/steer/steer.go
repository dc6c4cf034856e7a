// Package steer decides at an agent whether it keeps a new flow or hands its
// first flight to the other choice.
package steer

import (
	"net/netip"
	"time"

	"lagoondrum/core/frame"
)

// Limits of what is remembered.
const (
	RememberFor = 15 * time.Second // A decision outlives every retransmission of its handshake.
	MaxFlights  = 1 << 14          // First flights remembered at once.
)

// workMargin is how much fuller with work, in parts of frame.LoadFull, an agent
// has to be before work outweighs flows.
const workMargin = frame.LoadFull

// Flight identifies the first flight of one handshake.
type Flight struct {
	caller netip.AddrPort
	key    uint64
}

// Self is the state of the deciding agent.
type Self struct {
	load     frame.Load
	refusing bool
}

// Steer remembers one decision per handshake, so that none is split.
type Steer struct {
	flights map[Flight]decision
	order   []Flight
}

type decision struct {
	target   netip.AddrPort
	deadline time.Time
}

// New returns an empty memory.
func New() *Steer { return &Steer{flights: make(map[Flight]decision)} }

// NewFlight names a first flight by its caller and a hash of its connection ID.
func NewFlight(caller netip.AddrPort, key uint64) Flight { return Flight{caller, key} }

// NewSelf returns the state of an agent with a load; refusing says that it is
// leaving, cold or shedding and would rather not take new flows.
func NewSelf(load frame.Load, refusing bool) Self { return Self{load, refusing} }

// Load returns the agent's load.
func (sel Self) Load() frame.Load { return sel.load }

// Refusing reports whether the agent would rather not take new flows.
func (sel Self) Refusing() bool { return sel.refusing }

// Decide returns the agent to hand a first flight to, or zero to keep it. The
// header is the one that came; from is who sent it. The first choice compares
// itself with what the balancer last heard of the second; the second compares
// itself with the first's own word, and hands back at most once.
func (str *Steer) Decide(fl Flight, hdr frame.Header, from netip.AddrPort, self Self, now time.Time) netip.AddrPort {
	if hdr.Has(frame.BackFlag) {
		return netip.AddrPort{}
	}
	if dec, ok := str.flights[fl]; ok && now.Before(dec.deadline) {
		return dec.target
	}
	str.expire(now)
	if len(str.flights) >= MaxFlights {
		return netip.AddrPort{}
	}
	target := choose(hdr, from, self)
	str.flights[fl] = decision{target, now.Add(RememberFor)}
	str.order = append(str.order, fl)
	return target
}

// Flights returns how many decisions are remembered.
func (str *Steer) Flights() int { return len(str.flights) }

func choose(hdr frame.Header, from netip.AddrPort, self Self) netip.AddrPort {
	other := hdr.Agent()
	if hdr.Has(frame.PassedFlag) {
		other = from
	}
	if other.Port() == 0 {
		return netip.AddrPort{}
	}
	if self.refusing && !hdr.Has(frame.PassedFlag) || fuller(self.load, hdr.Load()) {
		return other
	}
	return netip.AddrPort{}
}

// fuller compares by work when one side has a whole capacity more of it, and
// else by flows.
func fuller(own, other frame.Load) bool {
	if diff := own.Work() - other.Work(); diff > workMargin || diff < -workMargin {
		return diff > 0
	}
	return own.Flows() > other.Flows()
}

func (str *Steer) expire(now time.Time) {
	done := 0
	for _, fl := range str.order {
		if now.Before(str.flights[fl].deadline) {
			break
		}
		delete(str.flights, fl)
		done++
	}
	str.order = str.order[done:]
}
