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

func (rte *Route) leadsTo(service string) bool {
	return slices.ContainsFunc(rte.shares, func(shr Share) bool { return shr.service == service })
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
