// Package intent is the desired state of the operators: which service each
// address leads to.
package intent

import (
	"slices"
	"time"

	"lagoondrum/core/flow"
)

// Share is a service's part of a route's new flows.
type Share struct {
	service string
	weight  int
}

// NewShare returns a service's part of a route.
func NewShare(service string, weight int) Share { return Share{service: service, weight: weight} }

// Route leads the flows of one address to services.
type Route struct {
	name      string
	shares    []Share
	total     int
	priority  uint8
	objective time.Duration
}

// NewRoute returns a route over the shares whose weight is above 0.
func NewRoute(name string, shares []Share) *Route {
	rte := &Route{name: name}
	for _, shr := range shares {
		if shr.weight > 0 && shr.service != "" {
			rte.shares = append(rte.shares, shr)
			rte.total += shr.weight
		}
	}
	return rte
}

// WithUrgency sets how urgent the route's requests are, 0 the most, and the
// latency objective of their answers, and returns the route.
func (rte *Route) WithUrgency(priority uint8, objective time.Duration) *Route {
	rte.priority, rte.objective = priority, objective
	return rte
}

// Priority returns how urgent the route's requests are, 0 the most.
func (rte *Route) Priority() uint8 { return rte.priority }

// Objective returns the latency objective of answers, 0 when there is none.
func (rte *Route) Objective() time.Duration { return rte.objective }

// Name returns the route's name.
func (rte *Route) Name() string { return rte.name }

// Pick returns the service of a new flow by the flow's hash, so that every copy
// of its opening packet leads to the same service. It is empty when the route
// has no service.
func (rte *Route) Pick(hash uint64) string {
	if rte.total == 0 {
		return ""
	}
	point := int(hash % uint64(rte.total))
	for _, shr := range rte.shares {
		if point -= shr.weight; point < 0 {
			return shr.service
		}
	}
	return ""
}

// Services returns the services that the route leads to.
func (rte *Route) Services() []string {
	names := make([]string, 0, len(rte.shares))
	for _, shr := range rte.shares {
		names = append(names, shr.service)
	}
	return names
}

// State is one version of the desired state. It is immutable.
type State struct {
	version uint64
	routes  map[flow.End]*Route
	idle    time.Duration
}

// NewState returns a version with its routes, and how long a flow without
// packets is kept.
func NewState(version uint64, routes map[flow.End]*Route, idle time.Duration) *State {
	return &State{version: version, routes: routes, idle: idle}
}

// Version returns the operators' number of the state.
func (stt *State) Version() uint64 { return stt.version }

// Routes returns how many routes the state has.
func (stt *State) Routes() int { return len(stt.routes) }

// Idle returns how long a flow without packets is kept.
func (stt *State) Idle() time.Duration { return stt.idle }

// Route returns the route of an address, nil when there is none.
func (stt *State) Route(address flow.End) *Route { return stt.routes[address] }

// keepFormer is how long the services of a former route are remembered for flows
// that are still open: the longest life of a flow.
const keepFormer = 60 * time.Second

// former is what an address led to before.
type former struct {
	services []string
	until    time.Time
}

// Board holds the desired state in force. Its version never falls.
type Board struct {
	state  *State
	former map[flow.End]former
}

// NewBoard returns a board without a state.
func NewBoard() *Board { return &Board{former: make(map[flow.End]former)} }

// State returns the state in force, nil before the first.
func (brd *Board) State() *State { return brd.state }

// Adopt puts a state in force and reports whether it did: an older version, or
// the one in force, changes nothing.
func (brd *Board) Adopt(stt *State, now time.Time) bool {
	old := brd.state
	if old != nil && stt.version <= old.version {
		return false
	}
	brd.state = stt
	for address, fmr := range brd.former {
		if !now.Before(fmr.until) {
			delete(brd.former, address)
		}
	}
	if old == nil {
		return true
	}
	for address, rte := range old.routes {
		if stt.routes[address] != rte {
			brd.former[address] = former{services: rte.Services(), until: now.Add(keepFormer)}
		}
	}
	return true
}

// Holders returns the services that may hold an open flow of an address: those
// of its route, and those it led to lately.
func (brd *Board) Holders(address flow.End) []string {
	var names []string
	if brd.state == nil {
		return nil
	}
	if rte := brd.state.Route(address); rte != nil {
		names = rte.Services()
	}
	for _, name := range brd.former[address].services {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
